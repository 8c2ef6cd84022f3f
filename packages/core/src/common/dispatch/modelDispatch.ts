/** Runs model calls: a slot at the worker's lead, the engine call, retries elsewhere. */
import { inject, injectable } from 'tsyringe'
import type { ChatMessage, ModelResult } from '../kernel/callerMessages.js'
import { Reason } from '../kernel/callerMessages.js'
import { IBackends } from '../kernel/backendPort.js'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import type { BackendEvent } from '../kernel/events.js'
import type { IDisposable } from '../kernel/lifecycle.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { Rank } from '../configuration/document.js'
import { IMembership } from '../membership/membership.js'
import type { SlotReport } from '../peers/peerMessages.js'
import { isMoveCheaper } from '../placement/cacheMove.js'
import { IPlacement } from '../placement/placement.js'
import { ISlotRequester, type Slot } from '../placement/slotRequester.js'
import { IOutliers } from './outliers.js'
import { IQuarantine } from './quarantine.js'
import { IRetryBudget } from './retryBudget.js'

const URGENT_PRIORITY = 10
const OTHER_PRIORITY = 0
const RETRY_AFTER_MS = 1_000
const TRANSFER_TIMEOUT_MS = 2_000

/** What the caller of a dispatch knows of the step. */
export interface ModelJob {
  programId: string
  customer: string
  kind: string
  rank: Rank
  model: string
  /** The whole conversation. */
  messages: ChatMessage[]
  promptTokens: number
  maxTokens: number
  isFirstStep: boolean
  attainedSteps: number
  dueAtMs: number
  deadlineMs: number
  /** Digest of the request, equal for every resend of it. */
  fingerprint: string
  /** Worker that probably holds the conversation in its cache. */
  cachedWorker: string | undefined
  /** How long the engine should keep the cache after the call. */
  retainMs: number
  onChunk: (text: string, tokens: number) => void
  /** Called before every attempt but the first; the attempt waits for `proceed`. */
  onWillRetry: (maxTokens: number, proceed: () => void) => void
  onDone: (outcome: ModelOutcome) => void
}

export type ModelOutcome =
  | { type: 'done', result: ModelResult, worker: string, chargedTokens: number }
  /** Nothing was sent to an engine. */
  | { type: 'notRun', reason: Reason, detail: string, retryAfterMs: number }
  | { type: 'failed', reason: Reason, detail: string, retryAfterMs: number, chargedTokens: number }

/** Runs model calls to their end. */
export interface IModelDispatch {
  /** Starts a job; disposing the result cancels it, and `onDone` is not called. */
  run (job: ModelJob): IDisposable
}
export const IModelDispatch = Symbol('IModelDispatch')

@injectable()
export class ModelDispatch implements IModelDispatch {
  constructor (
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(IBackends) private readonly _backends: IBackends,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IPlacement) private readonly _placement: IPlacement,
    @inject(ISlotRequester) private readonly _slots: ISlotRequester,
    @inject(IRetryBudget) private readonly _retryBudget: IRetryBudget,
    @inject(IOutliers) private readonly _outliers: IOutliers,
    @inject(IQuarantine) private readonly _quarantine: IQuarantine,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  run (job: ModelJob): IDisposable {
    this._retryBudget.recordFirstAttempt(job.customer)
    const run = new ModelRun(job, {
      settings: this._settings,
      clock: this._clock,
      timers: this._timers,
      random: this._random,
      backends: this._backends,
      configuration: this._configuration,
      membership: this._membership,
      placement: this._placement,
      slots: this._slots,
      retryBudget: this._retryBudget,
      outliers: this._outliers,
      quarantine: this._quarantine,
      logger: this._logger
    })
    run.start()
    return run
  }
}

interface RunServices {
  settings: CoreSettings
  clock: IClock
  timers: ITimers
  random: IRandom
  backends: IBackends
  configuration: IConfiguration
  membership: IMembership
  placement: IPlacement
  slots: ISlotRequester
  retryBudget: IRetryBudget
  outliers: IOutliers
  quarantine: IQuarantine
  logger: ILogger
}

