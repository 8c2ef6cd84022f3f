/** Keeps the requests to each worker within a rate. */
import { TokenBucket } from '../base/tokenBucket.js'

/** Requests that a worker may get at once after a pause, as the time in which its rate allows them. */
const BURST_S = 0.25
const MS_PER_S = 1_000

/**
 * A worker gets no burst when its rate is first used: it has got its requests from others until then.
 *
 * @example
 * if (rates.mayTake('w1', 7.5, nowMs)) rates.take('w1', nowMs)
 */
export class RequestRates {
  private readonly _buckets = new Map<string, { bucket: TokenBucket, ratePerS: number }>()

  /** `drawInitialTokens` returns the part of a request, less than 1, that a worker may get at first. */
  constructor (private readonly _drawInitialTokens: () => number = () => 0) {}

  /** True if the worker may get a request now. */
  mayTake (workerId: string, ratePerS: number, nowMs: number): boolean {
    return this._resolveBucket(workerId, ratePerS, nowMs).waitMs(nowMs) === 0
  }

  /** Counts a request; must follow `mayTake`. */
  take (workerId: string, nowMs: number): void {
    this._buckets.get(workerId)?.bucket.tryTake(nowMs)
  }

  removeWorker (workerId: string): void {
    this._buckets.delete(workerId)
  }

  clear (): void {
    this._buckets.clear()
  }

  private _resolveBucket (workerId: string, ratePerS: number, nowMs: number): TokenBucket {
    const burst = Math.max(1, ratePerS * BURST_S)
    const known = this._buckets.get(workerId)
    if (known === undefined) {
      const bucket = new TokenBucket({ ratePerSecond: ratePerS, burst, initial: { tokens: this._drawInitialTokens(), atMs: nowMs } })
      this._buckets.set(workerId, { bucket, ratePerS })
      return bucket
    }
    if (known.ratePerS !== ratePerS) known.bucket.setRate(ratePerS, nowMs, burst)
    known.ratePerS = ratePerS
    return known.bucket
  }
}

/** Time in which workers with these rates together get a number of requests. */
export function timeForRequestsMs (count: number, ratesPerS: Iterable<number>): number {
  let totalPerS = 0
  for (const ratePerS of ratesPerS) totalPerS += ratePerS
  return count * MS_PER_S / totalPerS
}
