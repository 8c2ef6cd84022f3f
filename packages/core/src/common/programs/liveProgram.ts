/** A program at its owner: the recorded state and the work in progress. */
import type { StepRequest } from '../kernel/callerMessages.js'
import type { CallerExchange } from '../kernel/callerPort.js'
import type { IJournalEpoch } from '../journal/journal.js'
import type { ProgramState, Spending } from './programState.js'

/** A step in progress. */
export interface RunningStep {
  step: number
  key: string
  callDigest: string
  startedAtMs: number
  /** Callers that wait for the answer, by request id: the first one and those that sent the step again. */
  listeners: Map<string, { isStreamed: boolean }>
  /** Text streamed so far, for callers that join late. */
  text: string
  /** Tokens of `text`. */
  tokens: number
  /** Stops the work; undefined when it cannot be stopped any more. */
  cancel?: (reason: 'callerGone' | 'cancelled' | 'closed') => void
}

/** A program in the table of its owner. Only `state` is recorded; the other fields are lost when the node ends. */
export interface LiveProgram {
  state: ProgramState
  /** The journal that records the program. */
  journal: IJournalEpoch
  running?: RunningStep
  /** Steps that wait for an earlier step or for the end of a handover, by number. */
  waiting: Map<number, CallerExchange<StepRequest>>
  /** What is reserved for running steps of the tree; kept at the root. */
  outstanding: Spending
  /** Tokens that steps without a recorded result may have used; added to the next turn's record. */
  unrecordedTokens: number
  /** Time of the last step request or end of a step. */
  lastActiveMs: number
  /** Time of the last snapshot record, which holds the whole state. */
  snapshotAtMs: number
  /** Time at which this node closed the program or received it closed; undefined while it is open. */
  closedAtMs?: number
  /** True during a handover to another node: no step may start. */
  isInHandover: boolean
  /** Number of the step that this node sent to a back end and that has no recorded result. */
  sentStep?: number
  /** True when another node was the owner before; it may have sent a step that is not recorded. */
  hasFormerOwner: boolean
  /** Journal of the former owner, which may hold a late result of the open intent. */
  formerJournal?: string
}

/** Creates the live program for a recorded state that this node has opened or taken over. */
export function createLiveProgram (state: ProgramState, journal: IJournalEpoch, nowMs: number): LiveProgram {
  return {
    state,
    journal,
    waiting: new Map(),
    outstanding: { tokens: 0, steps: 0, toolCalls: 0 },
    unrecordedTokens: 0,
    lastActiveMs: nowMs,
    snapshotAtMs: nowMs,
    closedAtMs: state.closedReason === undefined ? undefined : nowMs,
    isInHandover: false,
    hasFormerOwner: false
  }
}
