/** Measures how the costs of a node grow with nodes, workers, programs and steps. */
import { createJournalState, createControlState, foldControlRecord, foldJournalRecord, IMembership, ICoordinatorTable, type LogRecord, type ProgramState, SeededRandom, type StoredRecord, VmRole, VmState } from '@trefoilshunt/core'
import { Fleet } from '../host/fleet.js'
import { HARROW_DOCUMENT } from '../workload/documents.js'
import { ProgramDriver } from '../workload/programDriver.js'
import { createPlan } from '../workload/programPlan.js'
import { RunRecord } from '../workload/runRecord.js'
import { FITTING_SHAPE } from '../workload/shapes.js'
import { fitLine, type Line, type Point } from './fit.js'

const WARM_UP_MS = 10_000
const MEASURED_MS = 60_000
const MEASURED_SECONDS = MEASURED_MS / 1_000
const APPLY_TIMEOUT_MS = 10_000
const ZONES = ['a', 'b', 'c', 'd', 'e', 'f']
const TARGETS = { fitting: { targetMs: 60_000, rank: 'urgent' } }

/** Measurements of the real process, which only the host of the experiment can make. */
export interface IMeter {
  /** Real time in milliseconds. */
  nowMs (): number
  /** Bytes of live objects after a full garbage collection. */
  heapBytes (): number
}

/** A fitted cost line with its points. */
export interface Slope extends Line {
  name: string
  /** The quantity that is varied, the line's `x`. */
  per: string
  unit: string
  points: Point[]
}

/** A single measured cost without a fitted line. */
export interface Cost {
  name: string
  unit: string
  value: number
}

/** Results of all measurements. */
export interface SlopeReport {
  slopes: Slope[]
  costs: Cost[]
}

/** Runs every measurement. */
export async function measureSlopes (meter: IMeter, seed: number): Promise<SlopeReport> {
  const byNodes = await measureNodes(meter, seed)
  const byWorkers = await measureWorkers(meter, seed)
  const bySteps = await measureSteps(meter, seed)
  return {
    slopes: [...byNodes, ...byWorkers, ...bySteps.slopes, ...measurePrograms(meter)],
    costs: [...bySteps.costs, ...measureCoordinatorTable(meter, seed), ...measureFolds(meter)]
  }
}

function toSlope (name: string, per: string, unit: string, points: Point[]): Slope {
  return { name, per, unit, points, ...fitLine(points) }
}

/** Costs of one node without programs, per second; `cpuShare` is the share of one core. */
interface IdleNodeCost {
  messages: number
  bytes: number
  logReads: number
  backendCalls: number
  cpuShare: number
}

/** Runs a fleet without programs and averages its costs over the nodes. */
async function measureIdleNode (meter: IMeter, seed: number, nodes: number, workers: number): Promise<IdleNodeCost> {
  const fleet = new Fleet({ seed, zones: ZONES, nodesPerZone: 0, stopwatch: () => meter.nowMs(), countsBytes: true })
  fleet.addEngines('tailor-models', workers)
  fleet.addServices('shop-ledger', 2)
  for (let index = 0; index < nodes; index++) fleet.startNode(`${ZONES[index % ZONES.length]}-${index}`, ZONES[index % ZONES.length])
  fleet.vmList.publishNow()
  await applyDocument(fleet)
  await fleet.runUntil(WARM_UP_MS)
  const before = { ...fleet.counters }
  const cpuBefore = totalKernelMs(fleet)
  await fleet.runUntil(WARM_UP_MS + MEASURED_MS)
  const perNode = (value: number) => value / nodes / MEASURED_SECONDS
  return {
    messages: perNode(fleet.counters.peerMessages - before.peerMessages),
    bytes: perNode(fleet.counters.peerBytes - before.peerBytes),
    logReads: perNode(fleet.counters.logReads - before.logReads),
    backendCalls: perNode(fleet.counters.backendCalls - before.backendCalls),
    cpuShare: perNode(totalKernelMs(fleet) - cpuBefore) / 1_000
  }
}

async function applyDocument (fleet: Fleet): Promise<void> {
  await fleet.runUntil(WARM_UP_MS / 4)
  const address = fleet.liveNodes()[0].identity.address
  const applied = fleet.send(address, { type: 'apply', environment: 'production', baseRevision: 0, document: HARROW_DOCUMENT, by: 'operator' }, { timeoutMs: APPLY_TIMEOUT_MS })
  await fleet.runWhile(applied, APPLY_TIMEOUT_MS)
}

function totalKernelMs (fleet: Fleet): number {
  return fleet.liveNodes().reduce((sum, node) => sum + node.kernelMs, 0)
}

