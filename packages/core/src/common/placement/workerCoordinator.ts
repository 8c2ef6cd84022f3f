/** The lead's side: queues and admission of the workers that this node leads. */
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

const SWEEP_MS = 1_000
/** Share of the counted refusals that is kept from one sweep to the next. */
const REFUSAL_DECAY = 0.8
const MIN_RETRY_AFTER_MS = 1_000
const MAX_RETRY_AFTER_MS = 15_000
/** Tickets granted longer ago than this were lost with their home's release. */
const TICKET_LIFE_MS = 300_000
const NO_FLOORS: RankShares = { urgent: 0, other: 0 }
const DEFAULT_MAX_CONCURRENCY = 32

export type SlotAnswer = { type: 'granted' } | { type: 'refused', reason: 'notLead' | 'workerGone' | 'deadline' | 'overloaded', retryAfterMs: number }

/** Orders the steps that want a worker. */
export interface IWorkerCoordinator {
  /** Puts a step in the worker's queue; asking again with the same ticket replaces who is told. */
  requestSlot (request: SlotRequest, home: string, onAnswer: (answer: SlotAnswer) => void): void
  releaseSlot (worker: string, ticket: string, report: SlotReport | undefined): void
  /** What a new program would meet at a worker. */
  estimatePlacement (worker: string, rank: Rank, kind: string): PlacementEstimate
  /** Admits a program for good, if the worker can carry it. */
  tryAdmit (worker: string, programId: string, rank: Rank, kind: string): boolean
  removeProgram (worker: string, programId: string): void
  /** Expected pause between two engine calls of a kind. */
  expectedPauseMs (kind: string): number
  queueOf (worker: string): WorkerQueue | undefined
  /** Grants no slot of a worker until `resume`: its engine is about to change its model. */
  pauseWorker (worker: string): void
  resumeWorker (worker: string): void
  /** Calls that run or wait at a worker, and programs refused there lately. */
  demandOf (worker: string): number
}
export const IWorkerCoordinator = Symbol('ILeads')

