/** Applies the faults of a scenario to a fleet. */
import type { ConfigurationDocument, IRandom } from '@trefoilshunt/core'
import type { FleetEvidence } from '../checkers/checkFleet.js'
import type { Fleet } from '../host/fleet.js'
import type { ProgramPlan } from '../workload/programPlan.js'
import type { Fault } from './scenario.js'

const OPERATOR_TIMEOUT_MS = 15_000
/** More steps than any work kind of the firms' documents allows. */
const ENDLESS_STEPS = 200
/** Time between two resends of a poison request; then the crashed engines restart. */
const POISON_PAUSE_MS = 2_000
/** Time after which a leaving worker ends and is removed from the VM list. */
const REMOVE_AFTER_LEAVING_MS = 30_000

/** What faults act on. */
export interface FaultContext {
  fleet: Fleet
  evidence: FleetEvidence
  document: ConfigurationDocument
  random: IRandom
  /** Runs a program to its end. */
  run: (plan: ProgramPlan) => Promise<void>
  /** Draws a program of a work kind of this rank. */
  createPlan: (rank: 'urgent' | 'other') => ProgramPlan
}

/**
 * Applies one fault. Resolves when the fault has been undone or the requests that it sends have ended; faults of connections, appends,
 * service calls and leaving workers resolve at once.
 */
export async function applyFault (fault: Fault, context: FaultContext): Promise<void> {
  const { fleet } = context
  const sleep = async (ms: number) => await fleet.clientHost.sleep(ms)
  switch (fault.type) {
    case 'killNode':
      fleet.killNode(fault.node)
      return await restartNode(context, fault.node, fault.restartAfterMs)
    case 'stopNode': return await stopNode(context, fault.node, fault.restartAfterMs)
    case 'pauseNode': {
      const node = fleet.nodes.get(fault.node)
      node?.pause()
      fleet.recordDisturbance('pause', [fault.node], fault.forMs)
      await sleep(fault.forMs)
      node?.resume()
      return
    }
    case 'dropConnections': return fleet.dropConnections(fault.node)
    case 'cut': return await cutLinks(context, [fault.between], fault.forMs)
    case 'loseZone': return await cutLinks(context, [...otherZones(fleet, fault.zone), 'log'].map(other => [fault.zone, other]), fault.forMs)
    case 'powerOffZone': return await powerOffZone(context, fault.zone, fault.forMs)
    case 'logDown':
      fleet.log.setDown(true)
      fleet.recordDisturbance('log', ['log'], fault.forMs)
      await sleep(fault.forMs)
      fleet.log.setDown(false)
      return
    case 'logSlow':
      fleet.log.setDelay(fault.delayMs)
      await sleep(fault.forMs)
      fleet.log.setDelay(0)
      return
    case 'appendFault': return fleet.log.addFaults(fault.fault, fault.count)
    case 'crashWorker': return await crashWorker(context, fault.worker, fault.restartAfterMs)
    case 'leaveWorker': return leaveWorker(context, fault.worker)
    case 'slowWorker':
      fleet.engines.get(fault.worker)?.setSlow(fault.factor)
      await sleep(fault.forMs)
      fleet.engines.get(fault.worker)?.setSlow(1)
      return
    case 'hangTool': return fleet.services.get(fault.worker)?.hangNext(fault.count)
    case 'loseToolAnswers': return fleet.services.get(fault.worker)?.dropAnswers(fault.count)
    case 'raceOperators': return await raceOperators(context, fault.operators)
    case 'poison': return await runPoison(context, fault.resends)
    case 'endlessProgram': return await context.run({ ...context.createPlan('other'), isExpectedToFail: true, steps: Array.from({ length: ENDLESS_STEPS }, () => ({ type: 'model', promptTokens: 10, answerTokens: 5 })) })
  }
}

/** Starts a node's process again after `afterMs`; undefined removes its VM from the list instead. */
async function restartNode ({ fleet }: FaultContext, name: string, afterMs: number | undefined): Promise<void> {
  if (afterMs === undefined) {
    fleet.vmList.remove(name)
    return
  }
  await fleet.clientHost.sleep(afterMs)
  if (fleet.nodes.get(name)?.isAlive === true) return
  fleet.startNode(name, fleet.zoneOf(name))
}

