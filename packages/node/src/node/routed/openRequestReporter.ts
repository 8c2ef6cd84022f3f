/** Tells a peer which requests of this node are at which workers, so that a worker's end counts against them although this node is lost. */
import { hash32, selectOwners, type WorkerRegistration } from '@trefoilshunt/core'
import type { ReportedRequest } from '../../common/routed/routedPeerMessages.js'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh } from './peerMesh.js'
import { fingerprintOf } from './requestFingerprint.js'
import { workerLifetimeOf } from './workerEndWatch.js'

/** Most requests are answered before they are reported. */
const REPORT_DELAY_MS = 100
const END_DELAY_MS = 500
const RETRY_MS = 300
const EXPIRY_CHECK_MS = 1_000
/** The oldest ones are no longer reported when there are more. */
const MAX_OPEN = 5_000

/** A request that a worker may run, or may have run when its connection broke. */
export interface OpenRequest {
  readonly id: number
  readonly workerHash: number
  readonly sentAtMs: number
  /** Absent once the fingerprint is computed, so that the body can be freed. */
  request?: RoutedRequest
  fingerprint?: string
  isReported: boolean
  /** Time until which the end of the worker counts, if there was no complete answer. */
  watchedUntilMs?: number
}

export interface OpenRequestReporterOptions {
  node: string
  incarnation: string
  directory: NodeDirectory
  mesh: PeerMesh
}

/**
 * @example
 * const open = reporter.begin(request, worker, { sentAtMs, isSuspect: false })
 * reporter.end(open)
 */
export class OpenRequestReporter {
  private readonly _open = new Map<number, OpenRequest>()
  private readonly _ended: number[] = []
  private _holder: string | undefined
  private _lastId = 0
  private _timer: NodeJS.Timeout | undefined
  private _dueMs = Number.POSITIVE_INFINITY
  private _isDisposed = false

  constructor (private readonly _options: OpenRequestReporterOptions) {}

  /** Requests that are reported, or will be unless they end before. */
  get size (): number {
    return this._open.size
  }

  dispose (): void {
    this._isDisposed = true
    clearTimeout(this._timer)
  }

  /** Must be called before the request is sent; a suspect one is reported at once. */
  begin (request: RoutedRequest, worker: WorkerRegistration, { sentAtMs, isSuspect }: { sentAtMs: number, isSuspect: boolean }): OpenRequest {
    const open: OpenRequest = { id: ++this._lastId, workerHash: hash32(workerLifetimeOf(worker)), sentAtMs, request, isReported: false }
    this._open.set(open.id, open)
    if (this._open.size > MAX_OPEN) this.end(this._open.values().next().value as OpenRequest)
    if (isSuspect) this._flush()
    else this._flushWithin(REPORT_DELAY_MS)
    return open
  }

  /** The worker has answered, did not get the request, or its end is known. */
  end (open: OpenRequest): void {
    if (!this._open.delete(open.id) || !open.isReported) return
    this._ended.push(open.id)
    this._flushWithin(END_DELAY_MS)
  }

  /** The request has no complete answer; the end of the worker counts for some time. */
  endUnanswered (open: OpenRequest, watchMs: number): void {
    open.watchedUntilMs = steadyNowMs() + watchMs
    resolveFingerprint(open)
  }

  /** Ends the unanswered requests with a fingerprint, because a worker has served it. */
  endServed (fingerprint: string): void {
    for (const open of this._open.values()) {
      if (open.watchedUntilMs !== undefined && open.fingerprint === fingerprint) this.end(open)
    }
  }

  /** A peer that has just started knows nothing. */
  handleConnected (peer: string): void {
    if (peer !== this._holder) return
    this._holder = undefined
    this._flushWithin(REPORT_DELAY_MS)
  }

  private _flushWithin (delayMs: number): void {
    const dueMs = steadyNowMs() + delayMs
    if (dueMs >= this._dueMs || this._isDisposed) return
    clearTimeout(this._timer)
    this._dueMs = dueMs
    this._timer = setTimeout(() => this._flush(), delayMs)
  }

  private _flush (): void {
    clearTimeout(this._timer)
    this._dueMs = Number.POSITIVE_INFINITY
    if (this._isDisposed) return
    this._endExpired()
    const holder = this._selectHolder()
    if (holder === undefined) {
      if (this._open.size > 0) this._flushWithin(RETRY_MS)
      return
    }
    const isReset = holder !== this._holder
    this._holder = holder
    if (isReset) for (const open of this._open.values()) open.isReported = false
    const sent = [...this._open.values()].filter(({ isReported }) => !isReported).map(toReported)
    const ended = this._ended.splice(0)
    if (sent.length > 0 || ended.length > 0) {
      const { node, incarnation, mesh } = this._options
      mesh.notify(holder, { type: 'requestsOpen', from: node, incarnation, isReset, sent, ended })
    }
    if (this._open.size > 0) this._flushWithin(EXPIRY_CHECK_MS)
  }

  private _endExpired (): void {
    const nowMs = steadyNowMs()
    for (const open of this._open.values()) {
      if (open.watchedUntilMs !== undefined && open.watchedUntilMs <= nowMs) this.end(open)
    }
  }

  private _selectHolder (): string | undefined {
    const { node, directory, mesh } = this._options
    const peers = directory.alive.filter(({ isDraining, takesRequestReports }) => !isDraining && takesRequestReports === true).map(({ from }) => from.node)
    return selectOwners(node, peers.filter(peer => mesh.isConnected(peer)), 1).at(0)
  }
}

function toReported (open: OpenRequest): ReportedRequest {
  open.isReported = true
  return [open.id, Buffer.from(resolveFingerprint(open), 'base64url'), open.workerHash, Math.round(steadyNowMs() - open.sentAtMs)]
}

function resolveFingerprint (open: OpenRequest): string {
  open.fingerprint ??= fingerprintOf(open.request as RoutedRequest)
  open.request = undefined
  return open.fingerprint
}
