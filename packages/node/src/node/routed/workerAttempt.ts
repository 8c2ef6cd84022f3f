/** One attempt to have a worker run a request; updates the worker's statistics with its result. */
import { AttemptOutcome, type EventTimes, type PlacementEnd, type Route, type WorkerRegistration } from '@trefoilshunt/core'
import type { CallFailure, IOpenWorkerCall, IWorkerCallListener, WorkerCall } from '../../common/routed/workerClient.js'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import { steadyNowMs } from '../steadyClock.js'
import type { OpenRequest } from './openRequestReporter.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'

const FIRST_SERVER_ERROR_STATUS = 500
/** A worker counts as failing if no answer begins within the longer of the two: milliseconds, and multiples of the expected duration. */
const NO_RESPONSE_MS = 500
const NO_RESPONSE_DURATIONS = 4
/** Severity of a refusal or an error answer, which cost the caller less than no answer (1). */
const ANSWERED_SEVERITY = 0.5

export interface WorkerAttemptOptions {
  dependencies: RoutedCallDependencies
  request: RoutedRequest
  route: Route
  worker: WorkerRegistration
  call: WorkerCall
  isSuspect: boolean
  /** Called once when the attempt has ended. */
  onReleased?: (end: PlacementEnd) => void
  listener: Omit<IWorkerCallListener, 'onFailed'> & { onFailed: (outcome: AttemptOutcome, detail: string) => void }
}

/**
 * Begins with its construction and ends when the worker has answered or failed, or with `cancel`. After `onEnd` the caller must
 * call `recordAnswer` or `rejectAnswer`.
 *
 * @example
 * const attempt = new WorkerAttempt({ dependencies, request, route, worker, call, listener })
 * attempt.cancel()
 */
export class WorkerAttempt {
  private readonly _startedMs = steadyNowMs()
  private _openCall: IOpenWorkerCall | undefined
  private readonly _openRequest: OpenRequest
  private _noResponseTimer: NodeJS.Timeout | undefined
  /** Highest severity of the failures so far; 0 without any. */
  private _failureSeverity = 0

  constructor (private readonly _options: WorkerAttemptOptions) {
    const { dependencies, request, route, worker, call, isSuspect, listener } = _options
    dependencies.statistics.beginRequest(worker.workerId, this._startedMs)
    dependencies.statistics.recordPrompt(worker.workerId, request.prompt)
    this._openRequest = dependencies.openRequests.begin(request, worker, { sentAtMs: this._startedMs, isSuspect })
    const noResponseMs = Math.max(NO_RESPONSE_MS, NO_RESPONSE_DURATIONS * dependencies.durations.expectedMs(route))
    this._noResponseTimer = setTimeout(() => this._recordFailure(1), noResponseMs)
    this._openCall = dependencies.workers.call(call, {
      onHead: head => {
        clearTimeout(this._noResponseTimer)
        dependencies.noticeReporter.observe(worker, head.notice)
        listener.onHead(head)
      },
      onData: bytes => listener.onData(bytes),
      onEnd: () => {
        this._openCall = undefined
        listener.onEnd()
      },
      onFailed: failure => this._fail(failure)
    })
  }

  /** Steady time at which the attempt began. */
  get startedMs (): number {
    return this._startedMs
  }

  get worker (): WorkerRegistration {
    return this._options.worker
  }

  /** True until the worker has answered or failed. */
  get isOpen (): boolean {
    return this._openCall !== undefined
  }

  /** Aborts an open call; no method of the listener is called afterwards. */
  cancel (): void {
    if (this._openCall === undefined) return
    const { isSent } = this._openCall
    this._openCall.abort()
    this._openCall = undefined
    if (isSent) this._reportUnanswered(false)
    this._end()
  }

  /** Cancels an open call whose answer has begun and has not ended within the worker's time, which counts against the worker. */
  cancelUnfinished (): void {
    if (this.isOpen) this._recordFailure(ANSWERED_SEVERITY)
    this.cancel()
  }