/** One job from its first attempt to its end. */
class ModelRun implements IDisposable {
  private readonly _failedWorkers = new Set<string>()
  private _attempts = 0
  private _refusals = 0
  private _text = ''
  private _tokens = 0
  private _chargedTokens = 0
  private _slot: Slot | undefined
  private _call: IDisposable | undefined
  private _timer: IDisposable | undefined
  private _isOver = false
  private _sentAtMs = 0
  private _firstTokenAtMs: number | undefined
  private _attemptTokens = 0

  constructor (private readonly _job: ModelJob, private readonly _services: RunServices) {}

  start (): void {
    this._timer = undefined
    if (this._isOver) return
    if (this._services.quarantine.isQuarantined(this._job.fingerprint)) {
      this._fail(Reason.Quarantined, 'the request crashed two workers', 0)
      return
    }
    const nowMs = this._services.clock.nowMs()
    if (nowMs >= this._job.deadlineMs) {
      this._fail(Reason.DeadlineExceeded, 'no worker was free before the deadline', RETRY_AFTER_MS)
      return
    }
    const { model, cachedWorker, promptTokens, customer, kind, rank, fingerprint } = this._job
    const excluded = new Set([...this._failedWorkers, ...this._services.quarantine.crashedWorkers(fingerprint)])
    const query = { model, cachedWorker, promptTokens, customer, kind, rank, excluded }
    this._services.placement.chooseWorker(query, worker => this._acquire(worker))
  }

  dispose (): void {
    if (this._isOver) return
    this._isOver = true
    this._timer?.dispose()
    this._call?.dispose()
    this._slot?.release(undefined)
  }

  private _acquire (worker: string | undefined): void {
    if (this._isOver) return
    if (worker === undefined) {
      this._retryLater('no worker is available', true)
      return
    }
    const { programId, customer, kind, rank, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens } = this._job
    const isSuspect = this._services.quarantine.isSuspect(this._job.fingerprint)
    this._slot = this._services.slots.acquire({ worker, programId, customer, kind, rank, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens, isSuspect }, answer => {
      if (this._isOver) return
      if (answer.type === 'granted') this._moveCache(worker, () => this._send(worker))
      else this._handleRefusal(answer.reason)
    })
  }

  private _handleRefusal (reason: 'workerGone' | 'deadline' | 'overloaded'): void {
    this._slot = undefined
    if (reason === 'deadline') this._fail(Reason.DeadlineExceeded, 'the step waited until its deadline', RETRY_AFTER_MS)
    else this._retryLater(`the worker's queue answered ${reason}`, true)
  }

  /** Brings the program's cache along when that is cheaper than computing the prompt again. */
  private _moveCache (worker: string, proceed: () => void): void {
    const { cachedWorker, promptTokens, programId } = this._job
    const source = cachedWorker === undefined ? undefined : this._services.membership.findListedWorker(cachedWorker)
    const target = this._services.membership.findWorker(worker)
    const isWorthIt = this._services.settings.movesCaches && source !== undefined && target !== undefined && source.worker !== worker &&
      !this._failedWorkers.has(source.worker) && isMoveCheaper(promptTokens)
    if (!isWorthIt) {
      proceed()
      return
    }
    this._call = this._services.backends.call(target, { type: 'transfer', session: programId, fromAddress: source.address }, TRANSFER_TIMEOUT_MS, () => {
      if (this._isOver) return
      this._services.backends.call(source, { type: 'release', session: programId }, TRANSFER_TIMEOUT_MS, () => {})
      proceed()
    })
  }

  private _send (worker: string): void {
    const target = this._services.membership.findWorker(worker)
    if (target === undefined) {
      this._releaseSlot(undefined)
      this._retryLater('the worker left', true)
      return
    }
    this._attempts++
    this._attemptTokens = 0
    this._firstTokenAtMs = undefined
    this._sentAtMs = this._services.clock.nowMs()
    const messages = this._text === '' ? this._job.messages : [...this._job.messages, { role: 'assistant' as const, content: this._text }]
    const timeoutMs = Math.min(this._job.deadlineMs - this._sentAtMs, this._services.configuration.findBackend(this._job.model)?.timeoutMs ?? Infinity)
    this._call = this._services.backends.call(target, {
      type: 'model',
      model: this._job.model,
      messages,
      maxTokens: this._job.maxTokens - this._tokens,
      priority: this._job.rank === Rank.Urgent ? URGENT_PRIORITY : OTHER_PRIORITY,
      session: this._job.programId,
      retainMs: this._job.retainMs
    }, timeoutMs, event => this._handleEvent(worker, event))
  }

