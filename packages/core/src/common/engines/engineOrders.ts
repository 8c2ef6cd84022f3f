/** Orders engines to load models: by demand, one lead a worker, with the log's offset as the fencing number. */
import { inject, injectable } from 'tsyringe'
import { IBackends } from '../kernel/backendPort.js'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { NodeIdentity } from '../kernel/node.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { resolveOwner } from '../base/rendezvous.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IMembership } from '../membership/membership.js'
import type { WorkerInfo } from '../membership/workerDirectory.js'
import type { WorkerDemand } from '../peers/peerMessages.js'
import { IPeers } from '../peers/peers.js'
import { IWorkerCoordinator } from '../placement/workerCoordinator.js'
import { ICoordinatorTable } from '../placement/coordinatorTable.js'
import { IModelPools } from './modelPools.js'
import { chooseMove, type ModelLoad } from './poolBalance.js'

const BALANCE_PERIOD_MS = 10_000
/** Time between two changes in one pool, so that no worker goes back and forth. */
const POOL_COOLDOWN_MS = 30_000
const DEMAND_TIMEOUT_MS = 1_000
const STATUS_TIMEOUT_MS = 2_000
const LOAD_TIMEOUT_MS = 10_000
/** Loading takes minutes where the weight store is busy; an order is repeated only after this time. */
const LOAD_REPEAT_MS = 300_000
const PUBLISH_TIMEOUT_MS = 10_000

/** An order that was sent and accepted. */
interface SentOrder {
  model: string
  fencingNumber: number
  atMs: number
}