  /** Ends an open call as broken, because its answer can't be accepted any further. */
  fail (detail: string): void {
    if (this._openCall === undefined) return
    this._openCall.abort()
    this._fail({ type: 'broken', detail })
  }

  /** While true, no more of the answer is read. */
  setPaused (isPaused: boolean): void {
    if (isPaused) this._openCall?.pause()
    else this._openCall?.resume()
  }

  /** Records a complete answer in the statistics. `events` is the number of events of a stream, 1 for other answers; `eventTimes` are known if the attempt brought a whole stream. */
  recordAnswer (status: number, events: number, eventTimes?: EventTimes): void {
    const { durations } = this._options.dependencies
    if (status >= FIRST_SERVER_ERROR_STATUS) {
      this._recordFailure(ANSWERED_SEVERITY)
      this._end()
    } else {
      this._end(durations.record(this._options.route, steadyNowMs() - this._startedMs, events), eventTimes)
    }
  }

  /** Records an answer that has ended and isn't complete as a failure of the worker. */
  rejectAnswer (detail: string): void {
    this._fail({ type: 'broken', detail })
  }

  /** Has the request count as a suspect if the worker turns out to have ended: its answer does not show that it lives. */
  watchWorker (): void {
    this._reportUnanswered(false)
  }

  private _fail (failure: CallFailure): void {
    this._openCall = undefined
    const { dependencies, worker, listener } = this._options
    const outcome = outcomeOf(failure)
    if (failure.type === 'broken' && failure.rejection !== undefined) dependencies.metrics.count('worker_answers_rejected_total', { reason: failure.rejection })
    if (failure.type === 'refused' && !failure.isMisdirected) dependencies.noticeReporter.observeRefusal(worker, failure.notice)
    if (failure.type === 'refused' && failure.isMisdirected) {
      dependencies.registry.markMisdirected(worker.workerId, steadyNowMs())
      this._failureSeverity = 1
      dependencies.write('workerDenied', { worker: worker.workerId, address: worker.address })
    } else if (failure.type !== 'refused' && failure.cause !== undefined) {
      this._failureSeverity = 0
    } else {
      this._recordFailure(outcome === AttemptOutcome.Refused ? ANSWERED_SEVERITY : 1)
    }
    if (outcome === AttemptOutcome.Unknown) this._reportUnanswered(true)
    this._end()
    listener.onFailed(outcome, failure.detail)
  }

  private _reportUnanswered (isBroken: boolean): void {
    const { dependencies: { poisonRequestDetector }, request, worker } = this._options
    void poisonRequestDetector.handleUnanswered({ request, worker, sentAtMs: this._startedMs, isBroken, open: this._openRequest })
  }

  private _end (durationRatio?: number, eventTimes?: EventTimes): void {
    clearTimeout(this._noResponseTimer)
    if (this._openRequest.watchedUntilMs === undefined) this._options.dependencies.openRequests.end(this._openRequest)
    this._options.dependencies.statistics.endRequest(this.worker.workerId, durationRatio, steadyNowMs())
    const end: PlacementEnd = { durationRatio, failureSeverity: this._failureSeverity === 0 ? undefined : this._failureSeverity }
    if (eventTimes !== undefined) end.eventTimes = eventTimes
    this._options.onReleased?.(end)
  }

  private _recordFailure (severity: number): void {
    this._failureSeverity = Math.max(this._failureSeverity, severity)
    this._options.dependencies.statistics.recordFailure(this.worker.workerId, steadyNowMs(), severity)
  }
}

function outcomeOf (failure: CallFailure): AttemptOutcome {
  switch (failure.type) {
    case 'notSent': return AttemptOutcome.NotSent
    case 'refused': return AttemptOutcome.Refused
    case 'broken': return AttemptOutcome.Unknown
  }
}
