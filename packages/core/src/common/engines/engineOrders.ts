/**
 * Orders engines to load models, according to the load of the workers that share a pool. Only the coordinator of a worker
 * sends orders to it, with the offset of the order's record in the log as the fencing number.
 */
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
import type { WorkerLoad } from '../peers/peerMessages.js'
import { IPeers } from '../peers/peers.js'
import { IWorkerCoordinator } from '../placement/workerCoordinator.js'
import { ICoordinatorTable } from '../placement/coordinatorTable.js'
import { IModelPools } from './modelPools.js'
import { chooseMove, type ModelLoad } from './poolBalance.js'

const BALANCE_PERIOD_MS = 10_000
/** Shortest time between two changes in one pool; it prevents a worker from switching back and forth. */
const POOL_COOLDOWN_MS = 30_000
const WORKER_LOAD_QUERY_TIMEOUT_MS = 1_000
const STATUS_TIMEOUT_MS = 2_000
const MODEL_ORDER_TIMEOUT_MS = 10_000
/** An accepted order is repeated only after this time, because loading takes minutes while the weight store is busy. */
const MODEL_ORDER_REPEAT_MS = 300_000
const PUBLISH_TIMEOUT_MS = 10_000

/** An order that the engine accepted. */
interface AcceptedModelOrder {
  model: string
  fencingNumber: number
  atMs: number
}

