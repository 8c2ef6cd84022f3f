/** One call over this node's own links to the workers. */
import type { WorkerContact } from '@trefoilshunt/core'
import { CallEndCause, type CallFailure, type IOpenWorkerCall, type IWorkerCallListener, type IWorkerClient, type WorkerAnswerHead, type WorkerCall } from '../../../common/routed/workerClient.js'
import { steadyNowMs } from '../../steadyClock.js'

const CUT_OFF_DETAIL = 'this node is cut off from the workers'
const WORKER_LOST_DETAIL = 'the worker takes no new requests'

export interface DirectCallOptions {
  call: WorkerCall
  listener: IWorkerCallListener
  contact: WorkerContact
  /** Called whenever the worker has sent something. */
  onHeard: () => void
  /** Called once when the call has ended, before the listener; with a failure or, after a complete answer or `abort`, without one. */
  onEnded: (failure?: CallFailure) => void
}

/** Waits for its worker from `start` on, except while it is paused. */
export class DirectCall implements IOpenWorkerCall, IWorkerCallListener {
  private _open: IOpenWorkerCall | undefined
  private _isWaiting = true
  private _isEnded = false

  constructor (private readonly _options: DirectCallOptions) {
    _options.contact.beginWait(steadyNowMs())
  }

  /** Must be called once. */
  start (client: IWorkerClient): void {
    this._open = client.call(this._options.call, this)
  }

  get isSent (): boolean {
    return this._open?.isSent ?? false
  }

  onHead (head: WorkerAnswerHead): void {
    this._options.onHeard()
    this._options.listener.onHead(head)
  }

  onData (bytes: Uint8Array): void {
    this._options.onHeard()
    this._options.listener.onData(bytes)
  }

  onEnd (): void {
    this._end()
    this._options.listener.onEnd()
  }

  onFailed (failure: CallFailure): void {
    if (failure.type === 'refused') this._options.onHeard()
    this._end(failure)
    this._options.listener.onFailed(failure)
  }

  abort (): void {
    if (this._isEnded) return
    this._end()
    this._open?.abort()
  }

  pause (): void {
    this._stopWaiting()
    this._open?.pause()
  }

  resume (): void {
    if (!this._isWaiting && !this._isEnded) {
      this._isWaiting = true
      this._options.contact.beginWait(steadyNowMs())
    }
    this._open?.resume()
  }

  /** Ends the call because of lost links. A call that was sent and can't be repeated goes on: its answer may still come. */
  handleCutOff (): void {
    const { isSent } = this
    if (this._isEnded || (isSent && !this._options.call.isRepeatable)) return
    this._open?.abort()
    this.onFailed({ type: isSent ? 'broken' : 'notSent', detail: CUT_OFF_DETAIL, cause: CallEndCause.CutOff })
  }

  /** Ends a call that waits for a connection to a worker that takes no new requests. */
  handleWorkerLost (): void {
    if (this._isEnded || this.isSent) return
    this._open?.abort()
    this.onFailed({ type: 'notSent', detail: WORKER_LOST_DETAIL, cause: CallEndCause.WorkerLost })
  }

  get workerId (): string {
    return this._options.call.workerId
  }

  private _end (failure?: CallFailure): void {
    if (this._isEnded) return
    this._isEnded = true
    this._stopWaiting()
    this._options.onEnded(failure)
  }

  private _stopWaiting (): void {
    if (!this._isWaiting) return
    this._isWaiting = false
    this._options.contact.endWait()
  }
}