  private _handleEvent (worker: string, event: BackendEvent): void {
    if (this._isOver) return
    if (event.type === 'chunk') {
      this._firstTokenAtMs ??= this._services.clock.nowMs()
      this._text += event.text
      this._tokens += event.tokens
      this._attemptTokens += event.tokens
      this._job.onChunk(event.text, event.tokens)
    } else if (event.type === 'modelDone') {
      this._finish(worker, event.result)
    } else if (event.type === 'failed') {
      this._handleFailure(worker, event)
    }
  }

  private _finish (worker: string, result: ModelResult): void {
    this._releaseSlot(this._report(true, result))
    this._services.outliers.recordSuccess(worker)
    this._services.quarantine.recordRequestSuccess(this._job.fingerprint)
    this._isOver = true
    const whole: ModelResult = { ...result, text: this._text, completionTokens: this._tokens }
    this._job.onDone({ type: 'done', result: whole, worker, chargedTokens: this._chargedTokens + this._tokens })
  }

  private _handleFailure (worker: string, event: Extract<BackendEvent, { type: 'failed' }>): void {
    this._releaseSlot(event.isUntouched ? undefined : this._report(false))
    this._failedWorkers.add(worker)
    if (event.isLeaving) this._services.membership.markLeaving(worker)
    else this._services.outliers.recordFailure(worker)
    this._services.logger.warn('engineCallFailed', { worker, program: this._job.programId, detail: event.detail, untouched: event.isUntouched })
    if (event.isUntouched) {
      this._attempts--
      this._retryLater(event.detail, true)
      return
    }
    this._chargedTokens += this._job.maxTokens - (this._tokens - this._attemptTokens)
    const isCrash = event.isConnectionLost && !event.isLeaving
    if (isCrash) this._services.quarantine.recordCrash(this._job.fingerprint, worker)
    this._retryLater(event.detail, false)
  }

  /** Starts another attempt after a backoff, if the limits allow one. */
  private _retryLater (detail: string, isUntouched: boolean): void {
    const { settings, random, timers, clock, retryBudget } = this._services
    if (isUntouched) this._refusals++
    const isLast = this._attempts >= settings.maxAttempts || (!isUntouched && !retryBudget.tryTake(this._job.customer))
    if (isLast) {
      this._fail(Reason.EngineFailed, detail, RETRY_AFTER_MS)
      return
    }
    const round = Math.min(5, this._attempts + this._refusals)
    const delayMs = settings.retryBackoffMs * 2 ** (round - 1) * (0.5 + random.next())
    if (clock.nowMs() + delayMs >= this._job.deadlineMs) {
      this._fail(isUntouched ? Reason.NoBackend : Reason.EngineFailed, detail, RETRY_AFTER_MS)
      return
    }
    const proceed = () => { this._timer = timers.after(delayMs, () => this.start()) }
    if (isUntouched) proceed()
    else this._job.onWillRetry(this._job.maxTokens - this._tokens, () => { if (!this._isOver) proceed() })
    if (this._refusals > settings.maxAttempts) this._failedWorkers.clear()
  }

  private _fail (reason: Reason, detail: string, retryAfterMs: number): void {
    this._isOver = true
    const wasSent = this._attempts > 0
    if (wasSent) this._job.onDone({ type: 'failed', reason, detail, retryAfterMs, chargedTokens: this._chargedTokens })
    else this._job.onDone({ type: 'notRun', reason, detail, retryAfterMs })
  }

  private _releaseSlot (report: SlotReport | undefined): void {
    this._slot?.release(report)
    this._slot = undefined
    this._call = undefined
  }

  private _report (isSuccess: boolean, result?: ModelResult): SlotReport {
    const nowMs = this._services.clock.nowMs()
    const firstTokenAtMs = this._firstTokenAtMs ?? nowMs
    const tokenGapMs = this._attemptTokens > 1 ? (nowMs - firstTokenAtMs) / (this._attemptTokens - 1) : 0
    return {
      isSuccess,
      serviceMs: nowMs - this._sentAtMs,
      firstTokenMs: firstTokenAtMs - this._sentAtMs,
      tokenGapMs,
      promptTokens: result?.promptTokens ?? this._job.promptTokens,
      cachedTokens: result?.cachedTokens ?? 0
    }
  }
}