@injectable()
export class EngineOrders {
  /** Workers whose order is being published or sent. */
  private readonly _workersWithPendingOrder = new Set<string>()
  private readonly _acceptedOrders = new Map<string, AcceptedModelOrder>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IBackends) private readonly _backends: IBackends,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(ICoordinatorTable) private readonly _coordinators: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _workerCoordinator: IWorkerCoordinator,
    @inject(IModelPools) private readonly _pools: IModelPools,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._peers.handle('demandRequest', (body, _from, respond) => respond({ type: 'demandAnswer', workers: this._ownWorkerLoads(body.pool) }))
    this._configuration.onDidFold(({ record }) => {
      if (record.type === 'engineOrdered') this._workerCoordinator.pauseWorker(record.worker)
    })
    this._timers.every(this._settings.enginePollMs, () => this._checkCoordinatedWorkers())
    this._timers.every(BALANCE_PERIOD_MS, () => this._balancePools())
  }

  // For the coordinator of a worker: each coordinated worker of a pool loads the model that the log assigns to it.

  private _checkCoordinatedWorkers (): void {
    if (this._membership.isDraining) return
    for (const pool of this._pools.pools()) {
      for (const worker of this._membership.workers(pool)) {
        if (this._coordinators.isCoordinator(worker.worker) && !this._workersWithPendingOrder.has(worker.worker)) this._checkModel(worker)
      }
    }
  }

  private _checkModel (worker: WorkerInfo): void {
    this._backends.call(worker, { type: 'status' }, STATUS_TIMEOUT_MS, event => {
      if (event.type !== 'status' || this._workersWithPendingOrder.has(worker.worker)) return
      const assigned = this._pools.backendOf(worker)
      if (assigned === undefined) return
      if (event.status.model === assigned.name) {
        this._acceptedOrders.delete(worker.worker)
        this._workerCoordinator.resumeWorker(worker.worker)
        return
      }
      this._workerCoordinator.pauseWorker(worker.worker)
      this._orderModel(worker, assigned.name, assigned.checksFencing ? 0 : assigned.orderLifetimeMs)
    })
  }

  /**
   * Publishes an order first. The engine gets it once the record was read back, the worker's running calls have ended and
   * the record is at least `minOrderAgeMs` old, after which no older order can arrive any more.
   */
  private _orderModel (worker: WorkerInfo, model: string, minOrderAgeMs: number): void {
    const order = this._configuration.state.engineOrders.find(candidate => candidate.worker === worker.worker)
    const isOwnOrder = order !== undefined && order.model === model && order.by.node === this._identity.node && order.by.incarnation === this._identity.incarnation
    if (!isOwnOrder) {
      this._publishOrder(worker.worker, model)
      return
    }
    const isDrained = (this._workerCoordinator.queueOf(worker.worker)?.inFlightCount ?? 0) === 0
    const isOldEnough = this._clock.nowMs() - order.atMs >= minOrderAgeMs
    if (!isDrained || !isOldEnough || this._isLoading(worker.worker, order.fencingNumber)) return
    this._workersWithPendingOrder.add(worker.worker)
    this._logger.info('modelOrdered', { worker: worker.worker, model, fencingNumber: order.fencingNumber })
    const { fencingNumber } = order
    this._backends.call(worker, { type: 'load', model, fencingNumber }, MODEL_ORDER_TIMEOUT_MS, event => {
      this._workersWithPendingOrder.delete(worker.worker)
      if (event.type === 'ok') this._acceptedOrders.set(worker.worker, { model, fencingNumber, atMs: this._clock.nowMs() })
    })
  }

  private _isLoading (worker: string, fencingNumber: number): boolean {
    const accepted = this._acceptedOrders.get(worker)
    return accepted !== undefined && accepted.fencingNumber === fencingNumber && this._clock.nowMs() - accepted.atMs < MODEL_ORDER_REPEAT_MS
  }

  /** Publishes an order, which assigns the model to the worker at every node. */
  private _publishOrder (worker: string, model: string): void {
    this._workersWithPendingOrder.add(worker)
    const { node, incarnation, address } = this._identity
    const record = { type: 'engineOrdered', worker, model, by: { node, incarnation, address }, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => { this._workersWithPendingOrder.delete(worker) })
  }

  // For the node that balances a pool: it compares the loads of the models.

  private _balancePools (): void {
    if (this._membership.isDraining) return
    for (const pool of this._pools.pools()) {
      const balancer = resolveOwner(pool, this._membership.liveNodes(), peer => peer.node)
      if (balancer?.node === this._identity.node && !this._isCoolingDown(pool)) this._collectWorkerLoads(pool, workerLoads => this._moveWorker(pool, workerLoads))
    }
  }

  private _isCoolingDown (pool: string): boolean {
    const workers = new Set(this._membership.workers(pool).map(worker => worker.worker))
    return this._configuration.state.engineOrders.some(order => workers.has(order.worker) && this._clock.nowMs() - order.atMs < POOL_COOLDOWN_MS)
  }

  /** Collects the loads of a pool's workers from their coordinators, without those of a coordinator that does not answer in time. */
  private _collectWorkerLoads (pool: string, onComplete: (workerLoads: WorkerLoad[]) => void): void {
    const coordinators = new Set(this._membership.workers(pool).flatMap(worker => this._coordinators.coordinatorOf(worker.worker)?.node ?? []))
    const collectedLoads = this._ownWorkerLoads(pool)
    coordinators.delete(this._identity.node)
    let pendingCount = coordinators.size
    if (pendingCount === 0) onComplete(collectedLoads)
    for (const name of coordinators) {
      const coordinator = this._membership.findNode(name)
      const handleAnswered = () => {
        pendingCount--
        if (pendingCount === 0) onComplete(collectedLoads)
      }
      if (coordinator === undefined) {
        handleAnswered()
        continue
      }
      this._peers.request(coordinator, { type: 'demandRequest', pool }, WORKER_LOAD_QUERY_TIMEOUT_MS, answer => {
        if (answer.type === 'answered' && answer.body.type === 'demandAnswer') collectedLoads.push(...answer.body.workers)
        handleAnswered()
      })
    }
  }

  private _ownWorkerLoads (pool: string): WorkerLoad[] {
    return this._membership.workers(pool)
      .filter(worker => this._coordinators.isCoordinator(worker.worker))
      .map(worker => ({ worker: worker.worker, demand: this._workerCoordinator.loadOf(worker.worker) }))
  }

  private _moveWorker (pool: string, workerLoads: WorkerLoad[]): void {
    const loadByWorker = new Map(workerLoads.map(({ worker, demand }) => [worker, demand]))
    const loads = this._pools.modelsOf(pool).map(({ name }): ModelLoad => {
      const workers = this._pools.workersOf(name).map(worker => worker.worker)
      workers.sort((left, right) => (loadByWorker.get(left) ?? 0) - (loadByWorker.get(right) ?? 0))
      return { model: name, workers, load: workers.reduce((sum, worker) => sum + (loadByWorker.get(worker) ?? 0), 0) }
    })
    const move = chooseMove(loads)
    if (move === undefined) return
    this._logger.info('poolRebalanced', { pool, worker: move.worker, from: move.from, to: move.to })
    this._publishOrder(move.worker, move.to)
  }
}
