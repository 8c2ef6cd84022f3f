/** Statistics of each worker from this node's requests: in flight, durations, failures and cached prompts. */
import { Ewma } from '../base/ewma.js'
import type { PromptPart } from '../turns/promptCacheIndex.js'

/** Weight of a new duration or failure; the averages cover about the last fifteen requests. */
const SAMPLE_WEIGHT = 0.12
/** Prompt parts recorded for each worker; the least recently used are removed first. */
const MAX_CACHED_PARTS = 4_000
/** The failure rate is ignored when the last failure is older than this, so that a recovered worker gets work again. */
const FAILURE_MEMORY_MS = 4_000

/** Ratio of a worker's mean duration to the route's mean from which the worker counts as slow. */
export const MIN_SLOWNESS = 1.8
/**
 * A slow worker without requests for the first time is measured again with one request. The time doubles with each measurement in a row that finds it slow: one that
 * stalls briefly is back after the first one, one that stays slow gets few requests.
 */
const FIRST_REMEASURE_MS = 600
const LAST_REMEASURE_MS = 4_800

/** State of one worker; its averages cover this node's requests only. */
interface WorkerEntry {
  /** Requests of this node in flight. */
  inFlight: number
  durationRatio: Ewma
  /** When this node last sent a request or got an answer. */
  lastUsedAtMs: number
  /** When the average last changed. */
  measuredAtMs: number
  /** Time without requests after which a slow worker is measured again. */
  remeasureMs: number
  failureRate: Ewma
  lastFailureAtMs: number
  /** Tokens of each prompt part that the worker has processed, the least recently used part first. */
  cachedParts: Map<string, number>
  /** Sum of the tokens of `cachedParts`. */
  cachedTokens: number
}

/** Statistics of the workers that the choice of a worker uses. */
export interface IWorkerStatistics {
  /** Counts a request as in flight. */
  beginRequest (workerId: string, nowMs?: number): void
  /** Ends a request. `ratio` is its duration relative to the mean of its route; undefined when it did not complete. */
  endRequest (workerId: string, ratio?: number, nowMs?: number): void
  /** Adds a failure. `severity` is 1 for a lost request, less for one that was answered with a failure or refused. */
  recordFailure (workerId: string, nowMs: number, severity?: number): void
  /** Records the parts of a prompt as cached by the worker. With `cacheTokens`, the least recently used parts beyond that are removed. */
  recordPrompt (workerId: string, prompt: readonly PromptPart[], cacheTokens?: number): void
  /** Replaces the number of a peer's requests in flight by worker. */
  setPeerLoad (peer: string, inFlight: Readonly<Record<string, number>>): void
  /** Removes the load of a peer. */
  removePeerLoad (peer: string): void
  /** Removes the statistics of a worker; while requests are in flight, only its cached prompt parts. */
  removeWorker (workerId: string): void
  /** Requests in flight of this node and of the peers whose load is known. */
  inFlightOf (workerId: string): number
  /** This node's requests in flight by worker; workers without any are left out. */
  ownLoad (): Record<string, number>
  /** Mean ratio of the worker's durations to the mean of their routes: 1 for a worker of ordinary speed, an unknown one, and a slow one that should be measured again, more for a slow one. */
  slownessOf (workerId: string, nowMs: number): number
  /** Mean severity of recent requests, 0 to 1; 0 when the last failure is too old to count. */
  failureRateOf (workerId: string, nowMs: number): number
  /** Tokens of a prompt part that the worker has probably cached. */
  cachedTokensOf (workerId: string, partId: string): number
}
export const IWorkerStatistics = Symbol('IWorkerStatistics')

export class WorkerStatistics implements IWorkerStatistics {
  private readonly _entries = new Map<string, WorkerEntry>()
  private readonly _peerLoads = new Map<string, Readonly<Record<string, number>>>()
  /** Sums of the peers' loads by worker, so that a choice among many workers need not iterate over the peers. */
  private readonly _peerLoadTotals = new Map<string, number>()

  beginRequest (workerId: string, nowMs = 0): void {
    const entry = this._resolveEntry(workerId)
    entry.inFlight++
    entry.lastUsedAtMs = nowMs
  }

  endRequest (workerId: string, ratio?: number, nowMs = 0): void {
    const entry = this._resolveEntry(workerId)
    entry.inFlight = Math.max(0, entry.inFlight - 1)
    entry.lastUsedAtMs = Math.max(entry.lastUsedAtMs, nowMs)
    if (ratio === undefined) return
    this._addDuration(entry, ratio, nowMs)
    entry.failureRate.add(0)
  }

