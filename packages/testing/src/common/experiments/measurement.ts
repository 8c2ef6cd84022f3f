/** The figures of one run and functions that evaluate them. */
import hdr from 'hdr-histogram-js'
import type { Fleet } from '../host/fleet.js'
import type { ProgramObservation } from '../workload/runRecord.js'
import type { Arrival } from './arrivals.js'

const MAX_LATENCY_MS = 7_200_000

/** Outcome of one program of a run. Times count from the start of the run. */
export interface ProgramSample {
  stream: string
  index: number
  rank: string
  arrivedAtMs: number
  openedAtMs?: number
  endedAtMs?: number
  isFinished: boolean
  isRefused: boolean
  /** Time from the arrival to the end; `Infinity` for a program that did not finish. */
  latencyMs: number
  targetMs: number
  /** Answer tokens of all model steps of its plan. */
  plannedTokens: number
  /** Tokens that engines generated for the program and its sub-agents. */
  usedTokens: number
}

/** State of the fleet at one time; token counts are totals since the start of the run. */
export interface TimePoint {
  atMs: number
  /** Model calls that engines are processing. */
  active: number
  /** Model calls of each rank that wait for an engine. */
  waitingUrgent: number
  waitingOther: number
  generatedTokens: number
  urgentTokens: number
  cachedTokens: number
  prefillTokens: number
}

/** The figures of one run under one policy. Token counts are totals over all engines. */
export interface Measurement {
  /** Name of the policy. */
  policy: string
  seed: number
  samples: ProgramSample[]
  series: TimePoint[]
  /** Prompt tokens computed again although an engine had held them before. */
  recomputedTokens: number
  /** Prompt tokens computed, whether or not for the first time. */
  prefillTokens: number
  generatedTokens: number
  firstAttempts: number
  retries: number
  workerCrashes: number
  /** Invariants that the history checkers found broken. */
  violations: number
  /** 95th percentile, over model calls, of the mean time between the tokens of a call. */
  tokenGapP95Ms: number
}

/** The sample of one observed program. Times of the observation must count from the start of the run. */
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

/** Programs that arrived in the window and meet the condition, refused ones included. */
export function selectSamples (measurement: Measurement, window: { fromMs: number, untilMs: number }, condition: (sample: ProgramSample) => boolean = () => true): ProgramSample[] {
  return measurement.samples.filter(sample => sample.arrivedAtMs >= window.fromMs && sample.arrivedAtMs < window.untilMs && condition(sample))
}

/** True for a program that finished within the target of its work kind. */
export function isWithinTarget (sample: ProgramSample): boolean {
  return sample.isFinished && sample.latencyMs <= sample.targetMs
}

/** Share of samples that meet a condition; 1 when there are none. */
export function shareOf (samples: ProgramSample[], condition: (sample: ProgramSample) => boolean): number {
  return samples.length === 0 ? 1 : samples.filter(condition).length / samples.length
}

/** A percentile (0 to 100) of the latencies of the finished programs, in milliseconds; 0 when none finished. */
export function latencyPercentile (samples: ProgramSample[], percentile: number): number {
  const histogram = hdr.build({ highestTrackableValue: MAX_LATENCY_MS, numberOfSignificantValueDigits: 3 })
  for (const sample of samples) {
    if (sample.isFinished) histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(sample.latencyMs))))
  }
  return histogram.getValueAtPercentile(percentile)
}

/** Share of the generated tokens that went to programs that did not finish; 0 when no tokens were generated. */
export function wastedShare (measurement: Measurement): number {
  const used = measurement.samples.reduce((sum, sample) => sum + sample.usedTokens, 0)
  const wasted = measurement.samples.filter(sample => !sample.isFinished).reduce((sum, sample) => sum + sample.usedTokens, 0)
  return used === 0 ? 0 : wasted / used
}

/** Increase per second of a token count between two times, by default of all generated tokens; 0 when fewer than two points lie between them. */
export function tokenRate (series: TimePoint[], fromMs: number, untilMs: number, read: (point: TimePoint) => number = point => point.generatedTokens): number {
  const first = series.find(point => point.atMs >= fromMs)
  const last = series.findLast(point => point.atMs <= untilMs)
  if (first === undefined || last === undefined || last.atMs <= first.atMs) return 0
  return (read(last) - read(first)) / (last.atMs - first.atMs) * 1_000
}

/** Reads the current state of a fleet; `atMs` is the time to record with it. */
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