@injectable()
export class EngineOrders {
  /** Workers for which a claim or an order is on its way. */
  private readonly _underWay = new Set<string>()
  private readonly _sent = new Map<string, SentOrder>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IBackends) private readonly _backends: IBackends,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(ICoordinatorTable) private readonly _leadTable: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _leads: IWorkerCoordinator,
    @inject(IModelPools) private readonly _pools: IModelPools,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._peers.handle('demandRequest', (body, _from, respond) => respond({ type: 'demandAnswer', workers: this._ownDemand(body.pool) }))
    this._configuration.onDidFold(({ record }) => {
      if (record.type === 'engineOrdered') this._leads.pauseWorker(record.worker)
    })
    this._timers.every(this._settings.enginePollMs, () => this._checkLedWorkers())
    this._timers.every(BALANCE_PERIOD_MS, () => this._balance())
  }

  // The lead's side: every led worker of a pool gets the model that the log assigns to it.

  private _checkLedWorkers (): void {
    if (this._membership.isDraining) return
    for (const pool of this._pools.pools()) {
      for (const worker of this._membership.workers(pool)) {
        if (this._leadTable.isCoordinator(worker.worker) && !this._underWay.has(worker.worker)) this._check(worker)
      }
    }
  }

  private _check (worker: WorkerInfo): void {
    this._backends.call(worker, { type: 'status' }, STATUS_TIMEOUT_MS, event => {
      if (event.type !== 'status' || this._underWay.has(worker.worker)) return
      const wanted = this._pools.backendOf(worker)
      if (wanted === undefined) return
      if (event.status.model === wanted.name) {
        this._sent.delete(worker.worker)
        this._leads.resumeWorker(worker.worker)
        return
      }
      this._leads.pauseWorker(worker.worker)
      this._order(worker, wanted.name, wanted.checksFencing ? 0 : wanted.orderLifetimeMs)
    })
  }

  /** Claims the worker first; the order follows once the claim is folded and older orders cannot arrive any more. */
  private _order (worker: WorkerInfo, model: string, waitOutMs: number): void {
    const order = this._configuration.state.engineOrders.find(candidate => candidate.worker === worker.worker)
    const isOwnClaim = order !== undefined && order.model === model && order.by.node === this._identity.node && order.by.incarnation === this._identity.incarnation
    if (!isOwnClaim) {
      this._claim(worker.worker, model)
      return
    }
    const isDrained = (this._leads.queueOf(worker.worker)?.inFlightCount ?? 0) === 0
    const isWaitedOut = this._clock.nowMs() - order.atMs >= waitOutMs
    if (!isDrained || !isWaitedOut || this._isLoading(worker.worker, order.fencingNumber)) return
    this._underWay.add(worker.worker)
    this._logger.info('modelOrdered', { worker: worker.worker, model, fencingNumber: order.fencingNumber })
    const { fencingNumber } = order
    this._backends.call(worker, { type: 'load', model, fencingNumber }, LOAD_TIMEOUT_MS, event => {
      this._underWay.delete(worker.worker)
      if (event.type === 'ok') this._sent.set(worker.worker, { model, fencingNumber, atMs: this._clock.nowMs() })
    })
  }

  private _isLoading (worker: string, fencingNumber: number): boolean {
    const sent = this._sent.get(worker)
    return sent !== undefined && sent.fencingNumber === fencingNumber && this._clock.nowMs() - sent.atMs < LOAD_REPEAT_MS
  }

  private _claim (worker: string, model: string): void {
    this._underWay.add(worker)
    const { node, incarnation, address } = this._identity
    const record = { type: 'engineOrdered', worker, model, by: { node, incarnation, address }, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => { this._underWay.delete(worker) })
  }

  // The pool's side: one node compares the demand of its models.

  private _balance (): void {
    if (this._membership.isDraining) return
    for (const pool of this._pools.pools()) {
      const balancer = resolveOwner(pool, this._membership.liveNodes(), peer => peer.node)
      if (balancer?.node === this._identity.node && !this._isCoolingDown(pool)) this._collectDemand(pool, demands => this._moveOne(pool, demands))
    }
  }

  private _isCoolingDown (pool: string): boolean {
    const workers = new Set(this._membership.workers(pool).map(worker => worker.worker))
    return this._configuration.state.engineOrders.some(order => workers.has(order.worker) && this._clock.nowMs() - order.atMs < POOL_COOLDOWN_MS)
  }

  private _collectDemand (pool: string, onCollected: (demands: WorkerDemand[]) => void): void {
    const leads = new Set(this._membership.workers(pool).flatMap(worker => this._leadTable.coordinatorOf(worker.worker)?.node ?? []))
    const demands = this._ownDemand(pool)
    leads.delete(this._identity.node)
    let missing = leads.size
    if (missing === 0) onCollected(demands)
    for (const name of leads) {
      const lead = this._membership.findNode(name)
      const settle = () => {
        missing--
        if (missing === 0) onCollected(demands)
      }
      if (lead === undefined) {
        settle()
        continue
      }
      this._peers.request(lead, { type: 'demandRequest', pool }, DEMAND_TIMEOUT_MS, answer => {
        if (answer.type === 'answered' && answer.body.type === 'demandAnswer') demands.push(...answer.body.workers)
        settle()
      })
    }
  }

  private _ownDemand (pool: string): WorkerDemand[] {
    return this._membership.workers(pool)
      .filter(worker => this._leadTable.isCoordinator(worker.worker))
      .map(worker => ({ worker: worker.worker, demand: this._leads.demandOf(worker.worker) }))
  }

  private _moveOne (pool: string, demands: WorkerDemand[]): void {
    const demandOf = new Map(demands.map(({ worker, demand }) => [worker, demand]))
    const loads = this._pools.modelsOf(pool).map(({ name }): ModelLoad => {
      const workers = this._pools.workersOf(name).map(worker => worker.worker)
      workers.sort((left, right) => (demandOf.get(left) ?? 0) - (demandOf.get(right) ?? 0))
      return { model: name, workers, demand: workers.reduce((sum, worker) => sum + (demandOf.get(worker) ?? 0), 0) }
    })
    const move = chooseMove(loads)
    if (move === undefined) return
    this._logger.info('poolRebalanced', { pool, worker: move.worker, from: move.from, to: move.to })
    this._claim(move.worker, move.to)
  }
}
