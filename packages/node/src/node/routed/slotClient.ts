/** Obtains slots of workers from the node that coordinates them. */
import { hash32, type IWorkerRegistry, type LogFields, type PlacementEnd, type PlacementRequest, type WorkerNotice, resolveOwner, type WorkerRegistration } from '@trefoilshunt/core'
import { type PeerReply, type ServiceShard, shardIndexOf, shardKeyOf } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh } from './peerMesh.js'
import type { PlacementCoordinator } from './placementCoordinator.js'

/** Workers of a service that one node coordinates at most; a larger service is divided among several. */
const MAX_SHARD_WORKERS = 64
/** A coordinator that has not replied after this is not asked again for `SUSPECT_MS`; nodes choose workers by themselves meanwhile. */
const FIRST_REPLY_TIMEOUT_MS = 120
const SUSPECT_MS = 1_000
/** Longer than a request waits for a slot. */
const SLOT_TIMEOUT_MS = 2_000
/** Share of the cores of the largest node from which a node may coordinate. */
const MIN_CORES_SHARE = 0.75
const COORDINATOR_CACHE_MS = 50

/** A slot of a worker; `release` must be called once. */
export interface Slot {
  type: 'placed'
  worker: WorkerRegistration
  release: (end: PlacementEnd) => void
}

/** `refused`: no slot will be free in time. `unavailable`: no coordinator has decided. */
export type SlotOutcome = Slot | { type: 'refused', retryAfterMs: number, reason?: string } | { type: 'unavailable', detail: string }

const NO_REPLY: SlotOutcome = { type: 'unavailable', detail: 'the coordinator did not reply' }

/** A request for a slot; the outcome after `cancel` is undefined, and a slot that is assigned nevertheless is returned. */
export interface SlotRequest {
  outcome: Promise<SlotOutcome | undefined>
  cancel: () => void
}

export interface SlotClientOptions {
  node: string
  /** Differs for each start of the node, so that no placement is confused with one of an earlier process. */
  incarnation: string
  /** Processor cores of this node. */
  cores: number
  /** True if this node may coordinate. */
  isReady: () => boolean
  registry: IWorkerRegistry
  directory: NodeDirectory
  mesh: PeerMesh
  coordinator: PlacementCoordinator
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const { outcome } = slots.request('tailor-models', request)
 * const slot = await outcome
 * if (slot?.type === 'placed') slot.release({ durationRatio: 1 })
 */
export class SlotClient {
  private readonly _suspectUntilMs = new Map<string, number>()
  private readonly _coordinators = new Map<string, { node: string | undefined, atMs: number }>()
  private _lastId = 0

  constructor (private readonly _options: SlotClientOptions) {}

  /** Requests a slot of a worker of the service. */
  request (service: string, request: Omit<PlacementRequest, 'placementId'>): SlotRequest {
    const shard = this._shardOf(service, request)
    const coordinator = this._coordinatorOf(shard)
    if (coordinator === undefined) return createSettled({ type: 'unavailable', detail: 'no coordinator is known' })
    if ((this._suspectUntilMs.get(coordinator) ?? 0) > steadyNowMs()) return createSettled(NO_REPLY)
    const placementId = `${this._options.node}/${this._options.incarnation}/${(++this._lastId).toString(36)}`
    const pending = new PendingSlot({
      release: end => this._release(coordinator, shard, placementId, end),
      onNoReply: () => {
        this._suspectUntilMs.set(coordinator, steadyNowMs() + SUSPECT_MS)
        this._options.write('coordinatorSuspected', { peer: coordinator, service })
      },
      findWorker: workerId => this._options.registry.find(workerId)
    })
    this._send(coordinator, shard, { ...request, placementId }, reply => pending.handleReply(reply))
    return pending
  }

  /** Sends the report of a rate limit to the worker's coordinator, unless that is this node. */
  reportNotice (worker: WorkerRegistration, report: WorkerNotice): void {
    const coordinator = this._coordinatorOfWorker(worker)
    if (coordinator !== undefined && coordinator !== this._options.node) this._options.mesh.notify(coordinator, { type: 'rateLimit', report })
  }

  /** True if this node assigns the slots of the worker. */
  isCoordinatorOf (worker: WorkerRegistration): boolean {
    return this._coordinatorOfWorker(worker) === this._options.node
  }

  private _coordinatorOfWorker ({ service, workerId }: WorkerRegistration): string | undefined {
    const count = this._shardCountOf(service)
    return this._coordinatorOf({ service, count, index: shardIndexOf(workerId, count) })
  }

