/** The client library for callers: opens programs, runs their steps and retries after failures. */
import { type Either, Left, Right } from 'purify-ts'
import { type CallerReply, type Done, type NotRun, type OpenRequest, Reason, type StepCall, type StepRequest, type StepResult, type Turn, type Unknown } from '@trefoilshunt/core'
import { AddressBook } from './addressBook.js'
import { sendWithLivenessCheck } from './livenessCheck.js'
import type { ICallerTransport, IClientHost } from './transport.js'

const BACKOFF_BASE_MS = 150
const BACKOFF_MAX_MS = 3_000
/** Time beyond the timeout of a step in which the node's own reply about the timeout may arrive. */
const SEND_MARGIN_MS = 2_000
const DEFAULT_STEP_TIMEOUT_MS = 60_000
const DEFAULT_OPEN_TIMEOUT_MS = 10_000
/** Number of replies with reason `answerLost` after which the outcome `unknown` of a step is final. */
const MAX_ANSWER_LOST_REPLIES = 4

/** Reasons for which the same request may succeed later. */
const TRANSIENT_REASONS: ReadonlySet<Reason> = new Set([
  Reason.NotReady, Reason.OwnerMoved, Reason.OwnerUnreachable, Reason.LogUnavailable, Reason.NoBackend, Reason.EngineFailed,
  Reason.Draining, Reason.BusyStep, Reason.Cancelled
])

/** Reasons for which a retry of the same request has the same result. */
const FINAL_REASONS: ReadonlySet<Reason> = new Set([
  Reason.Expired, Reason.BudgetExceeded, Reason.Closed, Reason.KeyReused, Reason.HistoryMismatch, Reason.Quarantined, Reason.NotFound,
  Reason.UnknownBackend, Reason.UnknownKind
])

/** Settings and dependencies of a client. */
export interface ClientOptions {
  customer: string
  transport: ICallerTransport
  host: IClientHost
  /** Addresses (host:port) of some nodes, used until the first refresh; at least one. */
  seeds: string[]
  /** Availability zone of the caller, sent with each query for addresses. */
  zone?: string
  /** Called after every attempt to open a program or run a step; tests use it to record them. */
  onAttempt?: (attempt: AttemptRecord) => void
}

/** One request as it was sent, with its reply or its failure. Times are those of the client host. */
export interface AttemptRecord {
  address: string
  request: OpenRequest | StepRequest
  sentAtMs: number
  endedAtMs: number
  reply?: CallerReply
  failure?: { wasSent: boolean, detail: string }
}

/** Options of a new program. */
export interface OpenOptions {
  /** Work kind of the program. */
  kind: string
  /** The program that starts this one as its sub-agent. */
  parent?: ProgramSession
  /** Time in which the program should finish; undefined for the default of its kind. Ignored for a sub-agent, which has the due time of its parent. */
  targetMs?: number
  /** Time after which no further attempt is made; 10 s by default. */
  timeoutMs?: number
  /** Whether to retry refusals because of overload until the timeout, after the delay named in the refusal. */
  retriesOverload?: boolean
}

/** Options of one step. */
export interface StepOptions {
  /** Total time for all attempts; 60 s by default. */
  timeoutMs?: number
  /** Called with the whole text of the current attempt so far. A later attempt starts again with an empty text. */
  onChunk?: (text: string) => void
}

/** Why a request has no result: the last reply, or that no node replied. */
export type ClientError = NotRun | Unknown | { type: 'unreachable', detail: string, wasSent: boolean }

/**
 * A client of the fleet for one customer.
 *
 * @example
 * const client = new Client({ customer: 'harrow', transport, host, seeds: ['127.0.0.1:7300'] })
 * const session = await client.open({ kind: 'fitting' })
 */
export class Client {
  readonly options: ClientOptions
  readonly addresses: AddressBook
  private _lastKey = 0

  constructor (options: ClientOptions) {
    this.options = options
    this.addresses = new AddressBook(options)
  }

