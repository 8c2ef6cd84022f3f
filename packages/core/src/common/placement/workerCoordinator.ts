/** Queues and admission control of the workers that this node coordinates. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { NodeIdentity } from '../kernel/node.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { Rank } from '../configuration/document.js'
import { IModelPools } from '../engines/modelPools.js'
import { IMembership } from '../membership/membership.js'
import type { PlacementEstimate, SlotReport, SlotRequest } from '../peers/peerMessages.js'
import { IPeers } from '../peers/peers.js'
import { createAdmissionPolicy, type IAdmissionPolicy } from './admission.js'
import { ICoordinatorTable } from './coordinatorTable.js'
import { KindProfiles, ActivePrograms } from './activePrograms.js'
import { type QueueItem, type RankShares, WorkerQueue } from './workerQueue.js'

const SWEEP_PERIOD_MS = 1_000
/** Share of the refusal count that each sweep keeps. */
const REFUSAL_RETENTION = 0.8
const MIN_RETRY_AFTER_MS = 1_000
const MAX_RETRY_AFTER_MS = 15_000
/** A ticket granted longer ago than this is removed, on the assumption that its owner's release was lost. */
const TICKET_LIFETIME_MS = 300_000
const NO_FLOORS: RankShares = { urgent: 0, other: 0 }
const DEFAULT_MAX_CONCURRENCY = 32

/** Answer to a slot request; `retryAfterMs` is the time after which the caller may try again. */
export type SlotAnswer = { type: 'granted' } | { type: 'refused', reason: 'notLead' | 'workerGone' | 'deadline' | 'overloaded', retryAfterMs: number }

/** Holds the queues of the workers that this node coordinates, grants their slots and admits programs to them. */
export interface IWorkerCoordinator {
  /**
   * Puts a step into the worker's queue. `owner` is the node that owns the step's program. `onAnswer` may be called before this method
   * returns. A repeated request for a waiting ticket replaces its `onAnswer`; for a granted ticket it is granted again.
   * A request with `isHeld` counts the step as running, even above the limit.
   */
  requestSlot (request: SlotRequest, owner: string, onAnswer: (answer: SlotAnswer) => void): void
  /** Removes a waiting or running step. The report of a running step updates the statistics of the worker and the kind. */
  releaseSlot (worker: string, ticket: string, report: SlotReport | undefined): void
  /** Estimates wait, load and admission of a new program at a worker; not usable when another node coordinates the worker. */
  estimatePlacement (worker: string, rank: Rank, kind: string): PlacementEstimate
  /** Admits a program if the worker has the capacity, and counts it as active there; false when it is refused. */
  tryAdmit (worker: string, programId: string, rank: Rank, kind: string): boolean
  /** Stops counting a program as active at a worker. */
  removeProgram (worker: string, programId: string): void
  /** Expected pause between two engine calls of a program of the kind, in milliseconds. */
  expectedPauseMs (kind: string): number
  /** Queue of a worker; undefined when this node holds none for it. */
  queueOf (worker: string): WorkerQueue | undefined
  /**
   * Refuses the waiting steps of a worker and grants none of its slots until `resumeWorker`, because its engine is about to
   * change its model. Has no effect when this node holds no queue for the worker.
   */
  pauseWorker (worker: string): void
  /** Grants slots of a paused worker again. */
  resumeWorker (worker: string): void
  /** Load of a worker: its running and waiting calls and the recent estimates that refused admission. */
  loadOf (worker: string): number
}
export const IWorkerCoordinator = Symbol('IWorkerCoordinator')

/** State that this node holds for a worker that it coordinates. */
interface CoordinatedWorker {
  queue: WorkerQueue
  activePrograms: ActivePrograms
  /** Callbacks of the waiting steps by ticket. */
  answerCallbacks: Map<string, (answer: SlotAnswer) => void>
  isPaused: boolean
  /** Number of estimates that refused admission; each sweep multiplies it by `REFUSAL_RETENTION`. */
  recentRefusals: number
}

