/** A caller's request to a route, and where its answer goes. */
import type { PromptPart } from '@trefoilshunt/core'

export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>

/** The program that a request belongs to. */
export interface ProgramContext {
  programId: string
  /** One line of turns of the program. */
  sessionId?: string
  /** Time left until the program should be finished. */
  finishMs?: number
  /** Tokens that all turns of the program may generate. */
  budgetTokens?: number
  /** Finished turn that this one continues. */
  previousTurnId?: string
}

export interface RoutedRequest {
  /** The caller's id of this attempt; a worker echoes it. */
  requestId: string
  /** Address from which the request came, without port. */
  callerAddress: string
  method: string
  host: string
  /** Path and query. */
  path: string
  /** Headers that go on to the worker. */
  headers: HeaderList
  body: Uint8Array
  /** How long the caller waits, from the arrival of the request. */
  deadlineMs?: number
  /** Steady time at which the request had been read. */
  arrivedAtMs: number
  affinityKey?: string
  prompt: PromptPart[]
  /** The most tokens that the request generates. */
  maxTokens: number
  program?: ProgramContext
  /** Event after which the caller wants to go on. */
  lastEventId?: string
}

export interface AnswerHead {
  status: number
  headers: HeaderList
}

/** Reasons of answers that this node gives itself. */
export const RefusalReason = {
  NoDocument: 'noDocument',
  NoRoute: 'noRoute',
  TooLarge: 'tooLarge',
  NoWorker: 'noWorker',
  WorkerRefused: 'workerRefused',
  OwnerUnavailable: 'ownerUnavailable',
  BudgetSpent: 'budgetSpent',
  NoSuchTurn: 'noSuchTurn',
  Overloaded: 'overloaded',
  Quarantined: 'quarantined',
  FateUnknown: 'fateUnknown',
  TimedOut: 'timedOut'
} as const
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]

export interface Refusal {
  status: number
  reason: RefusalReason
  /** When the caller should come back; only with answers that say "not run". */
  retryAfterMs?: number
}

/** Takes the answer of one request. Calls after `end`, `refuse` or `abort` are ignored. */
export interface IAnswerSink {
  /** Called once when the caller has left before the answer ended. */
  onGone: () => void
  begin (head: AnswerHead): void
  write (bytes: Uint8Array): void
  end (): void
  /** Answers with a status of this node. */
  refuse (refusal: Refusal): void
  /** Breaks the connection, so that the answer can't look complete. */
  abort (): void
}
