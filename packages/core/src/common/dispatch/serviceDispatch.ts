/** Runs calls of plain services: chooses a worker, retries repeatable calls and looks up lost results of the others. */
import { inject, injectable } from 'tsyringe'
import type { ServiceCall, ServiceResult } from '../kernel/callerMessages.js'
import { Reason } from '../kernel/callerMessages.js'
import { IBackends } from '../kernel/backendPort.js'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import type { BackendEvent } from '../kernel/events.js'
import { type IDisposable } from '../kernel/lifecycle.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IMembership } from '../membership/membership.js'
import type { WorkerInfo } from '../membership/workerDirectory.js'
import { IOutliers } from './outliers.js'
import { IQuarantine } from './quarantine.js'
import { IRetryBudget } from './retryBudget.js'

/** Delay that the caller is advised to wait before it repeats a step that was not run. */
const RETRY_AFTER_MS = 1_000
const FIRST_SUCCESS_STATUS = 200
const FIRST_REDIRECT_STATUS = 300
const LOOKUP_TIMEOUT_MS = 2_000
const LOOKUP_ATTEMPTS = 4
const LOOKUP_RETRY_MS = 300

/** One service call of a program's step. */
export interface ServiceJob {
  programId: string
  customer: string
  call: ServiceCall
  /** Unique for the step; sent to back ends that honour it. */
  idempotencyKey: string
  /** Digest of the request, equal for every resend of it. */
  fingerprint: string
  /** By `IClock`, in milliseconds; no attempt starts at or after it. */
  deadlineMs: number
  /** Called once, unless the call is cancelled before. */
  onDone: (outcome: ServiceOutcome) => void
}

/** How a service call ended. */
export type ServiceOutcome =
  | { type: 'done', result: ServiceResult }
  /** No worker ran the request. */
  | { type: 'notRun', reason: Reason, detail: string, retryAfterMs: number }
  /** A worker may have run the request, and its answer is lost. */
  | { type: 'unknown', reason: Reason, detail: string }

/** Runs service calls and retries them as far as they may be repeated. */
export interface IServiceDispatch {
  /** Starts a call. Disposing the result cancels a repeatable call, without `onDone`; it has no effect on a non-repeatable one. */
  run (job: ServiceJob): IDisposable
  /**
   * Queries a back end that keeps idempotency keys for the result of an earlier call. `onAnswer` gets undefined when the back
   * end keeps no keys or when no query brought a result.
   */
  lookup (service: string, idempotencyKey: string, onAnswer: (result: ServiceResult | undefined) => void): void
}
export const IServiceDispatch = Symbol('IServiceDispatch')

@injectable()
export class ServiceDispatch implements IServiceDispatch {
  private readonly _inFlightCounts = new Map<string, number>()

  constructor (
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(IBackends) private readonly _backends: IBackends,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IRetryBudget) private readonly _retryBudget: IRetryBudget,
    @inject(IOutliers) private readonly _outliers: IOutliers,
    @inject(IQuarantine) private readonly _quarantine: IQuarantine,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  run (job: ServiceJob): IDisposable {
    this._retryBudget.recordFirstAttempt(job.customer)
    const state: ServiceRun = { job, failedWorkers: new Set(this._quarantine.crashedWorkers(job.fingerprint)), attemptCount: 0, notRunCount: 0, isOver: false }
    this._attempt(state)
    return {
      dispose: () => {
        if (!job.call.isRepeatable || state.isOver) return
        state.isOver = true
        state.call?.dispose()
      }
    }
  }

  lookup (service: string, idempotencyKey: string, onAnswer: (result: ServiceResult | undefined) => void): void {
    if (this._configuration.findBackend(service)?.checksIdempotencyKeys !== true) {
      onAnswer(undefined)
      return
    }
    this._lookUpWithRetries(service, idempotencyKey, LOOKUP_ATTEMPTS, onAnswer)
  }

  private _lookUpWithRetries (service: string, idempotencyKey: string, attemptsLeft: number, onAnswer: (result: ServiceResult | undefined) => void): void {
    const worker = this._chooseWorker(service, new Set())
    const retry = () => this._timers.after(LOOKUP_RETRY_MS, () => this._lookUpWithRetries(service, idempotencyKey, attemptsLeft - 1, onAnswer))
    if (attemptsLeft === 0) {
      onAnswer(undefined)
    } else if (worker === undefined) {
      retry()
    } else {
      this._backends.call(worker, { type: 'lookup', idempotencyKey }, LOOKUP_TIMEOUT_MS, event => {
        if (event.type === 'serviceDone') onAnswer(event.result)
        else retry()
      })
    }
  }

  private _attempt (run: ServiceRun): void {
    if (run.isOver) return
    const { job } = run
    if (this._quarantine.isQuarantined(job.fingerprint)) {
      this._finish(run, { type: 'notRun', reason: Reason.Quarantined, detail: 'the request crashed two workers', retryAfterMs: 0 })
      return
    }
    if (this._clock.nowMs() >= job.deadlineMs) {
      this._finish(run, { type: 'notRun', reason: Reason.DeadlineExceeded, detail: 'no worker was free before the deadline', retryAfterMs: RETRY_AFTER_MS })
      return
    }
    const worker = this._chooseWorker(job.call.service, run.failedWorkers)
    if (worker === undefined) this._retryNotRun(run, 'no worker is available')
    else this._send(run, worker)
  }

