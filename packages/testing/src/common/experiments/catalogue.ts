/** The experiments by name: arrivals, faults and bounds of each. */
import { COACHING_SHAPE, FITTING_SHAPE, FOLLOW_UP_SHAPE, PATTERN_SHAPE } from '../workload/shapes.js'
import type { PlanShape } from '../workload/programPlan.js'
import type { ArrivalStream } from './arrivals.js'
import { cacheBounds, completionBounds, commonBounds, floorBounds, goodputBounds, lossBounds, poisonBounds, startedBeforeBounds, urgentBounds } from './bounds.js'
import type { BoundResult, ExperimentFigures, ExperimentSpec, FirmSize } from './experiment.js'
import { HARROW, HARROW_GROWN, PLECIONKA } from './firms.js'

const FLOOD_FACTOR = 5
const DURATION_MS = 240_000
const FLOOD_FROM_MS = 90_000
const FLOOD_UNTIL_MS = 180_000
/** A flood of urgent work lasts longer than the targets, so a scheduler cannot postpone its programs until it has ended. */
const URGENT_FLOOD_UNTIL_MS = 390_000
const URGENT_FLOOD_DURATION_MS = 450_000
const LOSS_AT_MS = 100_000

/** Programs per second without a flood: about two thirds of the capacity of the engines. */
const FITTING_RATE = 2
const FOLLOW_UP_RATE = 2
const PATTERN_RATE = 2
const COACHING_RATE = 0.6

/** Computes the bounds of one aspect from the figures of an experiment. */
type BoundsFunction = (figures: ExperimentFigures) => BoundResult[]

function steadyStream (name: string, shape: PlanShape, perSecond: number): ArrivalStream {
  return { name, shape, rates: [{ fromMs: 0, perSecond }] }
}

/** The arrivals that a flood adds to the steady ones. They form a separate stream, which leaves the steady programs unchanged. */
function floodStream (name: string, shape: PlanShape, steadyPerSecond: number, fromMs = FLOOD_FROM_MS, untilMs = FLOOD_UNTIL_MS): ArrivalStream {
  return { name, shape, rates: [{ fromMs, perSecond: steadyPerSecond * (FLOOD_FACTOR - 1) }, { fromMs: untilMs, perSecond: 0 }] }
}

const HARROW_STEADY = [steadyStream('fitting', FITTING_SHAPE, FITTING_RATE), steadyStream('follow-up', FOLLOW_UP_SHAPE, FOLLOW_UP_RATE)]
const PLECIONKA_STEADY = [steadyStream('pattern', PATTERN_SHAPE, PATTERN_RATE), steadyStream('coaching', COACHING_SHAPE, COACHING_RATE)]
/** Engines of the grown fleet (60) relative to the usual one (8); arrival rates grow by the same factor. */
const GROWTH_FACTOR = HARROW_GROWN.engines / HARROW.engines
const GROWN_DURATION_MS = 90_000
const GROWN_STEADY = [steadyStream('fitting', FITTING_SHAPE, FITTING_RATE * GROWTH_FACTOR), steadyStream('follow-up', FOLLOW_UP_SHAPE, FOLLOW_UP_RATE * GROWTH_FACTOR)]
const OTHER_FLOOD = floodStream('follow-up flood', FOLLOW_UP_SHAPE, FOLLOW_UP_RATE)
const URGENT_FLOOD = floodStream('fitting flood', FITTING_SHAPE, FITTING_RATE, FLOOD_FROM_MS, URGENT_FLOOD_UNTIL_MS)

/** Fills in the defaults: the firm Harrow & Lisle, steady arrivals, no faults, the window of a flood. The common bounds precede those of `check`. */
function createExperiment (options: Partial<ExperimentSpec> & Pick<ExperimentSpec, 'name' | 'purpose'> & { check: BoundsFunction[] }): ExperimentSpec {
  const { check, ...spec } = options
  const firm: FirmSize = spec.firm ?? HARROW
  return {
    firm,
    durationMs: DURATION_MS,
    streams: firm === HARROW ? HARROW_STEADY : PLECIONKA_STEADY,
    steadyStreams: firm === HARROW ? HARROW_STEADY : PLECIONKA_STEADY,
    faults: [],
    window: { fromMs: FLOOD_FROM_MS, untilMs: FLOOD_UNTIL_MS },
    ...spec,
    bounds: figures => [...commonBounds(figures), ...check.flatMap(bounds => bounds(figures))]
  }
}

