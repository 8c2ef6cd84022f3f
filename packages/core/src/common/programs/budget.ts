/** Reserves and records what a tree of programs uses of its shared budget. */
import { type Either, Left, Right } from 'purify-ts'
import type { StepCall } from '../kernel/callerMessages.js'
import type { LiveProgram } from './liveProgram.js'

/** Characters that count as one token when only text is known. */
const CHARACTERS_PER_TOKEN = 4

/** The share of the budget reserved for a running step; `maxTokens` is the most that an engine may generate. */
export interface Reservation {
  promptTokens: number
  maxTokens: number
  toolCalls: number
}

/** The limit of the budget that a step would exceed. */
export interface BudgetProblem {
  field: 'tokens' | 'steps' | 'toolCalls' | 'wallTimeMs'
  limit: number
}

/** Estimates the tokens of a text from its length. */
export function estimateTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

/** Estimated tokens that a call adds to the history; 0 for a service call. */
export function promptTokensOf (call: StepCall): number {
  if (call.type !== 'model') return 0
  return call.messages.reduce((sum, message) => sum + estimateTokens(message.content), 0)
}

/** Tokens of the tree's budget that are neither used nor reserved by running steps. */
export function tokensLeft (root: LiveProgram): number {
  return root.state.budget.tokens - root.state.spent.tokens - root.outstanding.tokens
}

/**
 * Checks a step against the budget of its tree and reserves what it may use.
 *
 * @param openIntents steps of the tree that were sent and whose outcome is not known; each counts as a step and a tool call.
 * @returns the reservation with `maxTokens` lowered to what is left, or the limit that the step would exceed.
 */
export function reserveBudget (root: LiveProgram, call: StepCall, nowMs: number, openIntents = 0): Either<BudgetProblem, Reservation> {
  const { budget, spent, openedAtMs } = root.state
  const { outstanding } = root
  if (nowMs - openedAtMs >= budget.wallTimeMs) return Left({ field: 'wallTimeMs', limit: budget.wallTimeMs })
  if (spent.steps + outstanding.steps + openIntents >= budget.steps) return Left({ field: 'steps', limit: budget.steps })
  if (call.type === 'service') {
    if (spent.toolCalls + outstanding.toolCalls + openIntents >= budget.toolCalls) return Left({ field: 'toolCalls', limit: budget.toolCalls })
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

/** Releases the reservation of a step that has ended. */
export function releaseReservation (root: LiveProgram, reservation: Reservation): void {
  root.outstanding.tokens -= reservation.promptTokens + reservation.maxTokens
  root.outstanding.steps--
  root.outstanding.toolCalls -= reservation.toolCalls
}

/** Adds a finished step to what the tree has used. */
export function recordSpending (root: LiveProgram, call: StepCall, spentTokens: number): void {
  root.state.spent.steps++
  root.state.spent.tokens += spentTokens
  if (call.type === 'service') root.state.spent.toolCalls++
}
