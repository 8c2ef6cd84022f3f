/** Assigns slots of workers for the service shards that this node coordinates. */
import { AccountShares, type IAccountDirectory, type IRandom, type IRouteTable, type IWorkerNotices, type IWorkerRegistry, type IWorkerStatistics, type LogFields, type PlacementService, type PlacementEnd, PlacementOrder, type PlacementRequest, ServicePlacement, type SpeedSummary, type SlotPlacement, type WorkerRegistration } from '@trefoilshunt/core'
import { type PlaceReply, type ServiceShard, shardIndexOf, shardKeyOf } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'

/** While requests are queued, waits are checked this often; slots that become free are assigned at once. */
const QUEUE_CHECK_MS = 25
const EXPIRY_CHECK_MS = 1_000
/** Without a request for this long, another node has coordinated the shard in the meantime. */
const TAKEOVER_PAUSE_MS = 1_500
/** Accounts with a metric of their own; the number of series stays bounded. */
const MAX_ACCOUNT_GAUGES = 8
const OTHER_ACCOUNTS = '(others)'

/** Sends a reply to a request for a slot; none follows one with `isLast`. */
export type PlaceResponder = (reply: PlaceReply | { type: 'unavailable', detail: string }, isLast: boolean) => void

/** Learned speeds of the workers of a shard. */
export interface ShardSpeeds extends SpeedSummary {
  shard: ServiceShard
  /** Slots of the workers, those of a slow one counted by the work that it completes. */
  room: number
}

export interface PlacementCoordinatorOptions {
  routes: IRouteTable
  registry: IWorkerRegistry
  /** The load of all nodes as this node knows it, adopted when it becomes a coordinator. */
  statistics: IWorkerStatistics
  notices: IWorkerNotices
  /** Number of other nodes that assign the slots of a shard at the moment, for example while the role moves. */
  otherCoordinatorCount: (shardKey: string) => number
  random: IRandom
  /** How waiting requests are ordered; `Auto` means by cost where the document has client accounts or the speeds of the service's workers differ. */
  placementOrder?: PlacementOrder
  /** Whether a shard is treated as one of workers with different speeds; by default what is learned decides. */
  isUneven?: (shard: { isUneven: boolean }) => boolean
  write: (event: string, fields: LogFields) => void
}

interface Shard {
  shard: ServiceShard
  placement: ServicePlacement
  lastRequestAtMs: number
  /** True once the log says that the speeds differ, until it says that they no longer do. */
  isUneven: boolean
}

interface OpenRequest {
  key: string
  from: string
  isOrderedByCost: boolean
  /** Absent once the request is decided. */
  respond?: PlaceResponder
}

/**
 * @example
 * coordinator.place(shard, 'n1', request, (reply, isLast) => send(reply, isLast))
 * coordinator.release(shard, request.placementId, { durationRatio: 1 })
 */
export class PlacementCoordinator {
  private readonly _shards = new Map<string, Shard>()
  private readonly _openRequests = new Map<string, OpenRequest>()
  /** Shares of the accounts, with the directory that they were derived from. */
  private _shares: { directory: IAccountDirectory, shares: AccountShares } | undefined
  private _queueTimer: NodeJS.Timeout | undefined
  private readonly _expiryTimer: NodeJS.Timeout

  constructor (private readonly _options: PlacementCoordinatorOptions) {
    this._expiryTimer = setInterval(() => this._removeExpired(), EXPIRY_CHECK_MS)
  }

  /** Requests placed by this node and not released. */
  get openCount (): number {
    let count = 0
    for (const { placement } of this._shards.values()) count += placement.openCount
    return count
  }

  get queueLength (): number {
    let length = 0
    for (const { placement } of this._shards.values()) length += placement.queueLength
    return length
  }

  /** Learned speeds of the shards that this node has coordinated lately, and their slots by the work that these complete. */
  get speeds (): ShardSpeeds[] {
    const nowMs = steadyNowMs()
    return [...this._shards.values()]
      .filter(({ lastRequestAtMs }) => nowMs - lastRequestAtMs < TAKEOVER_PAUSE_MS)
      .map(({ shard, placement }) => ({ ...placement.speedSummary(nowMs), shard, room: placement.roomOf(this._serviceOf(shard), nowMs) }))
      .filter(({ meanMs }) => meanMs > 0)
  }

