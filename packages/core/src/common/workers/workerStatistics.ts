/** What this node has seen of each worker: requests in flight, durations, failures, cached prompts. */
import { Ewma } from '../base/ewma.js'
import type { PromptPart } from '../turns/promptCache.js'

/** Weight of a new duration or failure; about the last fifteen requests count. */
const SAMPLE_WEIGHT = 0.12
/** Prompt parts remembered for each worker; the least recently used yield. */
const MAX_CACHED_PARTS = 4_000
/** A failure is forgotten after this, so that a worker that mended gets work again. */
const FAILURE_MEMORY_MS = 4_000

interface WorkerFigures {
  inFlight: number
  durationRatio: Ewma
  failureRate: Ewma
  lastFailureAtMs: number
  /** Tokens of each prompt part that the worker has read. */
  cachedParts: Map<string, number>
}

/** Figures of the workers, as placement uses them. */
export interface IWorkerStatistics {
  begin (workerId: string): void
  /** Ends a request. `ratio` is its duration relative to the mean of its route; absent when it did not run to its end. */
  end (workerId: string, ratio?: number): void
  /** `severity` is 1 for a request that is lost, less for one that was answered with a failure or refused. */
  recordFailure (workerId: string, nowMs: number, severity?: number): void
  recordPrompt (workerId: string, prompt: readonly PromptPart[]): void
  /** Replaces what a peer has in flight. */
  setPeerLoad (peer: string, inFlight: Readonly<Record<string, number>>): void
  dropPeer (peer: string): void
  forget (workerId: string): void
  /** Requests of all nodes in flight, as far as known. */
  inFlightOf (workerId: string): number
  /** Own requests in flight by worker. */
  ownLoad (): Record<string, number>
  /** 1 for a worker of ordinary speed, more for a slow one. */
  slownessOf (workerId: string): number
  /** 0 to 1. */
  failureRateOf (workerId: string, nowMs: number): number
  /** Tokens of a prompt part that the worker has probably cached. */
  cachedTokensOf (workerId: string, partId: string): number
}
export const IWorkerStatistics = Symbol('IWorkerStatistics')

export class WorkerStatistics implements IWorkerStatistics {
  private readonly _figures = new Map<string, WorkerFigures>()
  private readonly _peerLoads = new Map<string, Readonly<Record<string, number>>>()
  /** Sums of the peers' loads by worker, so that a choice among many workers needs no look at each peer. */
  private readonly _peerTotals = new Map<string, number>()

  begin (workerId: string): void {
    this._figuresOf(workerId).inFlight++
  }

  end (workerId: string, ratio?: number): void {
    const figures = this._figuresOf(workerId)
    figures.inFlight = Math.max(0, figures.inFlight - 1)
    if (ratio === undefined) return
    figures.durationRatio.add(ratio)
    figures.failureRate.add(0)
  }

  recordFailure (workerId: string, nowMs: number, severity = 1): void {
    const figures = this._figuresOf(workerId)
    figures.failureRate.add(severity)
    figures.lastFailureAtMs = nowMs
  }

  recordPrompt (workerId: string, prompt: readonly PromptPart[]): void {
    const { cachedParts } = this._figuresOf(workerId)
    for (const { id, tokens } of prompt) {
      const known = cachedParts.get(id) ?? 0
      cachedParts.delete(id)
      cachedParts.set(id, Math.max(known, tokens))
    }
    for (const partId of cachedParts.keys()) {
      if (cachedParts.size <= MAX_CACHED_PARTS) return
      cachedParts.delete(partId)
    }
  }

  setPeerLoad (peer: string, inFlight: Readonly<Record<string, number>>): void {
    this.dropPeer(peer)
    this._peerLoads.set(peer, inFlight)
    this._addToTotals(inFlight, 1)
  }

  dropPeer (peer: string): void {
    const known = this._peerLoads.get(peer)
    if (known === undefined) return
    this._peerLoads.delete(peer)
    this._addToTotals(known, -1)
  }

  forget (workerId: string): void {
    const figures = this._figures.get(workerId)
    if (figures === undefined) return
    if (figures.inFlight === 0) this._figures.delete(workerId)
    else figures.cachedParts.clear()
  }

  inFlightOf (workerId: string): number {
    return (this._figures.get(workerId)?.inFlight ?? 0) + (this._peerTotals.get(workerId) ?? 0)
  }

  ownLoad (): Record<string, number> {
    const load: Record<string, number> = {}
    for (const [workerId, { inFlight }] of this._figures) {
      if (inFlight > 0) load[workerId] = inFlight
    }
    return load
  }

  slownessOf (workerId: string): number {
    return this._figures.get(workerId)?.durationRatio.value ?? 1
  }

  failureRateOf (workerId: string, nowMs: number): number {
    const figures = this._figures.get(workerId)
    if (figures === undefined || nowMs - figures.lastFailureAtMs > FAILURE_MEMORY_MS) return 0
    return figures.failureRate.value
  }

  cachedTokensOf (workerId: string, partId: string): number {
    return this._figures.get(workerId)?.cachedParts.get(partId) ?? 0
  }

  private _addToTotals (load: Readonly<Record<string, number>>, factor: 1 | -1): void {
    for (const [workerId, inFlight] of Object.entries(load)) {
      const total = (this._peerTotals.get(workerId) ?? 0) + factor * inFlight
      if (total === 0) this._peerTotals.delete(workerId)
      else this._peerTotals.set(workerId, total)
    }
  }

  private _figuresOf (workerId: string): WorkerFigures {
    let figures = this._figures.get(workerId)
    if (figures === undefined) {
      figures = {
        inFlight: 0,
        durationRatio: new Ewma(SAMPLE_WEIGHT, 1),
        failureRate: new Ewma(SAMPLE_WEIGHT, 0),
        lastFailureAtMs: Number.NEGATIVE_INFINITY,
        cachedParts: new Map()
      }
      this._figures.set(workerId, figures)
    }
    return figures
  }
}