async function measureNodes (meter: IMeter, seed: number): Promise<Slope[]> {
  const messages: Point[] = []
  const bytes: Point[] = []
  const cpu: Point[] = []
  const reads: Point[] = []
  // The result is discarded: this run only warms up the JIT compiler.
  await measureIdleNode(meter, seed, 6, 6)
  for (const nodes of [12, 24, 48, 96]) {
    const idle = await measureIdleNode(meter, seed, nodes, nodes)
    messages.push({ x: nodes, y: idle.messages })
    bytes.push({ x: nodes, y: idle.bytes })
    cpu.push({ x: nodes, y: idle.cpuShare })
    reads.push({ x: nodes, y: idle.logReads })
  }
  return [
    toSlope('messages between nodes, a node and second', 'node', 'messages/s', messages),
    toSlope('bytes between nodes, sent by a node a second', 'node', 'bytes/s', bytes),
    toSlope('kernel time of an idle node', 'node', 'core share', cpu),
    toSlope('reads of the log, a node and second', 'node', 'reads/s', reads)
  ]
}

async function measureWorkers (meter: IMeter, seed: number): Promise<Slope[]> {
  const calls: Point[] = []
  const cpu: Point[] = []
  for (const workers of [12, 48, 96, 192]) {
    const idle = await measureIdleNode(meter, seed, 12, workers)
    calls.push({ x: workers / 12, y: idle.backendCalls })
    cpu.push({ x: workers / 12, y: idle.cpuShare })
  }
  return [
    toSlope('load reports read, a node and second', 'coordinated worker', 'calls/s', calls),
    toSlope('kernel time of an idle node', 'coordinated worker', 'core share', cpu)
  ]
}

/** Kernel time, log appends and log bytes of steps, at several rates of programs. */
async function measureSteps (meter: IMeter, seed: number): Promise<{ slopes: Slope[], costs: Cost[] }> {
  const cpu: Point[] = []
  const bytes: Point[] = []
  const appends: Point[] = []
  let tokensPerStep = 0
  for (const programs of [20, 60, 120, 240]) {
    const fleet = new Fleet({ seed, stopwatch: () => meter.nowMs() })
    fleet.addEngines('tailor-models', 8, { chunkTokens: 1 })
    fleet.addServices('shop-ledger', 4)
    fleet.startNodes()
    await applyDocument(fleet)
    await fleet.runUntil(WARM_UP_MS)
    const before = { appends: fleet.log.appendCount, bytes: fleet.log.appendedBytes, cpu: totalKernelMs(fleet) }
    const record = new RunRecord()
    const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets: TARGETS, streamEvery: 1 })
    const random = new SeededRandom(seed)
    const runs = Array.from({ length: programs }, async (_, index) => {
      await fleet.clientHost.sleep(index * MEASURED_MS / programs)
      return await driver.run(createPlan({ ...FITTING_SHAPE, childShare: 0 }, random))
    })
    await fleet.runWhile(Promise.all(runs), WARM_UP_MS + 10 * MEASURED_MS)
    const steps = record.steps.length
    const generated = [...fleet.engines.values()].reduce((sum, engine) => sum + engine.counters.generatedTokens, 0)
    tokensPerStep = generated / steps
    cpu.push({ x: steps, y: totalKernelMs(fleet) - before.cpu })
    bytes.push({ x: steps, y: fleet.log.appendedBytes - before.bytes })
    appends.push({ x: steps, y: fleet.log.appendCount - before.appends })
  }
  return {
    slopes: [
      toSlope('kernel time of steps, tokens streamed one by one', 'step', 'ms', cpu),
      toSlope('bytes in the log', 'step', 'bytes', bytes),
      toSlope('appends to the log, when it is idle', 'step', 'appends', appends)
    ],
    costs: [{ name: 'tokens generated in a step of this measurement', unit: 'tokens', value: tokensPerStep }]
  }
}

/** Memory of program states and of their histories. */
function measurePrograms (meter: IMeter): Slope[] {
  const byPrograms: Point[] = []
  const byTokens: Point[] = []
  for (const count of [1_000, 2_000, 4_000, 8_000]) byPrograms.push({ x: count, y: measureHeapBytes(meter, () => foldPrograms(count, 1, 10)) })
  for (const tokens of [100, 200, 400, 800]) byTokens.push({ x: 200 * 20 * tokens, y: measureHeapBytes(meter, () => foldPrograms(200, 20, tokens)) })
  return [
    toSlope('memory of a program with one short turn', 'program', 'bytes', byPrograms),
    toSlope('memory of histories', 'token', 'bytes', byTokens)
  ]
}

function measureHeapBytes (meter: IMeter, create: () => unknown): number {
  const before = meter.heapBytes()
  const created = create()
  const after = meter.heapBytes()
  return created === undefined ? 0 : after - before
}

