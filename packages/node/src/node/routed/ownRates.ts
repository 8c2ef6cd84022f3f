/** Keeps this node's share of the workers' rate limits while it selects workers without a coordinator. */
import { type IRandom, type IWorkerNotices, RequestRates, type WorkerRegistration } from '@trefoilshunt/core'
import { steadyNowMs } from '../steadyClock.js'

/** After a pause of this length the share begins anew. */
const PAUSE_MS = 1_000

export interface OwnRatesOptions {
  notices: IWorkerNotices
  /** Number of nodes that share the limits, reachable or not. */
  nodeCount: () => number
  random: IRandom
}

/**
 * Each share begins at a random part of a request: nodes that lose their coordinator at the same moment send neither one request each
 * at once nor all at the same later time, and together no more than the limits.
 *
 * @example
 * const candidates = ownRates.filter(workers)
 * ownRates.take(candidates[0])
 */
export class OwnRates {
  private readonly _rates: RequestRates
  private _lastUseAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _options: OwnRatesOptions) {
    this._rates = new RequestRates(() => _options.random.next())
  }

  /** The workers that may get a request from this node now. */
  filter (workers: readonly WorkerRegistration[]): WorkerRegistration[] {
    const nowMs = steadyNowMs()
    if (nowMs - this._lastUseAtMs > PAUSE_MS) this._rates.clear()
    this._lastUseAtMs = nowMs
    return workers.filter(worker => {
      const ratePerS = this._options.notices.rateOf(worker)
      return ratePerS === undefined || this._rates.mayTake(worker.workerId, ratePerS / this._options.nodeCount(), nowMs)
    })
  }

  /** Counts a request to a worker that `filter` has returned. */
  take ({ workerId }: WorkerRegistration): void {
    this._rates.take(workerId, steadyNowMs())
  }

  removeWorker (workerId: string): void {
    this._rates.removeWorker(workerId)
  }
}
