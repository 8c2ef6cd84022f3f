/** Records of the stream `journal/<node>/<incarnation>`. */
import type { StepCall, StepResult } from '../kernel/callerMessages.js'
import type { LogRecord } from '../kernel/logRecords.js'
import type { NodeRef } from '../kernel/node.js'
import type { ProgramState } from '../programs/programState.js'

/** Name of the stream in which a run of the daemon records its programs. */
export function journalOf (node: { node: string, incarnation: string }): string {
  return `journal/${node.node}/${node.incarnation}`
}

/** A program with its whole state: opened here, adopted, or published again before its records expire. */
export interface ProgramSnapshot extends LogRecord {
  type: 'programSnapshot'
  program: ProgramState
  /** Journal that must name this node in an `adopted` record before the snapshot counts. */
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
  /** Tokens that the step took from the budget, retries included. */
  spentTokens: number
  /** Tokens set aside for the next step; they count as spent after a takeover. */
  reservedTokens: number
  /** Model and worker that ran the step; absent for service calls. */
  ranOn?: { model: string, worker: string }
}

/** Announces that a non-repeatable step will be sent. */
export interface StepIntent extends LogRecord {
  type: 'stepClaimed'
  programId: string
  step: number
  key: string
  call: StepCall
  callDigest: string
  attempt: number
}

/** The claim was given up before anything was sent. */
export interface IntentWithdrawn extends LogRecord { type: 'claimWithdrawn', programId: string, step: number, attempt: number }
export interface TokensReserved extends LogRecord { type: 'tokensReserved', programId: string, tokens: number }
export interface ProgramClosed extends LogRecord { type: 'programClosed', programId: string, reason: string }
/** Ends the journal's authority: claims, turns and adoptions behind the first fence are void. */
export interface Fenced extends LogRecord { type: 'fenced', by: NodeRef }
/** Names the new home of programs; the first record for a program counts. */
export interface OwnershipTransferred extends LogRecord { type: 'adopted', programIds: string[], to: NodeRef }

export type JournalRecord = ProgramSnapshot | TurnCompleted | StepIntent | IntentWithdrawn | TokensReserved | ProgramClosed | Fenced | OwnershipTransferred
