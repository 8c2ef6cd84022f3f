/** The users' performance requirements as bounds on the figures of an experiment. */
import { atLeast, atMost, type BoundResult, type ExperimentFigures } from './experiment.js'
import { engineTokensPerSecond, rateWithin } from './oracle.js'
import { isWithinTarget, latencyPercentile, type Measurement, selectSamples, shareOf, tokenRate, wastedShare, type ProgramSample } from './measurement.js'

const LOSS_RECOVERY_MS = 5_000
const LOSS_WINDOW_MS = 30_000
const MAX_TOKEN_GAP_MS = 56
const MAX_REFUSAL_MS = 1_000

/** Bounds that apply to every experiment: no violations, the time between tokens, the retry budget. */
export function commonBounds ({ ours }: ExperimentFigures): BoundResult[] {
  return [
    atMost('promises broken', ours.violations, 0),
    atMost('time between tokens that 95 in 100 calls keep, ms', ours.tokenGapP95Ms, MAX_TOKEN_GAP_MS),
    atMost('retries as a share of first attempts', ours.retries / Math.max(1, ours.firstAttempts), 0.1)
  ]
}

/** Urgent programs that arrive in the window, compared with the same programs in the quiet run. */
export function urgentBounds ({ spec, ours, steady }: ExperimentFigures): BoundResult[] {
  const isUrgent = (sample: ProgramSample) => sample.rank === 'urgent'
  const flooded = selectSamples(ours, spec.window, isUrgent)
  const quiet = selectSamples(steady, spec.window, isUrgent)
  return [
    atLeast('urgent within target, relative to steady', shareOf(flooded, isWithinTarget) / shareOf(quiet, isWithinTarget), 0.99),
    atMost('urgent p95 latency, relative to steady', latencyPercentile(flooded, 95) / latencyPercentile(quiet, 95), 1.2)
  ]
}

/** Programs that arrived before the window and were admitted, compared with the same programs in the quiet run. */
export function startedBeforeBounds ({ spec, ours, steady }: ExperimentFigures): BoundResult[] {
  const steadyLatency = new Map(steady.samples.map(sample => [`${sample.stream}/${sample.index}`, sample.latencyMs]))
  const startedBefore = ours.samples.filter(sample => sample.arrivedAtMs < spec.window.fromMs && !sample.isRefused)
  const isInTime = (sample: ProgramSample) => sample.latencyMs <= 2 * (steadyLatency.get(`${sample.stream}/${sample.index}`) ?? Infinity)
  return [
    atLeast('programs started before that finish', shareOf(startedBefore, sample => sample.isFinished), 1),
    atLeast('programs started before within twice their steady latency', shareOf(startedBefore, isInTime), 0.95)
  ]
}

/** Token throughput of the other rank in the window: at least its floor share, or its rate in the quiet run if that is lower. */
export function floorBounds ({ spec, ours, steady }: ExperimentFigures): BoundResult[] {
  const { fromMs, untilMs } = spec.window
  const otherRate = (measurement: Measurement) => tokenRate(measurement.series, fromMs, untilMs, point => point.generatedTokens - point.urgentTokens)
  const floorRate = spec.firm.document.ranks.other.floorShare * tokenRate(ours.series, fromMs, untilMs)
  const requiredRate = Math.min(floorRate, otherRate(steady))
  return [atLeast('tokens of the other rank, relative to its floor or its quiet-time demand if that is less', otherRate(ours) / requiredRate, 1)]
}

/** Goodput under overload relative to the oracle, the time to a refusal, and tokens spent on programs that did not finish. */
export function goodputBounds ({ spec, ours, oracle }: ExperimentFigures): BoundResult[] {
  const inWindow = selectSamples(ours, spec.window)
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

/** Prompt tokens that engines computed again although an engine had held them before. */
export function cacheBounds ({ ours, baselines }: ExperimentFigures): BoundResult[] {
  const roundRobin = baselines.find(baseline => baseline.policy === 'round-robin')
  const firstTimeTokens = ours.prefillTokens - ours.recomputedTokens
  const bounds = [atMost('prompt tokens computed, relative to each once', ours.prefillTokens / Math.max(1, firstTimeTokens), 1.25)]
  if (roundRobin !== undefined) bounds.unshift(atMost('prompt tokens computed again, relative to round-robin', recomputedPerToken(ours) / Math.max(1e-9, recomputedPerToken(roundRobin)), 0.1))
  return bounds
}

/** Recomputed prompt tokens per generated token. Policies admit different numbers of programs, so totals are not comparable. */
function recomputedPerToken (measurement: Measurement): number {
  return measurement.recomputedTokens / Math.max(1, measurement.generatedTokens)
}

/**
 * Goodput after the loss of a worker, node or zone: programs within target among those that arrive in the 30 s that begin
 * 5 s after the loss. The reference is the same programs in the quiet run, reduced to the share of the work that the
 * surviving engines can do if they cannot do all of it.
 */
export function lossBounds (lossAtMs: number, survivingEngines: number): (figures: ExperimentFigures) => BoundResult[] {
  return ({ ours, steady }) => {
    const window = { fromMs: lossAtMs + LOSS_RECOVERY_MS, untilMs: lossAtMs + LOSS_RECOVERY_MS + LOSS_WINDOW_MS }
    const promptTokensPerToken = steady.prefillTokens / Math.max(1, steady.generatedTokens)
    const capacity = survivingEngines * engineTokensPerSecond(promptTokensPerToken)
    const achievableShare = Math.min(1, capacity / tokenRate(steady.series, window.fromMs, window.untilMs))
    const achievableGoodput = selectSamples(steady, window, isWithinTarget).length * achievableShare
    const goodput = selectSamples(ours, window, isWithinTarget).length
    return [atLeast(`goodput from 5 s after the loss at ${lossAtMs / 1_000} s, relative to what is possible`, goodput / achievableGoodput, 0.95)]
  }
}

/** Limits the workers that a poison request crashes, and requires every other admitted program to finish. */
export function poisonBounds ({ ours }: ExperimentFigures): BoundResult[] {
  return [
    atMost('workers that the poison request crashed', ours.workerCrashes, 2),
    atLeast('admitted programs of others that finish', shareOf(ours.samples.filter(sample => !sample.isRefused), sample => sample.isFinished), 1)
  ]
}

/** Every admitted program finishes. */
export function completionBounds ({ ours }: ExperimentFigures): BoundResult[] {
  return [atLeast('admitted programs that finish', shareOf(ours.samples.filter(sample => !sample.isRefused), sample => sample.isFinished), 1)]
}
