/** Remembers requests that got no complete answer from a worker, until it is known whether that worker has ended. */
import type { WorkerRegistration } from '@trefoilshunt/core'
import { steadyNowMs } from '../steadyClock.js'
import type { OpenRequest } from './openRequestReporter.js'

/** A worker whose connection broke may have ended; its entry tells within a few heartbeats, or when the log is back. */
const BROKEN_WATCH_MS = 60_000
/** A worker drops a request that was given up, so its end counts only soon afterwards. */
const GIVEN_UP_WATCH_MS = 10_000
/** A request may be given up after its worker is known to have ended. */
const END_MEMORY_MS = 60_000
/** Requests are watched for this long at most, however long the list of workers is silent. */
const MAX_EXTENSION_MS = 60_000
/** The oldest ones are forgotten when there are more. */
const MAX_WATCHED = 5_000
const MAX_ENDS = 1_000

/** A request that was sent to a worker and got no complete answer. */
export interface UnansweredRequest {
  fingerprint: string
  requestId: string
  /** The worker's id and start, as in `workerLifetimeOf`. */
  worker: string
  sentAtMs: number
  endedAtMs: number
  /** True if the connection broke, false if the request was given up. */
  isBroken: boolean
  /** The request in the reports to a peer. */
  open?: OpenRequest
  /** Time without news of the workers, in which the watch does not run out. */
  extensionMs?: number
}

/** Time for which the end of the worker counts against the request. */
export function watchTimeMs ({ isBroken }: Pick<UnansweredRequest, 'isBroken'>): number {
  return isBroken ? BROKEN_WATCH_MS : GIVEN_UP_WATCH_MS
}

/** Why a worker is taken for crashed. */
export const CrashEvidence = {
  /** Its address refused connections right after the connection broke. */
  ConnectionRefused: 'connectionRefused',
  /** Its entry has another start time. */
  Restarted: 'restarted',
  /** Its entry was removed, and it had not announced that it leaves. */
  EntryRemoved: 'entryRemoved',
  /** Another node observed the crash. */
  PeerReport: 'peerReport',
  /** A peer had reported that the request was at the worker, and the worker ended. */
  ReportedOpen: 'reportedOpen'
} as const
export type CrashEvidence = typeof CrashEvidence[keyof typeof CrashEvidence]

/** The end of a worker's lifetime. */
export interface WorkerEnd {
  evidence: CrashEvidence
  atMs: number
}

/** Identifies one lifetime of a worker. */
export function workerLifetimeOf ({ workerId, startedAtMs }: Pick<WorkerRegistration, 'workerId' | 'startedAtMs'>): string {
  return `${workerId}@${startedAtMs}`
}

/**
 * @example
 * if (watch.add(request) !== undefined) reportCrash(request)
 * for (const request of watch.end(lifetime, CrashEvidence.Restarted)) reportCrash(request)
 */
export class WorkerEndWatch {
  private readonly _requests = new Set<UnansweredRequest>()
  private readonly _ends = new Map<string, WorkerEnd>()
  private _droppedCount = 0

  get isEmpty (): boolean {
    return this._requests.size === 0
  }

  /** Watches the worker of a request, unless its end is known already and is returned. */
  add (request: UnansweredRequest): WorkerEnd | undefined {
    this._removeExpired()
    const end = this._ends.get(request.worker)
    if (end !== undefined) return end
    this._requests.add(request)
    if (this._requests.size <= MAX_WATCHED) return
    this._requests.delete(this._requests.values().next().value as UnansweredRequest)
    this._droppedCount++
  }

  /** Watches all requests longer, because nothing was heard of the workers meanwhile. */
  extend (durationMs: number): void {
    for (const request of this._requests) request.extensionMs = Math.min(MAX_EXTENSION_MS, (request.extensionMs ?? 0) + durationMs)
  }

  /** Number of requests since the last call that were no longer watched because there were too many. */
  takeDroppedCount (): number {
    const count = this._droppedCount
    this._droppedCount = 0
    return count
  }

  /** True if a worker is known to have crashed. */
  hasEnded (lifetime: string): boolean {
    return this._ends.has(lifetime)
  }

  /** Notes that a worker has crashed; returns the requests that may have been at it, once each. */
  end (lifetime: string, evidence: CrashEvidence): UnansweredRequest[] {
    if (!this._ends.has(lifetime)) this._ends.set(lifetime, { evidence, atMs: steadyNowMs() })
    if (this._ends.size > MAX_ENDS) this._ends.delete(this._ends.keys().next().value as string)
    return this.forget(lifetime)
  }

  /** Forgets that a worker's entry was removed, because it is back: entries may lapse while the log is away. */
  revive (lifetime: string): void {
    if (this._ends.get(lifetime)?.evidence === CrashEvidence.EntryRemoved) this._ends.delete(lifetime)
  }

  /** Stops watching a worker that leaves as planned; returns the requests that may have been at it. */
  forget (lifetime: string): UnansweredRequest[] {
    this._removeExpired()
    const taken = [...this._requests].filter(({ worker }) => worker === lifetime)
    for (const request of taken) this._requests.delete(request)
    return taken
  }

  /** Forgets a request that a worker has served. */
  removeServed (fingerprint: string): void {
    for (const request of this._requests) {
      if (request.fingerprint === fingerprint) this._requests.delete(request)
    }
  }

  private _removeExpired (): void {
    const nowMs = steadyNowMs()
    for (const request of this._requests) {
      if (nowMs - request.endedAtMs > watchTimeMs(request) + (request.extensionMs ?? 0)) this._requests.delete(request)
    }
    for (const [lifetime, { atMs }] of this._ends) {
      if (nowMs - atMs > END_MEMORY_MS) this._ends.delete(lifetime)
    }
  }
}
