/** What this node hears from the workers over its own connections, over all of them together. */

/**
 * Single workers may be silent for a second and go on; silence of all of them at once points to the links of this node.
 *
 * @example
 * contact.beginWait(nowMs)
 * contact.recordBytes(nowMs)
 * contact.silenceMs(nowMs)
 */
export class WorkerContact {
  private _waitCount = 0
  private _waitingSinceMs = 0
  private _lastBytesAtMs = Number.NEGATIVE_INFINITY

  /** Calls that wait for a worker. */
  get waitCount (): number {
    return this._waitCount
  }

  /** A call waits for a worker from now on. */
  beginWait (nowMs: number): void {
    if (this._waitCount++ === 0) this._waitingSinceMs = nowMs
  }

  /** A call has ended or does not read any further. */
  endWait (): void {
    this._waitCount = Math.max(0, this._waitCount - 1)
  }

  /** A worker has sent something. */
  recordBytes (nowMs: number): void {
    this._lastBytesAtMs = nowMs
  }

  /** Time for which calls have waited and no worker has sent anything; 0 while no call waits. */
  silenceMs (nowMs: number): number {
    return this._waitCount === 0 ? 0 : nowMs - Math.max(this._waitingSinceMs, this._lastBytesAtMs)
  }
}
