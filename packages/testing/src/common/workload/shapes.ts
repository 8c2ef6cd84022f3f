/** Program shapes of the work kinds of the two firms. */
import type { PlanShape } from './programPlan.js'

/** Urgent work of Harrow & Lisle. */
export const FITTING_SHAPE: PlanShape = {
  kind: 'fitting',
  customers: ['riders', 'dealers'],
  service: 'shop-ledger',
  medianTurns: 4,
  turnSigma: 0.6,
  maxTurns: 30,
  firstPromptTokens: 400,
  promptTokens: 60,
  answerTokens: 80,
  meanPauseMs: 1_500,
  toolShare: 0.4,
  nonRepeatableShare: 0.5,
  childShare: 0.1
}

/** Other work of Harrow & Lisle. */
export const FOLLOW_UP_SHAPE: PlanShape = { ...FITTING_SHAPE, kind: 'follow-up', medianTurns: 6, firstPromptTokens: 300, answerTokens: 100, meanPauseMs: 2_500 }

/** Urgent work of Plecionka. */
export const PATTERN_SHAPE: PlanShape = {
  kind: 'pattern',
  customers: ['milliners'],
  service: 'workshop-app',
  medianTurns: 3,
  turnSigma: 0.5,
  maxTurns: 20,
  firstPromptTokens: 500,
  promptTokens: 80,
  answerTokens: 120,
  meanPauseMs: 1_000,
  toolShare: 0.3,
  nonRepeatableShare: 0.5,
  childShare: 0.1
}

/** Other work of Plecionka: long sessions. */
export const COACHING_SHAPE: PlanShape = {
  kind: 'coaching',
  customers: ['apprentices'],
  service: 'workshop-app',
  medianTurns: 20,
  turnSigma: 0.7,
  maxTurns: 90,
  firstPromptTokens: 600,
  promptTokens: 50,
  answerTokens: 90,
  meanPauseMs: 4_000,
  toolShare: 0.2,
  nonRepeatableShare: 0.3,
  childShare: 0
}
