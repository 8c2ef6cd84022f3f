/** Records of the stream `journal/<node>/<incarnation>`. */
import type { StepCall, StepResult } from '../kernel/callerMessages.js'
import type { LogRecord } from '../kernel/logRecords.js'
import type { NodeRef } from '../kernel/node.js'
import type { ProgramState } from '../programs/programState.js'

/** Name of the journal stream of a run of the daemon. */
export function journalOf (node: { node: string, incarnation: string }): string {
  return `journal/${node.node}/${node.incarnation}`
}

/**
 * The whole state of a program. It is recorded when the program is opened, taken over or handed over, when it is rebuilt or
 * completed from the caller's copy of its history, and again before its records expire.
 */
export interface ProgramSnapshot extends LogRecord {
  type: 'programSnapshot'
  program: ProgramState
  /** Journal that must name the writer of the snapshot in an `adopted` record before the snapshot counts. */
  adoptedFrom?: string
}

/** A completed step. */
export interface TurnCompleted extends LogRecord {
  type: 'turnCompleted'
  programId: string
  step: number
  key: string
  call: StepCall
  callDigest: string
  result: StepResult
  /** Tokens charged to the budget with this turn: those of the step and its retries, and those of cancelled steps before it. */
  spentTokens: number
  /** Tokens reserved for the next step; a takeover counts them as spent. */
  reservedTokens: number
  /** Model and worker that ran the step; absent for service calls. */
  ranOn?: { model: string, worker: string }
}

/** Write-ahead record of a non-repeatable call: the call is sent only after this record is in the journal. */
export interface StepIntent extends LogRecord {
  type: 'stepClaimed'
  programId: string
  step: number
  key: string
  call: StepCall
  callDigest: string
  /** Time of the attempt in milliseconds, which orders the attempts of a step. */
  attempt: number
}

/** Withdraws the intents of a step up to `attempt`: the call was given up before it was sent, or was answered as not run. */
export interface IntentWithdrawn extends LogRecord { type: 'claimWithdrawn', programId: string, step: number, attempt: number }
/** Raises the tokens reserved for the next step of a program to at least `tokens`. */
export interface TokensReserved extends LogRecord { type: 'tokensReserved', programId: string, tokens: number }
export interface ProgramClosed extends LogRecord { type: 'programClosed', programId: string, reason: string }
/**
 * Ends the journal. Records after the first fence are ignored, with two exceptions: ownership transfers, and turns that
 * are the result of an intent recorded before the fence.
 */
export interface Fenced extends LogRecord { type: 'fenced', by: NodeRef }
/** Names the new owner of programs; the first record for a program counts, before or after a fence. */
export interface OwnershipTransferred extends LogRecord { type: 'adopted', programIds: string[], to: NodeRef }

export type JournalRecord = ProgramSnapshot | TurnCompleted | StepIntent | IntentWithdrawn | TokensReserved | ProgramClosed | Fenced | OwnershipTransferred
