/** Rate limiting by a token bucket; the caller supplies the time. */

export interface TokenBucketOptions {
  /** Tokens added per second. */
  ratePerSecond: number
  /** Largest number of tokens in the bucket. */
  burst: number
  /** Tokens of the bucket at a time; a bucket without it starts full. */
  initial?: { tokens: number, atMs: number }
}

/** A bucket that is refilled continuously. */
export class TokenBucket {
  private _tokens: number
  private _updatedAtMs = 0
  private _ratePerSecond: number
  private _burst: number

  constructor (options: TokenBucketOptions) {
    this._ratePerSecond = options.ratePerSecond
    this._burst = options.burst
    this._tokens = options.initial?.tokens ?? options.burst
    this._updatedAtMs = options.initial?.atMs ?? 0
  }

  /** Changes the rate, and the burst if it is given, from `nowMs` on. */
  setRate (ratePerSecond: number, nowMs: number, burst = this._burst): void {
    this._refill(nowMs)
    this._ratePerSecond = ratePerSecond
    this._burst = burst
    this._tokens = Math.min(burst, this._tokens)
  }

  /** Removes `count` tokens; false, and no change, when the bucket holds fewer. */
  tryTake (nowMs: number, count = 1): boolean {
    this._refill(nowMs)
    if (this._tokens < count) return false
    this._tokens -= count
    return true
  }

  /** Tokens in the bucket; below zero after a `charge` of more than it held. */
  tokensAt (nowMs: number): number {
    this._refill(nowMs)
    return this._tokens
  }

  /** Removes `count` tokens, also when the bucket holds fewer. */
  charge (nowMs: number, count: number): void {
    this._refill(nowMs)
    this._tokens -= count
  }

  /** Adds tokens in addition to the refill, up to the burst. */
  deposit (count: number): void {
    this._tokens = Math.min(this._burst, this._tokens + count)
  }

  /** Milliseconds until the bucket holds `count` tokens; 0 when it already does. */
  waitMs (nowMs: number, count = 1): number {
    this._refill(nowMs)
    const missing = count - this._tokens
    return missing <= 0 ? 0 : Math.ceil(missing / this._ratePerSecond * 1000)
  }

  private _refill (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this._updatedAtMs)
    this._updatedAtMs = nowMs
    this._tokens = Math.min(this._burst, this._tokens + elapsedMs * this._ratePerSecond / 1000)
  }
}
