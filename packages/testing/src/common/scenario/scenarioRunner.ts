/** Runs a scenario in virtual time, then checks the invariants and the scenario's expectations. */
import { type ConfigurationDocument, SeededRandom, type CoreSettings } from '@trefoilshunt/core'
import { Fleet } from '../host/fleet.js'
import { checkRun } from '../checkers/checkRun.js'
import { checkFleet, type FleetEvidence } from '../checkers/checkFleet.js'
import type { Violation } from '../checkers/violation.js'
import { HARROW_DOCUMENT, PLECIONKA_DOCUMENT } from '../workload/documents.js'
import { ProgramDriver } from '../workload/programDriver.js'
import { createPlan, type ProgramPlan } from '../workload/programPlan.js'
import { RunRecord } from '../workload/runRecord.js'
import { COACHING_SHAPE, FITTING_SHAPE, FOLLOW_UP_SHAPE, PATTERN_SHAPE } from '../workload/shapes.js'
import { applyFault, type FaultContext } from './faults.js'
import type { Scenario } from './scenario.js'

const WARM_UP_MS = 5_000
const APPLY_TIMEOUT_MS = 15_000
/** Virtual time by which all programs and faults must have ended. */
const MAX_RUN_MS = 900_000
/** Virtual time between the end of the workload and the checks, in which background work must complete. */
const QUIET_MS = 120_000
const IDLE_TIMEOUT_MS = 60_000
const STEP_TIMEOUT_MS = 90_000

/** Counts that reports print; `unknownSteps` are non-repeatable, `workerCrashes` are of engines. */
export interface ScenarioCounts {
  programs: number
  finished: number
  refused: number
  steps: number
  nonRepeatableSteps: number
  unknownSteps: number
  faults: number
  workerCrashes: number
  virtualMs: number
}

/** What a run gave: an empty list of violations means that it passed. */
export interface ScenarioResult {
  scenario: Scenario
  counts: ScenarioCounts
  violations: Violation[]
  record: RunRecord
}

/** Overrides for tests, and callbacks. */
export interface ScenarioOptions {
  /** Overrides of the core's settings. */
  settings?: Partial<CoreSettings>
  /** Configuration document to use unchanged instead of the firm's; the scenario's `budget` does not apply to it. */
  document?: ConfigurationDocument
  /** Called with the fleet before it starts. */
  onWillStart?: (fleet: Fleet) => void
  /** Called with each log line of a node: virtual milliseconds, node, event and fields as JSON. */
  onLog?: (line: string) => void
}

/** Runs one scenario to its end. The same scenario and options always give the same result. */
export async function runScenario (scenario: Scenario, options: ScenarioOptions = {}): Promise<ScenarioResult> {
  const document = options.document ?? documentOf(scenario)
  const evidence: FleetEvidence = { revisionActivations: [], accepted: [], leaving: [] }
  const fleet = createFleet(scenario, document, evidence, options)
  options.onWillStart?.(fleet)
  fleet.startNodes()
  await fleet.runUntil(WARM_UP_MS)
  const accepted = await applyDocument(fleet, document)
  const record = new RunRecord()
  const violations: Violation[] = accepted ? [] : [{ rule: 'scenario', detail: 'the document was not accepted' }]
  const driver = createDriver(fleet, record, document)
  const work = runWorkload(scenario, fleet, driver, document, evidence)
  const isDone = await fleet.runWhile(work, MAX_RUN_MS)
  if (!isDone) violations.push({ rule: 'comes to an end', detail: 'callers still waited at the end of the run' })
  await fleet.runUntil(fleet.events.nowMs() + QUIET_MS)
  const budgets = new Map(document.workKinds.map(kind => [kind.name, kind.budget]))
  const engines = [...fleet.engines.values()]
  violations.push(...checkRun({ record, databases: [...fleet.databases.values()], engines, budgets }))
  violations.push(...checkFleet(fleet, evidence))
  const counts = countsOf(scenario, record, fleet)
  violations.push(...checkExpectations(scenario, counts, record))
  return { scenario, counts, violations, record }
}

function documentOf (scenario: Scenario): ConfigurationDocument {
  const base = scenario.firm === 'harrow' ? HARROW_DOCUMENT : PLECIONKA_DOCUMENT
  const workKinds = base.workKinds.map(kind => ({ ...kind, budget: { ...kind.budget, ...scenario.budget } }))
  return { ...base, workKinds, idleTimeoutMs: IDLE_TIMEOUT_MS }
}

function createFleet (scenario: Scenario, document: ConfigurationDocument, evidence: FleetEvidence, options: ScenarioOptions): Fleet {
  const fleet = new Fleet({
    seed: scenario.seed,
    zones: scenario.zones,
    nodesPerZone: scenario.nodesPerZone,
    log: scenario.log,
    settings: { logRetentionMs: scenario.log.retentionMs, ...options.settings },
    onLog: (node, event, fields, atMs) => {
      options.onLog?.(`${atMs.toFixed(0)} ${node} ${event} ${JSON.stringify(fields)}`)
      if (event === 'configurationInForce') evidence.revisionActivations.push({ node, incarnation: fleet.nodes.get(node)?.identity.incarnation ?? '', revision: Number(fields.revision), atMs })
    }
  })
  for (const backend of document.backends) {
    if (backend.type === 'modelEngine') fleet.addEngines(backend.name, scenario.engines, { chunkTokens: 16, checksFencing: backend.checksFencing })
    else fleet.addServices(backend.name, scenario.services, { checksIdempotencyKeys: backend.checksIdempotencyKeys, latencyMs: scenario.toolLatencyMs })
  }
  return fleet
}

