/** A seeded random search for fault schedules that violate an invariant. */
import fc from 'fast-check'
import type { Violation } from '../checkers/violation.js'
import { runScenario, type ScenarioCounts, type ScenarioOptions, type ScenarioResult } from './scenarioRunner.js'
import { type Fault, type Scenario, scenarioSchema } from './scenario.js'

const ZONES = ['regina', 'saskatoon', 'brandon']
const NODES = ZONES.map(zone => `${zone}-1`)
const FAULT_WINDOW_MS = 40_000
const MAX_FAULTS = 6

/** Seed and number of runs of a search, and callbacks. */
export interface SearchOptions extends ScenarioOptions {
  runs: number
  seed: number
  /** Called before each run. */
  onScenario?: (scenario: Scenario) => void
  /** Called after each run. */
  onRun?: (result: ScenarioResult) => void
}

/** Result of a search. */
export interface SearchResult {
  /** Runs made, including those that shrink a counterexample. */
  runs: number
  seed: number
  /** Sums over all runs. */
  totals: ScenarioCounts
  /** The smallest schedule found that violates an invariant; undefined when none does. */
  counterexample?: { scenario: Scenario, violations: Violation[] }
}

/** Draws and runs schedules until one violates an invariant; that one is then shrunk to a smaller one. */
export async function searchSchedules (options: SearchOptions): Promise<SearchResult> {
  const totals: ScenarioCounts = { programs: 0, finished: 0, refused: 0, steps: 0, nonRepeatableSteps: 0, unknownSteps: 0, faults: 0, workerCrashes: 0, virtualMs: 0 }
  let runs = 0
  let lastFailure: ScenarioResult | undefined
  const property = fc.asyncProperty(scenarioArbitrary(), async scenario => {
    options.onScenario?.(scenario)
    const result = await runScenario(scenario, options)
    runs++
    addCounts(totals, result.counts)
    options.onRun?.(result)
    if (result.violations.length > 0) lastFailure = result
    return result.violations.length === 0
  })
  const outcome = await fc.check(property, { seed: options.seed, numRuns: options.runs, endOnFailure: false })
  const found = outcome.failed && lastFailure !== undefined ? { scenario: lastFailure.scenario, violations: lastFailure.violations } : undefined
  return { runs, seed: options.seed, totals, counterexample: found }
}

/** Draws scenarios with three nodes, eight programs and one to six faults. */
export function scenarioArbitrary (): fc.Arbitrary<Scenario> {
  return fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    firm: fc.constantFrom('harrow' as const, 'plecionka' as const),
    hidesOffsets: fc.boolean(),
    appendsPerSecond: fc.constantFrom(400, 40, 15),
    toolLatencyMs: fc.constantFrom(40, 400, 3_000),
    retentionMs: fc.constantFrom(86_400_000, 86_400_000, 200_000),
    vanishingShare: fc.constantFrom(0, 0.2),
    budget: fc.constantFrom(undefined, undefined, { tokens: 1_200, steps: 9, toolCalls: 4 }),
    faults: fc.array(faultArbitrary(), { minLength: 1, maxLength: MAX_FAULTS })
  }).map(({ seed, firm, hidesOffsets, appendsPerSecond, retentionMs, toolLatencyMs, vanishingShare, budget, faults }) => scenarioSchema.parse({
    name: 'search',
    seed,
    firm,
    toolLatencyMs,
    budget,
    log: { hidesOffsets, appendsPerSecond, retentionMs },
    workload: { programs: 8, meanArrivalMs: 2_000, vanishingShare },
    faults: faults.map(fault => resolveWorkerNames(fault, firm))
  }))
}

function faultArbitrary (): fc.Arbitrary<Fault> {
  const atMs = fc.integer({ min: 0, max: FAULT_WINDOW_MS })
  const node = fc.constantFrom(...NODES)
  const forMs = fc.integer({ min: 200, max: 20_000 })
  const restartAfterMs = fc.integer({ min: 500, max: 10_000 })
  const engine = fc.constantFrom('engine-1', 'engine-2', 'engine-3')
  const tool = fc.constantFrom('tool-1', 'tool-2')
  const count = fc.integer({ min: 1, max: 4 })
  const between = fc.oneof(
    fc.tuple(node, fc.constant('log')),
    fc.tuple(fc.constantFrom(...ZONES), fc.constantFrom(...ZONES)).filter(([left, right]) => left !== right)
  )
  return fc.oneof(
    fc.record({ type: fc.constant('killNode' as const), atMs, node, restartAfterMs }),
    fc.record({ type: fc.constant('stopNode' as const), atMs, node, restartAfterMs }),
    fc.record({ type: fc.constant('pauseNode' as const), atMs, node, forMs }),
    fc.record({ type: fc.constant('dropConnections' as const), atMs, node }),
    fc.record({ type: fc.constant('cut' as const), atMs, between, forMs }),
    fc.record({ type: fc.constant('loseZone' as const), atMs, zone: fc.constantFrom(...ZONES), forMs }),
    fc.record({ type: fc.constant('logDown' as const), atMs, forMs }),
    fc.record({ type: fc.constant('logSlow' as const), atMs, forMs, delayMs: fc.integer({ min: 50, max: 2_000 }) }),
    fc.record({ type: fc.constant('appendFault' as const), atMs, fault: fc.constantFrom('loseAnswer' as const, 'loseRequest' as const, 'landLate' as const), count }),
    fc.record({ type: fc.constant('crashWorker' as const), atMs, worker: fc.oneof(engine, tool), restartAfterMs }),
    fc.record({ type: fc.constant('hangTool' as const), atMs, worker: tool, count }),
    fc.record({ type: fc.constant('loseToolAnswers' as const), atMs, worker: tool, count }),
    fc.record({ type: fc.constant('raceOperators' as const), atMs, operators: fc.integer({ min: 2, max: 3 }) }),
    fc.record({ type: fc.constant('leaveWorker' as const), atMs, worker: fc.constant('engine-3') }),
    fc.record({ type: fc.constant('poison' as const), atMs, resends: fc.integer({ min: 1, max: 2 }) }),
    fc.record({ type: fc.constant('endlessProgram' as const), atMs })
  )
}

/** Replaces `engine-N` and `tool-N` with the names of the firm's workers. */
function resolveWorkerNames (fault: Fault, firm: Scenario['firm']): Fault {
  if (!('worker' in fault)) return fault
  const [engine, tool] = firm === 'harrow' ? ['tailor-models', 'shop-ledger'] : ['braid-models', 'workshop-app']
  return { ...fault, worker: fault.worker.replace(/^engine/, engine).replace(/^tool/, tool) }
}

function addCounts (totals: ScenarioCounts, counts: ScenarioCounts): void {
  for (const name of Object.keys(totals) as Array<keyof ScenarioCounts>) totals[name] += counts[name]
}
