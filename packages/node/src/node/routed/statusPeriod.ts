/** Period of the statuses between nodes, and the heartbeat timeout that follows from it. */

/** Interval at which a node checks whether its status has changed in fields that affect callers. */
export const STATUS_CHECK_MS = 200
/** Status period per peer: with more than a dozen peers, a node sends the same number of statuses per second, whatever their number. */
const MS_PER_PEER = 16
/** Slack, about three checks, and number of periods without a status after which a peer counts as unavailable. */
const TIMEOUT_SLACK_MS = 600
const TIMEOUT_PERIODS = 1.5

/** Time without a status after which a peer that sends one every `periodMs` counts as unavailable. */
export function heartbeatTimeoutMs (periodMs: number): number {
  return TIMEOUT_SLACK_MS + TIMEOUT_PERIODS * periodMs
}

/** Time between two statuses of a node with `peerCount` peers, while nothing changes. */
export function statusPeriodMs (peerCount: number): number {
  return Math.max(STATUS_CHECK_MS, MS_PER_PEER * peerCount)
}
