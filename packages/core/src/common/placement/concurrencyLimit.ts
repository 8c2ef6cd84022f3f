/** Concurrency limit of a worker, learned from the time between tokens at each level of concurrency. */

/** Factor by which each new sample reduces the weight of the earlier ones. */
const SAMPLE_DECAY = 0.99
/** Variance of the concurrency below which the samples do not determine a slope. */
const MIN_VARIANCE = 0.5
/** Number of calls by which the limit may exceed the highest concurrency of a finished call. */
const MAX_EXPLORATION = 2
/**
 * Increase of the time between tokens for each further call, as a share of its mean, while the samples determine no slope.
 * A fitted slope is at least a quarter of it.
 */
const ASSUMED_SLOPE_SHARE = 0.03

export interface ConcurrencyLimitOptions {
  /** Limit before there are enough samples; also the weight of the samples that is needed for a fit. */
  initial: number
  /** Lower bound of a fitted limit. */
  min: number
}

/**
 * Fits `tokenGapMs = base + slope * concurrency` to finished calls by least squares with forgetting, and inverts it:
 * the limit for a target is the concurrency at which the fitted gap meets the target.
 */
export class ConcurrencyLimit {
  // Weighted sums over the samples, with x the concurrency and y the time between tokens in milliseconds.
  private _weight = 0
  private _sumX = 0
  private _sumY = 0
  private _sumXX = 0
  private _sumXY = 0
  private _highestConcurrency = 0

  constructor (private readonly _options: ConcurrencyLimitOptions) {}

  /** Adds a finished call with the mean concurrency while it ran; ignored unless the time between tokens is positive. */
  recordCall (concurrency: number, tokenGapMs: number): void {
    if (tokenGapMs <= 0) return
    this._weight = this._weight * SAMPLE_DECAY + 1
    this._sumX = this._sumX * SAMPLE_DECAY + concurrency
    this._sumY = this._sumY * SAMPLE_DECAY + tokenGapMs
    this._sumXX = this._sumXX * SAMPLE_DECAY + concurrency * concurrency
    this._sumXY = this._sumXY * SAMPLE_DECAY + concurrency * tokenGapMs
    this._highestConcurrency = Math.max(this._highestConcurrency, concurrency)
  }

  /**
   * The largest concurrency, up to `max`, whose expected time between tokens stays within the target. A fitted limit is at
   * least `min`, even where `max` is smaller.
   */
  limitFor (tokenGapTargetMs: number, max: number): number {
    const { initial, min } = this._options
    if (this._weight < initial) return Math.min(initial, max)
    const { base, slope } = this._fit()
    const fittedLimit = (tokenGapTargetMs - base) / slope
    const exploredLimit = Math.max(initial, this._highestConcurrency + MAX_EXPLORATION)
    return Math.floor(Math.max(min, Math.min(max, exploredLimit, fittedLimit)))
  }

  private _fit (): { base: number, slope: number } {
    const meanX = this._sumX / this._weight
    const meanY = this._sumY / this._weight
    const variance = this._sumXX / this._weight - meanX * meanX
    const covariance = this._sumXY / this._weight - meanX * meanY
    const assumedSlope = meanY * ASSUMED_SLOPE_SHARE
    const slope = variance > MIN_VARIANCE ? Math.max(covariance / variance, assumedSlope / 4) : assumedSlope
    return { base: meanY - slope * meanX, slope }
  }
}
