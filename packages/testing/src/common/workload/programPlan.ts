/** What one program of a workload will do; nothing of it is told to the fleet ahead of time. */
import type { IRandom } from '@trefoilshunt/core'

export type PlanStep =
  | { type: 'model', promptTokens: number, answerTokens: number }
  /** Time that the caller spends outside, such as a tool of its own or a person. */
  | { type: 'pause', durationMs: number }
  | { type: 'tool', isRepeatable: boolean }
  /** Sub-agents that run beside each other under the parent's budget. */
  | { type: 'children', plans: PlanStep[][] }

export interface ProgramPlan {
  kind: string
  customer: string
  service: string
  steps: PlanStep[]
  /** Text that makes engines crash, put into the given step. */
  poisonStep?: number
  /** Index of the step before which the caller vanishes without closing the program. */
  vanishesAtStep?: number
  /** The program is meant to fail. */
  isHopeless?: boolean
}

/** Shape of the programs of one kind. */
export interface PlanShape {
  kind: string
  customers: string[]
  service: string
  /** Median number of model turns; the tail is log-normal. */
  medianTurns: number
  /** Standard deviation of the logarithm of the number of turns. */
  turnSigma: number
  maxTurns: number
  firstPromptTokens: number
  promptTokens: number
  answerTokens: number
  meanPauseMs: number
  /** Chance that a turn is followed by a tool call, and that such a call is not repeatable. */
  toolShare: number
  nonRepeatableShare: number
  /** Chance that a program starts sub-agents once. */
  childShare: number
}

/** Draws one program. */
export function createPlan (shape: PlanShape, random: IRandom): ProgramPlan {
  const turns = Math.max(1, Math.min(shape.maxTurns, Math.round(shape.medianTurns * Math.exp(shape.turnSigma * normal(random)))))
  const steps: PlanStep[] = []
  const childTurn = random.next() < shape.childShare ? random.nextInt(turns) : -1
  for (let turn = 0; turn < turns; turn++) {
    const promptTokens = turn === 0 ? shape.firstPromptTokens : shape.promptTokens
    steps.push({ type: 'model', promptTokens: vary(promptTokens, random), answerTokens: vary(shape.answerTokens, random) })
    if (random.next() < shape.toolShare) steps.push({ type: 'tool', isRepeatable: random.next() >= shape.nonRepeatableShare })
    if (turn === childTurn) steps.push({ type: 'children', plans: [childPlan(shape, random), childPlan(shape, random)] })
    if (turn < turns - 1 && shape.meanPauseMs > 0) steps.push({ type: 'pause', durationMs: random.nextExponential(shape.meanPauseMs) })
  }
  return { kind: shape.kind, customer: shape.customers[random.nextInt(shape.customers.length)], service: shape.service, steps }
}

/** Tokens that all model turns of a plan generate. */
export function answerTokensOf (steps: PlanStep[]): number {
  return steps.reduce((sum, step) => {
    if (step.type === 'model') return sum + step.answerTokens
    if (step.type === 'children') return sum + step.plans.reduce((total, plan) => total + answerTokensOf(plan), 0)
    return sum
  }, 0)
}

function childPlan (shape: PlanShape, random: IRandom): PlanStep[] {
  return [
    { type: 'model', promptTokens: vary(shape.promptTokens, random), answerTokens: vary(shape.answerTokens, random) },
    { type: 'tool', isRepeatable: true },
    { type: 'model', promptTokens: vary(shape.promptTokens, random), answerTokens: vary(shape.answerTokens, random) }
  ]
}

function vary (mean: number, random: IRandom): number {
  return Math.max(1, Math.round(mean * (0.5 + random.next())))
}

/** A standard normal sample, by the Box-Muller transform. */
function normal (random: IRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}