/** Every experiment. `experiment run all` runs them in this order, without those marked `isLarge`. */
export const EXPERIMENTS: readonly ExperimentSpec[] = [
  createExperiment({ name: 'steady', purpose: 'quiet time at Harrow & Lisle', check: [cacheBounds, completionBounds] }),
  createExperiment({
    name: 'steady-60-workers',
    purpose: 'quiet time with 60 engines behind 30 nodes',
    firm: HARROW_GROWN,
    isLarge: true,
    durationMs: GROWN_DURATION_MS,
    streams: GROWN_STEADY,
    steadyStreams: GROWN_STEADY,
    window: { fromMs: 30_000, untilMs: GROWN_DURATION_MS },
    check: [cacheBounds, completionBounds]
  }),
  createExperiment({ name: 'steady-plecionka', purpose: 'quiet time at Plecionka', firm: PLECIONKA, check: [cacheBounds, completionBounds] }),
  createExperiment({ name: 'flood-other', purpose: 'five times the other work', streams: [...HARROW_STEADY, OTHER_FLOOD], check: [urgentBounds, startedBeforeBounds, cacheBounds] }),
  createExperiment({ name: 'flood-urgent', purpose: 'five times the urgent work', durationMs: URGENT_FLOOD_DURATION_MS, window: { fromMs: FLOOD_FROM_MS, untilMs: URGENT_FLOOD_UNTIL_MS }, streams: [...HARROW_STEADY, URGENT_FLOOD], check: [goodputBounds, floorBounds, startedBeforeBounds, cacheBounds] }),
  createExperiment({
    name: 'flood-both',
    purpose: 'a flood of other work, then one of urgent work',
    durationMs: 300_000,
    streams: [...HARROW_STEADY, floodStream('follow-up flood', FOLLOW_UP_SHAPE, FOLLOW_UP_RATE, 60_000, 130_000), floodStream('fitting flood', FITTING_SHAPE, FITTING_RATE, 150_000, 220_000)],
    window: { fromMs: 60_000, untilMs: 220_000 },
    check: [goodputBounds, completionBounds]
  }),
  createExperiment({
    name: 'mailing-then-loss',
    purpose: 'a dealer mailing, and two workers fail in it',
    streams: [...HARROW_STEADY, OTHER_FLOOD],
    faults: [
      { type: 'crashWorker', atMs: 120_000, worker: 'tailor-models-2', restartAfterMs: 60_000 },
      { type: 'crashWorker', atMs: 125_000, worker: 'tailor-models-5', restartAfterMs: 60_000 }
    ],
    check: [urgentBounds, completionBounds]
  }),
  createExperiment({
    name: 'worker-loss',
    purpose: 'one worker fails in quiet time',
    faults: [{ type: 'crashWorker', atMs: LOSS_AT_MS, worker: 'tailor-models-3', restartAfterMs: 120_000 }],
    check: [lossBounds(LOSS_AT_MS, 7), completionBounds, cacheBounds]
  }),
  createExperiment({
    name: 'node-loss',
    purpose: 'one entry VM fails in quiet time and is replaced',
    faults: [{ type: 'killNode', atMs: LOSS_AT_MS, node: 'regina-1', restartAfterMs: 30_000 }],
    check: [lossBounds(LOSS_AT_MS, 8), completionBounds, cacheBounds]
  }),
  createExperiment({
    name: 'worker-leaves',
    purpose: 'the VM list says that a worker leaves; its caches can still be moved',
    faults: [{ type: 'leaveWorker', atMs: LOSS_AT_MS, worker: 'tailor-models-3' }],
    check: [lossBounds(LOSS_AT_MS, 7), completionBounds, cacheBounds]
  }),
  createExperiment({
    name: 'zone-loss',
    purpose: 'an availability zone loses its power',
    faults: [{ type: 'powerOffZone', atMs: LOSS_AT_MS, zone: 'saskatoon', forMs: 60_000 }],
    check: [lossBounds(LOSS_AT_MS, 5), completionBounds]
  }),
  createExperiment({
    name: 'log-outage-in-flood',
    purpose: 'the log is down for a minute while other work floods in',
    streams: [...HARROW_STEADY, OTHER_FLOOD],
    faults: [{ type: 'logDown', atMs: 110_000, forMs: 60_000 }],
    check: [completionBounds]
  }),
  createExperiment({
    name: 'poison',
    purpose: 'a request that crashes every worker that runs it is sent four times',
    faults: [{ type: 'poison', atMs: LOSS_AT_MS, resends: 3 }],
    check: [poisonBounds]
  }),
  createExperiment({
    name: 'hung-tools',
    purpose: 'calls of two service workers hang',
    faults: [
      { type: 'hangTool', atMs: LOSS_AT_MS, worker: 'shop-ledger-1', count: 20 },
      { type: 'hangTool', atMs: LOSS_AT_MS, worker: 'shop-ledger-2', count: 20 }
    ],
    check: [completionBounds]
  }),
  createExperiment({
    name: 'rolling-replacement',
    purpose: 'every entry VM is stopped and replaced, one after another',
    faults: Object.entries(HARROW.zones).flatMap(([zone, count]) => Array.from({ length: count }, (_, index) => `${zone}-${index + 1}`))
      .map((node, index) => ({ type: 'stopNode' as const, atMs: 40_000 + index * 15_000, node, restartAfterMs: 3_000 })),
    check: [completionBounds, startedBeforeBounds, cacheBounds]
  }),
  createExperiment({
    name: 'coaching-beside-flood',
    purpose: 'long coaching sessions while patterns flood in',
    firm: PLECIONKA,
    durationMs: URGENT_FLOOD_DURATION_MS,
    window: { fromMs: FLOOD_FROM_MS, untilMs: URGENT_FLOOD_UNTIL_MS },
    streams: [...PLECIONKA_STEADY, floodStream('pattern flood', PATTERN_SHAPE, PATTERN_RATE, FLOOD_FROM_MS, URGENT_FLOOD_UNTIL_MS)],
    check: [floorBounds, startedBeforeBounds, cacheBounds, goodputBounds]
  })
]

/** The experiment of that name, or undefined if there is none. */
export function findExperiment (name: string): ExperimentSpec | undefined {
  return EXPERIMENTS.find(experiment => experiment.name === name)
}
