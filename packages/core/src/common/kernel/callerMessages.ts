/** Types of the requests of callers and operators and of the replies. The mapping to HTTP is in the package `protocol`. */
import type { ConfigurationDocument } from '../configuration/document.js'
import type { AuditEntry } from '../configuration/controlRecords.js'
import type { NodeRef } from './node.js'

/** One message of a model conversation. */
export interface ChatMessage {
  role: 'system' | 'user' | 'assistant' | 'tool'
  content: string
}

/** A call of a model engine, with the messages that are new since the last turn. */
export interface ModelCall {
  type: 'model'
  /** Back end of the model; the first one of the work kind when absent. */
  model?: string
  messages: ChatMessage[]
  /** Maximum number of tokens to generate. */
  maxTokens: number
}

/** A call of a service that is not a model engine. */
export interface ServiceCall {
  type: 'service'
  service: string
  path: string
  body: unknown
  /** False for calls such as deposits and bookings, which run at most once. */
  isRepeatable: boolean
}

export type StepCall = ModelCall | ServiceCall

/** Result of a model call. */
export interface ModelResult {
  type: 'model'
  text: string
  promptTokens: number
  completionTokens: number
  /** Prompt tokens that the engine had in its cache. */
  cachedTokens: number
}

/** Answer of a service. */
export interface ServiceResult {
  type: 'service'
  /** HTTP status. */
  status: number
  body: unknown
}

/** Recorded in place of a result when the outcome of a non-repeatable call cannot be determined. */
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

/** Limits of a program together with its sub-agents. */
export interface Budget {
  /** Prompt tokens added by the caller plus generated tokens, including those of retries. */
  tokens: number
  steps: number
  /** Calls of services that are not model engines. */
  toolCalls: number
  wallTimeMs: number
  /** Levels of sub-agents below the root program. */
  depth: number
}

/** One completed step, in the form in which a caller may supply it again. */
export interface Turn {
  step: number
  key: string
  call: StepCall
  result: StepResult
}

/** Opens a program. */
export interface OpenRequest {
  type: 'open'
  customer: string
  kind: string
  /** Sending the request again with the same key opens no second program on the same node. */
  key: string
  /** Id of the parent program; present for a sub-agent. */
  parent?: string
  /** The caller's copy of the parent program, sent after a `historyNeeded` reply. */
  parentCopy?: { kind: string, history: Turn[], historyDigest: string }
  /** Latency target of the program, in place of the work kind's target. */
  targetMs?: number
  /** Worker chosen by the node that received the request; the worker's coordinator becomes the program's owner. */
  placedWorker?: string
}

/** Runs a step of a program, or returns its recorded result. */
export interface StepRequest {
  type: 'step'
  customer: string
  programId: string
  /** 1 for the first step. */
  step: number
  key: string
  /** Digest of the caller's history before this step. */
  historyDigest: string
  call: StepCall
  /** True when the caller has sent this step before and received no final answer. */
  isResend: boolean
  /** True when the caller wants `chunk` replies while the model generates. */
  isStreamed: boolean
  /** Time for which the caller waits, in milliseconds. */
  timeoutMs: number
  /** The caller's copy of the history, sent after a `historyNeeded` reply. */
  history?: Turn[]
  /** Work kind of the program; an owner without the program needs it to rebuild it. */
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

/** The program is open at its owner, `home`. */
export interface Opened {
  type: 'opened'
  programId: string
  home: NodeRef
  historyDigest: string
  /** False when the reply was sent before the log had stored the opening. */
  durable: boolean
}

/** The step is complete. */
export interface Done {
  type: 'done'
  programId: string
  step: number
  result: ModelResult | ServiceResult
  /** Digest of the history with this step. */
  historyDigest: string
  /** False when the reply was sent before the log had stored the result. */
  durable: boolean
  home: NodeRef
}

/** No back end ran the request. */
export interface NotRun {
  type: 'notRun'
  reason: Reason
  detail: string
  retryAfterMs?: number
  home?: NodeRef
  /** The next step and the history digest that the owner would accept. */
  expected?: { step: number, historyDigest: string }
}

/** The request may have run. A non-repeatable one is never sent again. */
export interface Unknown {
  type: 'unknown'
  reason: Reason
  detail: string
  programId: string
  step: number
  /** Digest of the history with the step recorded as unknown, for a caller that goes on. */
  historyDigest?: string
  retryAfterMs?: number
}

/** The request was not run, because the owner lacks the program's history. The caller is asked to send its copy. */
export interface HistoryNeeded {
  type: 'historyNeeded'
  programId: string
  /** Last step in the owner's history; 0 when it has none. */
  knownStep: number
}

/** A part of the text of a streamed step. */
export interface Chunk { type: 'chunk', text: string, tokens: number }
export interface Closed { type: 'closed', programId: string }
export interface Cancelled { type: 'cancelled', programId: string, step: number }
/** State of a program, for its caller. */
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
/** Nodes to which a caller may send requests, the preferred ones first. */
export interface AddressList {
  type: 'addressList'
  addresses: Array<{ address: string, node: string, zone: string }>
  /** Time for which the caller may use the list, in milliseconds. */
  validForMs: number
}
/** A change or promotion was accepted as `revision`, at `offset` of the control stream. */
export interface Accepted { type: 'accepted', environment: string, revision: number, offset: number }
/** A request of an operator was refused, or a request of an unknown type. */
export interface Refused { type: 'refused', reason: Reason, detail: string, currentRevision?: number }
/** The configurations as one node has read them. */
export interface ConfigurationView {
  type: 'configurationView'
  node: string
  environments: Array<{ environment: string, revision: number, offset: number, document?: ConfigurationDocument }>
  /** Last reported revision of each known node, the answering one first. */
  nodes: Array<{ node: string, revision: number, environment: string }>
}
export interface AuditView { type: 'auditView', entries: AuditEntry[] }
/** The programs that one node holds, closed ones included until they are removed. */
export interface ProgramList {
  type: 'programList'
  node: string
  programs: Array<{ programId: string, customer: string, kind: string, rank: string, nextStep: number, idleMs: number }>
}

export type CallerReply = Opened | Done | NotRun | Unknown | HistoryNeeded | Chunk | Closed | Cancelled | ProgramView |
  AddressList | Accepted | Refused | ConfigurationView | AuditView | ProgramList
