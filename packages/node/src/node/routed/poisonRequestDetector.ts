/** Finds requests that crash the workers that run them, over all nodes, and keeps them from further workers. */
import { createHash } from 'node:crypto'
import { createConnection } from 'node:net'
import { SuspectRequests, type LogFields, type WorkerRegistration } from '@trefoilshunt/core'
import type { ObservedCrash } from '../../common/routed/routedPeerMessages.js'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import { steadyNowMs } from '../steadyClock.js'
import { splitAddress } from './peerMesh.js'

/** A request may be beside two crashes by chance; the users bound what it may reach after the third. */
const CRASHES_TO_QUARANTINE = 3
/** A worker that crashed is away for seconds; its address refuses connections meanwhile. */
const PROBE_TIMEOUT_MS = 300
/** Workers that crash within this of each other crash for another reason than one request. */
const SPACING_MS = 500
/** Crashes that this node saw are told to its peers for this long, and a request that was served is innocent for as long. */
const TELL_MS = 60_000
const MAX_SERVED = 1_000

export interface PoisonRequestDetectorOptions {
  /** This node has something new to tell its peers. */
  onSeen: () => void
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const watch = new CrashWatch({ onSeen, write })
 * if (watch.isQuarantined(request)) refuse()
 */
export class PoisonRequestDetector {
  private readonly _suspicions = new SuspectRequests({ crashesToQuarantine: CRASHES_TO_QUARANTINE, spacingMs: SPACING_MS })
  private _seen: Array<Omit<ObservedCrash, 'agoMs'> & { atMs: number }> = []
  /** When suspects were served, by fingerprint. */
  private readonly _servedAtMs = new Map<string, number>()

  constructor (private readonly _options: PoisonRequestDetectorOptions) {}

  /** Crashes that this node saw lately. */
  get seen (): ObservedCrash[] {
    const nowMs = steadyNowMs()
    this._seen = this._seen.filter(({ atMs }) => nowMs - atMs < TELL_MS)
    return this._seen.map(({ fingerprint, worker, atMs }) => ({ fingerprint, worker, agoMs: Math.round(nowMs - atMs) }))
  }

  /** Takes what a peer saw. */
  takeSeen (crashes: readonly ObservedCrash[]): void {
    for (const { fingerprint, worker, agoMs } of crashes) this._add(fingerprint, worker, steadyNowMs() - agoMs)
  }

  /** A worker broke the request off: a crash, if its address refuses connections now. */
  async handleBrokenRequest (request: RoutedRequest, worker: WorkerRegistration): Promise<void> {
    if (!await refusesConnections(worker.address)) return
    const crash = { fingerprint: fingerprintOf(request), worker: `${worker.workerId}@${worker.startedAtMs}`, atMs: steadyNowMs() }
    this._options.write('workerCrashed', { requestId: request.requestId, worker: worker.workerId, address: worker.address, fingerprint: crash.fingerprint })
    this._seen.push(crash)
    this._add(crash.fingerprint, crash.worker, crash.atMs)
    this._options.onSeen()
  }

  /** A worker has served the request, so it is no cause of crashes. */
  recordServed (request: RoutedRequest): void {
    if (this._suspicions.isEmpty) return
    const fingerprint = fingerprintOf(request)
    if (!this._suspicions.clear(fingerprint)) return
    this._seen = this._seen.filter(crash => crash.fingerprint !== fingerprint)
    this._servedAtMs.set(fingerprint, steadyNowMs())
    if (this._servedAtMs.size > MAX_SERVED) this._servedAtMs.delete(this._servedAtMs.keys().next().value as string)
  }

  isQuarantined (request: RoutedRequest): boolean {
    return !this._suspicions.isEmpty && this._suspicions.isQuarantined(fingerprintOf(request))
  }

  private _add (fingerprint: string, worker: string, atMs: number): void {
    const servedAtMs = this._servedAtMs.get(fingerprint)
    if (servedAtMs !== undefined && steadyNowMs() - servedAtMs < TELL_MS) return
    if (!this._suspicions.add(fingerprint, worker, atMs)) return
    this._options.write('requestQuarantined', { fingerprint, workers: [...this._suspicions.crashedWorkers(fingerprint)].join() })
  }
}

/** Equal for a request that comes again: the same caller, path and body, under another id. */
function fingerprintOf ({ callerAddress, method, host, path, body }: RoutedRequest): string {
  return createHash('sha256').update(`${callerAddress} ${method} ${host} ${path}\n`).update(body).digest('base64url')
}

async function refusesConnections (address: string): Promise<boolean> {
  return await new Promise(resolve => {
    const socket = createConnection({ ...splitAddress(address), timeout: PROBE_TIMEOUT_MS })
    const settle = (isRefused: boolean): void => {
      socket.destroy()
      resolve(isRefused)
    }
    socket.on('connect', () => settle(false))
    socket.on('timeout', () => settle(false))
    socket.on('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'))
  })
}
