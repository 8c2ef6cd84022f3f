/** Adaptive limit of the requests that run on one worker at once (additive increase, multiplicative decrease). */

const DECREASE_FACTOR = 0.92
const INCREASE_STEP = 1

export interface ConcurrencyLimitOptions {
  initial: number
  min: number
  /** Mean time between tokens above which the worker counts as overloaded. */
  tokenGapTargetMs: number
}

/** Follows the time between tokens, which grows with the batch of a model engine. */
export class ConcurrencyLimit {
  private _value: number
  private _reportsSinceChange = 0

  constructor (private readonly _options: ConcurrencyLimitOptions) {
    this._value = _options.initial
  }

  /** The current limit, a whole number. */
  get value (): number {
    return Math.floor(this._value)
  }

  /** Takes in a finished call; `isSaturated` tells whether the limit held requests back. */
  note (tokenGapMs: number, isSaturated: boolean, max: number): void {
    this._reportsSinceChange++
    if (tokenGapMs > this._options.tokenGapTargetMs) this._decrease()
    else if (isSaturated) this._value = Math.min(max, this._value + INCREASE_STEP / this._value)
    this._value = Math.max(this._options.min, Math.min(max, this._value))
  }

  /** One decrease a round: the calls that already run were started under the old limit. */
  private _decrease (): void {
    if (this._reportsSinceChange < this._value) return
    this._reportsSinceChange = 0
    this._value *= DECREASE_FACTOR
  }
}
