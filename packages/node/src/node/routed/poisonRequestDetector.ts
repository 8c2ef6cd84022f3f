/** Detects requests that crash the workers which run them, from crashes observed by all nodes, and quarantines them. */
import { createHash } from 'node:crypto'
import { type LogFields, ProbeResult, SuspectRequests, type WorkerRegistration } from '@trefoilshunt/core'
import type { ObservedCrash } from '../../common/routed/routedPeerMessages.js'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import { steadyNowMs } from '../steadyClock.js'

/** A request may be at a worker during two crashes by chance; the requirements limit how many workers it may reach after the third. */
const CRASHES_TO_QUARANTINE = 3
/** Crashes of workers closer together than this have another cause than one request and count once. */
const SPACING_MS = 500
/** Crashes that this node observed are reported to its peers for this long. Crashes with a request that was served are ignored for as long. */
const OBSERVATION_RETENTION_MS = 60_000
const MAX_SERVED_REQUESTS = 1_000

export interface PoisonRequestDetectorOptions {
  /** Called when this node has observed a crash, which its peers should learn at once. */
  onCrashObserved: () => void
  /** Connects to a worker: the address of a crashed one refuses connections for seconds. */
  probe: (worker: WorkerRegistration) => Promise<ProbeResult>
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const detector = new PoisonRequestDetector({ onCrashObserved, probe, write })
 * if (detector.isQuarantined(request)) refuse()
 */
export class PoisonRequestDetector {
  private readonly _suspects = new SuspectRequests({ crashesToQuarantine: CRASHES_TO_QUARANTINE, spacingMs: SPACING_MS })
  private _observed: Array<Omit<ObservedCrash, 'agoMs'> & { atMs: number }> = []
  /** Steady times at which suspect requests were served, by fingerprint. */
  private readonly _servedAtMs = new Map<string, number>()

  constructor (private readonly _options: PoisonRequestDetectorOptions) {}

  /** Crashes that this node observed in the last minute. */
  get observedCrashes (): ObservedCrash[] {
    const nowMs = steadyNowMs()
    this._observed = this._observed.filter(({ atMs }) => nowMs - atMs < OBSERVATION_RETENTION_MS)
    return this._observed.map(({ fingerprint, worker, atMs }) => ({ fingerprint, worker, agoMs: Math.round(nowMs - atMs) }))
  }

  /** Adds the crashes that a peer observed. */
  applyPeerCrashes (crashes: readonly ObservedCrash[]): void {
    for (const { fingerprint, worker, agoMs } of crashes) this._addCrash(fingerprint, worker, steadyNowMs() - agoMs)
  }

  /** Handles the loss of a connection to a worker during a request: a crash, if the worker's address refuses connections now. */
  async handleBrokenRequest (request: RoutedRequest, worker: WorkerRegistration): Promise<void> {
    if (await this._options.probe(worker) !== ProbeResult.Refused) return
    const crash = { fingerprint: fingerprintOf(request), worker: `${worker.workerId}@${worker.startedAtMs}`, atMs: steadyNowMs() }
    this._options.write('workerCrashed', { requestId: request.requestId, worker: worker.workerId, address: worker.address, fingerprint: crash.fingerprint })
    this._observed.push(crash)
    this._addCrash(crash.fingerprint, crash.worker, crash.atMs)
    this._options.onCrashObserved()
  }

  /** Clears a suspect request, because a worker has served it without a crash. */
  recordServed (request: RoutedRequest): void {
    if (this._suspects.isEmpty) return
    const fingerprint = fingerprintOf(request)
    if (!this._suspects.clear(fingerprint)) return
    this._observed = this._observed.filter(crash => crash.fingerprint !== fingerprint)
    this._servedAtMs.set(fingerprint, steadyNowMs())
    if (this._servedAtMs.size > MAX_SERVED_REQUESTS) this._servedAtMs.delete(this._servedAtMs.keys().next().value as string)
  }

  /** True if the request must not be sent to any worker. */
  isQuarantined (request: RoutedRequest): boolean {
    return !this._suspects.isEmpty && this._suspects.isQuarantined(fingerprintOf(request))
  }

  private _addCrash (fingerprint: string, worker: string, atMs: number): void {
    const servedAtMs = this._servedAtMs.get(fingerprint)
    if (servedAtMs !== undefined && steadyNowMs() - servedAtMs < OBSERVATION_RETENTION_MS) return
    if (!this._suspects.addCrash(fingerprint, worker, atMs)) return
    this._options.write('requestQuarantined', { fingerprint, workers: [...this._suspects.crashedWorkers(fingerprint)].join() })
  }
}

/** Equal for a repeated request, whatever its id: hashes the caller's address, method, host, path and body. */
function fingerprintOf ({ callerAddress, method, host, path, body }: RoutedRequest): string {
  return createHash('sha256').update(`${callerAddress} ${method} ${host} ${path}\n`).update(body).digest('base64url')
}