@injectable()
export class WorkerCoordinator implements IWorkerCoordinator {
  private readonly _workers = new Map<string, CoordinatedWorker>()
  private readonly _profiles = new KindProfiles()
  private readonly _admission: IAdmissionPolicy

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ICoordinatorTable) private readonly _coordinators: ICoordinatorTable,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(IModelPools) private readonly _pools: IModelPools
  ) {
    this._admission = createAdmissionPolicy(_settings)
  }

  start (): void {
    this._peers.handle('offerRequest', (body, _from, respond) => respond(this.estimatePlacement(body.worker, body.rank as Rank, body.kind)))
    this._peers.handle('slotRequest', (body, from, respond) => {
      this.requestSlot(body, from.node, answer => {
        if (answer.type === 'granted') respond({ type: 'slotGrant', ticket: body.ticket })
        else respond({ type: 'slotRefusal', ticket: body.ticket, reason: answer.reason, retryAfterMs: answer.retryAfterMs })
      })
    })
    this._peers.handle('slotRelease', body => this.releaseSlot(body.worker, body.ticket, body.report))
    this._peers.handle('residentNotice', body => this.removeProgram(body.worker, body.programId))
    this._membership.onDidChange(() => this._dropUncoordinatedWorkers())
    this._timers.every(SWEEP_PERIOD_MS, () => this._sweep())
  }

  requestSlot (request: SlotRequest, owner: string, onAnswer: (answer: SlotAnswer) => void): void {
    if (this._membership.findWorker(request.worker) === undefined) {
      onAnswer({ type: 'refused', reason: 'workerGone', retryAfterMs: 0 })
      return
    }
    if (!this._coordinators.isCoordinator(request.worker)) {
      onAnswer({ type: 'refused', reason: 'notLead', retryAfterMs: 0 })
      return
    }
    const coordinated = this._resolveWorker(request.worker)
    const nowMs = this._clock.nowMs()
    const existingItem = coordinated.queue.find(request.ticket)
    if (existingItem?.grantedAtMs !== undefined) {
      onAnswer({ type: 'granted' })
      return
    }
    coordinated.activePrograms.recordActivity(request.programId, request.kind, request.rank as Rank, nowMs)
    const item = toQueueItem(request, owner, nowMs)
    if (request.isHeld) {
      coordinated.queue.addInFlight(item, nowMs)
      onAnswer({ type: 'granted' })
      return
    }
    coordinated.answerCallbacks.set(request.ticket, onAnswer)
    coordinated.queue.enqueue(item)
    this._grantFreeSlots(coordinated)
  }

  releaseSlot (worker: string, ticket: string, report: SlotReport | undefined): void {
    const coordinated = this._workers.get(worker)
    if (coordinated === undefined) return
    coordinated.answerCallbacks.delete(ticket)
    const item = coordinated.queue.remove(ticket, report)
    if (item !== undefined && report !== undefined) coordinated.activePrograms.recordRelease(item.programId, report.serviceMs, this._clock.nowMs())
    this._grantFreeSlots(coordinated)
  }

  estimatePlacement (worker: string, rank: Rank, kind: string): PlacementEstimate {
    const isUsable = this._membership.findWorker(worker) !== undefined && this._coordinators.isCoordinator(worker)
    if (!isUsable) return { type: 'offer', worker, isUsable, isAdmitted: false, expectedWaitMs: 0, load: 0, retryAfterMs: MIN_RETRY_AFTER_MS }
    const coordinated = this._resolveWorker(worker)
    const isAdmitted = !coordinated.isPaused && this._isAdmitted(coordinated, rank, kind)
    if (!isAdmitted) coordinated.recentRefusals++
    const requiredSlots = coordinated.activePrograms.requiredSlotsOf(Rank.Urgent) + coordinated.activePrograms.requiredSlotsOf(Rank.Other)
    return {
      type: 'offer',
      worker,
      isUsable,
      isAdmitted,
      expectedWaitMs: coordinated.queue.expectedWaitMs(rank),
      load: requiredSlots / coordinated.queue.limitOf(rank),
      retryAfterMs: this._retryAfterMs(coordinated)
    }
  }

  tryAdmit (worker: string, programId: string, rank: Rank, kind: string): boolean {
    const coordinated = this._resolveWorker(worker)
    if (!this._isAdmitted(coordinated, rank, kind)) return false
    coordinated.activePrograms.recordActivity(programId, kind, rank, this._clock.nowMs())
    return true
  }

  removeProgram (worker: string, programId: string): void {
    this._workers.get(worker)?.activePrograms.removeProgram(programId)
  }

  expectedPauseMs (kind: string): number {
    return this._profiles.pauseMsOf(kind)
  }

  queueOf (worker: string): WorkerQueue | undefined {
    return this._workers.get(worker)?.queue
  }

  pauseWorker (worker: string): void {
    const coordinated = this._workers.get(worker)
    if (coordinated === undefined || coordinated.isPaused) return
    coordinated.isPaused = true
    for (const item of coordinated.queue.items()) {
      if (item.grantedAtMs === undefined) this._refuse(coordinated, item, 'workerGone')
    }
  }

  resumeWorker (worker: string): void {
    const coordinated = this._workers.get(worker)
    if (coordinated === undefined || !coordinated.isPaused) return
    coordinated.isPaused = false
    this._grantFreeSlots(coordinated)
  }

  loadOf (worker: string): number {
    const coordinated = this._workers.get(worker)
    return coordinated === undefined ? 0 : coordinated.queue.inFlightCount + coordinated.queue.waitingCount + coordinated.recentRefusals
  }

  private _isAdmitted (coordinated: CoordinatedWorker, rank: Rank, kind: string): boolean {
    const targetMs = this._configuration.findKind(kind)?.targetMs ?? 0
    return this._admission.isAdmitted({ rank, kind, targetMs, limit: coordinated.queue.limitOf(rank), fullLimit: coordinated.queue.limitOf(Rank.Urgent), floors: this._floors(), activePrograms: coordinated.activePrograms, profiles: this._profiles })
  }

  /** Time after which a refused caller may try again, spread at random so that callers do not return together. */
  private _retryAfterMs (coordinated: CoordinatedWorker): number {
    const jitterFactor = 0.5 + this._random.next()
    const waitMs = coordinated.queue.serviceMs * (1 + coordinated.queue.waitingCount / coordinated.queue.limitOf(Rank.Urgent)) * jitterFactor
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)))
  }

  private _floors (): RankShares {
    const ranks = this._configuration.document?.ranks
    return ranks === undefined ? NO_FLOORS : { urgent: ranks.urgent.floorShare, other: ranks.other.floorShare }
  }

  private _maxConcurrency (worker: string): number {
    const workerInfo = this._membership.findWorker(worker)
    return (workerInfo === undefined ? undefined : this._pools.backendOf(workerInfo))?.maxConcurrencyPerWorker ?? DEFAULT_MAX_CONCURRENCY
  }

  private _resolveWorker (worker: string): CoordinatedWorker {
    let coordinated = this._workers.get(worker)
    if (coordinated === undefined) {
      const queue = new WorkerQueue({
        worker,
        settings: this._settings,
        floors: () => this._floors(),
        weightOf: customer => this._configuration.findCustomer(customer)?.weight ?? 1,
        maxConcurrency: () => this._maxConcurrency(worker)
      })
      coordinated = { queue, activePrograms: new ActivePrograms(this._profiles), answerCallbacks: new Map(), isPaused: false, recentRefusals: 0 }
      this._workers.set(worker, coordinated)
    }
    return coordinated
  }

  /** Grants slots until the queue has no step that may start. */
  private _grantFreeSlots (coordinated: CoordinatedWorker): void {
    while (!coordinated.isPaused) {
      const item = coordinated.queue.dequeueNext(this._clock.nowMs())
      if (item === undefined) return
      this._sendAnswer(coordinated, item, { type: 'granted' })
    }
  }

  private _sendAnswer (coordinated: CoordinatedWorker, item: QueueItem, answer: SlotAnswer): void {
    const onAnswer = coordinated.answerCallbacks.get(item.ticket)
    coordinated.answerCallbacks.delete(item.ticket)
    onAnswer?.(answer)
  }

  private _refuse (coordinated: CoordinatedWorker, item: QueueItem, reason: 'notLead' | 'workerGone' | 'deadline'): void {
    coordinated.queue.remove(item.ticket)
    this._sendAnswer(coordinated, item, { type: 'refused', reason, retryAfterMs: this._retryAfterMs(coordinated) })
  }

  /** Discards the queues of workers that were removed or that another node now coordinates, and refuses their waiting steps. */
  private _dropUncoordinatedWorkers (): void {
    for (const [worker, coordinated] of [...this._workers]) {
      const isRemoved = this._membership.findWorker(worker) === undefined
      if (!isRemoved && this._coordinators.isCoordinator(worker)) {
        this._removeStepsOfUnavailableOwners(coordinated)
        continue
      }
      this._workers.delete(worker)
      for (const item of coordinated.queue.items()) {
        if (item.grantedAtMs === undefined) this._refuse(coordinated, item, isRemoved ? 'workerGone' : 'notLead')
      }
    }
  }

  /** Removes the waiting and running steps of owners that are suspected or no longer members. */
  private _removeStepsOfUnavailableOwners (coordinated: CoordinatedWorker): void {
    for (const item of coordinated.queue.items()) {
      if (item.owner === this._identity.node) continue
      const owner = this._membership.findNode(item.owner)
      const isUnavailable = owner === undefined || owner.suspectedSinceMs !== undefined
      if (isUnavailable) coordinated.queue.remove(item.ticket)
    }
    this._grantFreeSlots(coordinated)
  }

  /** Refuses steps past their deadline, removes stale tickets and inactive programs, and reduces the refusal counts. */
  private _sweep (): void {
    const nowMs = this._clock.nowMs()
    for (const coordinated of this._workers.values()) {
      for (const item of coordinated.queue.expiredItems(nowMs)) this._refuse(coordinated, item, 'deadline')
      for (const item of coordinated.queue.items()) {
        const isStale = item.grantedAtMs !== undefined && nowMs - item.grantedAtMs > TICKET_LIFETIME_MS
        if (isStale) coordinated.queue.remove(item.ticket)
      }
      coordinated.activePrograms.removeInactive(nowMs)
      coordinated.recentRefusals *= REFUSAL_RETENTION
      this._grantFreeSlots(coordinated)
    }
  }
}

function toQueueItem (request: SlotRequest, owner: string, nowMs: number): QueueItem {
  const { ticket, programId, customer, kind, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens, isSuspect } = request
  return { ticket, programId, customer, kind, rank: request.rank as Rank, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens, isSuspect, owner, enqueuedAtMs: nowMs }
}
