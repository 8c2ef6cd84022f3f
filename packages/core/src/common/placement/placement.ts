/** Chooses workers: for new programs by offers of several leads, for later steps by where the cache is. */
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

/** Wait that must be saved beyond the prefill before a program leaves its cache. */
const MOVE_MARGIN_MS = 1_000
/** The wait elsewhere must be below this share of the wait here: queues differ by chance, and a prefill delays others. */
const MOVE_WAIT_SHARE = 0.5

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

/** Decides where work runs. */
export interface IPlacement {
  /** Chooses the worker for one step; undefined when none is available. */
  chooseWorker (query: WorkerQuery, onChosen: (worker: string | undefined) => void): void
  /** Asks several leads what a new program would meet; best offers first. */
  collectEstimates (query: Omit<WorkerQuery, 'cachedWorker' | 'promptTokens'>, onOffers: (offers: PlacementEstimate[]) => void): void
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
    @inject(ICoordinatorTable) private readonly _leadTable: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _leads: IWorkerCoordinator,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(IOutliers) private readonly _outliers: IOutliers,
    @inject(IModelPools) private readonly _pools: IModelPools
  ) {
    this._lastRoundRobin = _random.nextInt(1_000)
  }

  chooseWorker (query: WorkerQuery, onChosen: (worker: string | undefined) => void): void {
    if (this._settings.placementPolicy === PlacementPolicy.RoundRobin) {
      onChosen(this._nextInTurn(query))
      return
    }
    const cached = this._usableCached(query)
    const mayStay = cached !== undefined && this._settings.placementPolicy === PlacementPolicy.Affinity
    if (mayStay && !this._isWorthLeaving(cached, query)) {
      onChosen(cached)
      return
    }
    this.collectEstimates(query, offers => onChosen(this._best(offers, cached, query)))
  }

  collectEstimates (query: Omit<WorkerQuery, 'cachedWorker' | 'promptTokens'>, onOffers: (offers: PlacementEstimate[]) => void): void {
    const sample = this._sample(query)
    const offers: PlacementEstimate[] = []
    let missing = sample.length
    if (missing === 0) onOffers([])
    for (const worker of sample) {
      this._ask(worker.worker, query, offer => {
        if (offer?.isUsable === true) offers.push(offer)
        missing--
        if (missing === 0) onOffers(offers.sort(compareOffers))
      })
    }
  }

  private _ask (worker: string, query: Omit<WorkerQuery, 'cachedWorker' | 'promptTokens'>, onOffer: (offer: PlacementEstimate | undefined) => void): void {
    const lead = this._leadTable.coordinatorOf(worker)
    if (lead === undefined) {
      onOffer(undefined)
    } else if (lead.node === this._identity.node) {
      onOffer(this._leads.estimatePlacement(worker, query.rank, query.kind))
    } else {
      const { rank, customer, kind } = query
      this._peers.request(lead, { type: 'offerRequest', worker, rank, customer, kind }, this._settings.offerTimeoutMs, answer => {
        onOffer(answer.type === 'answered' && answer.body.type === 'offer' ? answer.body : undefined)
      })
    }
  }

  private _candidates (query: { model: string, excluded: ReadonlySet<string> }): WorkerInfo[] {
    const workers = this._pools.workersOf(query.model)
    const allowed = workers.filter(worker => !query.excluded.has(worker.worker))
    const healthy = allowed.filter(worker => !this._outliers.isEjected(worker.worker))
    return healthy.length > 0 ? healthy : allowed
  }

  private _sample (query: { model: string, excluded: ReadonlySet<string> }): WorkerInfo[] {
    return this._random.sample(this._candidates(query), this._settings.offerSampleSize)
  }

  private _nextInTurn (query: WorkerQuery): string | undefined {
    const candidates = this._candidates(query)
    if (candidates.length === 0) return undefined
    this._lastRoundRobin++
    return candidates[this._lastRoundRobin % candidates.length].worker
  }

  private _usableCached (query: WorkerQuery): string | undefined {
    const { cachedWorker } = query
    const isUsable = cachedWorker !== undefined && !query.excluded.has(cachedWorker) &&
      this._serves(cachedWorker, query.model) && !this._outliers.isEjected(cachedWorker)
    return isUsable ? cachedWorker : undefined
  }

  private _serves (worker: string, model: string): boolean {
    const info = this._membership.findWorker(worker)
    return info !== undefined && this._pools.backendOf(info)?.name === model
  }

  /** Only the lead knows the wait, so a step whose lead is elsewhere stays with its cache. */
  private _isWorthLeaving (cached: string, query: WorkerQuery): boolean {
    const queue = this._leadTable.isCoordinator(cached) ? this._leads.queueOf(cached) : undefined
    if (queue === undefined) return false
    return queue.expectedWaitMs(query.rank) * MOVE_WAIT_SHARE > moveMs(query.promptTokens) + MOVE_MARGIN_MS
  }

  private _best (offers: PlacementEstimate[], cached: string | undefined, query: WorkerQuery): string | undefined {
    const best = offers.at(0)
    if (best === undefined || best.worker === cached) return cached ?? this._nextInTurn({ ...query, cachedWorker: undefined })
    const isAffinity = cached !== undefined && this._settings.placementPolicy === PlacementPolicy.Affinity
    if (!isAffinity) return best.worker
    const waitMs = this._leads.queueOf(cached)?.expectedWaitMs(query.rank) ?? 0
    const movedMs = best.expectedWaitMs + moveMs(query.promptTokens) + MOVE_MARGIN_MS
    return waitMs * MOVE_WAIT_SHARE > movedMs ? best.worker : cached
  }
}

/** Time lost when a program leaves its cache: the cheaper of moving it and computing it again. */
function moveMs (tokens: number): number {
  return Math.min(transferMs(tokens), prefillMs(tokens))
}

function compareOffers (left: PlacementEstimate, right: PlacementEstimate): number {
  if (left.isAdmitted !== right.isAdmitted) return left.isAdmitted ? -1 : 1
  if (left.expectedWaitMs !== right.expectedWaitMs) return left.expectedWaitMs - right.expectedWaitMs
  return left.load - right.load
}
