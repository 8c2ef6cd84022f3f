/** How often nodes tell each other of themselves, and when silence means that one is gone. */

/** How often a node looks whether its status has changed in what matters to callers. */
export const STATUS_CHECK_MS = 200
/** Time between two statuses for each peer: a node of a large system spends no more on them than one among a dozen. */
const MS_PER_PEER = 16
/** A status may be late by this; about three checks. */
const LATENESS_MS = 600
const LATENESS_PERIODS = 1.5

/** Silence after which a peer that sends its status every `periodMs` is taken as gone. */
export function heartbeatTimeoutMs (periodMs: number): number {
  return LATENESS_MS + LATENESS_PERIODS * periodMs
}

/** Time between two statuses of a node with so many peers, while nothing changes. */
export function statusPeriodMs (peers: number): number {
  return Math.max(STATUS_CHECK_MS, MS_PER_PEER * peers)
}