async function stopNode (context: FaultContext, name: string, restartAfterMs: number | undefined): Promise<void> {
  const { fleet } = context
  const node = fleet.nodes.get(name)
  if (node === undefined || !node.isAlive) return
  node.handle({ type: 'stopRequested' })
  await fleet.clientHost.sleep(restartAfterMs ?? 0)
  for (let waits = 0; node.isAlive && waits < 300; waits++) await fleet.clientHost.sleep(1_000)
  await restartNode(context, name, restartAfterMs === undefined ? undefined : 0)
}

function otherZones (fleet: Fleet, zone: string): string[] {
  return fleet.options.zones.filter(other => other !== zone)
}

async function cutLinks ({ fleet }: FaultContext, links: string[][], forMs: number): Promise<void> {
  for (const [left, right] of links) fleet.cut(left, right)
  fleet.recordDisturbance('cut', links.flat(), forMs)
  await fleet.clientHost.sleep(forMs)
  for (const [left, right] of links) fleet.heal(left, right)
}

async function crashWorker ({ fleet }: FaultContext, worker: string, restartAfterMs: number): Promise<void> {
  const target = fleet.engines.get(worker) ?? fleet.services.get(worker)
  target?.crash()
  await fleet.clientHost.sleep(restartAfterMs)
  target?.restart()
}

async function powerOffZone ({ fleet }: FaultContext, zone: string, forMs: number): Promise<void> {
  const nodes = fleet.liveNodes().map(node => node.identity.node).filter(node => fleet.zoneOf(node) === zone)
  const workers = [...fleet.engines, ...fleet.services].filter(([name]) => fleet.zoneOf(name) === zone).map(([, worker]) => worker)
  for (const node of nodes) fleet.killNode(node)
  for (const worker of workers) worker.crash()
  await fleet.clientHost.sleep(forMs)
  for (const worker of workers) worker.restart()
  for (const node of nodes) fleet.startNode(node, zone)
}

/** Only the VM list announces that the worker leaves; the worker itself still accepts work. */
function leaveWorker ({ fleet, evidence }: FaultContext, worker: string): void {
  fleet.vmList.setLeaving(worker)
  const listedAtMs = fleet.events.nowMs() + fleet.options.vmListLagMs
  evidence.leaving.push({ worker, listedAtMs })
  void fleet.clientHost.sleep(REMOVE_AFTER_LEAVING_MS).then(() => {
    fleet.vmList.remove(worker)
    fleet.engines.get(worker)?.crash()
    fleet.services.get(worker)?.crash()
  })
}

async function raceOperators ({ fleet, evidence, document }: FaultContext, operators: number): Promise<void> {
  const nodes = fleet.liveNodes().filter(node => !node.isPaused)
  const nodeStatus = nodes[0].kernel.status()
  const baseRevision = nodeStatus.revision
  const races = Array.from({ length: operators }, async (_, index) => {
    const node = nodes[index % nodes.length]
    const edited = { ...document, abandonGraceMs: document.abandonGraceMs + index + 1 }
    const result = await fleet.send(node.identity.address, { type: 'apply', environment: 'production', baseRevision, document: edited, by: `operator-${index}` }, { timeoutMs: OPERATOR_TIMEOUT_MS })
    if (result.type === 'reply' && result.reply.type === 'accepted') {
      evidence.accepted.push({ revision: result.reply.revision, baseRevision, atMs: fleet.events.nowMs() })
    }
  })
  await Promise.all(races)
}

async function runPoison ({ fleet, run, createPlan }: FaultContext, resends: number): Promise<void> {
  const plan = createPlan('other')
  const poison: ProgramPlan = { ...plan, steps: [{ type: 'model', promptTokens: 50, answerTokens: 20 }], poisonStep: 0, isExpectedToFail: true }
  for (let round = 0; round <= resends; round++) {
    await run(poison)
    await fleet.clientHost.sleep(POISON_PAUSE_MS)
    for (const engine of fleet.engines.values()) {
      if (engine.isDown) engine.restart()
    }
  }
}
