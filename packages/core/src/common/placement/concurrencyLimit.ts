/** How many requests a worker may run at once, learned from the time between tokens at each level of concurrency. */

/** Weight that a sample keeps when the next one comes. */
const SAMPLE_DECAY = 0.99
/** Variance of concurrency below which no slope can be told. */
const MIN_VARIANCE = 0.5
/** Steps by which the limit may pass the highest concurrency that was tried. */
const EXPLORATION = 2
/** Share of the time between tokens that grows with the batch, before it was measured. */
const ASSUMED_SLOPE_SHARE = 0.03

export interface ConcurrencyLimitOptions {
  initial: number
  min: number
}

/**
 * Fits `tokenGapMs = base + slope * concurrency` to finished calls by least squares with forgetting, and inverts it:
 * the limit for a target is the concurrency at which the fitted gap meets the target.
 */
export class ConcurrencyLimit {
  private _weight = 0
  private _sumX = 0
  private _sumY = 0
  private _sumXX = 0
  private _sumXY = 0
  private _highestTried = 0

  constructor (private readonly _options: ConcurrencyLimitOptions) {}

  /** Takes in a finished call and the mean concurrency while it ran. */
  note (concurrency: number, tokenGapMs: number): void {
    if (tokenGapMs <= 0) return
    this._weight = this._weight * SAMPLE_DECAY + 1
    this._sumX = this._sumX * SAMPLE_DECAY + concurrency
    this._sumY = this._sumY * SAMPLE_DECAY + tokenGapMs
    this._sumXX = this._sumXX * SAMPLE_DECAY + concurrency * concurrency
    this._sumXY = this._sumXY * SAMPLE_DECAY + concurrency * tokenGapMs
    this._highestTried = Math.max(this._highestTried, concurrency)
  }

  /** The largest concurrency whose expected time between tokens stays within the target, up to `max`. */
  limitFor (tokenGapTargetMs: number, max: number): number {
    const { initial, min } = this._options
    if (this._weight < initial) return Math.min(initial, max)
    const { base, slope } = this._fit()
    const fitted = (tokenGapTargetMs - base) / slope
    const explored = Math.max(initial, this._highestTried + EXPLORATION)
    return Math.floor(Math.max(min, Math.min(max, explored, fitted)))
  }

  private _fit (): { base: number, slope: number } {
    const meanX = this._sumX / this._weight
    const meanY = this._sumY / this._weight
    const variance = this._sumXX / this._weight - meanX * meanX
    const covariance = this._sumXY / this._weight - meanX * meanY
    const assumed = meanY * ASSUMED_SLOPE_SHARE
    const slope = variance > MIN_VARIANCE ? Math.max(covariance / variance, assumed / 4) : assumed
    return { base: meanY - slope * meanX, slope }
  }
}
