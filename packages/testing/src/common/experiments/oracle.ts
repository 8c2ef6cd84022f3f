/** Oracle: upper bounds on the goodput of a scheduler that knows the steps and lengths of every program in advance. */
import type { Arrival } from './arrivals.js'
import { type ExperimentSpec, type OracleFigures, RATE_FROM_MS } from './experiment.js'
import type { PlanStep } from '../workload/programPlan.js'

/** Timing of the stand-in engines; must equal the defaults of `ModelEngineOptions`. */
const STEP_BASE_MS = 16
const STEP_PER_SEQUENCE_MS = 1.5
const PREFILL_MS_PER_TOKEN = 0.25
/** Upper limit on the mean time between tokens; equals `MAX_TOKEN_GAP_MS` of the bounds. */
const TOKEN_GAP_LIMIT_MS = 56

/**
 * Minimum engine time of a program that must end within its target, assuming that no cached token is computed again.
 *
 * A decoding step of b sequences, each with r prompt tokens per generated token, takes
 * `base + b * (perSequence + r * prefill)`. A larger batch costs less engine time per token but takes longer per step.
 * The minimum is therefore the cost at the largest batch whose steps are still short enough for the target.
 */
export function minEngineMsOf (steps: PlanStep[], targetMs: number): number {
  const work = totalWorkOf(steps)
  const path = longestPathOf(steps)
  const maxTokenGapMs = (targetMs - path.pauseMs) / Math.max(1, path.tokens)
  const tokenGapMs = Math.min(TOKEN_GAP_LIMIT_MS, maxTokenGapMs)
  const promptTokensPerToken = work.prefillTokens / Math.max(1, work.tokens)
  const batchSize = Math.max(1, (tokenGapMs - STEP_BASE_MS) / (STEP_PER_SEQUENCE_MS + promptTokensPerToken * PREFILL_MS_PER_TOKEN))
  return work.tokens * tokenGapMs / batchSize
}

/** Tokens per second of one engine at the largest batch that respects the limit on the time between tokens. */
export function engineTokensPerSecond (promptTokensPerToken: number): number {
  const batchSize = (TOKEN_GAP_LIMIT_MS - STEP_BASE_MS) / (STEP_PER_SEQUENCE_MS + promptTokensPerToken * PREFILL_MS_PER_TOKEN)
  return batchSize / TOKEN_GAP_LIMIT_MS * 1_000
}

/** Generated tokens, prompt tokens and pauses of a sequence of steps. */
interface WorkFigures {
  tokens: number
  prefillTokens: number
  pauseMs: number
}

/** Figures along the longest chain of calls: of sub-agents that run in parallel, only the one with the most tokens counts. */
function longestPathOf (steps: PlanStep[]): WorkFigures {
  const path: WorkFigures = { tokens: 0, prefillTokens: 0, pauseMs: 0 }
  for (const step of steps) {
    if (step.type === 'model') {
      path.tokens += step.answerTokens
      path.prefillTokens += step.promptTokens
    } else if (step.type === 'pause') {
      path.pauseMs += step.durationMs
    } else if (step.type === 'children') {
      const longest = step.plans.map(longestPathOf).sort((left, right) => right.tokens - left.tokens)[0]
      path.tokens += longest.tokens
      path.prefillTokens += longest.prefillTokens
    }
  }
  return path
}

/** Figures over all calls, including those of sub-agents. Pauses are not counted. */
function totalWorkOf (steps: PlanStep[]): WorkFigures {
  return steps.reduce((sum, step) => {
    const parts = step.type === 'children' ? step.plans.map(totalWorkOf) : [longestPathOf([step])]
    for (const part of parts) {
      sum.tokens += part.tokens
      sum.prefillTokens += part.prefillTokens
    }
    return sum
  }, { tokens: 0, prefillTokens: 0, pauseMs: 0 })
}

/** Latency of a program whose model calls each have an engine to themselves; tool calls count as instantaneous. */
export function minLatencyMsOf (steps: PlanStep[]): number {
  return steps.reduce((sum, step) => {
    if (step.type === 'model') return sum + step.promptTokens * PREFILL_MS_PER_TOKEN + step.answerTokens * (STEP_BASE_MS + STEP_PER_SEQUENCE_MS)
    if (step.type === 'pause') return sum + step.durationMs
    if (step.type === 'children') return sum + Math.max(...step.plans.map(minLatencyMsOf))
    return sum
  }, 0)
}

/** The upper bounds for one experiment. */
export function computeOracle (spec: ExperimentSpec, arrivals: Arrival[]): OracleFigures {
  const { fromMs, untilMs } = spec.window
  const inWindow = arrivals.filter(arrival => arrival.atMs >= fromMs && arrival.atMs < untilMs)
  return {
    goodputInOrder: admitInOrder(spec, inWindow).length,
    goodputPerSecond: rateWithin(spec, admitInOrder(spec, arrivals).map(program => program.endMs)),
    goodputShortestFirst: countShortestFirst(spec, inWindow)
  }
}

/** Events per second between `RATE_FROM_MS` after the beginning of the experiment's window and its end. */
export function rateWithin ({ window }: ExperimentSpec, timesMs: number[]): number {
  const fromMs = window.fromMs + RATE_FROM_MS
  return timesMs.filter(timeMs => timeMs >= fromMs && timeMs < window.untilMs).length / (window.untilMs - fromMs) * 1_000
}

/** Admits, in order of arrival, each program whose work the engines can complete before its deadline after all work admitted before it. */
function admitInOrder (spec: ExperimentSpec, arrivals: Arrival[]): Array<{ endMs: number }> {
  let busyUntilMs = 0
  const admitted: Array<{ endMs: number }> = []
  for (const { atMs, plan } of arrivals) {
    const targetMs = targetOf(spec, plan.kind)
    if (minLatencyMsOf(plan.steps) > targetMs) continue
    const startMs = Math.max(atMs, busyUntilMs)
    const endMs = startMs + minEngineMsOf(plan.steps, targetMs) / spec.firm.engines
    if (endMs > atMs + targetMs) continue
    busyUntilMs = endMs
    admitted.push({ endMs })
  }
  return admitted
}

/** Number of programs, from the least work to the most, that fit into the engine time between the beginning of the window and the last deadline. */
function countShortestFirst (spec: ExperimentSpec, arrivals: Arrival[]): number {
  const lastDeadlineMs = Math.max(0, ...arrivals.map(arrival => arrival.atMs + targetOf(spec, arrival.plan.kind)))
  let remainingEngineMs = (lastDeadlineMs - spec.window.fromMs) * spec.firm.engines
  let count = 0
  const feasible = arrivals.filter(({ plan }) => minLatencyMsOf(plan.steps) <= targetOf(spec, plan.kind))
  for (const workMs of feasible.map(arrival => minEngineMsOf(arrival.plan.steps, targetOf(spec, arrival.plan.kind))).sort((left, right) => left - right)) {
    remainingEngineMs -= workMs
    if (remainingEngineMs < 0) return count
    count++
  }
  return count
}

function targetOf (spec: ExperimentSpec, kindName: string): number {
  return spec.firm.document.workKinds.find(kind => kind.name === kindName)?.targetMs ?? 0
}