  /** Workers of large services are divided evenly among shards; all turns of a program use the same one, but for the rest of a stream whose software version isn't there. */
  private _shardOf (service: string, { programId = String(this._lastId), softwareVersion }: Pick<PlacementRequest, 'programId' | 'softwareVersion'>): ServiceShard {
    const count = this._shardCountOf(service)
    const index = shardIndexOf(programId, count)
    if (count === 1 || softwareVersion === undefined) return { service, count, index }
    const matching = this._options.registry.workersOf(service, steadyNowMs()).filter(worker => worker.softwareVersion === softwareVersion)
    const indexes = matching.map(({ workerId }) => shardIndexOf(workerId, count))
    const hasIndex = indexes.length === 0 || indexes.includes(index)
    return { service, count, index: hasIndex ? index : indexes[hash32(programId) % indexes.length] }
  }

  private _shardCountOf (service: string): number {
    const workerCount = this._options.registry.workersOf(service, steadyNowMs()).length
    return Math.max(1, Math.ceil(workerCount / MAX_SHARD_WORKERS))
  }

  /** The same at all nodes that see the same ready nodes; undefined if none is ready. */
  private _coordinatorOf (shard: ServiceShard): string | undefined {
    const key = shardKeyOf(shard)
    const nowMs = steadyNowMs()
    const known = this._coordinators.get(key)
    if (known !== undefined && nowMs - known.atMs < COORDINATOR_CACHE_MS) return known.node
    const { node, cores, directory, isReady } = this._options
    const candidates = directory.alive
      .filter(status => status.isReady && !status.isDraining)
      .map(status => ({ name: status.from.node, cores: status.cores }))
    if (isReady()) candidates.push({ name: node, cores })
    const minCores = MIN_CORES_SHARE * Math.max(...candidates.map(candidate => candidate.cores))
    const coordinator = resolveOwner(key, candidates.filter(candidate => candidate.cores >= minCores), ({ name }) => name)?.name
    this._coordinators.set(key, { node: coordinator, atMs: nowMs })
    return coordinator
  }

  private _send (coordinator: string, shard: ServiceShard, request: PlacementRequest, onReply: (reply: PeerReply | undefined) => void): void {
    const { node, mesh, coordinator: own } = this._options
    if (coordinator === node) own.place(shard, node, request, onReply)
    else mesh.request(coordinator, { type: 'place', shard, from: node, request }, { timeoutMs: SLOT_TIMEOUT_MS, onReply })
  }

  private _release (coordinator: string, shard: ServiceShard, placementId: string, end: PlacementEnd): void {
    const { node, mesh, coordinator: own } = this._options
    if (coordinator === node) own.release(shard, placementId, end)
    else mesh.notify(coordinator, { type: 'release', shard, placementId, end })
  }
}

interface PendingSlotOptions {
  release: (end: PlacementEnd) => void
  /** Called when the coordinator has not replied in time. */
  onNoReply: () => void
  findWorker: (workerId: string) => WorkerRegistration | undefined
}

/** A request for a slot until its outcome. Returns a slot that is assigned after that. */
class PendingSlot implements SlotRequest {
  readonly outcome: Promise<SlotOutcome | undefined>
  private _resolve: (outcome: SlotOutcome | undefined) => void = () => {}
  private _isSettled = false
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _options: PendingSlotOptions) {
    this.outcome = new Promise(resolve => { this._resolve = resolve })
    this._timer = setTimeout(() => {
      _options.onNoReply()
      this._withdraw(NO_REPLY)
    }, FIRST_REPLY_TIMEOUT_MS)
  }

  cancel (): void {
    if (!this._isSettled) this._withdraw(undefined)
  }

  handleReply (reply: PeerReply | undefined): void {
    clearTimeout(this._timer)
    if (reply?.type === 'queued') return
    if (!this._isSettled) this._settleWith(reply)
    else if (reply?.type === 'placed') this._options.release({})
  }

  private _settleWith (reply: PeerReply | undefined): void {
    switch (reply?.type) {
      case undefined: return this._withdraw(NO_REPLY)
      case 'placed': return this._settleWithWorker(reply.workerId)
      case 'refused': return this._settle(reply)
      case 'unavailable': return this._settle(reply)
      default: return this._withdraw({ type: 'unavailable', detail: `an unexpected reply: ${reply?.type}` })
    }
  }

  private _settleWithWorker (workerId: string): void {
    const { findWorker, release } = this._options
    const worker = findWorker(workerId)
    if (worker !== undefined && !worker.isDraining) this._settle({ type: 'placed', worker, release })
    else this._withdraw({ type: 'unavailable', detail: 'the assigned worker is not known here' })
  }

  private _withdraw (outcome: SlotOutcome | undefined): void {
    this._options.release({})
    this._settle(outcome)
  }

  private _settle (outcome: SlotOutcome | undefined): void {
    clearTimeout(this._timer)
    this._isSettled = true
    this._resolve(outcome)
  }
}

function createSettled (outcome: SlotOutcome): SlotRequest {
  return { outcome: Promise.resolve(outcome), cancel: () => {} }
}