async function applyDocument (fleet: Fleet, document: ConfigurationDocument): Promise<boolean> {
  const address = [...fleet.nodes.values()][0].identity.address
  const applied = fleet.send(address, { type: 'apply', environment: 'production', baseRevision: 0, document, by: 'operator' }, { timeoutMs: APPLY_TIMEOUT_MS })
  await fleet.runWhile(applied, fleet.events.nowMs() + APPLY_TIMEOUT_MS)
  const result = await applied
  await fleet.runUntil(fleet.events.nowMs() + WARM_UP_MS)
  return result.type === 'reply' && result.reply.type === 'accepted'
}

function createDriver (fleet: Fleet, record: RunRecord, document: ConfigurationDocument): ProgramDriver {
  const targets = Object.fromEntries(document.workKinds.map(kind => [kind.name, { targetMs: kind.targetMs, rank: kind.rank }]))
  return new ProgramDriver({ access: fleet.callerAccess, record, targets, streamEvery: 2, stepTimeoutMs: STEP_TIMEOUT_MS, retriesOverload: true, openTimeoutMs: STEP_TIMEOUT_MS })
}

/** Starts programs and faults at their times; resolves when all of them have ended. */
async function runWorkload (scenario: Scenario, fleet: Fleet, driver: ProgramDriver, document: ConfigurationDocument, evidence: FleetEvidence): Promise<void> {
  const random = new SeededRandom(scenario.seed + 17)
  const runs: Array<Promise<unknown>> = []
  const context: FaultContext = {
    fleet,
    evidence,
    document,
    random,
    run: async plan => { await driver.run(plan) },
    createPlan: rank => createPlanOf(scenario, random, rank)
  }
  for (const fault of scenario.faults) {
    runs.push(fleet.clientHost.sleep(fault.atMs).then(async () => await applyFault(fault, context)))
  }
  let arrivalMs = 0
  for (let index = 0; index < scenario.workload.programs; index++) {
    arrivalMs += random.nextExponential(scenario.workload.meanArrivalMs)
    const plan = createPlanOf(scenario, random, random.next() < scenario.workload.urgentShare ? 'urgent' : 'other')
    if (random.next() < scenario.workload.vanishingShare) plan.vanishesAtStep = random.nextInt(plan.steps.length)
    runs.push(fleet.clientHost.sleep(arrivalMs).then(async () => await driver.run(plan)))
  }
  await Promise.all(runs)
}

function createPlanOf (scenario: Scenario, random: SeededRandom, rank: 'urgent' | 'other'): ProgramPlan {
  const [urgent, other] = scenario.firm === 'harrow' ? [FITTING_SHAPE, FOLLOW_UP_SHAPE] : [PATTERN_SHAPE, COACHING_SHAPE]
  const shape = rank === 'urgent' ? urgent : other
  return createPlan({ ...shape, maxTurns: Math.min(shape.maxTurns, 25), toolShare: 0.8, nonRepeatableShare: 0.7 }, random)
}

function countsOf (scenario: Scenario, record: RunRecord, fleet: Fleet): ScenarioCounts {
  const nonRepeatable = record.steps.filter(step => !step.isRepeatable)
  return {
    programs: record.programs.length,
    finished: record.programs.filter(program => program.isFinished).length,
    refused: record.programs.filter(program => program.refusal !== undefined).length,
    steps: record.steps.length,
    nonRepeatableSteps: nonRepeatable.length,
    unknownSteps: nonRepeatable.filter(step => step.result?.type === 'unknown' || step.error?.type === 'unknown').length,
    faults: scenario.faults.length,
    workerCrashes: [...fleet.engines.values()].reduce((sum, engine) => sum + engine.counters.crashes, 0),
    virtualMs: fleet.events.nowMs()
  }
}

function checkExpectations (scenario: Scenario, counts: ScenarioCounts, record: RunRecord): Violation[] {
  const { minFinishedShare, maxUnknown, maxWorkerCrashes } = scenario.expect
  const expectedPrograms = record.programs.filter(program => !program.hasVanished && !program.isFailureExpected)
  const finished = expectedPrograms.filter(program => program.isFinished).length
  const violations: Violation[] = []
  if (finished < minFinishedShare * expectedPrograms.length) violations.push({ rule: 'expected share finishes', detail: `${finished} of ${expectedPrograms.length} programs finished` })
  if (maxUnknown !== undefined && counts.unknownSteps > maxUnknown) violations.push({ rule: 'expected unknown', detail: `${counts.unknownSteps} steps are unknown` })
  if (maxWorkerCrashes !== undefined && counts.workerCrashes > maxWorkerCrashes) violations.push({ rule: 'expected crashes', detail: `${counts.workerCrashes} crashes of workers` })
  return violations
}
