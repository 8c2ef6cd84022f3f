/** A program at its home: the recorded state and what goes on right now. */
import type { StepRequest } from '../kernel/callerMessages.js'
import type { CallerExchange } from '../kernel/callerPort.js'
import type { IJournalEpoch } from '../journal/journal.js'
import type { ProgramState, Spending } from './programState.js'

/** A step that is being run. */
export interface RunningStep {
  step: number
  key: string
  callDigest: string
  startedAtMs: number
  /** Callers that wait for the answer: the first one and those that sent the step again. */
  listeners: Map<string, { isStreamed: boolean }>
  /** Text streamed so far, for callers that join late. */
  text: string
  tokens: number
  /** Stops the work; absent once it cannot be stopped any more. */
  cancel?: (reason: 'callerGone' | 'cancelled' | 'closed') => void
}

export interface LiveProgram {
  state: ProgramState
  /** The journal that records the program. */
  journal: IJournalEpoch
  running?: RunningStep
  /** Steps that arrived before their turn, by number. */
  waiting: Map<number, CallerExchange<StepRequest>>
  /** What running steps of the tree may still use; kept at the root. */
  outstanding: Spending
  /** Tokens used by cancelled steps, to be recorded with the next turn. */
  unrecordedTokens: number
  lastActiveMs: number
  /** Time of the last record that holds the whole state. */
  snapshotAtMs: number
  closedAtMs?: number
  /** Set while the program is handed to another node: no step may start. */
  isMoving: boolean
  /** Step that was sent to a back end here and got no recorded result. */
  sentStep?: number
  /** True when another node was the home before, which may have sent a step that is not recorded. */
  isInherited: boolean
  /** Journal of a former home that may hold a late result of the open claim. */
  formerJournal?: string
}

/** Wraps recorded state that has just been opened or adopted at this node. */
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
    isMoving: false,
    isInherited: false
  }
}
