/** Checks what the fleet itself shows: configuration, leaving workers, planned stops, engine memory. */
import type { Fleet } from '../host/fleet.js'
import type { Violation } from './violation.js'

/** Time within which an accepted configuration must be in force everywhere. */
const IN_FORCE_WITHIN_MS = 11_000
/** Time after the first sign within which a leaving worker gets no new work. */
const LEAVING_WITHIN_MS = 2_000

export interface FleetEvidence {
  /** Every time that a node put a revision in force. */
  inForce: Array<{ node: string, incarnation: string, revision: number, atMs: number }>
  /** Changes that an operator was told are accepted. */
  accepted: Array<{ revision: number, baseRevision: number, atMs: number }>
  /** Workers that leave, and the time at which the VM list says so. */
  leaving: Array<{ worker: string, signAtMs: number }>
}

export function checkFleet (fleet: Fleet, evidence: FleetEvidence): Violation[] {
  return [
    ...checkRevisions(evidence),
    ...checkAccepted(fleet, evidence),
    ...checkLeaving(fleet, evidence),
    ...checkStops(fleet),
    ...checkEngineMemory(fleet)
  ]
}

/** What is in force at a run of a node never reverts. */
export function checkRevisions ({ inForce }: FleetEvidence): Violation[] {
  const highest = new Map<string, number>()
  return inForce.flatMap(({ node, incarnation, revision, atMs }) => {
    const run = `${node}/${incarnation}`
    const before = highest.get(run) ?? 0
    highest.set(run, Math.max(before, revision))
    return revision < before ? [{ rule: 'configuration never reverts', detail: `${run} went from revision ${before} to ${revision} at ${atMs}` }] : []
  })
}

/** Of racing changes at most one is accepted, and every live node has it at the end and in time. */
export function checkAccepted (fleet: Fleet, { accepted, inForce }: FleetEvidence): Violation[] {
  const violations: Violation[] = []
  const bases = accepted.map(change => change.baseRevision)
  if (new Set(bases).size !== bases.length) violations.push({ rule: 'one change wins', detail: 'two changes of the same revision were accepted' })
  for (const change of accepted) {
    for (const node of fleet.liveNodes()) {
      const status = node.kernel.status()
      if (status.revision < change.revision) violations.push({ rule: 'configuration is in force', detail: `${node.identity.node} has revision ${status.revision}, but ${change.revision} was accepted` })
      const first = inForce.find(entry => entry.node === node.identity.node && entry.incarnation === node.identity.incarnation && entry.revision >= change.revision)
      const fromMs = Math.max(change.atMs, node.startedAtMs)
      const isLate = first !== undefined && first.atMs > fromMs + IN_FORCE_WITHIN_MS && wasUndisturbed(fleet, node.identity.node, fromMs)
      if (isLate) violations.push({ rule: 'configuration is in force in time', detail: `${node.identity.node} had revision ${change.revision} only at ${first.atMs}, accepted at ${change.atMs}` })
    }
  }
  return violations
}

/** True for a node that could reach the log from the acceptance on until the time limit. */
function wasUndisturbed (fleet: Fleet, node: string, fromMs: number): boolean {
  return !fleet.disturbances.some(({ machine, fromMs: start, untilMs }) => {
    const isMeant = machine === node || machine === 'log' || machine === fleet.zoneOf(node)
    return isMeant && start < fromMs + IN_FORCE_WITHIN_MS && untilMs > fromMs
  })
}

/** A leaving worker gets no new work after the time limit. */
export function checkLeaving (fleet: Fleet, { leaving }: FleetEvidence): Violation[] {
  return leaving.flatMap(({ worker, signAtMs }) => {
    const lastStartMs = fleet.engines.get(worker)?.counters.lastStartMs ?? fleet.services.get(worker)?.lastStartMs ?? 0
    const isLate = lastStartMs > signAtMs + LEAVING_WITHIN_MS && !isFleetDisturbed(fleet, signAtMs, lastStartMs)
    return isLate ? [{ rule: 'leaving workers get no new work', detail: `${worker} got work at ${lastStartMs}, ${lastStartMs - signAtMs} ms after the list named it` }] : []
  })
}

/** A paused node may send late what it had decided before. */
function isFleetDisturbed (fleet: Fleet, fromMs: number, untilMs: number): boolean {
  return fleet.disturbances.some(disturbance => disturbance.kind === 'pause' && disturbance.fromMs < untilMs && disturbance.untilMs > fromMs)
}

/** A planned stop cuts off no request. */
export function checkStops (fleet: Fleet): Violation[] {
  return fleet.cutOffByStop.map(({ node, requests }) => ({ rule: 'planned stops cut off nothing', detail: `${node} exited with ${requests} requests open` }))
}

/** No engine memory stays held for programs that are gone. */
export function checkEngineMemory (fleet: Fleet): Violation[] {
  const open = new Set(fleet.liveNodes().flatMap(node => node.openPrograms()))
  return [...fleet.engines.values()].flatMap(engine => engine.heldSessions()
    .filter(({ session }) => !open.has(session))
    .map(({ session, tokens }) => ({ rule: 'no memory for gone programs', detail: `${engine.options.name} holds ${tokens} tokens for ${session}` })))
}
