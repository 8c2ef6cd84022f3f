/** Measures the cost of the log service: step latency including intent records, and the availability of steps while the log is down. */
import { SeededRandom } from '@trefoilshunt/core'
import { ProgramDriver } from '../workload/programDriver.js'
import { createPlan } from '../workload/programPlan.js'
import { RunRecord, type StepObservation } from '../workload/runRecord.js'
import { FITTING_SHAPE } from '../workload/shapes.js'
import { createFirmFleet, applyFirmDocument } from './runPolicy.js'
import { HARROW } from './firms.js'
import type { Fleet } from '../host/fleet.js'

const RUN_MS = 120_000
const OUTAGE_FROM_MS = 30_000
const OUTAGE_MS = 60_000
const COMPLETION_TIMEOUT_MS = 600_000
const STEP_TIMEOUT_MS = 30_000
const TARGETS = { fitting: { targetMs: 60_000, rank: 'urgent' } }

/** Steps by what they need from the log: only non-repeatable service calls wait until their intent record is appended. */
export type StepClass = 'model' | 'repeatable service' | 'non-repeatable service'

/** Latency percentiles of one class of steps. */
export interface StepLatency {
  /** Load on the log during the run, as printed. */
  situation: string
  stepClass: StepClass
  steps: number
  p50Ms: number
  p95Ms: number
}

/** Outcomes of the steps that began while the log was down. */
export interface OutageAvailability {
  stepClass: StepClass
  steps: number
  /** Completed before the log was available again. */
  doneInOutage: number
  /** Completed after the log was available again. */
  doneLater: number
  /** Known not to have run. */
  notRun: number
  /** Unknown whether the call ran. */
  unknown: number
}

/** Step latency in virtual time, by class of step: with a nearly idle log and with appends at the rate limit of the nodes. */
export async function measureStepLatency (seed: number): Promise<StepLatency[]> {
  const idle = await runSteps(seed, 0.3, {})
  const atLimit = await runSteps(seed, 3, { logAppendBudgetPerSecond: 20 })
  return [...latenciesOf('log idle', idle), ...latenciesOf('appends at their limit (2.2/s a node)', atLimit)]
}

/** Outcomes, by class of step, of the steps that begin in a 60 s outage of the log. */
export async function measureOutage (seed: number): Promise<OutageAvailability[]> {
  const outage: { fromMs: number } = { fromMs: 0 }
  const steps = await runSteps(seed, 2, {}, fleet => {
    outage.fromMs = fleet.events.nowMs() + OUTAGE_FROM_MS
    fleet.events.after(OUTAGE_FROM_MS, () => fleet.log.setDown(true))
    fleet.events.after(OUTAGE_FROM_MS + OUTAGE_MS, () => fleet.log.setDown(false))
  })
  const untilMs = outage.fromMs + OUTAGE_MS
  const startedInOutage = steps.filter(step => step.startedAtMs >= outage.fromMs && step.startedAtMs < untilMs)
  return stepClasses().map(stepClass => {
    const stepsOfClass = startedInOutage.filter(step => stepClassOf(step) === stepClass)
    const completed = stepsOfClass.filter(step => step.result !== undefined && step.result.type !== 'unknown')
    return {
      stepClass,
      steps: stepsOfClass.length,
      doneInOutage: completed.filter(step => (step.endedAtMs ?? Infinity) < untilMs).length,
      doneLater: completed.filter(step => (step.endedAtMs ?? Infinity) >= untilMs).length,
      notRun: stepsOfClass.filter(step => step.error?.type === 'notRun').length,
      unknown: stepsOfClass.filter(step => step.result?.type === 'unknown' || step.error?.type === 'unknown').length
    }
  })
}

async function runSteps (seed: number, programsPerSecond: number, settings: { logAppendBudgetPerSecond?: number }, onStart: (fleet: Fleet) => void = () => {}): Promise<StepObservation[]> {
  const fleet = createFirmFleet(HARROW, { name: 'log cost', settings }, seed)
  await applyFirmDocument(fleet, HARROW)
  onStart(fleet)
  const record = new RunRecord()
  const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets: TARGETS, stepTimeoutMs: STEP_TIMEOUT_MS })
  const random = new SeededRandom(seed)
  const count = Math.round(programsPerSecond * RUN_MS / 1_000)
  const runs = Array.from({ length: count }, async (_, index) => {
    await fleet.clientHost.sleep(index * RUN_MS / count)
    return await driver.run(createPlan({ ...FITTING_SHAPE, toolShare: 1, nonRepeatableShare: 0.5, childShare: 0 }, random))
  })
  await fleet.runWhile(Promise.all(runs), RUN_MS + COMPLETION_TIMEOUT_MS)
  return record.steps
}

function latenciesOf (situation: string, steps: StepObservation[]): StepLatency[] {
  return stepClasses().map(stepClass => {
    const latencies = steps.filter(step => stepClassOf(step) === stepClass && step.endedAtMs !== undefined)
      .map(step => (step.endedAtMs as number) - step.startedAtMs)
      .sort((left, right) => left - right)
    const percentile = (share: number) => latencies[Math.min(latencies.length - 1, Math.floor(latencies.length * share))] ?? 0
    return { situation, stepClass, steps: latencies.length, p50Ms: percentile(0.5), p95Ms: percentile(0.95) }
  })
}

function stepClasses (): StepClass[] {
  return ['model', 'repeatable service', 'non-repeatable service']
}

function stepClassOf (step: StepObservation): StepClass {
  if (step.checkId === '') return 'model'
  return step.isRepeatable ? 'repeatable service' : 'non-repeatable service'
}
