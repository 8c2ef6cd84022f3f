/** Types of an experiment: a firm's fleet, arrivals, faults, measured figures and their bounds. */
import type { ConfigurationDocument, CoreSettings } from '@trefoilshunt/core'
import type { Fault } from '../scenario/scenario.js'
import type { ArrivalStream } from './arrivals.js'
import type { Measurement } from './measurement.js'

/** Configuration and size of a firm's fleet, from the users' requirements. */
export interface FirmSize {
  name: string
  document: ConfigurationDocument
  /** Number of nodes in each availability zone. */
  zones: Record<string, number>
  /** Backend name of the model engines. */
  model: string
  /** Number of model engines. */
  engines: number
  /** Backend name of the service workers. */
  service: string
  /** Number of service workers. */
  services: number
  /** One-way network delay between availability zones; inside a zone it is a fifth of that. */
  zoneDelayMs: number
  /** One-way network delay between callers and nodes. */
  callerDelayMs: number
}

/** Settings for placement, queueing and admission that an experiment runs with. */
export interface Policy {
  name: string
  settings: Partial<CoreSettings>
}

/** A measured figure and the limit that it must meet. */
export interface BoundResult {
  /** What was measured, as printed in tables and reports. */
  bound: string
  measured: number
  limit: number
  direction: 'atLeast' | 'atMost'
  isMet: boolean
}

/** Definition of one experiment. */
export interface ExperimentSpec {
  name: string
  purpose: string
  firm: FirmSize
  /** Programs arrive from the start of the run until this time. */
  durationMs: number
  streams: ArrivalStream[]
  /** Arrivals of the quiet run, which has no flood; `streams` when undefined. */
  steadyStreams?: ArrivalStream[]
  faults: Fault[]
  /** Takes minutes to run; `experiment run all` leaves it out. */
  isLarge?: boolean
  /** The period that most figures are computed over, such as that of a flood. */
  window: { fromMs: number, untilMs: number }
  /** Compares the figures with their limits. */
  bounds: (figures: ExperimentFigures) => BoundResult[]
}

/** Measurements of one experiment at one seed. */
export interface ExperimentFigures {
  spec: ExperimentSpec
  /** The run with the policy under test. */
  ours: Measurement
  /** The quiet run: the policy under test without flood and faults. */
  steady: Measurement
  /** Runs of the same arrivals and faults with other policies. */
  baselines: Measurement[]
  oracle: OracleFigures
}

/** Rates are counted from this time after the beginning of a window, when a flood has filled the queues. */
export const RATE_FROM_MS = 60_000

/** Upper bounds on the goodput of schedulers that know the length of every program in advance. */
export interface OracleFigures {
  /** Number of programs of the window that end within target when a scheduler that knows their lengths admits them in order of arrival. */
  goodputInOrder: number
  /** Programs per second that end within target from `RATE_FROM_MS` after the beginning of the window to its end, when admitted in order of arrival. */
  goodputPerSecond: number
  /** Like `goodputInOrder`, but the scheduler may also refuse long programs in favour of short ones. */
  goodputShortestFirst: number
}

/** A bound that is met when `measured >= limit`. */
export function atLeast (bound: string, measured: number, limit: number): BoundResult {
  return { bound, measured, limit, direction: 'atLeast', isMet: measured >= limit }
}

/** A bound that is met when `measured <= limit`. */
export function atMost (bound: string, measured: number, limit: number): BoundResult {
  return { bound, measured, limit, direction: 'atMost', isMet: measured <= limit }
}
