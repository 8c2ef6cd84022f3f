/** Plans of the programs of a workload. The fleet receives only the current step, never the plan. */
import type { IRandom } from '@trefoilshunt/core'

/** One action of a program. */
export type PlanStep =
  | { type: 'model', promptTokens: number, answerTokens: number }
  /** Time between steps without a call to the fleet, such as a tool of the caller or a person's thinking time. */
  | { type: 'pause', durationMs: number }
  | { type: 'tool', isRepeatable: boolean }
  /** Sub-agents that run in parallel under the parent's budget. */
  | { type: 'children', plans: PlanStep[][] }

/** All steps of one program. */
export interface ProgramPlan {
  kind: string
  customer: string
  /** Backend name of the service that tool steps call. */
  service: string
  steps: PlanStep[]
  /** Index, counting model steps only, of the step whose prompt makes stand-in engines crash; undefined for none. */
  poisonStep?: number
  /** Index in `steps` of the step before which the caller leaves without closing the program; undefined if it stays. */
  vanishesAtStep?: number
  /** The program is expected to fail, so checks of finished programs leave it out. */
  isExpectedToFail?: boolean
}

/** Parameters of the distribution that the programs of one work kind are drawn from. */
export interface PlanShape {
  kind: string
  /** Each program belongs to one of these, chosen uniformly. */
  customers: string[]
  service: string
  /** Median number of model turns; the number is log-normally distributed, at least 1 and at most `maxTurns`. */
  medianTurns: number
  /** Standard deviation of the logarithm of the number of turns. */
  turnSigma: number
  maxTurns: number
  /** Mean prompt tokens of the first turn. Token counts are drawn uniformly from half to one and a half times their mean. */
  firstPromptTokens: number
  /** Mean prompt tokens of each later turn. */
  promptTokens: number
  /** Mean answer tokens of each turn. */
  answerTokens: number
  /** Mean pause between turns, exponentially distributed; 0 for none. */
  meanPauseMs: number
  /** Probability that a turn is followed by a tool call. */
  toolShare: number
  /** Probability that a tool call is not repeatable. */
  nonRepeatableShare: number
  /** Probability that a program starts two sub-agents after one of its turns. */
  childShare: number
}

/** Draws one program; the same state of `random` gives the same program. */
export function createPlan (shape: PlanShape, random: IRandom): ProgramPlan {
  const turns = Math.max(1, Math.min(shape.maxTurns, Math.round(shape.medianTurns * Math.exp(shape.turnSigma * drawStandardNormal(random)))))
  const steps: PlanStep[] = []
  const childTurn = random.next() < shape.childShare ? random.nextInt(turns) : -1
  for (let turn = 0; turn < turns; turn++) {
    const promptTokens = turn === 0 ? shape.firstPromptTokens : shape.promptTokens
    steps.push({ type: 'model', promptTokens: drawAround(promptTokens, random), answerTokens: drawAround(shape.answerTokens, random) })
    if (random.next() < shape.toolShare) steps.push({ type: 'tool', isRepeatable: random.next() >= shape.nonRepeatableShare })
    if (turn === childTurn) steps.push({ type: 'children', plans: [createChildSteps(shape, random), createChildSteps(shape, random)] })
    if (turn < turns - 1 && shape.meanPauseMs > 0) steps.push({ type: 'pause', durationMs: random.nextExponential(shape.meanPauseMs) })
  }
  return { kind: shape.kind, customer: shape.customers[random.nextInt(shape.customers.length)], service: shape.service, steps }
}

/** Answer tokens of all model steps of a plan, including those of sub-agents. */
export function answerTokensOf (steps: PlanStep[]): number {
  return steps.reduce((sum, step) => {
    if (step.type === 'model') return sum + step.answerTokens
    if (step.type === 'children') return sum + step.plans.reduce((total, plan) => total + answerTokensOf(plan), 0)
    return sum
  }, 0)
}

function createChildSteps (shape: PlanShape, random: IRandom): PlanStep[] {
  return [
    { type: 'model', promptTokens: drawAround(shape.promptTokens, random), answerTokens: drawAround(shape.answerTokens, random) },
    { type: 'tool', isRepeatable: true },
    { type: 'model', promptTokens: drawAround(shape.promptTokens, random), answerTokens: drawAround(shape.answerTokens, random) }
  ]
}

function drawAround (mean: number, random: IRandom): number {
  return Math.max(1, Math.round(mean * (0.5 + random.next())))
}

/** A standard normal sample, by the Box-Muller transform. */
function drawStandardNormal (random: IRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}
