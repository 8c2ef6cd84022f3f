/** Requests that were at a worker when it crashed, and the workers that crashed with them. */

/** Time after which a suspicion without a further crash is forgotten. */
const SUSPICION_MS = 600_000
const MAX_SUSPECTS = 10_000

interface Suspicion {
  /** When each worker crashed. */
  crashes: Map<string, number>
  sinceMs: number
}

export interface SuspectRequestsOptions {
  /** Crashes of different workers that prove a request guilty. */
  crashesToQuarantine: number
  /** Crashes closer together than this have one cause beside the request, such as a rack without power, and count once. */
  spacingMs?: number
}

/**
 * @example
 * const suspicions = new CrashSuspicions({ crashesToQuarantine: 2 })
 * suspicions.add('f', 'w1', nowMs)
 * suspicions.add('f', 'w2', nowMs) // true: 'f' is quarantined from now on
 */
export class SuspectRequests {
  private readonly _suspicions = new Map<string, Suspicion>()
  private readonly _quarantined = new Set<string>()

  constructor (private readonly _options: SuspectRequestsOptions) {}

  /** True while no request is suspect, so that none has to be looked up. */
  get isEmpty (): boolean {
    return this._suspicions.size === 0
  }

  /** Takes a crash at `nowMs` in; true when it is the one that proves the request guilty. */
  add (fingerprint: string, worker: string, nowMs: number): boolean {
    const suspicion = this._suspicions.get(fingerprint) ?? { crashes: new Map<string, number>(), sinceMs: nowMs }
    if (!suspicion.crashes.has(worker)) suspicion.crashes.set(worker, nowMs)
    this._suspicions.set(fingerprint, suspicion)
    if (this._suspicions.size > MAX_SUSPECTS) this._suspicions.delete(this._suspicions.keys().next().value as string)
    if (this._countSpaced(suspicion) < this._options.crashesToQuarantine || this._quarantined.has(fingerprint)) return false
    this._quarantined.add(fingerprint)
    return true
  }

  /** Clears a suspect that a worker has served; false when there was no suspicion. */
  clear (fingerprint: string): boolean {
    return this._suspicions.delete(fingerprint)
  }

  isSuspect (fingerprint: string, nowMs: number): boolean {
    const suspicion = this._suspicions.get(fingerprint)
    return suspicion !== undefined && nowMs - suspicion.sinceMs < SUSPICION_MS
  }

  /** Workers that crashed while they ran the request. */
  crashedWorkers (fingerprint: string): Iterable<string> {
    return this._suspicions.get(fingerprint)?.crashes.keys() ?? []
  }

  /** True when no worker should get the request again. */
  isQuarantined (fingerprint: string): boolean {
    return this._quarantined.has(fingerprint)
  }

  private _countSpaced ({ crashes }: Suspicion): number {
    const { spacingMs = 0 } = this._options
    let count = 0
    let lastMs = Number.NEGATIVE_INFINITY
    for (const atMs of [...crashes.values()].sort((left, right) => left - right)) {
      if (atMs - lastMs < spacingMs) continue
      count++
      lastMs = atMs
    }
    return count
  }
}
