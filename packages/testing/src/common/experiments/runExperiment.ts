/** Runs an experiment with its quiet run, its baselines and its ceilings. */
import { createArrivals } from './arrivals.js'
import type { BoundResult, ExperimentFigures, ExperimentSpec, Policy } from './experiment.js'
import type { Measurement } from './measurement.js'
import { computeOracle } from './oracle.js'
import { BASELINES, OURS } from './policies.js'
import { runPolicy } from './runPolicy.js'

export interface RunExperimentOptions {
  spec: ExperimentSpec
  seed: number
  /** Baselines to run beside the project's own policy; none by default but what bounds need. */
  baselines?: readonly Policy[]
  /** The policy under test. */
  policy?: Policy
}

export interface ExperimentResult {
  figures: ExperimentFigures
  bounds: BoundResult[]
}

/** Quiet runs that several experiments share. */
const steadyRuns = new Map<string, Promise<Measurement>>()

/** Runs everything that the experiment's bounds look at. */
export async function runExperiment ({ spec, seed, baselines = BASELINES, policy = OURS }: RunExperimentOptions): Promise<ExperimentResult> {
  const arrivals = createArrivals(spec.streams, spec.durationMs, seed)
  const ours = await runPolicy({ spec, policy, seed, arrivals })
  const steady = await runSteady(spec, policy, seed)
  const measured: Measurement[] = []
  for (const baseline of baselines) measured.push(await runPolicy({ spec, policy: baseline, seed, arrivals }))
  const figures: ExperimentFigures = { spec, ours, steady, baselines: measured, oracle: computeOracle(spec, arrivals) }
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