  /**
   * Opens a program. Failures that may be transient are retried until the timeout; a refusal because of overload is returned at once
   * unless `retriesOverload` is set. If the node does not have the parent's history, the client sends it once.
   */
  async open (options: OpenOptions): Promise<Either<ClientError, ProgramSession>> {
    const { host, customer } = this.options
    const deadlineMs = host.nowMs() + (options.timeoutMs ?? DEFAULT_OPEN_TIMEOUT_MS)
    const request: OpenRequest = { type: 'open', customer, kind: options.kind, key: this.nextKey(), parent: options.parent?.programId, targetMs: options.targetMs }
    let failure: ClientError = { type: 'unreachable', detail: 'no address answered', wasSent: false }
    for (let round = 0; round === 0 || host.nowMs() < deadlineMs; round++) {
      const address = await this.addresses.resolve()
      const attempt = await this.attempt(address, request, { timeoutMs: DEFAULT_OPEN_TIMEOUT_MS })
      const reply = attempt.reply
      if (reply?.type === 'historyNeeded' && options.parent !== undefined && request.parentCopy === undefined) {
        request.parentCopy = options.parent.createParentCopy()
        continue
      }
      if (reply?.type === 'opened') return Right(new ProgramSession(this, options.kind, reply.programId, reply.home.address, reply.historyDigest))
      failure = toError(attempt)
      const mayRetryOpen = reply === undefined || (reply.type === 'notRun' && TRANSIENT_REASONS.has(reply.reason)) || reply.type === 'unknown' ||
        (options.retriesOverload === true && reply.type === 'notRun' && reply.reason === Reason.Overloaded)
      if (!mayRetryOpen) return Left(failure)
      if (reply === undefined || (reply.type === 'notRun' && reply.reason === Reason.Draining)) this.addresses.recordFailure(address)
      await this.backOff(round, reply)
    }
    return Left(failure)
  }

  /** Sends one request, without retries, and reports it to `onAttempt`. */
  async attempt (address: string, request: OpenRequest | StepRequest, options: { timeoutMs: number, onChunk?: (text: string, tokens: number) => void }): Promise<AttemptRecord> {
    const { host, transport, onAttempt } = this.options
    const sentAtMs = host.nowMs()
    const result = await sendWithLivenessCheck(transport, host, address, request, options)
    const attempt: AttemptRecord = { address, request, sentAtMs, endedAtMs: host.nowMs() }
    if (result.type === 'reply') attempt.reply = result.reply
    else attempt.failure = { wasSent: result.wasSent, detail: result.detail }
    onAttempt?.(attempt)
    return attempt
  }

  /** Waits before the next attempt: for the delay named in the reply, or for an exponentially growing delay. Both have a jitter of 25 %. */
  async backOff (round: number, reply: CallerReply | undefined): Promise<void> {
    const { host } = this.options
    const requestedDelayMs = reply !== undefined && 'retryAfterMs' in reply ? reply.retryAfterMs : undefined
    const exponentialMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** round)
    await host.sleep((requestedDelayMs ?? exponentialMs) * (0.75 + host.random() / 2))
  }

  /** Creates a key that no other request of this client has. */
  nextKey (): string {
    this._lastKey++
    const salt = Math.floor(this.options.host.random() * 0x1_0000_0000).toString(36)
    return `${this._lastKey.toString(36)}-${salt}`
  }
}

/** Result of a step. */
export interface StepOutcome {
  result: StepResult
  historyDigest: string
  /** Whether the result was stored in the log before the reply. */
  durable: boolean
}

/** An open program: numbers its steps, keeps their history and resends a step with the same key. */
export class ProgramSession {
  /** The finished steps in order. */
  readonly turns: Turn[] = []
  private _preferredAddress: string | undefined

  constructor (
    private readonly _client: Client,
    readonly kind: string,
    readonly programId: string,
    ownerAddress: string,
    private _historyDigest: string
  ) {
    this._preferredAddress = ownerAddress
  }

  /** Digest of the history, as computed by the fleet. */
  get historyDigest (): string {
    return this._historyDigest
  }

  /**
   * Address that the next request is sent to: that of the owner named by the last reply, or the one set with `useAddress`.
   * Undefined after a failure; the address book then selects one.
   */
  get preferredAddress (): string | undefined {
    return this._preferredAddress
  }

  /** Sends the next request to this address, whether or not it is that of the program's owner. */
  useAddress (address: string): void {
    this._preferredAddress = address
  }

  /** The history as the caller has it, for a node that does not have it when a sub-agent is opened. */
  createParentCopy (): { kind: string, history: Turn[], historyDigest: string } {
    return { kind: this.kind, history: [...this.turns], historyDigest: this._historyDigest }
  }

  /** Number of the next step; the first one is 1. */
  get nextStep (): number {
    return this.turns.length + 1
  }

