/** Open-loop arrivals: programs come whether or not the fleet keeps up. */
import { SeededRandom } from '@trefoilshunt/core'
import { createPlan, type PlanShape, type ProgramPlan } from '../workload/programPlan.js'

/** One kind of work and how often it comes. */
export interface ArrivalStream {
  name: string
  shape: PlanShape
  /** Programs per second, from each time on until the next one. */
  rates: Array<{ fromMs: number, perSecond: number }>
}

export interface Arrival {
  stream: string
  /** Number within the stream; equal seeds give equal programs for equal numbers. */
  index: number
  atMs: number
  plan: ProgramPlan
}

/** Draws every arrival of a run, in order of time. Each stream has its own random numbers, so that one does not change the others. */
export function createArrivals (streams: ArrivalStream[], untilMs: number, seed: number): Arrival[] {
  return streams
    .flatMap((stream, index) => createStream(stream, untilMs, seed * 31 + index))
    .sort((left, right) => left.atMs - right.atMs)
}

function createStream ({ name, shape, rates }: ArrivalStream, untilMs: number, seed: number): Arrival[] {
  const random = new SeededRandom(seed)
  const planRandom = new SeededRandom(seed + 1_000_003)
  const arrivals: Arrival[] = []
  let atMs = rates[0].fromMs
  while (atMs < untilMs) {
    const perSecond = rateAt(rates, atMs)
    const nextChangeMs = rates.find(rate => rate.fromMs > atMs)?.fromMs ?? untilMs
    const gapMs = perSecond > 0 ? random.nextExponential(1_000 / perSecond) : Infinity
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