/** Folds the journal of `count` programs, as a takeover does, and returns the state. */
function foldPrograms (count: number, turns: number, tokens: number): unknown {
  const state = createJournalState()
  let offset = 0
  for (let index = 0; index < count; index++) {
    for (const record of createProgramRecords(index, turns, tokens)) foldJournalRecord(state, { offset: offset++, record })
  }
  state.recordIds.clear()
  return state
}

function createProgramRecords (index: number, turns: number, tokens: number): LogRecord[] {
  const programId = `regina-1.a00001.${index}`
  const program: ProgramState = {
    programId,
    customer: 'riders',
    kind: 'fitting',
    rank: 'urgent',
    openKey: `key-${index}`,
    root: programId,
    depth: 0,
    budget: HARROW_DOCUMENT.workKinds[0].budget,
    openedAtMs: 0,
    dueAtMs: 60_000,
    turns: [],
    spent: { tokens: 0, steps: 0, toolCalls: 0 },
    reservedTokens: 0,
    workers: []
  }
  const records: LogRecord[] = [{ id: `o${index}`, type: 'programSnapshot', program } as LogRecord]
  for (let step = 1; step <= turns; step++) records.push(createTurnRecord(programId, index, step, tokens))
  // Records read from the log share no objects with each other, so the measured ones must not either.
  return JSON.parse(JSON.stringify(records)) as LogRecord[]
}

function createTurnRecord (programId: string, index: number, step: number, tokens: number): LogRecord {
  const text = `${index}/${step} `.padEnd(tokens * 2, 'abcd')
  return {
    id: `t${index}/${step}`,
    type: 'turnCompleted',
    programId,
    step,
    key: `k${index}/${step}`,
    call: { type: 'model', messages: [{ role: 'user', content: text }], maxTokens: tokens },
    callDigest: '0'.repeat(32),
    result: { type: 'model', text, promptTokens: tokens, completionTokens: tokens, cachedTokens: 0 },
    spentTokens: tokens,
    reservedTokens: 4_096
  } as LogRecord
}

/** Median time to apply a new VM list and recompute the coordinator table at the design size. */
function measureCoordinatorTable (meter: IMeter, seed: number): Cost[] {
  const fleet = new Fleet({ seed, zones: ZONES, nodesPerZone: 0 })
  const node = fleet.startNode('a-0', 'a')
  const entries = [
    ...Array.from({ length: 440 }, (_, index) => ({ name: `${ZONES[index % 6]}-${index}`, role: VmRole.Entry, zone: ZONES[index % 6], address: `n${index}`, state: VmState.Live })),
    ...Array.from({ length: 2_400 }, (_, index) => ({ name: `w-${index}`, role: VmRole.Engine, zone: ZONES[index % 6], address: `w${index}`, backend: 'm', state: VmState.Live }))
  ]
  const membership = node.kernel.resolve<IMembership>(IMembership)
  const coordinatorTable = node.kernel.resolve<ICoordinatorTable>(ICoordinatorTable)
  const durations: number[] = []
  for (let round = 0; round < 7; round++) {
    const startedMs = meter.nowMs()
    membership.setVmList(entries)
    coordinatorTable.coordinatedWorkers('m')
    durations.push(meter.nowMs() - startedMs)
  }
  durations.sort((left, right) => left - right)
  return [{ name: 'new VM list and coordinator table at 440 nodes and 2,400 workers', unit: 'ms', value: durations[3] }]
}

/** Time to fold a journal and the control stream. */
function measureFolds (meter: IMeter): Cost[] {
  const records = Array.from({ length: 500 }, (_, index) => createProgramRecords(index, 20, 100)).flat()
  const bytes = JSON.stringify(records).length
  const state = createJournalState()
  const startedMs = meter.nowMs()
  records.forEach((record, offset) => foldJournalRecord(state, { offset, record }))
  const journalMs = meter.nowMs() - startedMs
  const control = createControlState()
  const changes: Array<StoredRecord<never>> = Array.from({ length: 200 }, (_, index) => ({
    offset: index,
    record: { id: `c${index}`, type: 'configurationChanged', environment: 'production', baseRevision: index, document: HARROW_DOCUMENT, by: 'operator', atMs: 0 } as never
  }))
  const controlStartedMs = meter.nowMs()
  for (const stored of changes) foldControlRecord(control, stored)
  return [
    { name: 'folding a journal', unit: 'ms/MB', value: journalMs / (bytes / 1e6) },
    { name: 'folding a change of configuration', unit: 'ms', value: (meter.nowMs() - controlStartedMs) / changes.length },
    { name: 'a change of configuration in the log (Harrow & Lisle\'s document)', unit: 'bytes', value: JSON.stringify(changes[0].record).length }
  ]
}
