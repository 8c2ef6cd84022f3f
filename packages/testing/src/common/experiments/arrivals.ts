/** Open-loop arrivals of programs: they do not slow down when the fleet cannot keep up. */
import { SeededRandom } from '@trefoilshunt/core'
import { createPlan, type PlanShape, type ProgramPlan } from '../workload/programPlan.js'

/** Arrivals of one kind of work, with a rate that may change over time. */
export interface ArrivalStream {
  name: string
  shape: PlanShape
  /** Programs per second, from `fromMs` until the next entry; in ascending order of `fromMs`, at least one. */
  rates: Array<{ fromMs: number, perSecond: number }>
}

/** One program and the time at which it arrives. */
export interface Arrival {
  /** Name of the stream that it belongs to. */
  stream: string
  /** Index within the stream. The same seed, stream position and index always give the same program. */
  index: number
  /** Time since the start of the run, in milliseconds. */
  atMs: number
  plan: ProgramPlan
}

/**
 * Draws every arrival before `untilMs`, in order of time.
 * Each stream is seeded by its position in `streams`, so a stream added at the end does not change the arrivals of the others.
 */
export function createArrivals (streams: ArrivalStream[], untilMs: number, seed: number): Arrival[] {
  return streams
    .flatMap((stream, index) => createStreamArrivals(stream, untilMs, seed * 31 + index))
    .sort((left, right) => left.atMs - right.atMs)
}

function createStreamArrivals ({ name, shape, rates }: ArrivalStream, untilMs: number, seed: number): Arrival[] {
  const arrivalRandom = new SeededRandom(seed)
  const planRandom = new SeededRandom(seed + 1_000_003)
  const arrivals: Arrival[] = []
  let atMs = rates[0].fromMs
  while (atMs < untilMs) {
    const perSecond = rateAt(rates, atMs)
    const nextChangeMs = rates.find(rate => rate.fromMs > atMs)?.fromMs ?? untilMs
    const gapMs = perSecond > 0 ? arrivalRandom.nextExponential(1_000 / perSecond) : Infinity
    if (atMs + gapMs > nextChangeMs) {
      atMs = nextChangeMs
      continue
    }
    atMs += gapMs
    arrivals.push({ stream: name, index: arrivals.length, atMs, plan: createPlan(shape, planRandom) })
  }
  return arrivals
}

function rateAt (rates: ArrivalStream['rates'], atMs: number): number {
  return rates.findLast(rate => rate.fromMs <= atMs)?.perSecond ?? 0
}
