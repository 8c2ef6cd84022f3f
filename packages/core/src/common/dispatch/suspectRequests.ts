/** Tracks requests that were in flight at a worker when it crashed, to find those that cause crashes (poison requests). */

/** How long a request is suspect after its first recorded crash. Its crashes still count towards the quarantine afterwards. */
const SUSPICION_DURATION_MS = 600_000
/** The oldest suspect or quarantine is removed when there are more. */
const MAX_SUSPECTS = 10_000
/** Workers with a common fault crash within this time. A worker that got the request later than this after a crash, and crashed, had another cause. */
const COMMON_FAULT_MS = 100

/** A crash of a worker that ran a request. All times are milliseconds of one clock. */
export interface SuspectCrash {
  /** Identifies the worker and its start. */
  worker: string
  crashedAtMs: number
  /** When the request was sent to the worker; absent if that is not known. */
  sentAtMs?: number
}

interface SuspectRequest {
  /** By worker. */
  crashes: Map<string, SuspectCrash>
  firstCrashAtMs: number
}

/** When a request is quarantined. */
export interface SuspectRequestsOptions {
  /** Crashes of different workers after which a request is taken for their cause and quarantined. */
  crashesToQuarantine: number
  /** Crashes closer together than this count once, as they may have a common cause such as a rack without power, unless the request was sent after the earlier one. Absent: each counts. */
  spacingMs?: number
}

/**
 * Suspect requests and their crashes, by fingerprint. A quarantine ends only with `release`.
 *
 * @example
 * const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
 * suspects.addCrash('f', { worker: 'w1', crashedAtMs: nowMs })
 * suspects.addCrash('f', { worker: 'w2', crashedAtMs: nowMs }) // true: 'f' is quarantined from now on
 */
export class SuspectRequests {
  private readonly _suspects = new Map<string, SuspectRequest>()
  private readonly _quarantinedFingerprints = new Set<string>()

  constructor (private readonly _options: SuspectRequestsOptions) {}

  /** True while no request is suspect or quarantined; callers may then skip computing a fingerprint. */
  get isEmpty (): boolean {
    return this._suspects.size === 0 && this._quarantinedFingerprints.size === 0
  }

  /** Number of requests with a recorded crash. */
  get suspectCount (): number {
    return this._suspects.size
  }

  /** Fingerprints of the quarantined requests. */
  get quarantined (): ReadonlySet<string> {
    return this._quarantinedFingerprints
  }

  /** All recorded crashes. */
  get crashes (): Array<SuspectCrash & { fingerprint: string }> {
    return [...this._suspects.keys()].flatMap(fingerprint => this.crashesOf(fingerprint))
  }

  /** The recorded crashes of a request. */
  crashesOf (fingerprint: string): Array<SuspectCrash & { fingerprint: string }> {
    return [...this._suspects.get(fingerprint)?.crashes.values() ?? []].map(crash => ({ ...crash, fingerprint }))
  }

  /** Records a crash of a worker that ran the request; true when this crash quarantines it. Only a worker's first crash counts. */
  addCrash (fingerprint: string, crash: SuspectCrash): boolean {
    const suspect = this._suspects.get(fingerprint) ?? { crashes: new Map<string, SuspectCrash>(), firstCrashAtMs: crash.crashedAtMs }
    if (!suspect.crashes.has(crash.worker)) suspect.crashes.set(crash.worker, crash)
    this._suspects.set(fingerprint, suspect)
    if (this._suspects.size > MAX_SUSPECTS) this._suspects.delete(this._suspects.keys().next().value as string)
    return this._countIndependentCrashes(suspect) >= this._options.crashesToQuarantine && this.quarantine(fingerprint)
  }

  /** Quarantines a request whatever its recorded crashes; false if it was quarantined before. */
  quarantine (fingerprint: string): boolean {
    if (this._quarantinedFingerprints.has(fingerprint)) return false
    this._quarantinedFingerprints.add(fingerprint)
    if (this._quarantinedFingerprints.size > MAX_SUSPECTS) this._quarantinedFingerprints.delete(this._quarantinedFingerprints.keys().next().value as string)
    return true
  }

  /** Ends a quarantine and forgets the crashes. */
  release (fingerprint: string): void {
    this._quarantinedFingerprints.delete(fingerprint)
    this._suspects.delete(fingerprint)
  }

  /** Removes the crashes of a request that a worker has served; false when there were none. */
  clear (fingerprint: string): boolean {
    return this._suspects.delete(fingerprint)
  }

  /** Removes a single crash. */
  removeCrash (fingerprint: string, worker: string): void {
    const suspect = this._suspects.get(fingerprint)
    if (suspect === undefined) return
    suspect.crashes.delete(worker)
    if (suspect.crashes.size === 0) this._suspects.delete(fingerprint)
  }

  /** True if a worker has crashed under the request and none has served it since. */
  hasCrashes (fingerprint: string): boolean {
    return this._suspects.has(fingerprint)
  }

  /** True while the request's first recorded crash is less than 10 minutes old. */
  isSuspect (fingerprint: string, nowMs: number): boolean {
    const suspect = this._suspects.get(fingerprint)
    return suspect !== undefined && nowMs - suspect.firstCrashAtMs < SUSPICION_DURATION_MS
  }

  /** Workers that crashed while they ran the request. */
  crashedWorkers (fingerprint: string): Iterable<string> {
    return this._suspects.get(fingerprint)?.crashes.keys() ?? []
  }

  /** Time of the latest crash if at least two are independent; undefined otherwise. */
  latestOfSeveralCrashes (fingerprint: string): number | undefined {
    const suspect = this._suspects.get(fingerprint)
    if (suspect === undefined || this._countIndependentCrashes(suspect) < 2) return undefined
    return Math.max(...[...suspect.crashes.values()].map(({ crashedAtMs }) => crashedAtMs))
  }

  /** True when no worker should get the request again. */
  isQuarantined (fingerprint: string): boolean {
    return this._quarantinedFingerprints.has(fingerprint)
  }

  private _countIndependentCrashes ({ crashes }: SuspectRequest): number {
    const { spacingMs = 0 } = this._options
    let count = 0
    let lastMs = Number.NEGATIVE_INFINITY
    for (const { crashedAtMs, sentAtMs = Number.NEGATIVE_INFINITY } of [...crashes.values()].sort((left, right) => left.crashedAtMs - right.crashedAtMs)) {
      if (crashedAtMs - lastMs < spacingMs && sentAtMs - lastMs < COMMON_FAULT_MS) continue
      count++
      lastMs = crashedAtMs
    }
    return count
  }
}
