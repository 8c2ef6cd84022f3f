/** Runs an experiment with its quiet run, its baselines and its oracle. */
import { createArrivals } from './arrivals.js'
import type { BoundResult, ExperimentFigures, ExperimentSpec, Policy } from './experiment.js'
import type { Measurement } from './measurement.js'
import { computeOracle } from './oracle.js'
import { BASELINES, DEFAULT_POLICY } from './policies.js'
import { runPolicy } from './runPolicy.js'

/** What to run, and with which policies. */
export interface RunExperimentOptions {
  spec: ExperimentSpec
  seed: number
  /** Policies to run for comparison; all of `BASELINES` by default. Without round-robin, `cacheBounds` omits the bound relative to it. */
  baselines?: readonly Policy[]
  /** The policy under test; the project's default settings when undefined. */
  policy?: Policy
}

/** Measured figures and the bounds evaluated from them. */
export interface ExperimentResult {
  figures: ExperimentFigures
  bounds: BoundResult[]
}

/** Quiet runs, shared by experiments of the same firm, duration, policy and seed. */
const steadyRuns = new Map<string, Promise<Measurement>>()

/** Runs the policy under test, the quiet run and the baselines one after another in virtual time, and evaluates the bounds. */
export async function runExperiment ({ spec, seed, baselines = BASELINES, policy = DEFAULT_POLICY }: RunExperimentOptions): Promise<ExperimentResult> {
  const arrivals = createArrivals(spec.streams, spec.durationMs, seed)
  const ours = await runPolicy({ spec, policy, seed, arrivals })
  const steady = await runSteady(spec, policy, seed)
  const baselineMeasurements: Measurement[] = []
  for (const baseline of baselines) baselineMeasurements.push(await runPolicy({ spec, policy: baseline, seed, arrivals }))
  const figures: ExperimentFigures = { spec, ours, steady, baselines: baselineMeasurements, oracle: computeOracle(spec, arrivals) }
  return { figures, bounds: spec.bounds(figures) }
}

async function runSteady (spec: ExperimentSpec, policy: Policy, seed: number): Promise<Measurement> {
  const key = `${spec.firm.name}/${spec.durationMs}/${policy.name}/${JSON.stringify(policy.settings)}/${seed}`
  const streams = spec.steadyStreams ?? spec.streams
  let run = steadyRuns.get(key)
  if (run === undefined) {
    run = runPolicy({ spec: { ...spec, streams }, policy, seed, arrivals: createArrivals(streams, spec.durationMs, seed), withoutFaults: true })
    steadyRuns.set(key, run)
  }
  return await run
}
