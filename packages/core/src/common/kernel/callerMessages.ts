/** Requests of callers and operators, and the answers they get. Shapes only; the HTTP mapping is in `protocol`. */
import type { ConfigurationDocument } from '../configuration/document.js'
import type { AuditEntry } from '../configuration/controlRecords.js'
import type { NodeRef } from './node.js'

/** One message of a model conversation. */
export interface ChatMessage {
  role: 'system' | 'user' | 'assistant' | 'tool'
  content: string
}

/** A call of a model engine: the messages that are new since the last turn. */
export interface ModelCall {
  type: 'model'
  /** Model back end; the first one of the work kind when absent. */
  model?: string
  messages: ChatMessage[]
  maxTokens: number
}

/** A call of a plain service. */
export interface ServiceCall {
  type: 'service'
  service: string
  path: string
  body: unknown
  /** False for deposits, bookings and the like: such a call runs at most once. */
  isRepeatable: boolean
}

export type StepCall = ModelCall | ServiceCall

/** What a model call produced. */
export interface ModelResult {
  type: 'model'
  text: string
  promptTokens: number
  completionTokens: number
  cachedTokens: number
}

/** What a service answered. */
export interface ServiceResult {
  type: 'service'
  status: number
  body: unknown
}

/** The recorded fate of a non-repeatable call that nobody can tell. */
export interface UnknownResult {
  type: 'unknown'
}

export type StepResult = ModelResult | ServiceResult | UnknownResult

/** Why a request was refused or could not be completed. */
export const Reason = {
  NotReady: 'notReady',
  Overloaded: 'overloaded',
  Draining: 'draining',
  BudgetExceeded: 'budgetExceeded',
  DeadlineExceeded: 'deadlineExceeded',
  LogUnavailable: 'logUnavailable',
  NoBackend: 'noBackend',
  OutOfOrder: 'outOfOrder',
  KeyReused: 'keyReused',
  HistoryMismatch: 'historyMismatch',
  Quarantined: 'quarantined',
  UnknownKind: 'unknownKind',
  UnknownBackend: 'unknownBackend',
  NotFound: 'notFound',
  Closed: 'closed',
  Expired: 'expired',
  OwnerMoved: 'homeMoved',
  OwnerUnreachable: 'homeUnreachable',
  AnswerLost: 'answerLost',
  EngineFailed: 'engineFailed',
  Cancelled: 'cancelled',
  Conflict: 'conflict',
  Invalid: 'invalid',
  BusyStep: 'busyStep',
  NotTrusted: 'notTrusted'
} as const
export type Reason = typeof Reason[keyof typeof Reason]

export interface Budget {
  /** Prompt tokens added by the caller plus tokens generated, retries included. */
  tokens: number
  steps: number
  /** Calls of plain services. */
  toolCalls: number
  wallTimeMs: number
  /** Levels of sub-agents below the first program. */
  depth: number
}

/** One completed step, as callers may re-supply it. */
export interface Turn {
  step: number
  key: string
  call: StepCall
  result: StepResult
}

export interface OpenRequest {
  type: 'open'
  customer: string
  kind: string
  /** Resending with the same key opens no second program at the same node. */
  key: string
  parent?: string
  /** The caller's copy of the parent program, sent after a `historyNeeded`. */
  parentCopy?: { kind: string, history: Turn[], historyDigest: string }
  /** Latency that the caller is promised, in place of the work kind's target. */
  targetMs?: number
  /** Worker that the first node has chosen; its lead becomes the program's home. */
  placedWorker?: string
}

export interface StepRequest {
  type: 'step'
  customer: string
  programId: string
  /** 1 for the first step. */
  step: number
  key: string
  /** Digest of the history that the caller knows before this step. */
  historyDigest: string
  call: StepCall
  /** True when the caller has sent this step before and got no final answer. */
  isResend: boolean
  isStreamed: boolean
  /** Milliseconds that the caller will wait. */
  timeoutMs: number
  /** The caller's copy of the history, sent after a `historyNeeded`. */
  history?: Turn[]
  kind?: string
}

