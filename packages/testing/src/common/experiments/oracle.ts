/** Ceilings: what a scheduler could reach that knows every program's graph and lengths. */
import type { Arrival } from './arrivals.js'
import { type ExperimentSpec, type OracleFigures, RATE_FROM_MS } from './experiment.js'
import type { PlanStep } from '../workload/programPlan.js'

/** Engine figures of the stand-ins; see `ModelEngineOptions`. */
const STEP_BASE_MS = 16
const STEP_PER_SEQUENCE_MS = 1.5
const PREFILL_MS_PER_TOKEN = 0.25
const TOKEN_GAP_LIMIT_MS = 56

/**
 * Least engine time of a program that must end within a target, when nothing cached is ever computed again.
 *
 * A step of b sequences, of which each brings r prompt tokens for every generated one, lasts
 * `base + b * (perSequence + r * prefill)`. Large batches are cheap but slow, so a program with many tokens needs small
 * ones: its tokens can cost no less than at the largest batch that is fast enough for it.
 */
export function engineMsOf (steps: PlanStep[], targetMs: number): number {
  const work = workOf(steps)
  const path = pathOf(steps)
  const fastEnoughMs = (targetMs - path.pauseMs) / Math.max(1, path.tokens)
  const gapMs = Math.min(TOKEN_GAP_LIMIT_MS, fastEnoughMs)
  const promptTokensPerToken = work.prefillTokens / Math.max(1, work.tokens)
  const batch = Math.max(1, (gapMs - STEP_BASE_MS) / (STEP_PER_SEQUENCE_MS + promptTokensPerToken * PREFILL_MS_PER_TOKEN))
  return work.tokens * gapMs / batch
}

/** Tokens per second of an engine at the largest batch that keeps the time between tokens. */
export function engineTokensPerSecond (promptTokensPerToken: number): number {
  const batch = (TOKEN_GAP_LIMIT_MS - STEP_BASE_MS) / (STEP_PER_SEQUENCE_MS + promptTokensPerToken * PREFILL_MS_PER_TOKEN)
  return batch / TOKEN_GAP_LIMIT_MS * 1_000
}

interface PathFigures {
  tokens: number
  prefillTokens: number
  pauseMs: number
}

/** Figures along the longest chain of calls. */
function pathOf (steps: PlanStep[]): PathFigures {
  const path: PathFigures = { tokens: 0, prefillTokens: 0, pauseMs: 0 }
  for (const step of steps) {
    if (step.type === 'model') {
      path.tokens += step.answerTokens
      path.prefillTokens += step.promptTokens
    } else if (step.type === 'pause') {
      path.pauseMs += step.durationMs
    } else if (step.type === 'children') {
      const longest = step.plans.map(pathOf).sort((left, right) => right.tokens - left.tokens)[0]
      path.tokens += longest.tokens
      path.prefillTokens += longest.prefillTokens
    }
  }
  return path
}

/** Figures over all calls, those of sub-agents included. */
function workOf (steps: PlanStep[]): PathFigures {
  return steps.reduce((sum, step) => {
    const parts = step.type === 'children' ? step.plans.map(workOf) : [pathOf([step])]
    for (const part of parts) {
      sum.tokens += part.tokens
      sum.prefillTokens += part.prefillTokens
    }
    return sum
  }, { tokens: 0, prefillTokens: 0, pauseMs: 0 })
}

/** Latency of a program that has an engine for itself. */
export function shortestMsOf (steps: PlanStep[]): number {
  return steps.reduce((sum, step) => {
    if (step.type === 'model') return sum + step.promptTokens * PREFILL_MS_PER_TOKEN + step.answerTokens * (STEP_BASE_MS + STEP_PER_SEQUENCE_MS)
    if (step.type === 'pause') return sum + step.durationMs
    if (step.type === 'children') return sum + Math.max(...step.plans.map(shortestMsOf))
    return sum
  }, 0)
}

/** Ceilings of one experiment. */
export function computeOracle (spec: ExperimentSpec, arrivals: Arrival[]): OracleFigures {
  const { fromMs, untilMs } = spec.window
  const inWindow = arrivals.filter(arrival => arrival.atMs >= fromMs && arrival.atMs < untilMs)
  return {
    goodputInOrder: admitInOrder(spec, inWindow).length,
    goodputPerSecond: rateWithin(spec, admitInOrder(spec, arrivals).map(program => program.endMs)),
    goodputShortestFirst: countShortestFirst(spec, inWindow)
  }
}

/** Events per second between the time when a flood has filled the queues and its end. */
export function rateWithin ({ window }: ExperimentSpec, timesMs: number[]): number {
  const fromMs = window.fromMs + RATE_FROM_MS
  return timesMs.filter(timeMs => timeMs >= fromMs && timeMs < window.untilMs).length / (window.untilMs - fromMs) * 1_000
}

/** Admits each arrival if the engine time left before its target covers its work beside what was admitted before. */
function admitInOrder (spec: ExperimentSpec, arrivals: Arrival[]): Array<{ endMs: number }> {
  let busyUntilMs = 0
  const admitted: Array<{ endMs: number }> = []
  for (const { atMs, plan } of arrivals) {
    const targetMs = targetOf(spec, plan.kind)
    if (shortestMsOf(plan.steps) > targetMs) continue
    const startMs = Math.max(atMs, busyUntilMs)
    const endMs = startMs + engineMsOf(plan.steps, targetMs) / spec.firm.engines
    if (endMs > atMs + targetMs) continue
    busyUntilMs = endMs
    admitted.push({ endMs })
  }
  return admitted
}

/** Takes the programs with the least work while the engine time up to the last target covers them. */
function countShortestFirst (spec: ExperimentSpec, arrivals: Arrival[]): number {
  const lastDueMs = Math.max(0, ...arrivals.map(arrival => arrival.atMs + targetOf(spec, arrival.plan.kind)))
  let leftMs = (lastDueMs - spec.window.fromMs) * spec.firm.engines
  let count = 0
  const possible = arrivals.filter(({ plan }) => shortestMsOf(plan.steps) <= targetOf(spec, plan.kind))
  for (const workMs of possible.map(arrival => engineMsOf(arrival.plan.steps, targetOf(spec, arrival.plan.kind))).sort((left, right) => left - right)) {
    leftMs -= workMs
    if (leftMs < 0) return count
    count++
  }
  return count
}

function targetOf (spec: ExperimentSpec, kindName: string): number {
  return spec.firm.document.workKinds.find(kind => kind.name === kindName)?.targetMs ?? 0
}
