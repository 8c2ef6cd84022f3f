/** A worker client that records what this node hears from the workers, and logs when none of them is heard. */
import { type LogFields, WorkerContact } from '@trefoilshunt/core'
import type { CallFailure, IOpenWorkerCall, IWorkerCallListener, IWorkerClient, WorkerCall } from '../../../common/routed/workerClient.js'
import { steadyNowMs } from '../../steadyClock.js'

/** Silence of all workers is logged from this on; with more than one call in progress, some worker sends something every few milliseconds. */
const SILENCE_MS = 250
const CHECK_PERIOD_MS = 50

export interface TrackedWorkerClientOptions {
  client: IWorkerClient
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const workers = new TrackedWorkerClient({ client, write })
 * workers.silenceMs
 */
export class TrackedWorkerClient implements IWorkerClient {
  onMisbehaved: IWorkerClient['onMisbehaved'] = () => {}
  private readonly _contact = new WorkerContact()
  private readonly _timer: NodeJS.Timeout
  private _silentSinceMs: number | undefined
  private _failedConnections = 0

  constructor (private readonly _options: TrackedWorkerClientOptions) {
    _options.client.onMisbehaved = (workerId, detail) => this.onMisbehaved(workerId, detail)
    this._timer = setInterval(() => this._check(), CHECK_PERIOD_MS)
  }

  /** Time for which calls have waited and no worker has sent anything. */
  get silenceMs (): number {
    return this._contact.silenceMs(steadyNowMs())
  }

  /** Calls in progress whose answers are read. */
  get waitingCalls (): number {
    return this._contact.waitCount
  }

  /** Calls so far that found no connection to their worker. */
  get failedConnections (): number {
    return this._failedConnections
  }

  call (call: WorkerCall, listener: IWorkerCallListener): IOpenWorkerCall {
    const wait = new Wait(this._contact)
    const recordBytes = (): void => this._contact.recordBytes(steadyNowMs())
    const openCall = this._options.client.call(call, {
      onHead: head => {
        recordBytes()
        listener.onHead(head)
      },
      onData: bytes => {
        recordBytes()
        listener.onData(bytes)
      },
      onEnd: () => {
        wait.end()
        listener.onEnd()
      },
      onFailed: failure => {
        wait.end()
        this._recordFailure(call, failure)
        listener.onFailed(failure)
      }
    })
    return {
      abort: () => {
        wait.end()
        openCall.abort()
      },
      pause: () => {
        wait.pause()
        openCall.pause()
      },
      resume: () => {
        wait.resume()
        openCall.resume()
      }
    }
  }

  hasIdleConnection (address: string): boolean {
    return this._options.client.hasIdleConnection(address)
  }

  closeConnections (address: string): void {
    this._options.client.closeConnections(address)
  }

  async close (): Promise<void> {
    clearInterval(this._timer)
    await this._options.client.close()
  }

  private _recordFailure ({ workerId, address, requestId }: WorkerCall, failure: CallFailure): void {
    if (failure.type === 'refused') this._contact.recordBytes(steadyNowMs())
    if (failure.type !== 'notSent') return
    this._failedConnections++
    this._options.write('workerConnectionFailed', { requestId, worker: workerId, address, detail: failure.detail, silenceMs: Math.round(this.silenceMs) })
  }

  private _check (): void {
    const { silenceMs } = this
    if (silenceMs >= SILENCE_MS) {
      if (this._silentSinceMs === undefined) this._options.write('workersSilent', { silenceMs: Math.round(silenceMs), calls: this._contact.waitCount })
      this._silentSinceMs ??= steadyNowMs() - silenceMs
    } else if (this._silentSinceMs !== undefined) {
      this._options.write('workersHeard', { silentForMs: Math.round(steadyNowMs() - this._silentSinceMs), calls: this._contact.waitCount })
      this._silentSinceMs = undefined
    }
  }
}

/** The waiting of one call, which is over at its end and interrupted while its answer is not read. */
class Wait {
  private _isWaiting = true
  private _isEnded = false

  constructor (private readonly _contact: WorkerContact) {
    _contact.beginWait(steadyNowMs())
  }

  pause (): void {
    if (!this._isWaiting) return
    this._isWaiting = false
    this._contact.endWait()
  }

  resume (): void {
    if (this._isWaiting || this._isEnded) return
    this._isWaiting = true
    this._contact.beginWait(steadyNowMs())
  }

  end (): void {
    this.pause()
    this._isEnded = true
  }
}
