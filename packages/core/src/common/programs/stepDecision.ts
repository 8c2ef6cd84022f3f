/** Decides how to handle a step request from the state of its program; has no side effects. */
import type { StepRequest, Turn } from '../kernel/callerMessages.js'
import { Reason } from '../kernel/callerMessages.js'
import { chainDigest, digestValue } from '../base/digest.js'
import type { LiveProgram } from './liveProgram.js'
import { historyDigestOf, type OpenIntent, nextStepOf, type ProgramState, rebuildTurns, type RecordedTurn } from './programState.js'

/** How to handle a step request. */
export type StepDecision =
  /** The step is next: run it. */
  | { type: 'start' }
  /** The step is complete: give the recorded answer. */
  | { type: 'replay', turn: RecordedTurn }
  /** The step is running: wait with the other callers for its answer. */
  | { type: 'join' }
  /** An earlier step is running or the program is being handed over: wait. */
  | { type: 'wait' }
  /** An earlier attempt of this non-repeatable step may have run: look for its result. */
  | { type: 'resolveIntent', intent: OpenIntent }
  /** The caller continues although the outcome of the previous step is not known: record that step as unknown. */
  | { type: 'recordUnknown', intent: OpenIntent }
  /** The caller's copy of the history has the turns that are missing here. */
  | { type: 'resupply', missing: RecordedTurn[] }
  /** Turns are missing here and the request has no complete history: the caller has to send it. `knownStep` is the last step recorded here. */
  | { type: 'historyNeeded', knownStep: number }
  | { type: 'refuse', reason: Reason, detail: string }

/**
 * Decides how to handle a step request at the program's owner.
 *
 * @param callDigest digest of the request's call.
 * @param maxWaiting most steps that may wait behind a running one.
 */
export function decideStep (program: LiveProgram, request: StepRequest, callDigest: string, maxWaiting: number): StepDecision {
  const { state, running } = program
  const next = nextStepOf(state)
  if (request.step < next) return decideRecordedStep(state, request, callDigest)
  if (state.closedReason !== undefined) return refuse(Reason.Closed, `the program is closed: ${state.closedReason}`)
  if (program.isInHandover) return { type: 'wait' }
  if (running !== undefined) return decideWhileRunning(program, request, callDigest, maxWaiting)
  if (state.openClaim !== undefined) return decideWithOpenIntent(state, state.openClaim, request, callDigest)
  if (request.step > next) return decideAfterMissingTurns(state, request)
  if (request.historyDigest !== historyDigestOf(state)) return refuse(Reason.HistoryMismatch, 'the history digest differs from the recorded history')
  return { type: 'start' }
}

/** The digest that the history would have if the step of an open intent were recorded as unknown. */
export function digestWithUnknown (state: ProgramState, intent: OpenIntent): string {
  return chainDigest(historyDigestOf(state), intent.step, intent.callDigest, digestValue({ type: 'unknown' }))
}

/**
 * Checks a caller's copy of the history against a digest and against the turns recorded here; an empty copy has no digest to check.
 *
 * @returns the turns that are missing here, or undefined when the copy is not this program's history or is shorter than the recorded one.
 */
export function verifyHistory (state: ProgramState, history: Turn[], expectedDigest: string): RecordedTurn[] | undefined {
  const rebuilt = rebuildTurns(state.programId, history)
  const isNumbered = rebuilt.every((turn, index) => turn.step === index + 1)
  if (!isNumbered || rebuilt.length < state.turns.length) return undefined
  if (rebuilt.length > 0 && rebuilt[rebuilt.length - 1].historyDigest !== expectedDigest) return undefined
  const known = state.turns.length
  if (known > 0 && rebuilt[known - 1].historyDigest !== historyDigestOf(state)) return undefined
  return rebuilt.slice(known)
}

function decideRecordedStep (state: ProgramState, request: StepRequest, callDigest: string): StepDecision {
  const turn = state.turns[request.step - 1]
  if (turn === undefined || turn.key !== request.key || turn.callDigest !== callDigest) {
    return refuse(Reason.KeyReused, `step ${request.step} is recorded with another key or body`)
  }
  return { type: 'replay', turn }
}

function decideWhileRunning (program: LiveProgram, request: StepRequest, callDigest: string, maxWaiting: number): StepDecision {
  const { running, waiting } = program
  if (request.step === running?.step) {
    const isSame = running.key === request.key && running.callDigest === callDigest
    return isSame ? { type: 'join' } : refuse(Reason.KeyReused, `step ${request.step} is running with another key or body`)
  }
  const isFull = waiting.size >= maxWaiting && !waiting.has(request.step)
  return isFull ? refuse(Reason.OutOfOrder, `${waiting.size} steps are already waiting`) : { type: 'wait' }
}

function decideWithOpenIntent (state: ProgramState, intent: OpenIntent, request: StepRequest, callDigest: string): StepDecision {
  if (request.step === intent.step) {
    const isSame = intent.key === request.key && intent.callDigest === callDigest
    return isSame ? { type: 'resolveIntent', intent } : refuse(Reason.KeyReused, `step ${request.step} was started with another key or body`)
  }
  const isUnknownAccepted = request.step === intent.step + 1 && request.historyDigest === digestWithUnknown(state, intent)
  if (isUnknownAccepted) return { type: 'recordUnknown', intent }
  return decideAfterMissingTurns(state, request)
}

function decideAfterMissingTurns (state: ProgramState, request: StepRequest): StepDecision {
  const knownStep = state.turns.length
  if (request.history === undefined || request.history.length !== request.step - 1) return { type: 'historyNeeded', knownStep }
  const missing = verifyHistory(state, request.history, request.historyDigest)
  if (missing === undefined || missing.length === 0) return refuse(Reason.HistoryMismatch, 'the supplied history is not the history of this program')
  return { type: 'resupply', missing }
}

function refuse (reason: Reason, detail: string): StepDecision {
  return { type: 'refuse', reason, detail }
}
