/** Seeded pseudo-random numbers, with which a run can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { hash32 } from '../base/rendezvous.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Values that are discarded at the start, because the first values of similar seeds are similar. */
const WARM_UP_VALUES = 16
const UINT32_RANGE = 0x1_0000_0000

/** A source of random numbers that are not secure; it must not be used for secrets. */
export interface IRandom {
  /** A number in [0, 1). */
  next (): number
  /** An integer in [0, bound). */
  nextInt (bound: number): number
  /** A number from the exponential distribution with the given mean. */
  nextExponential (mean: number): number
  /** Up to `count` items at different positions, in random order. */
  sample<T> (items: readonly T[], count: number): T[]
}
export const IRandom = Symbol('IRandom')

/**
 * An `IRandom` over xoroshiro128+.
 *
 * @example
 * const random = new SeededRandom(42)
 * random.nextInt(6) // the same for every run
 */
export class SeededRandom implements IRandom {
  private readonly _generator: RandomGenerator

  constructor (seed: number) {
    this._generator = xoroshiro128plus(hash32(`seed ${seed}`))
    for (let index = 0; index < WARM_UP_VALUES; index++) this._generator.next()
  }

  next (): number {
    return (this._generator.next() >>> 0) / UINT32_RANGE
  }

  nextInt (bound: number): number {
    return Math.floor(this.next() * bound)
  }

  nextExponential (mean: number): number {
    return -mean * Math.log(1 - this.next())
  }

  sample<T> (items: readonly T[], count: number): T[] {
    const pool = [...items]
    const chosen: T[] = []
    while (chosen.length < count && pool.length > 0) {
      const index = this.nextInt(pool.length)
      chosen.push(pool[index])
      pool[index] = pool[pool.length - 1]
      pool.pop()
    }
    return chosen
  }
}
