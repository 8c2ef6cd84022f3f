/** Runs model calls: acquires a slot from the worker's coordinator, calls the engine and retries on other workers. */
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

/** Engines serve larger priorities first. */
const URGENT_PRIORITY = 10
const DEFAULT_PRIORITY = 0
/** Delay that the caller is advised to wait before it repeats a step that was not run. */
const RETRY_AFTER_MS = 1_000
const CACHE_MOVE_TIMEOUT_MS = 2_000

/** One model call of a program's step. Times and deadlines are those of `IClock`, in milliseconds. */
export interface ModelJob {
  programId: string
  customer: string
  kind: string
  rank: Rank
  model: string
  /** The whole conversation. */
  messages: ChatMessage[]
  /** Estimated tokens of `messages`. */
  promptTokens: number
  /** The most tokens that the call may generate, over all attempts. */
  maxTokens: number
  isFirstStep: boolean
  /** Steps that the program has finished. */
  attainedSteps: number
  /** When the program should be complete. */
  dueAtMs: number
  /** No attempt starts at or after this time, and running calls time out at it. */
  deadlineMs: number
  /** Digest of the request, equal for every resend of it. */
  fingerprint: string
  /** Worker that probably holds the conversation in its cache; undefined when none is known. */
  cachedWorker: string | undefined
  /** How long the engine should keep the cache after the call, in milliseconds. */
  retainMs: number
  /** Called for each generated piece of text and its number of tokens. A later attempt continues the text of a failed one. */
  onChunk: (text: string, tokens: number) => void
  /**
   * Called before an attempt that follows one which a worker may have run; the attempt waits for `proceed`.
   * `maxTokens` is what may still be generated.
   */
  onWillRetry: (maxTokens: number, proceed: () => void) => void
  /** Called once, unless the job is cancelled before. */
  onDone: (outcome: ModelOutcome) => void
}

/**
 * How a model call ended. `chargedTokens` are the generated tokens to charge; each failed attempt that may have run counts
 * with its maximum.
 */
export type ModelOutcome =
  | { type: 'done', result: ModelResult, worker: string, chargedTokens: number }
  /** No engine ran the call. */
  | { type: 'notRun', reason: Reason, detail: string, retryAfterMs: number }
  /** At least one engine may have run the call, and no attempt succeeded. */
  | { type: 'failed', reason: Reason, detail: string, retryAfterMs: number, chargedTokens: number }

/** Runs model calls and retries failed attempts until one succeeds or a limit is reached. */
export interface IModelDispatch {
  /** Starts a job. Disposing the result cancels it; `onDone` is then not called. */
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
    @inject(ISlotRequester) private readonly _slotRequester: ISlotRequester,
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
      slotRequester: this._slotRequester,
      retryBudget: this._retryBudget,
      outliers: this._outliers,
      quarantine: this._quarantine,
      logger: this._logger
    })
    run.startAttempt()
    return run
  }
}

interface ModelRunDependencies {
  settings: CoreSettings
  clock: IClock
  timers: ITimers
  random: IRandom
  backends: IBackends
  configuration: IConfiguration
  membership: IMembership
  placement: IPlacement
  slotRequester: ISlotRequester
  retryBudget: IRetryBudget
  outliers: IOutliers
  quarantine: IQuarantine
  logger: ILogger
}

/** One model call with all its attempts. */
class ModelRun implements IDisposable {
  private readonly _failedWorkers = new Set<string>()
  /** Attempts that an engine may have run. */
  private _attemptCount = 0
  /** Attempts that no engine ran: no worker was available, the queue refused, or the engine did not run the call. */
  private _notRunCount = 0
  /** Text and tokens of all attempts; a retry sends the text along and the engine continues it. */
  private _generatedText = ''
  private _generatedTokens = 0
  /** Maxima of the failed attempts that an engine may have run. */
  private _chargedTokens = 0
  private _slot: Slot | undefined
  private _call: IDisposable | undefined
  private _retryTimer: IDisposable | undefined
  private _isOver = false
  private _sentAtMs = 0
  private _firstTokenAtMs: number | undefined
  private _attemptTokens = 0

  constructor (private readonly _job: ModelJob, private readonly _dependencies: ModelRunDependencies) {}

