/** Receives the rest of an answer that is not needed, within limits of size and time. */
import type { Dispatcher } from 'undici'
import { LimitExceededError } from './boundedClient.js'

const MAX_DRAINED_BYTES = 16 * 1024
const DRAIN_TIMEOUT_MS = 250

/**
 * Begins with its construction. The connection can be reused if the answer ends within the limits, otherwise it is closed.
 *
 * @example
 * const drain = new AnswerDrain(controller, detail => log(detail))
 * drain.add(chunk.length)
 * drain.end()
 */
export class AnswerDrain {
  private readonly _timer: NodeJS.Timeout
  private _drainedBytes = 0
  private _isEnded = false

  /** `onExceeded` is called at most once, when a limit was exceeded and the connection is closed. */
  constructor (private readonly _controller: Dispatcher.DispatchController, private readonly _onExceeded?: (detail: string) => void) {
    this._timer = setTimeout(() => this._exceed('an answer that does not end'), DRAIN_TIMEOUT_MS)
  }

  /** Counts bytes that arrived and are discarded. */
  add (byteCount: number): void {
    this._drainedBytes += byteCount
    if (this._drainedBytes > MAX_DRAINED_BYTES) this._exceed('an answer that is too large')
  }

  /** Must be called when the answer has ended or its connection has failed. */
  end (): void {
    this._isEnded = true
    clearTimeout(this._timer)
  }

  private _exceed (detail: string): void {
    if (this._isEnded) return
    this.end()
    this._controller.abort(new LimitExceededError(detail))
    this._onExceeded?.(detail)
  }
}
