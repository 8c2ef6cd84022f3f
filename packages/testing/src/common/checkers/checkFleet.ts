/** Checks the state of the fleet after a run: configuration, leaving workers, planned stops, engine memory. */
import type { Fleet } from '../host/fleet.js'
import type { Violation } from './violation.js'

/** Time within which every node must activate an accepted configuration. */
const MAX_ACTIVATION_MS = 11_000
/** Time for which a worker may still get new work after the VM list has marked it as leaving. */
const LEAVING_GRACE_MS = 2_000

/** Events of a run that the checks of the fleet need. */
export interface FleetEvidence {
  /** Every activation of a revision by a node. */
  revisionActivations: Array<{ node: string, incarnation: string, revision: number, atMs: number }>
  /** Configuration changes whose acceptance was reported to an operator. */
  accepted: Array<{ revision: number, baseRevision: number, atMs: number }>
  /** Workers that leave, and the time from which the VM list marks them as leaving. */
  leaving: Array<{ worker: string, listedAtMs: number }>
}

/** Runs all checks of this file; an empty result means that no invariant was broken. */
export function checkFleet (fleet: Fleet, evidence: FleetEvidence): Violation[] {
  return [
    ...checkRevisions(evidence),
    ...checkAccepted(fleet, evidence),
    ...checkLeaving(fleet, evidence),
    ...checkStops(fleet),
    ...checkEngineMemory(fleet)
  ]
}

/** The active revision of one incarnation of a node never decreases. */
export function checkRevisions ({ revisionActivations: activations }: FleetEvidence): Violation[] {
  const highest = new Map<string, number>()
  return activations.flatMap(({ node, incarnation, revision, atMs }) => {
    const nodeRun = `${node}/${incarnation}`
    const before = highest.get(nodeRun) ?? 0
    highest.set(nodeRun, Math.max(before, revision))
    return revision < before ? [{ rule: 'configuration never reverts', detail: `${nodeRun} went from revision ${before} to ${revision} at ${atMs}` }] : []
  })
}

/** Of concurrent changes of one revision at most one is accepted; at the end every live node has it, and undisturbed nodes activated it in time. */
export function checkAccepted (fleet: Fleet, { accepted, revisionActivations: activations }: FleetEvidence): Violation[] {
  const violations: Violation[] = []
  const bases = accepted.map(change => change.baseRevision)
  if (new Set(bases).size !== bases.length) violations.push({ rule: 'one change wins', detail: 'two changes of the same revision were accepted' })
  for (const change of accepted) {
    for (const node of fleet.liveNodes()) {
      const status = node.kernel.status()
      if (status.revision < change.revision) violations.push({ rule: 'configuration is in force', detail: `${node.identity.node} has revision ${status.revision}, but ${change.revision} was accepted` })
      const first = activations.find(entry => entry.node === node.identity.node && entry.incarnation === node.identity.incarnation && entry.revision >= change.revision)
      const fromMs = Math.max(change.atMs, node.startedAtMs)
      const isLate = first !== undefined && first.atMs > fromMs + MAX_ACTIVATION_MS && isUndisturbed(fleet, node.identity.node, fromMs)
      if (isLate) violations.push({ rule: 'configuration is in force in time', detail: `${node.identity.node} had revision ${change.revision} only at ${first.atMs}, accepted at ${change.atMs}` })
    }
  }
  return violations
}

/** True when no recorded disturbance of the node, its zone or the log falls into the time limit that starts at `fromMs`. */
function isUndisturbed (fleet: Fleet, node: string, fromMs: number): boolean {
  return !fleet.disturbances.some(({ machine, fromMs: start, untilMs }) => {
    const affectsNode = machine === node || machine === 'log' || machine === fleet.zoneOf(node)
    return affectsNode && start < fromMs + MAX_ACTIVATION_MS && untilMs > fromMs
  })
}

/** A leaving worker gets no new work after `LEAVING_GRACE_MS`, unless a node was paused meanwhile. */
export function checkLeaving (fleet: Fleet, { leaving }: FleetEvidence): Violation[] {
  return leaving.flatMap(({ worker, listedAtMs }) => {
    const lastStartMs = fleet.engines.get(worker)?.counters.lastStartMs ?? fleet.services.get(worker)?.lastStartMs ?? 0
    const isLate = lastStartMs > listedAtMs + LEAVING_GRACE_MS && !isFleetDisturbed(fleet, listedAtMs, lastStartMs)
    return isLate ? [{ rule: 'leaving workers get no new work', detail: `${worker} got work at ${lastStartMs}, ${lastStartMs - listedAtMs} ms after the list named it` }] : []
  })
}

/** True when a node was paused in that period: it may send calls late that it had decided on before. */
function isFleetDisturbed (fleet: Fleet, fromMs: number, untilMs: number): boolean {
  return fleet.disturbances.some(disturbance => disturbance.kind === 'pause' && disturbance.fromMs < untilMs && disturbance.untilMs > fromMs)
}

/** A node exits from a planned stop only when no request is open. */
export function checkStops (fleet: Fleet): Violation[] {
  return fleet.cutOffByStop.map(({ node, requests }) => ({ rule: 'planned stops cut off nothing', detail: `${node} exited with ${requests} requests open` }))
}

/** Engines hold memory only for programs that are open at a live node. */
export function checkEngineMemory (fleet: Fleet): Violation[] {
  const open = new Set(fleet.liveNodes().flatMap(node => node.openPrograms()))
  return [...fleet.engines.values()].flatMap(engine => engine.heldSessions()
    .filter(({ session }) => !open.has(session))
    .map(({ session, tokens }) => ({ rule: 'no memory for gone programs', detail: `${engine.options.name} holds ${tokens} tokens for ${session}` })))
}