  startAttempt (): void {
    this._retryTimer = undefined
    if (this._isOver) return
    if (this._dependencies.quarantine.isQuarantined(this._job.fingerprint)) {
      this._fail(Reason.Quarantined, 'the request crashed two workers', 0)
      return
    }
    const nowMs = this._dependencies.clock.nowMs()
    if (nowMs >= this._job.deadlineMs) {
      this._fail(Reason.DeadlineExceeded, 'no worker was free before the deadline', RETRY_AFTER_MS)
      return
    }
    const { model, cachedWorker, promptTokens, customer, kind, rank, fingerprint } = this._job
    const excluded = new Set([...this._failedWorkers, ...this._dependencies.quarantine.crashedWorkers(fingerprint)])
    const query = { model, cachedWorker, promptTokens, customer, kind, rank, excluded }
    this._dependencies.placement.chooseWorker(query, worker => this._acquireSlot(worker))
  }

  dispose (): void {
    if (this._isOver) return
    this._isOver = true
    this._retryTimer?.dispose()
    this._call?.dispose()
    this._slot?.release(undefined)
  }

  private _acquireSlot (worker: string | undefined): void {
    if (this._isOver) return
    if (worker === undefined) {
      this._scheduleRetry('no worker is available', true)
      return
    }
    const { programId, customer, kind, rank, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens } = this._job
    const isSuspect = this._dependencies.quarantine.isSuspect(this._job.fingerprint)
    this._slot = this._dependencies.slotRequester.acquire({ worker, programId, customer, kind, rank, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens, isSuspect }, answer => {
      if (this._isOver) return
      if (answer.type === 'granted') this._moveCache(worker, () => this._send(worker))
      else this._handleRefusal(answer.reason)
    })
  }

  private _handleRefusal (reason: 'workerGone' | 'deadline' | 'overloaded'): void {
    this._slot = undefined
    if (reason === 'deadline') this._fail(Reason.DeadlineExceeded, 'the step was still queued at its deadline', RETRY_AFTER_MS)
    else this._scheduleRetry(`the worker's queue refused the step: ${reason}`, true)
  }

  /** Moves the program's cache to `worker` first when that is cheaper than computing the prompt again. */
  private _moveCache (worker: string, proceed: () => void): void {
    const { cachedWorker, promptTokens, programId } = this._job
    const source = cachedWorker === undefined ? undefined : this._dependencies.membership.findListedWorker(cachedWorker)
    const target = this._dependencies.membership.findWorker(worker)
    const isMoveWorthwhile = this._dependencies.settings.movesCaches && source !== undefined && target !== undefined && source.worker !== worker &&
      !this._failedWorkers.has(source.worker) && isMoveCheaper(promptTokens)
    if (!isMoveWorthwhile) {
      proceed()
      return
    }
    this._call = this._dependencies.backends.call(target, { type: 'transfer', session: programId, fromAddress: source.address }, CACHE_MOVE_TIMEOUT_MS, () => {
      if (this._isOver) return
      this._dependencies.backends.call(source, { type: 'release', session: programId }, CACHE_MOVE_TIMEOUT_MS, () => {})
      proceed()
    })
  }

  private _send (worker: string): void {
    const target = this._dependencies.membership.findWorker(worker)
    if (target === undefined) {
      this._releaseSlot(undefined)
      this._scheduleRetry('the worker is no longer available', true)
      return
    }
    this._attemptCount++
    this._attemptTokens = 0
    this._firstTokenAtMs = undefined
    this._sentAtMs = this._dependencies.clock.nowMs()
    const messages = this._generatedText === '' ? this._job.messages : [...this._job.messages, { role: 'assistant' as const, content: this._generatedText }]
    const timeoutMs = Math.min(this._job.deadlineMs - this._sentAtMs, this._dependencies.configuration.findBackend(this._job.model)?.timeoutMs ?? Infinity)
    this._call = this._dependencies.backends.call(target, {
      type: 'model',
      model: this._job.model,
      messages,
      maxTokens: this._job.maxTokens - this._generatedTokens,
      priority: this._job.rank === Rank.Urgent ? URGENT_PRIORITY : DEFAULT_PRIORITY,
      session: this._job.programId,
      retainMs: this._job.retainMs
    }, timeoutMs, event => this._handleEvent(worker, event))
  }

