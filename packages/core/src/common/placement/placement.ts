/** Chooses workers: for new programs by the estimates of several coordinators, for later steps by the cached conversation. */
import { inject, injectable } from 'tsyringe'
import { NodeIdentity } from '../kernel/node.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings, PlacementPolicy } from '../kernel/settings.js'
import type { Rank } from '../configuration/document.js'
import { IModelPools } from '../engines/modelPools.js'
import { IMembership } from '../membership/membership.js'
import type { WorkerInfo } from '../membership/workerDirectory.js'
import type { PlacementEstimate } from '../peers/peerMessages.js'
import { IPeers } from '../peers/peers.js'
import { IOutliers } from '../dispatch/outliers.js'
import { prefillMs, transferMs } from './cacheMove.js'
import { IWorkerCoordinator } from './workerCoordinator.js'
import { ICoordinatorTable } from './coordinatorTable.js'

/** Wait that a move must save beyond the cost of losing the cache. */
const MOVE_MARGIN_MS = 1_000
/**
 * A move must cost less than this share of the wait at the cached worker, because expected waits vary by chance and a
 * prefill also delays the other calls of the new worker.
 */
const MOVE_WAIT_SHARE = 0.5

/** What a step or a new program needs from a worker. */
export interface WorkerQuery {
  model: string
  /** Worker that holds the conversation in its cache, if any. */
  cachedWorker: string | undefined
  promptTokens: number
  customer: string
  kind: string
  rank: Rank
  /** Workers that must not be chosen. */
  excluded: ReadonlySet<string>
}

/** Chooses the worker on which a step or a new program runs. */
export interface IPlacement {
  /**
   * Chooses the worker for one step and passes it to `onChosen`, possibly before this method returns; undefined when none
   * is available.
   */
  chooseWorker (query: WorkerQuery, onChosen: (worker: string | undefined) => void): void
  /**
   * Requests placement estimates for `offerSampleSize` random candidates from their coordinators. Passes on the usable
   * estimates that arrive within `offerTimeoutMs`, the best first.
   */
  collectEstimates (query: Omit<WorkerQuery, 'cachedWorker' | 'promptTokens'>, onEstimates: (estimates: PlacementEstimate[]) => void): void
}
export const IPlacement = Symbol('IPlacement')

