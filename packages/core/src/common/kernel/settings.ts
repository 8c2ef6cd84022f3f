/** Tunable values of the core, with their defaults. */

export const PlacementPolicy = { Affinity: 'affinity', RoundRobin: 'roundRobin', LeastLoaded: 'leastLoaded' } as const
export type PlacementPolicy = typeof PlacementPolicy[keyof typeof PlacementPolicy]
export const AdmissionPolicy = { Program: 'program', None: 'none' } as const
export type AdmissionPolicy = typeof AdmissionPolicy[keyof typeof AdmissionPolicy]
export const QueuePolicy = { Rank: 'rank', Fifo: 'fifo' } as const
export type QueuePolicy = typeof QueuePolicy[keyof typeof QueuePolicy]

export interface CoreSettings {
  placementPolicy: PlacementPolicy
  admissionPolicy: AdmissionPolicy
  queuePolicy: QueuePolicy
  probePeriodMs: number
  /** Peers probed in each period; constant whatever the size of the fleet. */
  probeFanout: number
  probeTimeoutMs: number
  /** Failed probes in a row after which a peer is suspected. */
  suspectAfterFailures: number
  /** Time that a node must be suspected or unlisted before its programs are adopted. */
  takeoverAfterMs: number
  /** Appends per second that all nodes together may use. */
  logAppendBudgetPerSecond: number
  logBatchRecords: number
  logRetryMs: number
  controlPollMs: number
  /** Time for which the log keeps a record. */
  logRetentionMs: number
  /** Longest wait for the log before the end of a turn is told without it. */
  turnDurabilityWaitMs: number
  /** Workers asked for an offer when a program is opened. */
  offerSampleSize: number
  offerTimeoutMs: number
  /** Longest time that an opening may wait for admission. */
  admissionWaitMs: number
  /** First concurrency limit of a worker. */
  initialConcurrency: number
  minConcurrency: number
  /** Mean time between tokens that a worker's batch may reach with urgent work. */
  tokenGapTargetMs: number
  /** The same for work of the other rank, which must not slow urgent calls beside it. */
  otherTokenGapTargetMs: number
  /** Time before its target at which a running urgent program holds back work of the other rank on its worker. */
  urgentAtRiskMs: number
  /** Time that a program is expected to need without queues, relative to its kind's mean: lengths have heavy tails. */
  admissionTailFactor: number
  /** Share of the target that may go into queues at the least, whatever a kind needs. */
  admissionMinSlack: number
  /** Moves a program's cache between engines when it changes its worker. */
  movesCaches: boolean
  enginePollMs: number
  /** Attempts of a repeatable call, the first included. */
  maxAttempts: number
  retryBackoffMs: number
  /** Retries allowed for each first attempt. */
  retryBudgetShare: number
  /** Workers of a back end that may be ejected at once, as a share. */
  maxEjectedShare: number
  ejectionMs: number
  addressValidityMs: number
  addressCount: number
  /** Time after closing for which a program still answers resent steps. */
  closedRetentionMs: number
  maxStepsWaiting: number
  /** Longest time a stopping node waits for programs to reach the end of their step. */
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
 * Fills in the defaults.
 *
 * @example
 * const settings = createCoreSettings({ probePeriodMs: 500 })
 */
export function createCoreSettings (overrides: Partial<CoreSettings> = {}): CoreSettings {
  return { ...DEFAULTS, ...overrides }
}