  private _send (run: ServiceRun, worker: WorkerInfo): void {
    const { job } = run
    const backend = this._configuration.findBackend(job.call.service)
    const timeoutMs = Math.min(backend?.timeoutMs ?? Infinity, job.deadlineMs - this._clock.nowMs())
    run.attemptCount++
    this._changeInFlightCount(worker.worker, 1)
    const request = {
      type: 'service',
      path: job.call.path,
      body: job.call.body,
      idempotencyKey: backend?.checksIdempotencyKeys === true ? job.idempotencyKey : undefined
    } as const
    run.call = this._backends.call(worker, request, timeoutMs, event => {
      this._changeInFlightCount(worker.worker, -1)
      if (!run.isOver) this._handleEvent(run, worker, event)
    })
  }

  private _handleEvent (run: ServiceRun, worker: WorkerInfo, event: BackendEvent): void {
    if (event.type === 'serviceDone') {
      this._outliers.recordSuccess(worker.worker)
      if (isSuccess(event.result)) this._quarantine.recordRequestSuccess(run.job.fingerprint)
      this._finish(run, { type: 'done', result: event.result })
      return
    }
    if (event.type !== 'failed') return
    this._logger.warn('serviceCallFailed', { worker: worker.worker, program: run.job.programId, detail: event.detail, untouched: event.isUntouched })
    run.failedWorkers.add(worker.worker)
    if (event.isLeaving) this._membership.markLeaving(worker.worker)
    else this._outliers.recordFailure(worker.worker)
    if (event.isUntouched) {
      run.attemptCount--
      this._retryNotRun(run, event.detail)
      return
    }
    if (event.isConnectionLost && !event.isLeaving) this._quarantine.recordCrash(run.job.fingerprint, worker.worker)
    this._handleAmbiguousFailure(run, event.detail)
  }

  private _retryNotRun (run: ServiceRun, detail: string): void {
    run.notRunCount++
    const delayMs = this._backoffMs(run.notRunCount)
    const isTooLate = this._clock.nowMs() + delayMs >= run.job.deadlineMs
    if (isTooLate || run.notRunCount > this._settings.maxAttempts * 2) {
      this._finish(run, { type: 'notRun', reason: Reason.NoBackend, detail, retryAfterMs: RETRY_AFTER_MS })
      return
    }
    if (run.notRunCount > this._settings.maxAttempts) run.failedWorkers.clear()
    this._timers.after(delayMs, () => this._attempt(run))
  }

  /** A non-repeatable request that may have run is never sent again; its back end may still return the result. */
  private _handleAmbiguousFailure (run: ServiceRun, detail: string): void {
    const { job } = run
    if (!job.call.isRepeatable) {
      this.lookup(job.call.service, job.idempotencyKey, result => {
        if (result !== undefined) this._finish(run, { type: 'done', result })
        else this._finish(run, { type: 'unknown', reason: Reason.AnswerLost, detail })
      })
      return
    }
    const mayRetry = run.attemptCount < this._settings.maxAttempts && this._retryBudget.tryTake(job.customer)
    if (mayRetry) this._timers.after(this._backoffMs(run.attemptCount), () => this._attempt(run))
    else this._finish(run, { type: 'unknown', reason: Reason.AnswerLost, detail })
  }

  private _backoffMs (round: number): number {
    return this._settings.retryBackoffMs * 2 ** Math.min(4, round - 1) * (0.5 + this._random.next())
  }

  /** Reports "unknown" instead of "not run" once an attempt may have run. */
  private _finish (run: ServiceRun, outcome: ServiceOutcome): void {
    if (run.isOver) return
    run.isOver = true
    const mayHaveRun = outcome.type === 'notRun' && run.attemptCount > 0
    run.job.onDone(mayHaveRun ? { type: 'unknown', reason: outcome.reason, detail: outcome.detail } : outcome)
  }

  /** The worker with the fewest calls of this node in flight, ties broken at random. Ejected workers only when no other is left. */
  private _chooseWorker (service: string, failed: ReadonlySet<string>): WorkerInfo | undefined {
    const workers = this._membership.workers(service)
    const untried = workers.filter(worker => !failed.has(worker.worker))
    const healthy = untried.filter(worker => !this._outliers.isEjected(worker.worker))
    const candidates = healthy.length > 0 ? healthy : untried
    const load = (worker: WorkerInfo) => this._inFlightCounts.get(worker.worker) ?? 0
    const leastLoad = Math.min(...candidates.map(load))
    return this._random.sample(candidates.filter(worker => load(worker) === leastLoad), 1).at(0)
  }

  private _changeInFlightCount (worker: string, change: number): void {
    this._inFlightCounts.set(worker, (this._inFlightCounts.get(worker) ?? 0) + change)
  }
}

/** Other answers don't show that the worker ran the request. */
function isSuccess ({ status }: ServiceResult): boolean {
  return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS
}

/** A running service call. */
interface ServiceRun {
  job: ServiceJob
  failedWorkers: Set<string>
  /** Attempts that a worker may have run. */
  attemptCount: number
  /** Attempts that no worker ran. */
  notRunCount: number
  isOver: boolean
  call?: IDisposable
}
