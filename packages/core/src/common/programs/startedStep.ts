/** A step that is being run, and what identifies it. */
import type { StepRequest } from '../kernel/callerMessages.js'
import { digestText } from '../base/digest.js'
import type { Reservation } from './budget.js'
import type { LiveProgram, RunningStep } from './liveProgram.js'

/** A step that has been started, with what it may use. */
export interface StartedStep {
  program: LiveProgram
  /** The program that holds the budget. */
  root: LiveProgram
  request: StepRequest
  running: RunningStep
  reservation: Reservation
  deadlineMs: number
}

/** True when an earlier copy of the request may have reached a back end, from here or from a former home. */
export function mayHaveRun (program: LiveProgram, request: StepRequest): boolean {
  return program.sentStep === request.step || (request.isResend && program.isInherited)
}

/** Equal for every resend of a request, also from a program opened anew that makes the same calls. */
export function fingerprintOf (program: LiveProgram, callDigest: string): string {
  return digestText([program.state.kind, ...program.state.turns.map(turn => turn.callDigest), callDigest].join('|'))
}

/** The key under which back ends may remember the step. */
export function idempotencyKeyOf (program: LiveProgram, request: StepRequest): string {
  return `${program.state.programId}/${request.step}/${request.key}`
}
