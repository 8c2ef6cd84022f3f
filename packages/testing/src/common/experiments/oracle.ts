/** Ceilings: what a scheduler could reach that knows every program's graph and lengths. */
import type { Arrival } from './arrivals.js'
import type { ExperimentSpec, OracleFigures } from './experiment.js'
import type { PlanStep } from '../workload/programPlan.js'

/** Engine figures of the stand-ins; see `ModelEngineOptions`. */
const STEP_BASE_MS = 16
const STEP_PER_SEQUENCE_MS = 1.5
const PREFILL_MS_PER_TOKEN = 0.25
const TOKEN_GAP_LIMIT_MS = 56

/** The largest batch whose step stays within the limit for the time between tokens. */
const BEST_BATCH = Math.floor((TOKEN_GAP_LIMIT_MS - STEP_BASE_MS) / STEP_PER_SEQUENCE_MS)
const BEST_MS_PER_TOKEN = (STEP_BASE_MS + STEP_PER_SEQUENCE_MS * BEST_BATCH) / BEST_BATCH

/** Engine time of a program at the best batch, when nothing cached is ever computed again. */
export function engineMsOf (steps: PlanStep[]): number {
  return steps.reduce((sum, step) => {
    if (step.type === 'model') return sum + step.promptTokens * PREFILL_MS_PER_TOKEN + step.answerTokens * BEST_MS_PER_TOKEN
    if (step.type === 'children') return sum + step.plans.reduce((total, plan) => total + engineMsOf(plan), 0)
    return sum
  }, 0)
}

/** Ceilings of one experiment. */
export function computeOracle (spec: ExperimentSpec, arrivals: Arrival[]): OracleFigures {
  const { fromMs, untilMs } = spec.window
  const inWindow = arrivals.filter(arrival => arrival.atMs >= fromMs && arrival.atMs < untilMs)
  return {
    goodputInOrder: countInOrder(spec, inWindow),
    goodputShortestFirst: countShortestFirst(spec, inWindow)
  }
}

/** Admits each arrival if the engine time left before its target covers its work beside what was admitted before. */
function countInOrder (spec: ExperimentSpec, arrivals: Arrival[]): number {
  let busyUntilMs = 0
  let count = 0
  for (const { atMs, plan } of arrivals) {
    const targetMs = targetOf(spec, plan.kind)
    const startMs = Math.max(atMs, busyUntilMs)
    const endMs = startMs + engineMsOf(plan.steps) / spec.firm.engines
    if (endMs > atMs + targetMs) continue
    busyUntilMs = endMs
    count++
  }
  return count
}

/** Takes the programs with the least work while the engine time up to the last target covers them. */
function countShortestFirst (spec: ExperimentSpec, arrivals: Arrival[]): number {
  const lastDueMs = Math.max(0, ...arrivals.map(arrival => arrival.atMs + targetOf(spec, arrival.plan.kind)))
  let leftMs = (lastDueMs - spec.window.fromMs) * spec.firm.engines
  let count = 0
  for (const workMs of arrivals.map(arrival => engineMsOf(arrival.plan.steps)).sort((left, right) => left - right)) {
    leftMs -= workMs
    if (leftMs < 0) return count
    count++
  }
  return count
}

function targetOf (spec: ExperimentSpec, kindName: string): number {
  return spec.firm.document.workKinds.find(kind => kind.name === kindName)?.targetMs ?? 0
}
