/** The users' measures as bounds on the figures of an experiment. */
import { atLeast, atMost, type BoundResult, type ExperimentFigures } from './experiment.js'
import { engineTokensPerSecond, rateWithin } from './oracle.js'
import { isWithinTarget, latencyPercentile, type Measurement, select, shareOf, tokenRate, wastedShare, type ProgramSample } from './measurement.js'

const LOSS_RECOVERY_MS = 5_000
const LOSS_LOOK_MS = 30_000
const MAX_TOKEN_GAP_MS = 56
const MAX_REFUSAL_MS = 1_000

/** Holds in every experiment. */
export function commonBounds ({ ours }: ExperimentFigures): BoundResult[] {
  return [
    atMost('promises broken', ours.violations, 0),
    atMost('time between tokens that 95 in 100 calls keep, ms', ours.tokenGapP95Ms, MAX_TOKEN_GAP_MS),
    atMost('retries as a share of first attempts', ours.retries / Math.max(1, ours.firstAttempts), 0.1)
  ]
}

/** Urgent work during a flood of other work, against the same programs in the quiet run. */
export function urgentBounds ({ spec, ours, steady }: ExperimentFigures): BoundResult[] {
  const isUrgent = (sample: ProgramSample) => sample.rank === 'urgent'
  const flooded = select(ours, spec.window, isUrgent)
  const quiet = select(steady, spec.window, isUrgent)
  return [
    atLeast('urgent within target, relative to steady', shareOf(flooded, isWithinTarget) / shareOf(quiet, isWithinTarget), 0.99),
    atMost('urgent p95 latency, relative to steady', latencyPercentile(flooded, 95) / latencyPercentile(quiet, 95), 1.2)
  ]
}

/** Programs that had started before the flood, against themselves in the quiet run. */
export function startedBounds ({ spec, ours, steady }: ExperimentFigures): BoundResult[] {
  const steadyLatency = new Map(steady.samples.map(sample => [`${sample.stream}/${sample.index}`, sample.latencyMs]))
  const started = ours.samples.filter(sample => sample.arrivedAtMs < spec.window.fromMs && !sample.isRefused)
  const isInTime = (sample: ProgramSample) => sample.latencyMs <= 2 * (steadyLatency.get(`${sample.stream}/${sample.index}`) ?? Infinity)
  return [
    atLeast('programs started before that finish', shareOf(started, sample => sample.isFinished), 1),
    atLeast('programs started before within twice their steady latency', shareOf(started, isInTime), 0.95)
  ]
}

/** What the other rank keeps of the capacity while urgent work floods in. */
export function floorBounds ({ spec, ours, steady }: ExperimentFigures): BoundResult[] {
  const { fromMs, untilMs } = spec.window
  const otherRate = (measurement: Measurement) => tokenRate(measurement.series, fromMs, untilMs, point => point.generatedTokens - point.urgentTokens)
  const floor = spec.firm.document.ranks.other.floorShare * tokenRate(ours.series, fromMs, untilMs)
  const due = Math.min(floor, otherRate(steady))
  return [atLeast('tokens of the other rank, relative to its floor or its quiet-time demand if that is less', otherRate(ours) / due, 1)]
}

/** Useful work under overload. */
export function goodputBounds ({ spec, ours, oracle }: ExperimentFigures): BoundResult[] {
  const inWindow = select(ours, spec.window)
  const goodput = inWindow.filter(isWithinTarget).length
  const endTimes = ours.samples.filter(isWithinTarget).flatMap(sample => sample.endedAtMs ?? [])
  return [
    atLeast('programs of the window within target, relative to the oracle in order of arrival', goodput / Math.max(1, oracle.goodputInOrder), 0.85),
    atLeast('programs within target per second while the flood lasts, relative to the oracle', rateWithin(spec, endTimes) / oracle.goodputPerSecond, 0.85),
    atMost('longest time to a refusal, ms', slowestRefusalMs(inWindow), MAX_REFUSAL_MS),
    atMost('tokens of programs that did not finish, as a share', wastedShare(ours), 0.03)
  ]
}

function slowestRefusalMs (samples: ProgramSample[]): number {
  return samples.reduce((slowest, sample) => sample.isRefused && sample.endedAtMs !== undefined ? Math.max(slowest, sample.endedAtMs - sample.arrivedAtMs) : slowest, 0)
}

/** Prefill that was computed before. */
export function cacheBounds ({ ours, baselines }: ExperimentFigures): BoundResult[] {
  const roundRobin = baselines.find(baseline => baseline.policy === 'round-robin')
  const firstTime = ours.prefillTokens - ours.recomputedTokens
  const bounds = [atMost('prompt tokens computed, relative to each once', ours.prefillTokens / Math.max(1, firstTime), 1.25)]
  if (roundRobin !== undefined) bounds.unshift(atMost('prompt tokens computed again, relative to round-robin', recomputedPerToken(ours) / Math.max(1e-9, recomputedPerToken(roundRobin)), 0.1))
  return bounds
}

/** Policies admit different numbers of programs, so the waste is counted per generated token. */
function recomputedPerToken (measurement: Measurement): number {
  return measurement.recomputedTokens / Math.max(1, measurement.generatedTokens)
}

/**
 * Goodput soon after a loss: programs within target among those that arrive from 5 s after it on, relative to the same
 * programs in the quiet run, or to the share of the work that the surviving engines can do if that is less.
 */
export function lossBounds (lossAtMs: number, survivingEngines: number): (figures: ExperimentFigures) => BoundResult[] {
  return ({ ours, steady }) => {
    const window = { fromMs: lossAtMs + LOSS_RECOVERY_MS, untilMs: lossAtMs + LOSS_RECOVERY_MS + LOSS_LOOK_MS }
    const promptTokensPerToken = steady.prefillTokens / Math.max(1, steady.generatedTokens)
    const capacity = survivingEngines * engineTokensPerSecond(promptTokensPerToken)
    const possibleShare = Math.min(1, capacity / tokenRate(steady.series, window.fromMs, window.untilMs))
    const possible = select(steady, window, isWithinTarget).length * possibleShare
    const goodput = select(ours, window, isWithinTarget).length
    return [atLeast(`goodput from 5 s after the loss at ${lossAtMs / 1_000} s, relative to what is possible`, goodput / possible, 0.95)]
  }
}

/** A request that crashes workers, and everybody else's work. */
export function poisonBounds ({ ours }: ExperimentFigures): BoundResult[] {
  return [
    atMost('workers that the poison request crashed', ours.workerCrashes, 2),
    atLeast('admitted programs of others that finish', shareOf(ours.samples.filter(sample => !sample.isRefused), sample => sample.isFinished), 1)
  ]
}

/** Admitted programs reach their end. */
export function carriedBounds ({ ours }: ExperimentFigures): BoundResult[] {
  return [atLeast('admitted programs that finish', shareOf(ours.samples.filter(sample => !sample.isRefused), sample => sample.isFinished), 1)]
}