interface CoordinatedWorker {
  queue: WorkerQueue
  residents: ActivePrograms
  answers: Map<string, (answer: SlotAnswer) => void>
  isPaused: boolean
  /** Refused openings, decayed by half each sweep. */
  refusals: number
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
    @inject(ICoordinatorTable) private readonly _leadTable: ICoordinatorTable,
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
    this._membership.onDidChange(() => this._dropLost())
    this._timers.every(SWEEP_MS, () => this._sweep())
  }

  requestSlot (request: SlotRequest, home: string, onAnswer: (answer: SlotAnswer) => void): void {
    if (this._membership.findWorker(request.worker) === undefined) {
      onAnswer({ type: 'refused', reason: 'workerGone', retryAfterMs: 0 })
      return
    }
    if (!this._leadTable.isCoordinator(request.worker)) {
      onAnswer({ type: 'refused', reason: 'notLead', retryAfterMs: 0 })
      return
    }
    const led = this._resolveWorker(request.worker)
    const nowMs = this._clock.nowMs()
    const known = led.queue.find(request.ticket)
    if (known?.grantedAtMs !== undefined) {
      onAnswer({ type: 'granted' })
      return
    }
    led.residents.noteSeen(request.programId, request.kind, request.rank as Rank, nowMs)
    const item = toQueueItem(request, home, nowMs)
    if (request.isHeld) {
      led.queue.adoptInFlight(item, nowMs)
      onAnswer({ type: 'granted' })
      return
    }
    led.answers.set(request.ticket, onAnswer)
    led.queue.enqueue(item)
    this._pump(led)
  }

  releaseSlot (worker: string, ticket: string, report: SlotReport | undefined): void {
    const led = this._workers.get(worker)
    if (led === undefined) return
    led.answers.delete(ticket)
    const item = led.queue.remove(ticket, report)
    if (item !== undefined && report !== undefined) led.residents.noteReleased(item.programId, report.serviceMs, this._clock.nowMs())
    this._pump(led)
  }

  estimatePlacement (worker: string, rank: Rank, kind: string): PlacementEstimate {
    const isUsable = this._membership.findWorker(worker) !== undefined && this._leadTable.isCoordinator(worker)
    if (!isUsable) return { type: 'offer', worker, isUsable, isAdmitted: false, expectedWaitMs: 0, load: 0, retryAfterMs: MIN_RETRY_AFTER_MS }
    const led = this._resolveWorker(worker)
    const isAdmitted = !led.isPaused && this._isAdmitted(led, rank, kind)
    if (!isAdmitted) led.refusals++
    const demand = led.residents.demandOf(Rank.Urgent) + led.residents.demandOf(Rank.Other)
    return {
      type: 'offer',
      worker,
      isUsable,
      isAdmitted,
      expectedWaitMs: led.queue.expectedWaitMs(rank),
      load: demand / led.queue.limitOf(rank),
      retryAfterMs: this._retryAfterMs(led)
    }
  }

  tryAdmit (worker: string, programId: string, rank: Rank, kind: string): boolean {
    const led = this._resolveWorker(worker)
    if (!this._isAdmitted(led, rank, kind)) return false
    led.residents.noteSeen(programId, kind, rank, this._clock.nowMs())
    return true
  }

  removeProgram (worker: string, programId: string): void {
    this._workers.get(worker)?.residents.noteLeft(programId)
  }

  expectedPauseMs (kind: string): number {
    return this._profiles.pauseOf(kind)
  }

  queueOf (worker: string): WorkerQueue | undefined {
    return this._workers.get(worker)?.queue
  }

  pauseWorker (worker: string): void {
    const led = this._workers.get(worker)
    if (led === undefined || led.isPaused) return
    led.isPaused = true
    for (const item of led.queue.items()) {
      if (item.grantedAtMs === undefined) this._refuse(led, item, 'workerGone')
    }
  }

  resumeWorker (worker: string): void {
    const led = this._workers.get(worker)
    if (led === undefined || !led.isPaused) return
    led.isPaused = false
    this._pump(led)
  }

  demandOf (worker: string): number {
    const led = this._workers.get(worker)
    return led === undefined ? 0 : led.queue.inFlightCount + led.queue.waitingCount + led.refusals
  }

  private _isAdmitted (led: CoordinatedWorker, rank: Rank, kind: string): boolean {
    const targetMs = this._configuration.findKind(kind)?.targetMs ?? 0
    return this._admission.isAdmitted({ rank, kind, targetMs, limit: led.queue.limitOf(rank), fullLimit: led.queue.limitOf(Rank.Urgent), floors: this._floors(), residents: led.residents, profiles: this._profiles })
  }

  private _retryAfterMs (led: CoordinatedWorker): number {
    const spread = 0.5 + this._random.next()
    const waitMs = led.queue.serviceMs * (1 + led.queue.waitingCount / led.queue.limitOf(Rank.Urgent)) * spread
    return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)))
  }

  private _floors (): RankShares {
    const ranks = this._configuration.document?.ranks
    return ranks === undefined ? NO_FLOORS : { urgent: ranks.urgent.floorShare, other: ranks.other.floorShare }
  }

  private _maxConcurrency (worker: string): number {
    const info = this._membership.findWorker(worker)
    return (info === undefined ? undefined : this._pools.backendOf(info))?.maxConcurrencyPerWorker ?? DEFAULT_MAX_CONCURRENCY
  }

  private _resolveWorker (worker: string): CoordinatedWorker {
    let led = this._workers.get(worker)
    if (led === undefined) {
      const queue = new WorkerQueue({
        worker,
        settings: this._settings,
        floors: () => this._floors(),
        weightOf: customer => this._configuration.findCustomer(customer)?.weight ?? 1,
        maxConcurrency: () => this._maxConcurrency(worker)
      })
      led = { queue, residents: new ActivePrograms(this._profiles), answers: new Map(), isPaused: false, refusals: 0 }
      this._workers.set(worker, led)
    }
    return led
  }

  /** Grants slots while there are any. */
  private _pump (led: CoordinatedWorker): void {
    while (!led.isPaused) {
      const item = led.queue.takeNext(this._clock.nowMs())
      if (item === undefined) return
      this._answer(led, item, { type: 'granted' })
    }
  }

  private _answer (led: CoordinatedWorker, item: QueueItem, answer: SlotAnswer): void {
    const onAnswer = led.answers.get(item.ticket)
    led.answers.delete(item.ticket)
    onAnswer?.(answer)
  }

  private _refuse (led: CoordinatedWorker, item: QueueItem, reason: 'notLead' | 'workerGone' | 'deadline'): void {
    led.queue.remove(item.ticket)
    this._answer(led, item, { type: 'refused', reason, retryAfterMs: this._retryAfterMs(led) })
  }

  /** Gives up queues of workers that left or that another node leads now. */
  private _dropLost (): void {
    for (const [worker, led] of [...this._workers]) {
      const isGone = this._membership.findWorker(worker) === undefined
      if (!isGone && this._leadTable.isCoordinator(worker)) {
        this._dropDeadHomes(led)
        continue
      }
      this._workers.delete(worker)
      for (const item of led.queue.items()) {
        if (item.grantedAtMs === undefined) this._refuse(led, item, isGone ? 'workerGone' : 'notLead')
      }
    }
  }

  /** Frees the slots of homes that died. */
  private _dropDeadHomes (led: CoordinatedWorker): void {
    for (const item of led.queue.items()) {
      if (item.home === this._identity.node) continue
      const peer = this._membership.findNode(item.home)
      const isGone = peer === undefined || peer.suspectedSinceMs !== undefined
      if (isGone) led.queue.remove(item.ticket)
    }
    this._pump(led)
  }

  private _sweep (): void {
    const nowMs = this._clock.nowMs()
    for (const led of this._workers.values()) {
      for (const item of led.queue.expired(nowMs)) this._refuse(led, item, 'deadline')
      for (const item of led.queue.items()) {
        const isStale = item.grantedAtMs !== undefined && nowMs - item.grantedAtMs > TICKET_LIFE_MS
        if (isStale) led.queue.remove(item.ticket)
      }
      led.residents.forgetSilent(nowMs)
      led.refusals *= REFUSAL_DECAY
      this._pump(led)
    }
  }
}

function toQueueItem (request: SlotRequest, home: string, nowMs: number): QueueItem {
  const { ticket, programId, customer, kind, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens, isSuspect } = request
  return { ticket, programId, customer, kind, rank: request.rank as Rank, isFirstStep, dueAtMs, deadlineMs, attainedSteps, promptTokens, isSuspect, home, enqueuedAtMs: nowMs }
}
