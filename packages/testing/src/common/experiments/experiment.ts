/** What an experiment is: a firm's fleet, arrivals, faults and the bounds that its figures are held against. */
import type { ConfigurationDocument, CoreSettings } from '@trefoilshunt/core'
import type { Fault } from '../scenario/scenario.js'
import type { ArrivalStream } from './arrivals.js'
import type { Measurement } from './measurement.js'

/** The size of a firm, from the users' brief. */
export interface FirmSize {
  name: string
  document: ConfigurationDocument
  /** Nodes of each availability zone. */
  zones: Record<string, number>
  model: string
  engines: number
  service: string
  services: number
  zoneDelayMs: number
  callerDelayMs: number
}

/** A set of decision rules to run under. */
export interface Policy {
  name: string
  settings: Partial<CoreSettings>
}

/** A figure and the bound that it must keep. */
export interface BoundResult {
  bound: string
  measured: number
  limit: number
  direction: 'atLeast' | 'atMost'
  isMet: boolean
}

export interface ExperimentSpec {
  name: string
  purpose: string
  firm: FirmSize
  /** Time from the first arrival to the last. */
  durationMs: number
  streams: ArrivalStream[]
  /** The arrivals without a flood, for the quiet run; `streams` when absent. */
  steadyStreams?: ArrivalStream[]
  faults: Fault[]
  /** Runs for minutes; left out of a run of all experiments. */
  isLarge?: boolean
  /** A time that figures look at, such as that of a flood. */
  window: { fromMs: number, untilMs: number }
  /** Holds the figures against their bounds; `steady` is the run without flood and faults. */
  bounds: (figures: ExperimentFigures) => BoundResult[]
}

/** Measurements of one experiment at one seed. */
export interface ExperimentFigures {
  spec: ExperimentSpec
  ours: Measurement
  steady: Measurement
  baselines: Measurement[]
  oracle: OracleFigures
}

/** Time after the beginning of a window from which rates are counted: by then a flood has filled the queues. */
export const RATE_FROM_MS = 60_000

/** Ceilings that no scheduler can pass. */
export interface OracleFigures {
  /** Programs within target in the window, admitted in the order of arrival by one that knows their lengths. */
  goodputInOrder: number
  /** Programs within target that end while the flood lasts, per second, when admitted in the order of arrival. */
  goodputPerSecond: number
  /** The first, when it may also refuse long programs in favour of short ones. */
  goodputShortestFirst: number
}

export function atLeast (bound: string, measured: number, limit: number): BoundResult {
  return { bound, measured, limit, direction: 'atLeast', isMet: measured >= limit }
}

export function atMost (bound: string, measured: number, limit: number): BoundResult {
  return { bound, measured, limit, direction: 'atMost', isMet: measured <= limit }
}
