/** Tracks requests that were in flight at a worker when it crashed, to find those that cause crashes (poison requests). */

/** How long a request is suspect after its first recorded crash. Its crashes still count towards the quarantine afterwards. */
const SUSPICION_DURATION_MS = 600_000
/** The oldest suspect is removed when there are more. */
const MAX_SUSPECTS = 10_000

interface SuspectRequest {
  /** When each worker crashed, by worker. */
  crashTimesMs: Map<string, number>
  firstCrashAtMs: number
}

/** When a request is quarantined. */
export interface SuspectRequestsOptions {
  /** Crashes of different workers after which a request is taken for their cause and quarantined. */
  crashesToQuarantine: number
  /** Crashes closer together than this have a common cause, such as a rack without power, and count once. Absent: each counts. */
  spacingMs?: number
}

/**
 * Suspect requests and their crashes, by fingerprint. All times are milliseconds of one clock. A quarantine never ends.
 *
 * @example
 * const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
 * suspects.addCrash('f', 'w1', nowMs)
 * suspects.addCrash('f', 'w2', nowMs) // true: 'f' is quarantined from now on
 */
export class SuspectRequests {
  private readonly _suspects = new Map<string, SuspectRequest>()
  private readonly _quarantinedFingerprints = new Set<string>()

  constructor (private readonly _options: SuspectRequestsOptions) {}

  /** True while no request is suspect or quarantined; callers may then skip computing a fingerprint. */
  get isEmpty (): boolean {
    return this._suspects.size === 0 && this._quarantinedFingerprints.size === 0
  }

  /** Records a crash of a worker that ran the request; true when this crash quarantines it. Only a worker's first crash counts. */
  addCrash (fingerprint: string, worker: string, crashedAtMs: number): boolean {
    const suspect = this._suspects.get(fingerprint) ?? { crashTimesMs: new Map<string, number>(), firstCrashAtMs: crashedAtMs }
    if (!suspect.crashTimesMs.has(worker)) suspect.crashTimesMs.set(worker, crashedAtMs)
    this._suspects.set(fingerprint, suspect)
    if (this._suspects.size > MAX_SUSPECTS) this._suspects.delete(this._suspects.keys().next().value as string)
    if (this._countIndependentCrashes(suspect) < this._options.crashesToQuarantine || this._quarantinedFingerprints.has(fingerprint)) return false
    this._quarantinedFingerprints.add(fingerprint)
    return true
  }

  /** Removes the crashes of a request that a worker has served; false when there were none. */
  clear (fingerprint: string): boolean {
    return this._suspects.delete(fingerprint)
  }

  /** True while the request's first recorded crash is less than 10 minutes old. */
  isSuspect (fingerprint: string, nowMs: number): boolean {
    const suspect = this._suspects.get(fingerprint)
    return suspect !== undefined && nowMs - suspect.firstCrashAtMs < SUSPICION_DURATION_MS
  }

  /** Workers that crashed while they ran the request. */
  crashedWorkers (fingerprint: string): Iterable<string> {
    return this._suspects.get(fingerprint)?.crashTimesMs.keys() ?? []
  }

  /** True when no worker should get the request again. */
  isQuarantined (fingerprint: string): boolean {
    return this._quarantinedFingerprints.has(fingerprint)
  }

  /** Counts crashes that are at least `spacingMs` apart. */
  private _countIndependentCrashes ({ crashTimesMs }: SuspectRequest): number {
    const { spacingMs = 0 } = this._options
    let count = 0
    let lastMs = Number.NEGATIVE_INFINITY
    for (const atMs of [...crashTimesMs.values()].sort((left, right) => left - right)) {
      if (atMs - lastMs < spacingMs) continue
      count++
      lastMs = atMs
    }
    return count
  }
}
