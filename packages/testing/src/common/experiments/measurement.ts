/** The figures of one run. */
import hdr from 'hdr-histogram-js'
import type { Fleet } from '../host/fleet.js'
import type { ProgramObservation } from '../workload/runRecord.js'
import type { Arrival } from './arrivals.js'

const HIGHEST_MS = 7_200_000

/** One program of a run with its arrival. */
export interface ProgramSample {
  stream: string
  index: number
  rank: string
  arrivedAtMs: number
  openedAtMs?: number
  endedAtMs?: number
  isFinished: boolean
  isRefused: boolean
  latencyMs: number
  targetMs: number
  plannedTokens: number
  /** Tokens that engines generated for the program. */
  usedTokens: number
}

/** The state of the fleet at one moment. */
export interface TimePoint {
  atMs: number
  active: number
  waitingUrgent: number
  waitingOther: number
  generatedTokens: number
  urgentTokens: number
  cachedTokens: number
  prefillTokens: number
}

export interface Measurement {
  policy: string
  seed: number
  samples: ProgramSample[]
  series: TimePoint[]
  recomputedTokens: number
  prefillTokens: number
  generatedTokens: number
  firstAttempts: number
  retries: number
  workerCrashes: number
  violations: number
  /** Mean time between tokens that 95 of 100 calls keep. */
  tokenGapP95Ms: number
}

/** Makes the sample of one observed program. */
export function toSample (arrival: Arrival, observation: ProgramObservation, usedTokens: number): ProgramSample {
  const { rank, arrivedAtMs, openedAtMs, endedAtMs, isFinished, refusal, targetMs, plannedTokens } = observation
  return {
    stream: arrival.stream,
    index: arrival.index,
    rank,
    arrivedAtMs,
    openedAtMs,
    endedAtMs,
    isFinished,
    isRefused: refusal !== undefined,
    latencyMs: isFinished && endedAtMs !== undefined ? endedAtMs - arrivedAtMs : Infinity,
    targetMs,
    plannedTokens,
    usedTokens
  }
}

/** Programs that arrived in a window and meet a condition. */
export function select (measurement: Measurement, window: { fromMs: number, untilMs: number }, condition: (sample: ProgramSample) => boolean = () => true): ProgramSample[] {
  return measurement.samples.filter(sample => sample.arrivedAtMs >= window.fromMs && sample.arrivedAtMs < window.untilMs && condition(sample))
}

export function isWithinTarget (sample: ProgramSample): boolean {
  return sample.isFinished && sample.latencyMs <= sample.targetMs
}

/** Share of samples that meet a condition; 1 when there are none. */
export function shareOf (samples: ProgramSample[], condition: (sample: ProgramSample) => boolean): number {
  return samples.length === 0 ? 1 : samples.filter(condition).length / samples.length
}

/** A percentile of the latencies of finished programs, in milliseconds. */
export function latencyPercentile (samples: ProgramSample[], percentile: number): number {
  const histogram = hdr.build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: 3 })
  for (const sample of samples) {
    if (sample.isFinished) histogram.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(sample.latencyMs))))
  }
  return histogram.getValueAtPercentile(percentile)
}

/** Tokens of programs that did not finish, as a share of all. */
export function wastedShare (measurement: Measurement): number {
  const used = measurement.samples.reduce((sum, sample) => sum + sample.usedTokens, 0)
  const wasted = measurement.samples.filter(sample => !sample.isFinished).reduce((sum, sample) => sum + sample.usedTokens, 0)
  return used === 0 ? 0 : wasted / used
}

/** Tokens generated per second between two times. */
export function tokenRate (series: TimePoint[], fromMs: number, untilMs: number, read: (point: TimePoint) => number = point => point.generatedTokens): number {
  const first = series.find(point => point.atMs >= fromMs)
  const last = series.findLast(point => point.atMs <= untilMs)
  if (first === undefined || last === undefined || last.atMs <= first.atMs) return 0
  return (read(last) - read(first)) / (last.atMs - first.atMs) * 1_000
}

/** Reads the state of a fleet. */
export function readTimePoint (fleet: Fleet, atMs: number): TimePoint {
  const engines = [...fleet.engines.values()]
  const waiting = fleet.waitingByRank()
  const sum = (read: (engine: typeof engines[number]) => number) => engines.reduce((total, engine) => total + read(engine), 0)
  return {
    atMs,
    active: sum(engine => engine.activeCount),
    waitingUrgent: waiting.urgent,
    waitingOther: waiting.other,
    generatedTokens: sum(engine => engine.counters.generatedTokens),
    urgentTokens: sum(engine => engine.counters.urgentTokens),
    cachedTokens: sum(engine => engine.counters.cachedTokens),
    prefillTokens: sum(engine => engine.counters.prefillTokens)
  }
}