  /** Programs in progress by client account; those of accounts beyond the first `MAX_ACCOUNT_GAUGES`, by number of programs, are added up. */
  get programsByAccount (): ReadonlyMap<string, number> {
    const counts = new Map<string, number>()
    for (const { placement } of this._shards.values()) {
      for (const [account, count] of placement.programsByAccount(steadyNowMs())) counts.set(account, (counts.get(account) ?? 0) + count)
    }
    const sorted = [...counts].sort(([, left], [, right]) => right - left)
    const others = sorted.slice(MAX_ACCOUNT_GAUGES).reduce((total, [, count]) => total + count, 0)
    return new Map([...sorted.slice(0, MAX_ACCOUNT_GAUGES), ...(others === 0 ? [] : [[OTHER_ACCOUNTS, others] as const])])
  }

  /** Keys of the shards with rate limits that this node has coordinated lately. */
  get rateLimitedShards (): string[] {
    const nowMs = steadyNowMs()
    return [...this._shards]
      .filter(([, { shard, lastRequestAtMs }]) => nowMs - lastRequestAtMs < TAKEOVER_PAUSE_MS && this._serviceOf(shard).ratesPerS.size > 0)
      .map(([key]) => key)
  }

  /** Handles the request of node `from` for a slot. */
  place (shard: ServiceShard, from: string, request: PlacementRequest, respond: PlaceResponder): void {
    const service = this._serviceOf(shard)
    if (service.workers.length === 0) {
      respond({ type: 'unavailable', detail: 'no worker is known' }, true)
      return
    }
    const nowMs = steadyNowMs()
    const state = this._resolveShard(shard, service, nowMs)
    state.lastRequestAtMs = nowMs
    this._openRequests.set(request.placementId, { key: shardKeyOf(shard), from, isOrderedByCost: service.isOrderedByCost === true, respond })
    const decided = state.placement.place(request, service, nowMs)
    if (decided.every(({ placementId }) => placementId !== request.placementId)) {
      respond({ type: 'queued' }, false)
      this._queueTimer ??= setInterval(() => this._checkQueues(), QUEUE_CHECK_MS)
    }
    this._reply(decided)
  }

  /** Takes a slot back, or removes the request from the queue; ignored for an unknown placement. */
  release (shard: ServiceShard, placementId: string, end: PlacementEnd): void {
    const state = this._shards.get(shardKeyOf(shard))
    if (state === undefined || !this._openRequests.delete(placementId)) return
    this._reply(state.placement.release(placementId, end, this._serviceOf(shard), steadyNowMs()))
  }

  /** Takes back the slots of a node that has failed. */
  releaseAllOf (node: string): void {
    for (const [placementId, { key, from }] of this._openRequests) {
      const state = from === node ? this._shards.get(key) : undefined
      if (state !== undefined) this.release(state.shard, placementId, {})
    }
  }

  /** Forgets what is known of a worker that has left or restarted. */
  removeWorker (workerId: string): void {
    for (const { placement } of this._shards.values()) placement.removeWorker(workerId)
  }

  dispose (): void {
    clearInterval(this._queueTimer)
    clearInterval(this._expiryTimer)
  }

  private _resolveShard (shard: ServiceShard, { workers }: PlacementService, nowMs: number): Shard {
    const key = shardKeyOf(shard)
    const known = this._shards.get(key)
    if (known !== undefined && nowMs - known.lastRequestAtMs < TAKEOVER_PAUSE_MS) return known
    const state = known ?? { shard, placement: new ServicePlacement(this._options.random), lastRequestAtMs: nowMs, isUneven: false }
    this._shards.set(key, state)
    state.placement.adoptLoad(Object.fromEntries(workers.map(({ workerId }) => [workerId, this._options.statistics.inFlightOf(workerId)])), nowMs)
    this._options.write('placementCoordinated', { service: shard.service, shard: shard.index, shards: shard.count, workers: workers.length })
    return state
  }

