/** A caller's request to a route, and the sink for its answer. */
import type { PromptPart } from '@trefoilshunt/core'

/** Headers in order; a name may occur several times. */
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>

/** The program that a request belongs to. */
export interface ProgramContext {
  programId: string
  /** Identifies one sequence of turns of the program. */
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
  /** Access keys that the caller sent; an empty string for credentials of another form. No log line or message holds them. */
  accessKeys?: readonly string[]
  /** Headers about client accounts as the caller sent them; they go on to the worker only where the operator has no accounts. */
  accountHeaders?: HeaderList
  /** Client account of the request, once its key was checked. */
  account?: string
  /** The request's id inside the system, where it differs from `requestId` because callers of several accounts choose ids. */
  internalId?: string
  body: Uint8Array
  /** Time for which the caller waits, from the arrival of the request; undefined if it set no limit. */
  deadlineMs?: number
  /** Steady time at which the head of the request was received; its body may have arrived later. */
  arrivedAtMs: number
  affinityKey?: string
  /** Parts of the prompt in order; empty if the caller states none. */
  prompt: PromptPart[]
  /** Maximum number of tokens that the request generates; 0 if the caller states none. */
  maxTokens: number
  program?: ProgramContext
  /** Id of the event after which the caller resumes a stream. */
  lastEventId?: string
  /** Id of the caller's attempt that brought the first event of the stream, if this request takes it up again. */
  resumedRequestId?: string
}

/** The id under which the system knows the request; two accounts may choose the same `requestId`. */
export function internalIdOf ({ internalId, requestId }: Pick<RoutedRequest, 'internalId' | 'requestId'>): string {
  return internalId ?? requestId
}

export interface AnswerHead {
  status: number
  headers: HeaderList
}

/** Reasons for answers that come from this node instead of a worker. */
export const RefusalReason = {
  NoDocument: 'noDocument',
  NoRoute: 'noRoute',
  /** The request has no valid access key. */
  Unauthorized: 'unauthorized',
  /** The document is so old that the access key may have been withdrawn. */
  DocumentStale: 'documentStale',
  /** The client account has used its quota. */
  QuotaExceeded: 'quotaExceeded',
  /** The owner of the account's quota is unavailable. */
  QuotaUnavailable: 'quotaUnavailable',
  TooLarge: 'tooLarge',
  NoWorker: 'noWorker',
  WorkerRefused: 'workerRefused',
  OwnerUnavailable: 'ownerUnavailable',
  BudgetSpent: 'budgetSpent',
  NoSuchTurn: 'noSuchTurn',
  Overloaded: 'overloaded',
  Quarantined: 'quarantined',
  /** The node stops, and the request may last longer than its grace period. */
  Stopping: 'stopping',
  /** The software version that began the stream is not known, or has no worker. */
  StreamOriginUnavailable: 'streamOriginUnavailable',
  /** The events that the caller holds of a turn are not known, so that it could not be retained whole. */
  StreamOutputUnavailable: 'streamOutputUnavailable',
  OutcomeUnknown: 'fateUnknown',
  TimedOut: 'timedOut'
} as const
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]

export interface Refusal {
  status: number
  reason: RefusalReason
  /** Time after which the caller should retry; only for requests that were not run. */
  retryAfterMs?: number
}

/** Receives the answer to one request. Calls after `end`, `refuse` or `abort` are ignored. */
export interface IAnswerSink {
  /** Called once if the caller disconnects before the answer has ended. */
  onCallerDisconnected: () => void
  /** Called when the caller has received what was written since `write` returned false. */
  onDrained: () => void
  begin (head: AnswerHead): void
  /** Returns false if the caller reads more slowly than was written; the bytes are buffered. */
  write (bytes: Uint8Array): boolean
  end (): void
  /** Answers with a status and reason from this node instead of a worker's answer. */
  refuse (refusal: Refusal): void
  /** Closes the connection abnormally, so that the caller can't take the answer for complete. */
  abort (): void
}
