/** Runs calls of plain services: picks a worker, retries what may be repeated, asks what became of the rest. */
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

const RETRY_AFTER_MS = 1_000
const LOOKUP_TIMEOUT_MS = 2_000
const LOOKUP_ATTEMPTS = 4
const LOOKUP_PAUSE_MS = 300

export interface ServiceJob {
  programId: string
  customer: string
  call: ServiceCall
  /** Unique for the step; sent to back ends that honour it. */
  idempotencyKey: string
  fingerprint: string
  deadlineMs: number
  onDone: (outcome: ServiceOutcome) => void
}

export type ServiceOutcome =
  | { type: 'done', result: ServiceResult }
  /** No byte of the request reached a worker that may have run it. */
  | { type: 'notRun', reason: Reason, detail: string, retryAfterMs: number }
  /** The request may have run. */
  | { type: 'unknown', reason: Reason, detail: string }

/** Runs service calls. */
export interface IServiceDispatch {
  /** Starts a call; disposing the result cancels it if it may be repeated. */
  run (job: ServiceJob): IDisposable
  /** Asks back ends that keep idempotency keys for the answer of an earlier call; undefined when none knows it. */
  lookup (service: string, idempotencyKey: string, onAnswer: (result: ServiceResult | undefined) => void): void
}
export const IServiceDispatch = Symbol('IServiceDispatch')

@injectable()
export class ServiceDispatch implements IServiceDispatch {
  private readonly _inFlight = new Map<string, number>()

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
    const state: ServiceRun = { job, failedWorkers: new Set(this._quarantine.crashedWorkers(job.fingerprint)), attempts: 0, refusals: 0, isOver: false }
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
    this._lookupFrom(service, idempotencyKey, LOOKUP_ATTEMPTS, onAnswer)
  }

  private _lookupFrom (service: string, idempotencyKey: string, attemptsLeft: number, onAnswer: (result: ServiceResult | undefined) => void): void {
    const worker = this._chooseWorker(service, new Set())
    const retry = () => this._timers.after(LOOKUP_PAUSE_MS, () => this._lookupFrom(service, idempotencyKey, attemptsLeft - 1, onAnswer))
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
      this._end(run, { type: 'notRun', reason: Reason.Quarantined, detail: 'the request crashed two workers', retryAfterMs: 0 })
      return
    }
    if (this._clock.nowMs() >= job.deadlineMs) {
      this._end(run, { type: 'notRun', reason: Reason.DeadlineExceeded, detail: 'no worker was free before the deadline', retryAfterMs: RETRY_AFTER_MS })
      return
    }
    const worker = this._chooseWorker(job.call.service, run.failedWorkers)
    if (worker === undefined) this._retryUntouched(run, 'no worker is available')
    else this._send(run, worker)
  }

  private _send (run: ServiceRun, worker: WorkerInfo): void {
    const { job } = run
    const backend = this._configuration.findBackend(job.call.service)
    const timeoutMs = Math.min(backend?.timeoutMs ?? Infinity, job.deadlineMs - this._clock.nowMs())
    run.attempts++
    this._addInFlight(worker.worker, 1)
    const request = {
      type: 'service',
      path: job.call.path,
      body: job.call.body,
      idempotencyKey: backend?.checksIdempotencyKeys === true ? job.idempotencyKey : undefined
    } as const
    run.call = this._backends.call(worker, request, timeoutMs, event => {
      this._addInFlight(worker.worker, -1)
      if (!run.isOver) this._handleEvent(run, worker, event)
    })
  }

  private _handleEvent (run: ServiceRun, worker: WorkerInfo, event: BackendEvent): void {
    if (event.type === 'serviceDone') {
      this._outliers.recordSuccess(worker.worker)
      this._quarantine.recordRequestSuccess(run.job.fingerprint)
      this._end(run, { type: 'done', result: event.result })
      return
    }
    if (event.type !== 'failed') return
    this._logger.warn('serviceCallFailed', { worker: worker.worker, program: run.job.programId, detail: event.detail, untouched: event.isUntouched })
    run.failedWorkers.add(worker.worker)
    if (event.isLeaving) this._membership.markLeaving(worker.worker)
    else this._outliers.recordFailure(worker.worker)
    if (event.isUntouched) {
      run.attempts--
      this._retryUntouched(run, event.detail)
      return
    }
    if (event.isConnectionLost && !event.isLeaving) this._quarantine.recordCrash(run.job.fingerprint, worker.worker)
    this._handleTouched(run, event.detail)
  }

  private _retryUntouched (run: ServiceRun, detail: string): void {
    run.refusals++
    const delayMs = this._backoffMs(run.refusals)
    const isTooLate = this._clock.nowMs() + delayMs >= run.job.deadlineMs
    if (isTooLate || run.refusals > this._settings.maxAttempts * 2) {
      this._end(run, { type: 'notRun', reason: Reason.NoBackend, detail, retryAfterMs: RETRY_AFTER_MS })
      return
    }
    if (run.refusals > this._settings.maxAttempts) run.failedWorkers.clear()
    this._timers.after(delayMs, () => this._attempt(run))
  }

  /** A non-repeatable request that may have run is never sent again; its back end may know what became of it. */
  private _handleTouched (run: ServiceRun, detail: string): void {
    const { job } = run
    if (!job.call.isRepeatable) {
      this.lookup(job.call.service, job.idempotencyKey, result => {
        if (result !== undefined) this._end(run, { type: 'done', result })
        else this._end(run, { type: 'unknown', reason: Reason.AnswerLost, detail })
      })
      return
    }
    const mayRetry = run.attempts < this._settings.maxAttempts && this._retryBudget.tryTake(job.customer)
    if (mayRetry) this._timers.after(this._backoffMs(run.attempts), () => this._attempt(run))
    else this._end(run, { type: 'unknown', reason: Reason.AnswerLost, detail })
  }

  private _backoffMs (round: number): number {
    return this._settings.retryBackoffMs * 2 ** Math.min(4, round - 1) * (0.5 + this._random.next())
  }

  /** A call of which an attempt was sent is never answered with "not run". */
  private _end (run: ServiceRun, outcome: ServiceOutcome): void {
    if (run.isOver) return
    run.isOver = true
    const mayHaveRun = outcome.type === 'notRun' && run.attempts > 0
    run.job.onDone(mayHaveRun ? { type: 'unknown', reason: outcome.reason, detail: outcome.detail } : outcome)
  }

  /** The worker with the fewest calls of this node, ties broken at random. */
  private _chooseWorker (service: string, failed: ReadonlySet<string>): WorkerInfo | undefined {
    const workers = this._membership.workers(service)
    const fresh = workers.filter(worker => !failed.has(worker.worker))
    const healthy = fresh.filter(worker => !this._outliers.isEjected(worker.worker))
    const candidates = healthy.length > 0 ? healthy : fresh
    const load = (worker: WorkerInfo) => this._inFlight.get(worker.worker) ?? 0
    const least = Math.min(...candidates.map(load))
    return this._random.sample(candidates.filter(worker => load(worker) === least), 1).at(0)
  }

  private _addInFlight (worker: string, change: number): void {
    this._inFlight.set(worker, (this._inFlight.get(worker) ?? 0) + change)
  }
}

interface ServiceRun {
  job: ServiceJob
  failedWorkers: Set<string>
  attempts: number
  refusals: number
  isOver: boolean
  call?: IDisposable
}
