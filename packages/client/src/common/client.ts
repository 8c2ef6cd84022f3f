/** The caller library: opens programs and runs their steps through failures. */
import { type Either, Left, Right } from 'purify-ts'
import { type CallerReply, type Done, type NotRun, type OpenRequest, Reason, type StepCall, type StepRequest, type StepResult, type Turn, type Unknown } from '@trefoilshunt/core'
import { AddressBook } from './addressBook.js'
import { sendWatched } from './livenessCheck.js'
import type { ICallerTransport, IClientHost } from './transport.js'

const BACKOFF_BASE_MS = 150
const BACKOFF_MAX_MS = 3_000
const SEND_MARGIN_MS = 2_000
const DEFAULT_STEP_TIMEOUT_MS = 60_000
const DEFAULT_OPEN_TIMEOUT_MS = 10_000
/** Times that the fate of a non-repeatable step is asked for before `unknown` is final. */
const UNKNOWN_ROUNDS = 4

/** Reasons after which the same request may succeed a little later. */
const PASSING_REASONS: ReadonlySet<Reason> = new Set([
  Reason.NotReady, Reason.OwnerMoved, Reason.OwnerUnreachable, Reason.LogUnavailable, Reason.NoBackend, Reason.EngineFailed,
  Reason.Draining, Reason.BusyStep, Reason.Cancelled
])

/** Reasons after which sending the same request again changes nothing. */
const FINAL_REASONS: ReadonlySet<Reason> = new Set([
  Reason.Expired, Reason.BudgetExceeded, Reason.Closed, Reason.KeyReused, Reason.HistoryMismatch, Reason.Quarantined, Reason.NotFound,
  Reason.UnknownBackend, Reason.UnknownKind
])

export interface ClientOptions {
  customer: string
  transport: ICallerTransport
  host: IClientHost
  /** Addresses of some nodes, to begin with. */
  seeds: string[]
  zone?: string
  /** Sees every attempt and its reply; tests record them. */
  onAttempt?: (attempt: AttemptRecord) => void
}

/** One request as sent, and what came back. */
export interface AttemptRecord {
  address: string
  request: OpenRequest | StepRequest
  sentAtMs: number
  endedAtMs: number
  reply?: CallerReply
  failure?: { wasSent: boolean, detail: string }
}

export interface OpenOptions {
  kind: string
  /** The program that starts this one as its sub-agent. */
  parent?: ProgramSession
  targetMs?: number
  timeoutMs?: number
  /** Try again, after the time that a refusal names, until the timeout. */
  retriesOverload?: boolean
}

export interface StepOptions {
  timeoutMs?: number
  onChunk?: (text: string) => void
}

/** Why a request has no result: the last reply, or the lack of one. */
export type ClientError = NotRun | Unknown | { type: 'unreachable', detail: string, wasSent: boolean }

/**
 * Connects a caller to the fleet.
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

  /** Opens a program; an overload refusal is returned at once unless `retriesOverload` is set. */
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
        request.parentCopy = options.parent.copy()
        continue
      }
      if (reply?.type === 'opened') return Right(new ProgramSession(this, options.kind, reply.programId, reply.home.address, reply.historyDigest))
      failure = toError(attempt)
      const mayPass = reply === undefined || (reply.type === 'notRun' && PASSING_REASONS.has(reply.reason)) || reply.type === 'unknown' ||
        (options.retriesOverload === true && reply.type === 'notRun' && reply.reason === Reason.Overloaded)
      if (!mayPass) return Left(failure)
      if (reply === undefined || (reply.type === 'notRun' && reply.reason === Reason.Draining)) this.addresses.recordFailure(address)
      await this.backOff(round, reply)
    }
    return Left(failure)
  }

  /** Sends one request and reports it to the observer. */
  async attempt (address: string, request: OpenRequest | StepRequest, options: { timeoutMs: number, onChunk?: (text: string, tokens: number) => void }): Promise<AttemptRecord> {
    const { host, transport, onAttempt } = this.options
    const sentAtMs = host.nowMs()
    const result = await sendWatched(transport, host, address, request, options)
    const attempt: AttemptRecord = { address, request, sentAtMs, endedAtMs: host.nowMs() }
    if (result.type === 'reply') attempt.reply = result.reply
    else attempt.failure = { wasSent: result.wasSent, detail: result.detail }
    onAttempt?.(attempt)
    return attempt
  }

  /** Waits before the next attempt: as long as the reply says, or exponentially longer with jitter. */
  async backOff (round: number, reply: CallerReply | undefined): Promise<void> {
    const { host } = this.options
    const named = reply !== undefined && 'retryAfterMs' in reply ? reply.retryAfterMs : undefined
    const exponentialMs = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** round)
    await host.sleep((named ?? exponentialMs) * (0.75 + host.random() / 2))
  }

  /** A key that no other request of this client has. */
  nextKey (): string {
    this._lastKey++
    const salt = Math.floor(this.options.host.random() * 0x1_0000_0000).toString(36)
    return `${this._lastKey.toString(36)}-${salt}`
  }
}

