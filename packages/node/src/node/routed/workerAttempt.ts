/** One attempt to have a worker run a request, and what it tells of the worker. */
import { AttemptOutcome, type PromptPart, type Route, type WorkerRegistration } from '@trefoilshunt/core'
import type { CallFailure, IOpenWorkerCall, IWorkerCallListener, WorkerCall } from '../../common/routed/workerClient.js'
import { steadyNowMs } from '../steadyClock.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'

const SERVER_ERROR = 500
/** A worker that begins no answer for this long counts as failing, in milliseconds and in expected durations. */
const SILENT_MS = 500
const SILENT_DURATIONS = 4
/** A refusal or an error answer costs its caller less than an answer that never comes. */
const ANSWERED_SEVERITY = 0.5

export interface WorkerAttemptOptions {
  services: RoutedCallDependencies
  route: Route
  worker: WorkerRegistration
  prompt: readonly PromptPart[]
  call: WorkerCall
  listener: Omit<IWorkerCallListener, 'onFailed'> & { onFailed: (fate: AttemptOutcome, detail: string) => void }
}

/**
 * @example
 * const attempt = new WorkerAttempt({ services, route, worker, prompt, call, listener })
 * attempt.cancel()
 */
export class WorkerAttempt {
  private readonly _startedMs = steadyNowMs()
  private _openCall: IOpenWorkerCall | undefined
  private _silenceTimer: NodeJS.Timeout | undefined

  constructor (private readonly _options: WorkerAttemptOptions) {
    const { services, route, worker, prompt, call, listener } = _options
    services.statistics.begin(worker.workerId)
    services.statistics.recordPrompt(worker.workerId, prompt)
    const silentMs = Math.max(SILENT_MS, SILENT_DURATIONS * services.durations.expectedMs(route))
    this._silenceTimer = setTimeout(() => this._noteFailure(1), silentMs)
    this._openCall = services.workers.call(call, {
      onHead: head => {
        clearTimeout(this._silenceTimer)
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

  get worker (): WorkerRegistration {
    return this._options.worker
  }

  /** True until the worker has answered or failed. */
  get isOpen (): boolean {
    return this._openCall !== undefined
  }

  /** Ends the call; the listener hears nothing more. */
  cancel (): void {
    if (this._openCall === undefined) return
    this._openCall.abort()
    this._openCall = undefined
    this._end()
  }

  /** Takes in a whole answer. `events` is the length of a stream, 1 for others. */
  noteAnswer (status: number, events: number): void {
    const { durations } = this._options.services
    if (status >= SERVER_ERROR) {
      this._end()
      this._noteFailure(ANSWERED_SEVERITY)
    } else {
      this._end(durations.record(this._options.route, steadyNowMs() - this._startedMs, events))
    }
  }

  private _fail (failure: CallFailure): void {
    this._openCall = undefined
    this._end()
    const { services, worker, listener } = this._options
    const fate = fateOf(failure)
    if (failure.type === 'refused' && failure.isMisdirected) {
      services.registry.markMisdirected(worker.workerId, steadyNowMs())
      services.write('workerDenied', { worker: worker.workerId, address: worker.address })
    } else {
      this._noteFailure(fate === AttemptOutcome.Refused ? ANSWERED_SEVERITY : 1)
    }
    listener.onFailed(fate, failure.detail)
  }

  private _end (durationRatio?: number): void {
    clearTimeout(this._silenceTimer)
    this._options.services.statistics.end(this.worker.workerId, durationRatio)
  }

  private _noteFailure (severity: number): void {
    this._options.services.statistics.recordFailure(this.worker.workerId, steadyNowMs(), severity)
  }
}

function fateOf (failure: CallFailure): AttemptOutcome {
  switch (failure.type) {
    case 'notSent': return AttemptOutcome.NotSent
    case 'refused': return AttemptOutcome.Refused
    case 'broken': return AttemptOutcome.Unknown
  }
}
