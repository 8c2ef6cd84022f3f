/** A time-out that adapts to the other side: short while it answers quickly, longer after calls without an answer. */

/** Applied to the time-out at each answer. It stays long while the log is slow and recovers soon after a single lost answer. */
const DECAY_FACTOR = 0.8

export interface AdaptiveTimeoutOptions {
  /** Initial and shortest time-out; well above the usual time of an answer. */
  minMs: number
  /** Longest time-out. */
  maxMs: number
}

/**
 * For calls that may be repeated safely, because a time-out does not show whether the call was carried out.
 *
 * @example
 * const timeout = new AdaptiveTimeout({ minMs: 80, maxMs: 1_500 })
 * const answer = await call({ timeoutMs: timeout.ms })
 * if (answer === undefined) timeout.recordTimeout()
 * else timeout.recordAnswer()
 */
export class AdaptiveTimeout {
  private _currentMs: number

  constructor (private readonly _options: AdaptiveTimeoutOptions) {
    this._currentMs = _options.minMs
  }

  /** Time-out of the next call, in milliseconds. */
  get ms (): number {
    return this._currentMs
  }

  /** A call was answered in time: shortens the time-out. */
  recordAnswer (): void {
    this._currentMs = Math.max(this._options.minMs, this._currentMs * DECAY_FACTOR)
  }

  /** A call was not answered in time: doubles the time-out, up to `maxMs`. */
  recordTimeout (): void {
    this._currentMs = Math.min(this._options.maxMs, this._currentMs * 2)
  }
}