@injectable()
export class Placement implements IPlacement {
  private _lastRoundRobin = 0

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ICoordinatorTable) private readonly _coordinators: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _workerCoordinator: IWorkerCoordinator,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(IOutliers) private readonly _outliers: IOutliers,
    @inject(IModelPools) private readonly _pools: IModelPools
  ) {
    this._lastRoundRobin = _random.nextInt(1_000)
  }

  chooseWorker (query: WorkerQuery, onChosen: (worker: string | undefined) => void): void {
    if (this._settings.placementPolicy === PlacementPolicy.RoundRobin) {
      onChosen(this._nextRoundRobin(query))
      return
    }
    const cached = this._resolveCachedWorker(query)
    const mayStay = cached !== undefined && this._settings.placementPolicy === PlacementPolicy.Affinity
    if (mayStay && !this._isMoveWorthwhile(cached, query)) {
      onChosen(cached)
      return
    }
    this.collectEstimates(query, estimates => onChosen(this._bestWorker(estimates, cached, query)))
  }

  collectEstimates (query: Omit<WorkerQuery, 'cachedWorker' | 'promptTokens'>, onEstimates: (estimates: PlacementEstimate[]) => void): void {
    const sample = this._sampleCandidates(query)
    const estimates: PlacementEstimate[] = []
    let pendingCount = sample.length
    if (pendingCount === 0) onEstimates([])
    for (const worker of sample) {
      this._requestEstimate(worker.worker, query, estimate => {
        if (estimate?.isUsable === true) estimates.push(estimate)
        pendingCount--
        if (pendingCount === 0) onEstimates(estimates.sort(compareEstimates))
      })
    }
  }

  private _requestEstimate (worker: string, query: Omit<WorkerQuery, 'cachedWorker' | 'promptTokens'>, onEstimate: (estimate: PlacementEstimate | undefined) => void): void {
    const coordinator = this._coordinators.coordinatorOf(worker)
    if (coordinator === undefined) {
      onEstimate(undefined)
    } else if (coordinator.node === this._identity.node) {
      onEstimate(this._workerCoordinator.estimatePlacement(worker, query.rank, query.kind))
    } else {
      const { rank, customer, kind } = query
      this._peers.request(coordinator, { type: 'offerRequest', worker, rank, customer, kind }, this._settings.offerTimeoutMs, answer => {
        onEstimate(answer.type === 'answered' && answer.body.type === 'offer' ? answer.body : undefined)
      })
    }
  }

  /** Workers that serve the model and are not excluded; ejected ones only when there are no others. */
  private _candidates (query: { model: string, excluded: ReadonlySet<string> }): WorkerInfo[] {
    const workers = this._pools.workersOf(query.model)
    const allowed = workers.filter(worker => !query.excluded.has(worker.worker))
    const healthy = allowed.filter(worker => !this._outliers.isEjected(worker.worker))
    return healthy.length > 0 ? healthy : allowed
  }

  private _sampleCandidates (query: { model: string, excluded: ReadonlySet<string> }): WorkerInfo[] {
    return this._random.sample(this._candidates(query), this._settings.offerSampleSize)
  }

  /** Next candidate in round-robin order; undefined when there is none. */
  private _nextRoundRobin (query: WorkerQuery): string | undefined {
    const candidates = this._candidates(query)
    if (candidates.length === 0) return undefined
    this._lastRoundRobin++
    return candidates[this._lastRoundRobin % candidates.length].worker
  }

  /** Worker that holds the conversation in its cache; undefined when it is excluded, ejected or no longer serves the model. */
  private _resolveCachedWorker (query: WorkerQuery): string | undefined {
    const { cachedWorker } = query
    const isUsable = cachedWorker !== undefined && !query.excluded.has(cachedWorker) &&
      this._isServing(cachedWorker, query.model) && !this._outliers.isEjected(cachedWorker)
    return isUsable ? cachedWorker : undefined
  }

  private _isServing (worker: string, model: string): boolean {
    const info = this._membership.findWorker(worker)
    return info !== undefined && this._pools.backendOf(info)?.name === model
  }

  /** Only the coordinator knows the wait, so a step stays at its cached worker when another node coordinates that worker. */
  private _isMoveWorthwhile (cached: string, query: WorkerQuery): boolean {
    const queue = this._coordinators.isCoordinator(cached) ? this._workerCoordinator.queueOf(cached) : undefined
    if (queue === undefined) return false
    return queue.expectedWaitMs(query.rank) * MOVE_WAIT_SHARE > cacheLossMs(query.promptTokens) + MOVE_MARGIN_MS
  }

  /** The best estimate's worker, unless moving there costs too much compared with the wait at the cached worker. */
  private _bestWorker (estimates: PlacementEstimate[], cached: string | undefined, query: WorkerQuery): string | undefined {
    const best = estimates.at(0)
    if (best === undefined || best.worker === cached) return cached ?? this._nextRoundRobin({ ...query, cachedWorker: undefined })
    const isAffinity = cached !== undefined && this._settings.placementPolicy === PlacementPolicy.Affinity
    if (!isAffinity) return best.worker
    const waitMs = this._workerCoordinator.queueOf(cached)?.expectedWaitMs(query.rank) ?? 0
    const movedMs = best.expectedWaitMs + cacheLossMs(query.promptTokens) + MOVE_MARGIN_MS
    return waitMs * MOVE_WAIT_SHARE > movedMs ? best.worker : cached
  }
}

/** Time that leaving the cache costs: the lower cost of moving the cache and of computing the prompt again. */
function cacheLossMs (tokens: number): number {
  return Math.min(transferMs(tokens), prefillMs(tokens))
}

/** Orders estimates by admission, then by expected wait, then by load. */
function compareEstimates (left: PlacementEstimate, right: PlacementEstimate): number {
  if (left.isAdmitted !== right.isAdmitted) return left.isAdmitted ? -1 : 1
  if (left.expectedWaitMs !== right.expectedWaitMs) return left.expectedWaitMs - right.expectedWaitMs
  return left.load - right.load
}
