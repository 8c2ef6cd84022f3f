/** Runs an experiment under one policy in virtual time. */
import { SeededRandom } from '@trefoilshunt/core'
import { checkRun } from '../checkers/checkRun.js'
import { Fleet } from '../host/fleet.js'
import { applyFault, type FaultContext } from '../scenario/faults.js'
import { ProgramDriver } from '../workload/programDriver.js'
import { createPlan } from '../workload/programPlan.js'
import { RunRecord, type ProgramObservation } from '../workload/runRecord.js'
import type { Arrival } from './arrivals.js'
import type { ExperimentSpec, FirmSize, Policy } from './experiment.js'
import { type Measurement, readTimePoint, type TimePoint, toSample } from './measurement.js'

const WARM_UP_MS = 5_000
const APPLY_TIMEOUT_MS = 15_000
const SERIES_PERIOD_MS = 1_000
/** Maximum time for programs to finish after the last arrival. */
const COMPLETION_TIMEOUT_MS = 1_200_000
const STEP_TIMEOUT_MS = 600_000
const ENGINE_KV_TOKENS = 150_000
const CHUNK_TOKENS = 16

/** One run: an experiment, a policy, a seed and the arrivals. */
export interface RunOptions {
  spec: ExperimentSpec
  policy: Policy
  seed: number
  arrivals: Arrival[]
  /** Leaves out the faults of the experiment, for its quiet run. */
  withoutFaults?: boolean
}

/** Runs an experiment once in virtual time and returns its figures. Times in them count from the start of the arrivals. */
export async function runPolicy (options: RunOptions): Promise<Measurement> {
  const { spec, policy, seed, arrivals } = options
  const fleet = createFirmFleet(spec.firm, policy, seed)
  await applyFirmDocument(fleet, spec.firm)
  const startMs = fleet.events.nowMs()
  const record = new RunRecord()
  const driver = createDriver(fleet, spec, record)
  const series: TimePoint[] = []
  const observations = new Map<Arrival, ProgramObservation>()
  const state = { isOver: false }
  const pendingWork = [
    ...arrivals.map(async arrival => {
      await fleet.clientHost.sleep(arrival.atMs)
      observations.set(arrival, await driver.run(arrival.plan))
    }),
    ...(options.withoutFaults === true ? [] : startFaults(fleet, spec, driver, seed))
  ]
  sampleSeries(fleet, series, startMs, state)
  await fleet.runWhile(Promise.all(pendingWork), startMs + spec.durationMs + COMPLETION_TIMEOUT_MS)
  state.isOver = true
  return createMeasurement(options, fleet, record, observations, series, startMs)
}

/** A fleet of a firm's size with the settings of a policy. Its nodes are started, but have no configuration document yet. */
export function createFirmFleet (firm: FirmSize, policy: Policy, seed: number): Fleet {
  const zones = Object.keys(firm.zones)
  const fleet = new Fleet({ seed, zones, nodesPerZone: 0, zoneDelayMs: firm.zoneDelayMs, callerDelayMs: firm.callerDelayMs, settings: policy.settings })
  fleet.addEngines(firm.model, firm.engines, { chunkTokens: CHUNK_TOKENS, kvTokensCapacity: ENGINE_KV_TOKENS })
  const service = firm.document.backends.find(backend => backend.name === firm.service)
  fleet.addServices(firm.service, firm.services, { checksIdempotencyKeys: service?.checksIdempotencyKeys })
  for (const zone of zones) {
    for (let index = 1; index <= firm.zones[zone]; index++) fleet.startNode(`${zone}-${index}`, zone)
  }
  fleet.vmList.publishNow()
  return fleet
}

/** Applies the configuration document of a firm as an operator and waits 5 s of virtual time for all nodes to receive it. */
export async function applyFirmDocument (fleet: Fleet, firm: FirmSize): Promise<void> {
  await fleet.runUntil(WARM_UP_MS)
  const address = fleet.liveNodes()[0].identity.address
  const applied = fleet.send(address, { type: 'apply', environment: 'production', baseRevision: 0, document: firm.document, by: 'operator' }, { timeoutMs: APPLY_TIMEOUT_MS })
  await fleet.runWhile(applied, fleet.events.nowMs() + APPLY_TIMEOUT_MS)
  await fleet.runUntil(fleet.events.nowMs() + WARM_UP_MS)
}

