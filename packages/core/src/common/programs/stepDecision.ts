/** Decides what a step request means, from the program's state alone. */
import type { StepRequest, Turn } from '../kernel/callerMessages.js'
import { Reason } from '../kernel/callerMessages.js'
import { chainDigest, digestValue } from '../base/digest.js'
import type { LiveProgram } from './liveProgram.js'
import { historyDigestOf, type OpenIntent, nextStepOf, type ProgramState, rebuildTurns, type RecordedTurn } from './programState.js'

export type StepDecision =
  /** The step is next: run it. */
  | { type: 'start' }
  /** The step is complete: give the recorded answer. */
  | { type: 'replay', turn: RecordedTurn }
  /** The step runs: wait with the others for its answer. */
  | { type: 'join' }
  /** Its turn has not come. */
  | { type: 'wait' }
  /** A former attempt may have run: find out. */
  | { type: 'resolveClaim', claim: OpenIntent }
  /** The caller goes on although the fate of the step before is not known. */
  | { type: 'recordUnknown', claim: OpenIntent }
  /** The caller's copy of the history fills what is missing here. */
  | { type: 'resupply', missing: RecordedTurn[] }
  | { type: 'historyNeeded', knownStep: number }
  | { type: 'refuse', reason: Reason, detail: string }

/** Reads what a step request asks for. `callDigest` is the digest of its call. */
export function decideStep (program: LiveProgram, request: StepRequest, callDigest: string, maxWaiting: number): StepDecision {
  const { state, running } = program
  const next = nextStepOf(state)
  if (request.step < next) return decideRecorded(state, request, callDigest)
  if (state.closedReason !== undefined) return refuse(Reason.Closed, `the program is closed: ${state.closedReason}`)
  if (program.isMoving) return { type: 'wait' }
  if (running !== undefined) return decideBesideRunning(program, request, callDigest, maxWaiting)
  if (state.openClaim !== undefined) return decideBehindClaim(state, state.openClaim, request, callDigest)
  if (request.step > next) return decideGap(state, request)
  if (request.historyDigest !== historyDigestOf(state)) return refuse(Reason.HistoryMismatch, 'the history digest differs from the recorded history')
  return { type: 'start' }
}

/** The digest that the history would have if a claimed step were recorded as unknown. */
export function digestWithUnknown (state: ProgramState, claim: OpenIntent): string {
  return chainDigest(historyDigestOf(state), claim.step, claim.callDigest, digestValue({ type: 'unknown' }))
}

/**
 * Checks a caller's copy of the history against a digest and against the turns that are known.
 *
 * @returns the turns that are missing here, or undefined when the copy is not this program's history.
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

function decideRecorded (state: ProgramState, request: StepRequest, callDigest: string): StepDecision {
  const turn = state.turns[request.step - 1]
  if (turn === undefined || turn.key !== request.key || turn.callDigest !== callDigest) {
    return refuse(Reason.KeyReused, `step ${request.step} is recorded with another key or body`)
  }
  return { type: 'replay', turn }
}

function decideBesideRunning (program: LiveProgram, request: StepRequest, callDigest: string, maxWaiting: number): StepDecision {
  const { running, waiting } = program
  if (request.step === running?.step) {
    const isSame = running.key === request.key && running.callDigest === callDigest
    return isSame ? { type: 'join' } : refuse(Reason.KeyReused, `step ${request.step} runs with another key or body`)
  }
  const isFull = waiting.size >= maxWaiting && !waiting.has(request.step)
  return isFull ? refuse(Reason.OutOfOrder, `${waiting.size} steps wait already`) : { type: 'wait' }
}

function decideBehindClaim (state: ProgramState, claim: OpenIntent, request: StepRequest, callDigest: string): StepDecision {
  if (request.step === claim.step) {
    const isSame = claim.key === request.key && claim.callDigest === callDigest
    return isSame ? { type: 'resolveClaim', claim } : refuse(Reason.KeyReused, `step ${request.step} was claimed with another key or body`)
  }
  const goesOn = request.step === claim.step + 1 && request.historyDigest === digestWithUnknown(state, claim)
  if (goesOn) return { type: 'recordUnknown', claim }
  return decideGap(state, request)
}

function decideGap (state: ProgramState, request: StepRequest): StepDecision {
  const knownStep = state.turns.length
  if (request.history === undefined || request.history.length !== request.step - 1) return { type: 'historyNeeded', knownStep }
  const missing = verifyHistory(state, request.history, request.historyDigest)
  if (missing === undefined || missing.length === 0) return refuse(Reason.HistoryMismatch, 'the supplied history is not the history of this program')
  return { type: 'resupply', missing }
}

function refuse (reason: Reason, detail: string): StepDecision {
  return { type: 'refuse', reason, detail }
}