  recordFailure (workerId: string, nowMs: number, severity = 1): void {
    const entry = this._resolveEntry(workerId)
    entry.failureRate.add(severity)
    entry.lastFailureAtMs = nowMs
  }

  recordPrompt (workerId: string, prompt: readonly PromptPart[], cacheTokens = Number.POSITIVE_INFINITY): void {
    const entry = this._resolveEntry(workerId)
    const { cachedParts } = entry
    for (const { id, tokens } of prompt) {
      const known = cachedParts.get(id) ?? 0
      cachedParts.delete(id)
      cachedParts.set(id, Math.max(known, tokens))
      entry.cachedTokens += Math.max(known, tokens) - known
    }
    for (const [partId, tokens] of cachedParts) {
      if (cachedParts.size <= MAX_CACHED_PARTS && entry.cachedTokens <= cacheTokens) return
      cachedParts.delete(partId)
      entry.cachedTokens -= tokens
    }
  }

  setPeerLoad (peer: string, inFlight: Readonly<Record<string, number>>): void {
    this.removePeerLoad(peer)
    this._peerLoads.set(peer, inFlight)
    this._addToPeerLoadTotals(inFlight, 1)
  }

  removePeerLoad (peer: string): void {
    const known = this._peerLoads.get(peer)
    if (known === undefined) return
    this._peerLoads.delete(peer)
    this._addToPeerLoadTotals(known, -1)
  }

  removeWorker (workerId: string): void {
    const entry = this._entries.get(workerId)
    if (entry === undefined) return
    if (entry.inFlight === 0) {
      this._entries.delete(workerId)
    } else {
      entry.cachedParts.clear()
      entry.cachedTokens = 0
    }
  }

  inFlightOf (workerId: string): number {
    return (this._entries.get(workerId)?.inFlight ?? 0) + (this._peerLoadTotals.get(workerId) ?? 0)
  }

  ownLoad (): Record<string, number> {
    const load: Record<string, number> = {}
    for (const [workerId, { inFlight }] of this._entries) {
      if (inFlight > 0) load[workerId] = inFlight
    }
    return load
  }

  slownessOf (workerId: string, nowMs: number): number {
    const entry = this._entries.get(workerId)
    if (entry === undefined) return 1
    const { durationRatio: { value }, lastUsedAtMs, remeasureMs } = entry
    return value >= MIN_SLOWNESS && entry.inFlight === 0 && nowMs - lastUsedAtMs >= remeasureMs ? 1 : value
  }

  failureRateOf (workerId: string, nowMs: number): number {
    const entry = this._entries.get(workerId)
    if (entry === undefined || nowMs - entry.lastFailureAtMs > FAILURE_MEMORY_MS) return 0
    return entry.failureRate.value
  }

  cachedTokensOf (workerId: string, partId: string): number {
    return this._entries.get(workerId)?.cachedParts.get(partId) ?? 0
  }

  /** The first duration after a pause of a slow worker replaces its average. */
  private _addDuration (entry: WorkerEntry, ratio: number, nowMs: number): void {
    const isRemeasured = entry.durationRatio.value >= MIN_SLOWNESS && nowMs - entry.measuredAtMs >= entry.remeasureMs
    if (isRemeasured) entry.durationRatio = new Ewma(SAMPLE_WEIGHT, ratio)
    else entry.durationRatio.add(ratio)
    entry.measuredAtMs = nowMs
    if (entry.durationRatio.value < MIN_SLOWNESS) entry.remeasureMs = FIRST_REMEASURE_MS
    else if (isRemeasured) entry.remeasureMs = Math.min(LAST_REMEASURE_MS, 2 * entry.remeasureMs)
  }

  private _addToPeerLoadTotals (load: Readonly<Record<string, number>>, factor: 1 | -1): void {
    for (const [workerId, inFlight] of Object.entries(load)) {
      const total = (this._peerLoadTotals.get(workerId) ?? 0) + factor * inFlight
      if (total === 0) this._peerLoadTotals.delete(workerId)
      else this._peerLoadTotals.set(workerId, total)
    }
  }

  private _resolveEntry (workerId: string): WorkerEntry {
    let entry = this._entries.get(workerId)
    if (entry === undefined) {
      entry = {
        inFlight: 0,
        durationRatio: new Ewma(SAMPLE_WEIGHT, 1),
        lastUsedAtMs: 0,
        measuredAtMs: 0,
        remeasureMs: FIRST_REMEASURE_MS,
        failureRate: new Ewma(SAMPLE_WEIGHT, 0),
        lastFailureAtMs: Number.NEGATIVE_INFINITY,
        cachedParts: new Map(),
        cachedTokens: 0
      }
      this._entries.set(workerId, entry)
    }
    return entry
  }
}
