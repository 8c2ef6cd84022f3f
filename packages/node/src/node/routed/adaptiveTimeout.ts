/** Time-outs of calls that may be repeated: short while the other side is quick, longer once it has been slow. */

/** What is left of a longer time-out after each success: a slow log keeps it long, a single lost answer doesn't. */
const DECAY = 0.8

export interface AdaptiveTimeoutOptions {
  /** Well above the usual time of an answer. */
  firstMs: number
  maxMs: number
}

/**
 * @example
 * const timeout = new AdaptiveTimeout({ firstMs: 80, maxMs: 1_500 })
 * const answer = await call({ timeoutMs: timeout.ms })
 * if (answer === undefined) timeout.noteSilence()
 * else timeout.noteAnswer()
 */
export class AdaptiveTimeout {
  private _ms: number

  constructor (private readonly _options: AdaptiveTimeoutOptions) {
    this._ms = _options.firstMs
  }

  /** For the next call. */
  get ms (): number {
    return this._ms
  }

  recordAnswer (): void {
    this._ms = Math.max(this._options.firstMs, this._ms * DECAY)
  }

  /** A call had no answer in time: the next one gets twice as long. */
  recordTimeout (): void {
    this._ms = Math.min(this._options.maxMs, this._ms * 2)
  }
}
