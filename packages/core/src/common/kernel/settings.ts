/** Settings of the core, with their defaults. */

/** How a worker is chosen for a step: preferably the one that caches the program's history, the next in turn, or the least loaded. */
export const PlacementPolicy = { Affinity: 'affinity', RoundRobin: 'roundRobin', LeastLoaded: 'leastLoaded' } as const
export type PlacementPolicy = typeof PlacementPolicy[keyof typeof PlacementPolicy]
/** Whether new programs are admitted according to the work of the active ones, or always. */
export const AdmissionPolicy = { Program: 'program', None: 'none' } as const
export type AdmissionPolicy = typeof AdmissionPolicy[keyof typeof AdmissionPolicy]
/** Order of the steps that wait for a worker: by rank and target, or by arrival. */
export const QueuePolicy = { Rank: 'rank', Fifo: 'fifo' } as const
export type QueuePolicy = typeof QueuePolicy[keyof typeof QueuePolicy]

/** Settings of the core. Hosts may override each of them. */
export interface CoreSettings {
  placementPolicy: PlacementPolicy
  admissionPolicy: AdmissionPolicy
  queuePolicy: QueuePolicy
  probePeriodMs: number
  /**
   * Random peers probed in each period, whatever the number of nodes. As many peers whose last probe failed may be probed as
   * well.
   */
  probeFanout: number
  probeTimeoutMs: number
  /** Failed probes in a row after which a peer is suspected to be unavailable. */
  suspectAfterFailures: number
  /** Time for which a node must be suspected, or unlisted and without a message, before its programs are taken over. */
  takeoverAfterMs: number
  /** Appends per second that all nodes together may use. */
  logAppendBudgetPerSecond: number
  /** Maximum number of records in one append. */
  logBatchRecords: number
  /** Delay before a failed append is sent again, multiplied by the number of failures in a row. */
  logRetryMs: number
  /** Period in which each node reads the control stream. */
  controlPollMs: number
  /** Time for which the log retains a record. */
  logRetentionMs: number
  /** Longest wait for the log before the end of a turn is reported as not durable. */
  turnDurabilityWaitMs: number
  /** Number of workers for which a placement estimate is requested when a program is opened or a step chooses a worker. */
  offerSampleSize: number
  /** Longest wait for the placement estimates. */
  offerTimeoutMs: number
  /** Not used: a program that is not admitted is refused at once. */
  admissionWaitMs: number
  /** Concurrency limit of a worker until enough calls have ended to fit one. */
  initialConcurrency: number
  /** Lower bound of a fitted concurrency limit. */
  minConcurrency: number
  /** Mean time between tokens up to which a worker gets more concurrent calls of urgent work. */
  tokenGapTargetMs: number
  /** The same for work of the other rank; lower, because this work must not slow down the urgent calls of the worker. */
  otherTokenGapTargetMs: number
  /** While a running urgent step has less than this time left to its target, work of the other rank on its worker is limited to its floor share. */
  urgentAtRiskMs: number
  /** Expected duration of a program without queues, as a multiple of its kind's mean, because durations have a heavy tail. */
  admissionTailFactor: number
  /** Minimum share of the target that a program may spend in queues, whatever the duration of its kind. */
  admissionMinSlack: number
  /** True when a program that changes its worker takes its cache along where that is cheaper than computing the prompt again. */
  movesCaches: boolean
  /** Period in which a coordinator reads the load reports of its engines. */
  enginePollMs: number
  /** Maximum number of attempts of a repeatable call, the first one included. Attempts that no back end ran do not count. */
  maxAttempts: number
  /** Delay before the first retry; it doubles with each further one and varies at random. */
  retryBackoffMs: number
  /** Retries that each first attempt adds to the retry budget. */
  retryBudgetShare: number
  /** Share of the workers of a back end that may be ejected at the same time; one worker always may. */
  maxEjectedShare: number
  /** Duration of a worker's first ejection; the n-th one lasts n times as long. */
  ejectionMs: number
  /** Time for which a caller may use a list of addresses. */
  addressValidityMs: number
  /** Maximum number of addresses in such a list. */
  addressCount: number
  /** Time for which a closed program is retained to answer steps that are sent again. */
  closedRetentionMs: number
  /** Maximum number of steps of a program that wait for a running step. */
  maxStepsWaiting: number
  /** Longest time for which a stopping node waits until it has no open programs, open requests and unwritten journal records. */
  drainTimeoutMs: number
}
export const CoreSettings = Symbol('CoreSettings')

const DEFAULTS: CoreSettings = {
  placementPolicy: PlacementPolicy.Affinity,
  admissionPolicy: AdmissionPolicy.Program,
  queuePolicy: QueuePolicy.Rank,
  probePeriodMs: 1_000,
  probeFanout: 3,
  probeTimeoutMs: 500,
  suspectAfterFailures: 2,
  takeoverAfterMs: 1_500,
  logAppendBudgetPerSecond: 200,
  logBatchRecords: 200,
  logRetryMs: 200,
  controlPollMs: 1_000,
  logRetentionMs: 24 * 3_600_000,
  turnDurabilityWaitMs: 300,
  offerSampleSize: 3,
  offerTimeoutMs: 250,
  admissionWaitMs: 500,
  initialConcurrency: 12,
  minConcurrency: 2,
  tokenGapTargetMs: 52,
  otherTokenGapTargetMs: 34,
  urgentAtRiskMs: 15_000,
  admissionTailFactor: 2.4,
  admissionMinSlack: 0.25,
  movesCaches: true,
  enginePollMs: 1_000,
  maxAttempts: 3,
  retryBackoffMs: 100,
  retryBudgetShare: 0.1,
  maxEjectedShare: 0.34,
  ejectionMs: 5_000,
  addressValidityMs: 30_000,
  addressCount: 4,
  closedRetentionMs: 600_000,
  maxStepsWaiting: 8,
  drainTimeoutMs: 120_000
}

/**
 * Returns the settings with the defaults for those that are not overridden.
 *
 * @example
 * const settings = createCoreSettings({ probePeriodMs: 500 })
 */
export function createCoreSettings (overrides: Partial<CoreSettings> = {}): CoreSettings {
  return { ...DEFAULTS, ...overrides }
}