  private _handleEvent (worker: string, event: BackendEvent): void {
    if (this._isOver) return
    if (event.type === 'chunk') {
      this._firstTokenAtMs ??= this._dependencies.clock.nowMs()
      this._generatedText += event.text
      this._generatedTokens += event.tokens
      this._attemptTokens += event.tokens
      this._job.onChunk(event.text, event.tokens)
    } else if (event.type === 'modelDone') {
      this._finish(worker, event.result)
    } else if (event.type === 'failed') {
      this._handleFailure(worker, event)
    }
  }

  private _finish (worker: string, result: ModelResult): void {
    this._releaseSlot(this._createSlotReport(true, result))
    this._dependencies.outliers.recordSuccess(worker)
    this._dependencies.quarantine.recordRequestSuccess(this._job.fingerprint)
    this._isOver = true
    const fullResult: ModelResult = { ...result, text: this._generatedText, completionTokens: this._generatedTokens }
    this._job.onDone({ type: 'done', result: fullResult, worker, chargedTokens: this._chargedTokens + this._generatedTokens })
  }

  private _handleFailure (worker: string, event: Extract<BackendEvent, { type: 'failed' }>): void {
    this._releaseSlot(event.isUntouched ? undefined : this._createSlotReport(false))
    this._failedWorkers.add(worker)
    if (event.isLeaving) this._dependencies.membership.markLeaving(worker)
    else this._dependencies.outliers.recordFailure(worker)
    this._dependencies.logger.warn('engineCallFailed', { worker, program: this._job.programId, detail: event.detail, untouched: event.isUntouched })
    if (event.isUntouched) {
      this._attemptCount--
      this._scheduleRetry(event.detail, true)
      return
    }
    this._chargedTokens += this._job.maxTokens - (this._generatedTokens - this._attemptTokens)
    const isCrash = event.isConnectionLost && !event.isLeaving
    if (isCrash) this._dependencies.quarantine.recordCrash(this._job.fingerprint, worker)
    this._scheduleRetry(event.detail, false)
  }

  /** Starts another attempt after an exponential backoff; fails the job when attempts, retry budget or time are used up. */
  private _scheduleRetry (detail: string, isUntouched: boolean): void {
    const { settings, random, timers, clock, retryBudget } = this._dependencies
    if (isUntouched) this._notRunCount++
    const isLast = this._attemptCount >= settings.maxAttempts || (!isUntouched && !retryBudget.tryTake(this._job.customer))
    if (isLast) {
      this._fail(Reason.EngineFailed, detail, RETRY_AFTER_MS)
      return
    }
    const round = Math.min(5, this._attemptCount + this._notRunCount)
    const delayMs = settings.retryBackoffMs * 2 ** (round - 1) * (0.5 + random.next())
    if (clock.nowMs() + delayMs >= this._job.deadlineMs) {
      this._fail(isUntouched ? Reason.NoBackend : Reason.EngineFailed, detail, RETRY_AFTER_MS)
      return
    }
    const proceed = () => { this._retryTimer = timers.after(delayMs, () => this.startAttempt()) }
    if (isUntouched) proceed()
    else this._job.onWillRetry(this._job.maxTokens - this._generatedTokens, () => { if (!this._isOver) proceed() })
    if (this._notRunCount > settings.maxAttempts) this._failedWorkers.clear()
  }

  private _fail (reason: Reason, detail: string, retryAfterMs: number): void {
    this._isOver = true
    const mayHaveRun = this._attemptCount > 0
    if (mayHaveRun) this._job.onDone({ type: 'failed', reason, detail, retryAfterMs, chargedTokens: this._chargedTokens })
    else this._job.onDone({ type: 'notRun', reason, detail, retryAfterMs })
  }

  private _releaseSlot (report: SlotReport | undefined): void {
    this._slot?.release(report)
    this._slot = undefined
    this._call = undefined
  }

  private _createSlotReport (isSuccess: boolean, result?: ModelResult): SlotReport {
    const nowMs = this._dependencies.clock.nowMs()
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
