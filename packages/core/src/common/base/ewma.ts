/** An exponentially weighted moving average. */
export class Ewma {
  private readonly _weight: number
  private _value: number
  private _sampleCount = 0

  /** @param weight share of a new sample, in (0, 1]. @param initial value before the first sample. */
  constructor (weight: number, initial: number) {
    this._weight = weight
    this._value = initial
  }

  /** The current average. */
  get value (): number {
    return this._value
  }

  get sampleCount (): number {
    return this._sampleCount
  }

  /** Adds a sample; the first samples weigh more, so that the initial value soon loses its influence. */
  add (sample: number): void {
    this._sampleCount++
    const weight = Math.max(this._weight, 1 / (this._sampleCount + 1))
    this._value += weight * (sample - this._value)
  }
}
