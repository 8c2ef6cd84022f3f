/** A started step and the keys that identify it. */
import type { StepRequest } from '../kernel/callerMessages.js'
import { digestText } from '../base/digest.js'
import type { Reservation } from './budget.js'
import type { LiveProgram, RunningStep } from './liveProgram.js'

/** A step that has been started, with its reserved budget. */
export interface StartedStep {
  program: LiveProgram
  /** The program that holds the budget. */
  root: LiveProgram
  request: StepRequest
  running: RunningStep
  reservation: Reservation
  /** Time at which the step has to end. */
  deadlineMs: number
}

/** True when an earlier copy of the request may have reached a back end, from this node or from a former owner. */
export function mayHaveRun (program: LiveProgram, request: StepRequest): boolean {
  return program.sentStep === request.step || (request.isResend && program.hasFormerOwner)
}

/** Digest of the work kind and of all calls so far: equal for every resend, also from a new program that makes the same calls. */
export function fingerprintOf (program: LiveProgram, callDigest: string): string {
  return digestText([program.state.kind, ...program.state.turns.map(turn => turn.callDigest), callDigest].join('|'))
}

/** The idempotency key that back ends get with the step; equal for every attempt. */
export function idempotencyKeyOf (program: LiveProgram, request: StepRequest): string {
  return `${program.state.programId}/${request.step}/${request.key}`
}
