/** Reserves and settles what a tree of programs may use. */
import { type Either, Left, Right } from 'purify-ts'
import type { StepCall } from '../kernel/callerMessages.js'
import type { LiveProgram } from './liveProgram.js'

/** Characters that count as one token when only text is known. */
const CHARACTERS_PER_TOKEN = 4

/** What a step may use; `maxTokens` is the most that an engine may generate. */
export interface Reservation {
  promptTokens: number
  maxTokens: number
  toolCalls: number
}

/** Why a step does not fit. */
export interface BudgetProblem {
  field: 'tokens' | 'steps' | 'toolCalls' | 'wallTimeMs'
  limit: number
}

/** Tokens of a text, estimated from its length. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

/** Tokens that the caller adds to the history with a call. */
export function promptTokensOf (call: StepCall): number {
  if (call.type !== 'model') return 0
  return call.messages.reduce((sum, message) => sum + estimateTokens(message.content), 0)
}

/** Tokens of the tree's budget that are neither used nor set aside by running steps. */
export function tokensLeft (root: LiveProgram): number {
  return root.state.budget.tokens - root.state.spent.tokens - root.outstanding.tokens
}

/**
 * Checks a step against the budget of its tree and sets aside what it may use.
 *
 * @param openClaims steps of the tree that were sent and whose fate is not known; each will count as a step and a call.
 * @returns the reservation with `maxTokens` lowered to what is left, or the limit that the step would break.
 */
export function reserveBudget (root: LiveProgram, call: StepCall, nowMs: number, openClaims = 0): Either<BudgetProblem, Reservation> {
  const { budget, spent, openedAtMs } = root.state
  const { outstanding } = root
  if (nowMs - openedAtMs >= budget.wallTimeMs) return Left({ field: 'wallTimeMs', limit: budget.wallTimeMs })
  if (spent.steps + outstanding.steps + openClaims >= budget.steps) return Left({ field: 'steps', limit: budget.steps })
  if (call.type === 'service') {
    if (spent.toolCalls + outstanding.toolCalls + openClaims >= budget.toolCalls) return Left({ field: 'toolCalls', limit: budget.toolCalls })
    return Right(addReservation(root, { promptTokens: 0, maxTokens: 0, toolCalls: 1 }))
  }
  const promptTokens = promptTokensOf(call)
  const maxTokens = Math.min(call.maxTokens, tokensLeft(root) - promptTokens)
  if (maxTokens < 1) return Left({ field: 'tokens', limit: budget.tokens })
  return Right(addReservation(root, { promptTokens, maxTokens, toolCalls: 0 }))
}

function addReservation (root: LiveProgram, reservation: Reservation): Reservation {
  root.outstanding.tokens += reservation.promptTokens + reservation.maxTokens
  root.outstanding.steps++
  root.outstanding.toolCalls += reservation.toolCalls
  return reservation
}

/** Gives back what a step had set aside. */
export function releaseReservation (root: LiveProgram, reservation: Reservation): void {
  root.outstanding.tokens -= reservation.promptTokens + reservation.maxTokens
  root.outstanding.steps--
  root.outstanding.toolCalls -= reservation.toolCalls
}

/** Counts a finished step. */
export function recordSpending (root: LiveProgram, call: StepCall, spentTokens: number): void {
  root.state.spent.steps++
  root.state.spent.tokens += spentTokens
  if (call.type === 'service') root.state.spent.toolCalls++
}