/** What a step came to. */
export interface StepOutcome {
  result: StepResult
  historyDigest: string
  durable: boolean
}

/** An open program: numbers its steps, keeps its history, resends with the same key. */
export class ProgramSession {
  readonly turns: Turn[] = []
  private _home: string | undefined

  constructor (
    private readonly _client: Client,
    readonly kind: string,
    readonly programId: string,
    home: string,
    private _historyDigest: string
  ) {
    this._home = home
  }

  get historyDigest (): string {
    return this._historyDigest
  }

  /** Address of the node that answered last, if it is still trusted. */
  get home (): string | undefined {
    return this._home
  }

  /** Sends the next step to this address, whether or not it is the program's home. */
  useAddress (address: string): void {
    this._home = address
  }

  /** What the caller knows of the program, for a node that has lost it. */
  copy (): { kind: string, history: Turn[], historyDigest: string } {
    return { kind: this.kind, history: [...this.turns], historyDigest: this._historyDigest }
  }

  get nextStep (): number {
    return this.turns.length + 1
  }

  /**
   * Runs the next step to its end, through lost connections and moved homes. An `unknown` result of a non-repeatable
   * call is final; the program may go on after it.
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
    let unknownRounds = 0
    for (let round = 0; host.nowMs() < deadlineMs; round++) {
      const attempt = await this._send(request, deadlineMs, options)
      const { reply } = attempt
      if (reply?.type === 'done') return Right(this._record(request, reply))
      if (reply?.type === 'historyNeeded') {
        request.history = [...this.turns]
        continue
      }
      failure = toError(attempt)
      const mayHaveRun = reply === undefined ? attempt.failure?.wasSent === true : reply.type === 'unknown'
      if (mayHaveRun) request.isResend = true
      if (reply?.type === 'unknown' && isFateUnknown(reply)) unknownRounds++
      if (unknownRounds >= UNKNOWN_ROUNDS) return this._recordUnknown(request, failure)
      if (!mayTryAgain(reply)) return Left(failure)
      await this._client.backOff(Math.min(round, 5), reply)
    }
    return this._recordUnknown(request, failure)
  }

  /** Closes the program; the fleet releases what it holds for it. */
  async close (): Promise<boolean> {
    const { transport, customer } = this._client.options
    for (let round = 0; round < 5; round++) {
      const address = this._home ?? await this._client.addresses.resolve()
      const result = await transport.send(address, { type: 'close', customer, programId: this.programId }, { timeoutMs: DEFAULT_OPEN_TIMEOUT_MS })
      const reply = result.type === 'reply' ? result.reply : undefined
      if (reply?.type === 'closed') return true
      const isGone = reply?.type === 'notRun' && reply.reason === Reason.NotFound
      if (isGone) return false
      this._forgetHome(address)
      await this._client.backOff(round, reply)
    }
    return false
  }

  private async _send (request: StepRequest, deadlineMs: number, options: StepOptions): Promise<AttemptRecord> {
    const { host } = this._client.options
    const address = this._home ?? await this._client.addresses.resolve()
    request.timeoutMs = Math.max(1, deadlineMs - host.nowMs())
    let text = ''
    const onChunk = options.onChunk === undefined
      ? undefined
      : (chunk: string) => {
          text += chunk
          options.onChunk?.(text)
        }
    const attempt = await this._client.attempt(address, { ...request }, { timeoutMs: request.timeoutMs + SEND_MARGIN_MS, onChunk })
    const isLost = attempt.reply === undefined || attempt.reply.type === 'unknown' || (attempt.reply.type === 'notRun' && PASSING_REASONS.has(attempt.reply.reason))
    if (isLost) this._forgetHome(address)
    return attempt
  }

  private _forgetHome (address: string): void {
    this._client.addresses.recordFailure(address)
    this._home = undefined
  }

  private _record (request: StepRequest, reply: Done): StepOutcome {
    this.turns.push({ step: request.step, key: request.key, call: request.call, result: reply.result })
    this._historyDigest = reply.historyDigest
    this._home = reply.home.address
    return { result: reply.result, historyDigest: reply.historyDigest, durable: reply.durable }
  }

  /** Lets the program go on behind a non-repeatable step of unknown fate. */
  private _recordUnknown (request: StepRequest, failure: ClientError): Either<ClientError, StepOutcome> {
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

function isFateUnknown (reply: Unknown): boolean {
  return reply.reason === Reason.AnswerLost
}

function mayTryAgain (reply: CallerReply | undefined): boolean {
  if (reply === undefined) return true
  if (reply.type === 'unknown') return !FINAL_REASONS.has(reply.reason)
  return reply.type === 'notRun' && PASSING_REASONS.has(reply.reason)
}

function toError (attempt: AttemptRecord): ClientError {
  const { reply, failure } = attempt
  if (reply?.type === 'notRun' || reply?.type === 'unknown') return reply
  return { type: 'unreachable', detail: failure?.detail ?? `unexpected reply ${reply?.type ?? ''}`, wasSent: failure?.wasSent ?? true }
}