export interface CancelRequest { type: 'cancel', customer: string, programId: string, step: number }
export interface CloseRequest { type: 'close', customer: string, programId: string }
export interface ProgramQuery { type: 'program', customer: string, programId: string, withHistory: boolean }
export interface AddressQuery { type: 'addresses', zone?: string }
export interface ApplyRequest { type: 'apply', environment: string, baseRevision: number, document: unknown, by: string }
export interface PromoteRequest { type: 'promote', from: string, to: string, revision: number, baseRevision: number, by: string }
export interface ConfigurationQuery { type: 'configuration', environment?: string }
export interface AuditQuery { type: 'audit', limit: number }
export interface ProgramListQuery { type: 'programs' }

export type CallerRequest = OpenRequest | StepRequest | CancelRequest | CloseRequest | ProgramQuery | AddressQuery |
  ApplyRequest | PromoteRequest | ConfigurationQuery | AuditQuery | ProgramListQuery

export interface Opened {
  type: 'opened'
  programId: string
  home: NodeRef
  historyDigest: string
  durable: boolean
}

export interface Done {
  type: 'done'
  programId: string
  step: number
  result: ModelResult | ServiceResult
  /** Digest of the history including this step. */
  historyDigest: string
  /** False when the result was answered before the log had it. */
  durable: boolean
  home: NodeRef
}

/** Nothing of the request reached a back end. */
export interface NotRun {
  type: 'notRun'
  reason: Reason
  detail: string
  retryAfterMs?: number
  home?: NodeRef
  /** The next step and the digest that the home would accept. */
  expected?: { step: number, historyDigest: string }
}

/** The request may have run. A non-repeatable one is never sent again. */
export interface Unknown {
  type: 'unknown'
  reason: Reason
  detail: string
  programId: string
  step: number
  /** Digest of the history if the caller goes on with the step recorded as unknown. */
  historyDigest?: string
  retryAfterMs?: number
}

/** Not run: the home lacks the program's history and asks the caller for its copy. */
export interface HistoryNeeded {
  type: 'historyNeeded'
  programId: string
  /** Last step that the home knows. */
  knownStep: number
}

export interface Chunk { type: 'chunk', text: string, tokens: number }
export interface Closed { type: 'closed', programId: string }
export interface Cancelled { type: 'cancelled', programId: string, step: number }
export interface ProgramView {
  type: 'programView'
  programId: string
  customer: string
  kind: string
  rank: string
  state: 'open' | 'closed'
  nextStep: number
  historyDigest: string
  spent: { tokens: number, steps: number, toolCalls: number }
  budget: Budget
  home: NodeRef
  history?: Turn[]
}
export interface AddressList {
  type: 'addressList'
  addresses: Array<{ address: string, node: string, zone: string }>
  validForMs: number
}
export interface Accepted { type: 'accepted', environment: string, revision: number, offset: number }
export interface Refused { type: 'refused', reason: Reason, detail: string, currentRevision?: number }
export interface ConfigurationView {
  type: 'configurationView'
  node: string
  environments: Array<{ environment: string, revision: number, offset: number, document?: ConfigurationDocument }>
  /** Revision in force at each node that this one hears of, by node name. */
  nodes: Array<{ node: string, revision: number, environment: string }>
}
export interface AuditView { type: 'auditView', entries: AuditEntry[] }
export interface ProgramList {
  type: 'programList'
  node: string
  programs: Array<{ programId: string, customer: string, kind: string, rank: string, nextStep: number, idleMs: number }>
}

export type CallerReply = Opened | Done | NotRun | Unknown | HistoryNeeded | Chunk | Closed | Cancelled | ProgramView |
  AddressList | Accepted | Refused | ConfigurationView | AuditView | ProgramList