  /**
   * Runs the next step and retries it after lost connections and changes of the program's owner. An `unknown` result of a non-repeatable
   * call is final; the program may continue after it.
   */
  async step (call: StepCall, options: StepOptions = {}): Promise<Either<ClientError, StepOutcome>> {
    const { host, customer } = this._client.options
    const timeoutMs = options.timeoutMs ?? DEFAULT_STEP_TIMEOUT_MS
    const deadlineMs = host.nowMs() + timeoutMs
    const request: StepRequest = {
      type: 'step',
      customer,
      programId: this.programId,
      step: this.nextStep,
      key: this._client.nextKey(),
      historyDigest: this._historyDigest,
      call,
      isResend: false,
      isStreamed: options.onChunk !== undefined,
      timeoutMs,
      kind: this.kind
    }
    let failure: ClientError = { type: 'unreachable', detail: 'no node answered', wasSent: false }
    let answerLostReplies = 0
    for (let round = 0; host.nowMs() < deadlineMs; round++) {
      const attempt = await this._send(request, deadlineMs, options)
      const { reply } = attempt
      if (reply?.type === 'done') return Right(this._recordTurn(request, reply))
      if (reply?.type === 'historyNeeded') {
        request.history = [...this.turns]
        continue
      }
      failure = toError(attempt)
      const mayHaveRun = reply === undefined ? attempt.failure?.wasSent === true : reply.type === 'unknown'
      if (mayHaveRun) request.isResend = true
      if (reply?.type === 'unknown' && isAnswerLost(reply)) answerLostReplies++
      if (answerLostReplies >= MAX_ANSWER_LOST_REPLIES) return this._recordUnknownTurn(request, failure)
      if (!mayRetry(reply)) return Left(failure)
      await this._client.backOff(Math.min(round, 5), reply)
    }
    return this._recordUnknownTurn(request, failure)
  }

  /** Closes the program; the fleet releases the resources that it holds for it. False if the program is not found or 5 attempts failed. */
  async close (): Promise<boolean> {
    const { transport, customer } = this._client.options
    for (let round = 0; round < 5; round++) {
      const address = this._preferredAddress ?? await this._client.addresses.resolve()
      const result = await transport.send(address, { type: 'close', customer, programId: this.programId }, { timeoutMs: DEFAULT_OPEN_TIMEOUT_MS })
      const reply = result.type === 'reply' ? result.reply : undefined
      if (reply?.type === 'closed') return true
      const isNotFound = reply?.type === 'notRun' && reply.reason === Reason.NotFound
      if (isNotFound) return false
      this._clearPreferredAddress(address)
      await this._client.backOff(round, reply)
    }
    return false
  }

  private async _send (request: StepRequest, deadlineMs: number, options: StepOptions): Promise<AttemptRecord> {
    const { host } = this._client.options
    const address = this._preferredAddress ?? await this._client.addresses.resolve()
    request.timeoutMs = Math.max(1, deadlineMs - host.nowMs())
    let text = ''
    const onChunk = options.onChunk === undefined
      ? undefined
      : (chunk: string) => {
          text += chunk
          options.onChunk?.(text)
        }
    const attempt = await this._client.attempt(address, { ...request }, { timeoutMs: request.timeoutMs + SEND_MARGIN_MS, onChunk })
    const mustChangeAddress = attempt.reply === undefined || attempt.reply.type === 'unknown' || (attempt.reply.type === 'notRun' && TRANSIENT_REASONS.has(attempt.reply.reason))
    if (mustChangeAddress) this._clearPreferredAddress(address)
    return attempt
  }

  private _clearPreferredAddress (address: string): void {
    this._client.addresses.recordFailure(address)
    this._preferredAddress = undefined
  }

  private _recordTurn (request: StepRequest, reply: Done): StepOutcome {
    this.turns.push({ step: request.step, key: request.key, call: request.call, result: reply.result })
    this._historyDigest = reply.historyDigest
    this._preferredAddress = reply.home.address
    return { result: reply.result, historyDigest: reply.historyDigest, durable: reply.durable }
  }

  /** Records a non-repeatable step with an unknown outcome in the history, so that the program can continue; other failures are returned. */
  private _recordUnknownTurn (request: StepRequest, failure: ClientError): Either<ClientError, StepOutcome> {
    const isRecordable = failure.type === 'unknown' && failure.historyDigest !== undefined && isNonRepeatable(request.call)
    if (!isRecordable || failure.type !== 'unknown') return Left(failure)
    this.turns.push({ step: request.step, key: request.key, call: request.call, result: { type: 'unknown' } })
    this._historyDigest = failure.historyDigest as string
    return Right({ result: { type: 'unknown' }, historyDigest: this._historyDigest, durable: false })
  }
}

function isNonRepeatable (call: StepCall): boolean {
  return call.type === 'service' && !call.isRepeatable
}

function isAnswerLost (reply: Unknown): boolean {
  return reply.reason === Reason.AnswerLost
}

function mayRetry (reply: CallerReply | undefined): boolean {
  if (reply === undefined) return true
  if (reply.type === 'unknown') return !FINAL_REASONS.has(reply.reason)
  return reply.type === 'notRun' && TRANSIENT_REASONS.has(reply.reason)
}

function toError (attempt: AttemptRecord): ClientError {
  const { reply, failure } = attempt
  if (reply?.type === 'notRun' || reply?.type === 'unknown') return reply
  return { type: 'unreachable', detail: failure?.detail ?? `unexpected reply ${reply?.type ?? ''}`, wasSent: failure?.wasSent ?? true }
}