function createDriver (fleet: Fleet, spec: ExperimentSpec, record: RunRecord): ProgramDriver {
  const targets = Object.fromEntries(spec.firm.document.workKinds.map(kind => [kind.name, { targetMs: kind.targetMs, rank: kind.rank }]))
  return new ProgramDriver({ access: fleet.callerAccess, record, targets, stepTimeoutMs: STEP_TIMEOUT_MS })
}

function startFaults (fleet: Fleet, spec: ExperimentSpec, driver: ProgramDriver, seed: number): Array<Promise<void>> {
  const random = new SeededRandom(seed + 99)
  const context: FaultContext = {
    fleet,
    evidence: { revisionActivations: [], accepted: [], leaving: [] },
    document: spec.firm.document,
    random,
    run: async plan => { await driver.run(plan) },
    createPlan: rank => createPlan(spec.streams.find(stream => rankOf(spec, stream.shape.kind) === rank)?.shape ?? spec.streams[0].shape, random)
  }
  return spec.faults.map(async fault => {
    await fleet.clientHost.sleep(fault.atMs)
    await applyFault(fault, context)
  })
}

function rankOf (spec: ExperimentSpec, kindName: string): string | undefined {
  return spec.firm.document.workKinds.find(kind => kind.name === kindName)?.rank
}

function sampleSeries (fleet: Fleet, series: TimePoint[], startMs: number, state: { isOver: boolean }): void {
  series.push(readTimePoint(fleet, fleet.events.nowMs() - startMs))
  fleet.events.after(SERIES_PERIOD_MS, () => {
    if (!state.isOver) sampleSeries(fleet, series, startMs, state)
  })
}

function createMeasurement ({ spec, policy, seed }: RunOptions, fleet: Fleet, record: RunRecord, observations: Map<Arrival, ProgramObservation>, series: TimePoint[], startMs: number): Measurement {
  const engines = [...fleet.engines.values()]
  const sum = (read: (engine: typeof engines[number]) => number) => engines.reduce((total, engine) => total + read(engine), 0)
  const usedTokensByRoot = tokensByRoot(record, engines)
  const samples = [...observations].map(([arrival, observation]) => {
    const observationInRunTime = { ...observation, arrivedAtMs: observation.arrivedAtMs - startMs, openedAtMs: toRunTime(observation.openedAtMs, startMs), endedAtMs: toRunTime(observation.endedAtMs, startMs) }
    return toSample(arrival, observationInRunTime, usedTokensByRoot.get(observation.root ?? '') ?? 0)
  })
  const nodeStatuses = [...fleet.nodes.values()].map(node => node.kernel.status())
  const budgets = new Map(spec.firm.document.workKinds.map(kind => [kind.name, kind.budget]))
  const gapsMs = engines.flatMap(engine => engine.counters.tokenGapsMs).sort((left, right) => left - right)
  return {
    policy: policy.name,
    seed,
    samples,
    series,
    recomputedTokens: sum(engine => engine.counters.recomputedTokens),
    prefillTokens: sum(engine => engine.counters.prefillTokens),
    generatedTokens: sum(engine => engine.counters.generatedTokens),
    firstAttempts: nodeStatuses.reduce((total, status) => total + status.firstAttempts, 0),
    retries: nodeStatuses.reduce((total, status) => total + status.retries, 0),
    workerCrashes: sum(engine => engine.counters.crashes),
    tokenGapP95Ms: gapsMs[Math.floor(gapsMs.length * 0.95)] ?? 0,
    violations: checkRun({ record, databases: [...fleet.databases.values()], engines, budgets }).length
  }
}

function toRunTime (atMs: number | undefined, startMs: number): number | undefined {
  return atMs === undefined ? undefined : atMs - startMs
}

function tokensByRoot (record: RunRecord, engines: Array<{ counters: { generatedBySession: Map<string, number> } }>): Map<string, number> {
  const tokenTotals = new Map<string, number>()
  for (const { root, programId } of record.programs) {
    if (root === undefined || programId === undefined) continue
    const tokens = engines.reduce((total, engine) => total + (engine.counters.generatedBySession.get(programId) ?? 0), 0)
    tokenTotals.set(root, (tokenTotals.get(root) ?? 0) + tokens)
  }
  return tokenTotals
}