  private _serviceOf (shard: ServiceShard): PlacementService {
    const { service, index, count } = shard
    const workers = this._options.registry.workersOf(service, steadyNowMs()).filter(({ workerId }) => shardIndexOf(workerId, count) === index)
    const engine = this._options.routes.findService(service)?.engine
    return {
      workers,
      cacheTokens: engine?.kvTokensCapacity ?? Number.POSITIVE_INFINITY,
      ratesPerS: this._ratesOf(workers, shardKeyOf(shard)),
      tokensPerEvent: engine?.tokensPerEvent,
      limitsTokens: engine !== undefined && this._options.routes.accounts !== undefined,
      isOrderedByCost: this._isOrderedByCost(shard),
      shareOf: this._resolveShareOf()
    }
  }

  private _isOrderedByCost (shard: ServiceShard): boolean {
    const { placementOrder = PlacementOrder.Auto, routes, isUneven = ({ isUneven }) => isUneven } = this._options
    const state = this._shards.get(shardKeyOf(shard))
    return placementOrder === PlacementOrder.Cost || (placementOrder === PlacementOrder.Auto && (routes.accounts !== undefined || (state !== undefined && isUneven(state))))
  }

  private _resolveShareOf (): ((account: string) => number) | undefined {
    const directory = this._options.routes.accounts
    if (directory === undefined) return undefined
    if (this._shares?.directory !== directory) this._shares = { directory, shares: new AccountShares(directory) }
    const { shares } = this._shares
    return account => shares.shareOf(account)
  }

  /** The rates of workers with rate limits, divided among the coordinators. */
  private _ratesOf (workers: readonly WorkerRegistration[], shardKey: string): ReadonlyMap<string, number> {
    const ratesPerS = new Map<string, number>()
    for (const worker of workers) {
      const ratePerS = this._options.notices.rateOf(worker)
      if (ratePerS !== undefined) ratesPerS.set(worker.workerId, ratePerS)
    }
    if (ratesPerS.size === 0) return ratesPerS
    const coordinatorCount = 1 + this._options.otherCoordinatorCount(shardKey)
    return new Map([...ratesPerS].map(([workerId, ratePerS]) => [workerId, ratePerS / coordinatorCount]))
  }

  private _reply (decided: readonly SlotPlacement[]): void {
    for (const placement of decided) {
      const { placementId } = placement
      const open = this._openRequests.get(placementId)
      if (placement.type === 'placed') {
        open?.respond?.({ type: 'placed', workerId: placement.workerId }, true)
        if (open !== undefined) open.respond = undefined
      } else {
        this._openRequests.delete(placementId)
        open?.respond?.({ type: 'refused', retryAfterMs: placement.retryAfterMs, ...(open.isOrderedByCost ? { reason: placement.reason } : {}) }, true)
      }
    }
  }

  private _checkQueues (): void {
    for (const { shard, placement } of this._shards.values()) {
      if (placement.queueLength > 0) this._reply(placement.decideQueued(this._serviceOf(shard), steadyNowMs()))
    }
    if (this.queueLength > 0) return
    clearInterval(this._queueTimer)
    this._queueTimer = undefined
  }

  /** Writes a log line when the workers of a shard begin or cease to count as uneven. */
  private _reportSpeeds (state: Shard): void {
    const { isUneven, fastestMs, slowestMs, meanMs } = state.placement.speedSummary(steadyNowMs())
    if (isUneven === state.isUneven) return
    state.isUneven = isUneven
    const { service, index } = state.shard
    this._options.write('workerSpeedsChanged', { service, shard: index, isUneven, fastestTokenMs: round(fastestMs), slowestTokenMs: round(slowestMs), meanTokenMs: round(meanMs) })
  }

  private _removeExpired (): void {
    for (const state of this._shards.values()) {
      const { placement } = state
      this._reportSpeeds(state)
      for (const placementId of placement.removeExpired(steadyNowMs())) this._openRequests.delete(placementId)
    }
  }
}

function round (valueMs: number): number {
  return Math.round(valueMs * 1_000) / 1_000
}
