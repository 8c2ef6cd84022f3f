/** Assigns the requests of a service to its workers at the one node that knows all of them, with a queue while no slot is free. */
import { Ewma } from '../base/ewma.js'
import type { CachedPart, PromptPart } from '../turns/promptCacheIndex.js'
import type { IRandom } from '../kernel/random.js'
import { EngineSpeeds, type EventTimes, type LearnedSpeeds, type SpeedSummary } from './engineSpeed.js'
import { CostOrder, type IPlacementOrder, PlacementOrder, type PlacementSituation, type QueueAhead, RankOrder, PlacementRefusalReason, type WaitingRequest } from './placementOrder.js'
import { ProgramsInProgress, type ProgramsInProgressOptions } from './programsInProgress.js'
import { RequestRates, timeForRequestsMs } from './requestRates.js'
import { DEFAULT_WORKER_CHOICE, WorkerChoice } from './workerChoice.js'
import type { WorkerRegistration } from './workerRegistry.js'
import { WorkerStatistics } from './workerStatistics.js'
import { WorkerTokens } from './workerTokens.js'

/** A request that needs a slot of a worker. */
export interface PlacementRequest {
  /** Unique among all nodes. */
  placementId: string
  /** Absent for requests that belong to no program. */
  programId?: string
  /** Client account of the request; absent without accounts. */
  account?: string
  /** True if the program has completed a turn; its first turns may be refused to protect those in progress. */
  hasBegun: boolean
  /** Rank of the route; 0 is the most urgent. */
  priority: number
  /** Latency objective of the route. */
  objectiveMs: number
  /** Expected duration on an idle worker. */
  durationMs: number
  /** Time until the request's deadline. */
  timeLeftMs: number
  /** Time until the program should be finished, if known. */
  finishMs?: number
  /** Zone of the node that sends the request to the worker. */
  zone: string
  prompt: PromptPart[]
  /** Parts of the prompt that workers are known to cache. */
  cached: CachedPart[]
  /** Ids of workers that must not be chosen. */
  excluded: string[]
  /** Software version of the worker, if the request continues a stream. */
  softwareVersion?: string
}

/** How a placed request ended at its worker. */
export interface PlacementEnd {
  /** Ratio of the duration to the mean of the route; absent if the request did not complete. */
  durationRatio?: number
  /** Severity of a failure of the worker, up to 1; absent if it did not fail. */
  failureSeverity?: number
  /** Absent if the answer was no whole stream of this request, from nodes of earlier builds, and if reading it was paused. */
  eventTimes?: EventTimes
}

/** Decision on a request. */
export type SlotPlacement =
  | { type: 'placed', placementId: string, workerId: string }
  /** Not placed, and not going to be. */
  | { type: 'refused', placementId: string, retryAfterMs: number, reason: PlacementRefusalReason }

export interface ServicePlacementOptions extends ProgramsInProgressOptions {
  /** Programs of a rank below the most urgent one begin only while the programs in progress, and their parallel turns, are fewer than this multiple of the slots. */
  maxProgramsPerSlot: number
  /** The same for programs that have waited so long for their first turn that they can hardly finish in time. */
  maxProgramsPerSlotIfDelayed: number
  /** What goes first and what is refused. */
  placementOrder: PlacementOrder
  /** By cost, programs of rank 0 begin only while the programs in progress are fewer than this multiple of the slots. */
  maxUrgentProgramsPerSlot: number
  /** By cost, each less urgent rank may have programs in progress on this share of the slots, whatever the more urgent ones need. */
  lessUrgentShare: number
  /** By cost, an account whose programs begin less often than this multiple of all accounts' goes first. */
  minServedRatio: number
  /** Requests that a worker gets beyond its slots. While they wait there, their prompts stay where they are cached. */
  queuePerWorker: number
  /** Longest wait of a program's first turn, as a share of its objective. */
  beginWaitShare: number
  /** Longest wait of a turn of a program in progress; callers give up on streams without a first event after two seconds. */
  maxWaitMs: number
  /** Least time after which a refused caller should return, and the width of the range over which returns are spread. */
  retryAfterMs: number
  retryAfterSpreadMs: number
  /** Longest time to return that a refusal names while the workers' rate limits bind. */
  maxRetryAfterMs: number
  /** Time for which a load known from elsewhere counts after `adoptLoad`; it decreases evenly to 0. */
  adoptedLoadMs: number
  /** False leaves the speeds of the workers out of all decisions. */
  learnsSpeeds: boolean
  /** Share of a program's remaining time that a turn may lose at a slow worker. */
  slackShare: number
  /** A placement whose release is lost is removed this long after its request's deadline. */
  releaseGraceMs: number
}

/** Default options. */
export const DEFAULT_SERVICE_PLACEMENT: ServicePlacementOptions = {
  maxProgramsPerSlot: 1.2,
  maxProgramsPerSlotIfDelayed: 0.9,
  placementOrder: PlacementOrder.Auto,
  // With this many programs for each slot, each takes up to 1.4 times its time on idle workers, which is what callers allow for the finish.
  maxUrgentProgramsPerSlot: 1.4,
  // A rank that needs half of the slots keeps a fifth of its programs; the urgent rank is served more often than that in a flood of 4 times its rate.
  lessUrgentShare: 0.1,
  // Accounts must not be served less than a quarter as often as all; the rest is a margin for the delay of the counts.
  minServedRatio: 0.35,
  aimRatio: 1.4,
  pauseMs: 400,
  queuePerWorker: 2,
  beginWaitShare: 0.25,
  maxWaitMs: 1_200,
  retryAfterMs: 300,
  retryAfterSpreadMs: 400,
  maxRetryAfterMs: 5_000,
  memoryMs: 10_000,
  adoptedLoadMs: 1_000,
  learnsSpeeds: true,
  slackShare: 0.2,
  releaseGraceMs: 500
}

/** Workers that may serve a request, and what they can hold. */
export interface PlacementService {
  workers: readonly WorkerRegistration[]
  /** Tokens that fit into the prompt cache of one worker. */
  cacheTokens: number
  /** Requests per second that workers with a rate limit may get from here. */
  ratesPerS: ReadonlyMap<string, number>
  /** Tokens of an event of the workers' streams; absent for workers that generate none, whose speeds are not learned. */
  tokensPerEvent?: number
  /** True if the memory of the workers limits what they get also while their speeds are equal. */
  limitsTokens?: boolean
  /** True if `PlacementOrder.Auto` means the order by cost for this service. */
  isOrderedByCost?: boolean
  /** Share of an account in the workers, relative to those of others; equal for all if absent. */
  shareOf?: (account: string) => number
}

interface OpenPlacement {
  workerId: string
  /** Start of the worker. */
  startedAtMs: number
  /** Prompt tokens that the worker had to read before the request's first event. */
  readTokens: number
  prompt: readonly PromptPart[]
  /** Output tokens that were expected of the request. */
  outputTokens: number
  /** Requests in flight at the worker after the placement. */
  inFlight: number
  slots: number
  programId: string | undefined
  expiresAtMs: number
}

const ADOPTED_LOAD = 'adopted'
const OUTPUT_WEIGHT = 0.02
/** Workers up to this slowness are the fast ones of a service with uneven speeds. */
const MAX_FAST_SLOWNESS = 1.15

/**
 * The state of one service, or of one part of its workers. No worker gets many more requests at once than it has slots, so queues
 * form here, in order of rank, and not at the workers.
 *
 * @example
 * for (const decided of placements.place(request, service, nowMs)) reply(decided)
 * for (const decided of placements.release('n1/7', { durationRatio: 1.1 }, service, nowMs)) reply(decided)
 */
export class ServicePlacement {
  private readonly _statistics = new WorkerStatistics()
  private readonly _choice: WorkerChoice
  private readonly _open = new Map<string, OpenPlacement>()
  private readonly _programs: ProgramsInProgress
  private readonly _rates = new RequestRates()
  private readonly _speeds = new EngineSpeeds(DEFAULT_WORKER_CHOICE)
  private readonly _tokens = new WorkerTokens()
  /** Output tokens of a request. */
  private readonly _outputTokens = new Ewma(OUTPUT_WEIGHT, 0)
  /** Start of each worker whose speed was observed. */
  private readonly _startsMs = new Map<string, number>()
  private readonly _rankOrder: IPlacementOrder
  private readonly _costOrder: IPlacementOrder
  /** Time to return that the last refusal named while the rate limits bound; later ones follow at the rate of the workers. */
  private _lastReturnAtMs = Number.NEGATIVE_INFINITY
  private _queue: WaitingRequest[] = []
  private _lastOrder = 0
  private _adoptedLoad: Readonly<Record<string, number>> = {}
  private _adoptedAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _random: IRandom, private readonly _options: ServicePlacementOptions = DEFAULT_SERVICE_PLACEMENT) {
    this._programs = new ProgramsInProgress(_options)
    this._rankOrder = new RankOrder(_options)
    this._costOrder = new CostOrder(_options, this._programs)
    // The caches are known here, so one worker is enough to begin with a shared prompt; further copies follow from load.
    this._choice = new WorkerChoice({ ...DEFAULT_WORKER_CHOICE, prefixCopies: 1 }, this._statistics, _random)
  }

  /** Requests placed and not released. */
  get openCount (): number {
    return this._open.size
  }

  get queueLength (): number {
    return this._queue.length
  }

  /** Learned speeds of the workers. */
  speedSummary (nowMs: number): SpeedSummary {
    return this._speeds.summary(nowMs)
  }

  /** Slots of the workers, those of a slow one counted by the work that it completes relative to the median worker. */
  roomOf ({ workers }: PlacementService, nowMs: number): number {
    const { slownessOf } = this._currentSpeeds(nowMs)
    return workers.reduce((total, { workerId, slots }) => total + slots / Math.max(1, slownessOf?.(workerId) ?? 1), 0)
  }

  /** Programs in progress by client account. */
  programsByAccount (nowMs: number): ReadonlyMap<string, number> {
    return this._programs.runningByAccount(nowMs)
  }

  /** Counts requests in flight by worker that another coordinator has placed. */
  adoptLoad (inFlight: Readonly<Record<string, number>>, nowMs: number): void {
    this._adoptedLoad = inFlight
    this._adoptedAtMs = nowMs
  }

  /** Queues the request and returns the decisions that follow; a later call of `release` or `decideQueued` returns its own if they hold none. */
  place (request: PlacementRequest, service: PlacementService, nowMs: number): SlotPlacement[] {
    this._updateAdoptedLoad(nowMs)
    const order = this._orderOf(service)
    order.insert(this._queue, this._createWaiting(request, order, nowMs))
    return this.decideQueued(service, nowMs)
  }

  /** Ends a placement, or removes the request from the queue, and returns the decisions that follow. */
  release (placementId: string, end: PlacementEnd, service: PlacementService, nowMs: number): SlotPlacement[] {
    const open = this._open.get(placementId)
    if (open === undefined) {
      this._queue = this._queue.filter(({ request }) => request.placementId !== placementId)
      return []
    }
    this._observe(open, end, service, nowMs)
    this._close(placementId, open, nowMs, end.durationRatio)
    if (end.failureSeverity !== undefined) this._statistics.recordFailure(open.workerId, nowMs, end.failureSeverity)
    return this.decideQueued(service, nowMs)
  }

  /** Places what has a free slot, in order, and refuses what has waited too long. Must also be called periodically. */
  decideQueued (service: PlacementService, nowMs: number): SlotPlacement[] {
    this._updateAdoptedLoad(nowMs)
    const decided: SlotPlacement[] = []
    if (this._queue.length === 0) return decided
    const order = this._orderOf(service)
    const remaining: WaitingRequest[] = []
    const ahead = new QueueCounts()
    let free = this._freeSlots(service)
    const situation = this._createSituation(service, free > 0, nowMs)
    order.sort(this._queue, situation)
    for (const waiting of this._queue) {
      const mayBegin = free > 0 && order.mayBegin(waiting, situation)
      const placement = mayBegin ? this._placeNow(waiting.request, service, nowMs) : undefined
      const reason = placement === undefined ? this._refusalOf(waiting, order, ahead.before(waiting), service, situation) : undefined
      if (placement !== undefined) {
        free--
        if (!waiting.isBegun) situation.begin(waiting)
        decided.push(placement)
      } else if (reason !== undefined) {
        decided.push({ type: 'refused', placementId: waiting.request.placementId, retryAfterMs: this._resolveRetryAfterMs(remaining.length, order.expectedWaitMs(waiting, ahead.before(waiting), situation), service, nowMs), reason })
      } else {
        ahead.add(waiting)
        remaining.push(waiting)
      }
    }
    this._queue = remaining
    return decided
  }

  /** Removes a worker's cache and averages, because it has left or restarted. */
  removeWorker (workerId: string): void {
    this._statistics.removeWorker(workerId)
    this._rates.removeWorker(workerId)
    this._speeds.removeWorker(workerId)
    this._startsMs.delete(workerId)
  }

  /** Ends the placements whose release is overdue and forgets ended programs; returns the ids of the placements. */
  removeExpired (nowMs: number): string[] {
    const expired = [...this._open].filter(([, { expiresAtMs }]) => nowMs >= expiresAtMs)
    for (const [placementId, open] of expired) this._close(placementId, open, nowMs)
    this._programs.removeEnded(nowMs)
    return expired.map(([placementId]) => placementId)
  }

  private _placeNow (request: PlacementRequest, service: PlacementService, nowMs: number): SlotPlacement | undefined {
    const { workers, cacheTokens, ratesPerS } = service
    const speeds = this._currentSpeeds(nowMs)
    const free = workers.filter(worker => isOfVersion(worker, request) && this._mayTake(worker, service, nowMs))
    const worker = this._choice.chooseWorker({
      candidates: speeds.slownessOf === undefined && service.limitsTokens !== true ? free : this._filterByMemory(free, request, service),
      excluded: new Set(request.excluded),
      zone: request.zone,
      durationMs: request.durationMs,
      prompt: request.prompt,
      cached: request.cached,
      isConnected: () => true,
      nowMs,
      speeds,
      slack: this._slackOf(request, service, speeds)
    })
    if (worker === undefined) return undefined
    const { workerId, startedAtMs, slots } = worker
    const { prompt } = request
    const readTokens = this._learns(service) ? this._speeds.recordAssignment(workerId, this._choice.missingTokensOf(worker, request), nowMs) : 0
    const inFlight = this._statistics.inFlightOf(workerId) + 1
    const outputTokens = this._outputTokens.value
    this._tokens.begin(workerId, prompt, outputTokens)
    this._open.set(request.placementId, { workerId, startedAtMs, readTokens, prompt, outputTokens, inFlight, slots, programId: request.programId, expiresAtMs: nowMs + request.timeLeftMs + this._options.releaseGraceMs })
    if (ratesPerS.has(workerId)) this._rates.take(workerId, nowMs)
    this._statistics.beginRequest(workerId, nowMs)
    this._statistics.recordPrompt(workerId, request.prompt, cacheTokens)
    this._programs.beginTurn(request, nowMs)
    return { type: 'placed', placementId: request.placementId, workerId }
  }

  /** True if the worker has room for a request and its rate limit allows one. */
  private _mayTake ({ workerId, slots }: WorkerRegistration, { ratesPerS }: PlacementService, nowMs: number): boolean {
    if (this._statistics.inFlightOf(workerId) >= slots + this._options.queuePerWorker) return false
    const ratePerS = ratesPerS.get(workerId)
    return ratePerS === undefined || this._rates.mayTake(workerId, ratePerS, nowMs)
  }

  /** Leaves out workers whose memory does not hold the request beside those in flight, unless no other is free: an engine preempts requests then, and reads them again. */
  private _filterByMemory (free: WorkerRegistration[], { prompt, excluded }: PlacementRequest, { cacheTokens }: PlacementService): WorkerRegistration[] {
    const withRoom = free.filter(({ workerId }) => this._tokens.tokensWith(workerId, prompt, this._outputTokens.value) <= cacheTokens)
    return withRoom.some(({ workerId }) => !excluded.includes(workerId)) ? withRoom : free
  }

  private _learns ({ tokensPerEvent }: PlacementService): boolean {
    return tokensPerEvent !== undefined && this._options.learnsSpeeds
  }

  private _currentSpeeds (nowMs: number): LearnedSpeeds {
    return this._options.learnsSpeeds ? this._speeds.current(nowMs) : {}
  }

  /**
   * What the request can lose at a slow worker. The weight of that time falls with the share of the other workers' slots that are taken, which are
   * then left to requests in a hurry.
   */
  private _slackOf ({ finishMs, durationMs }: PlacementRequest, { workers }: PlacementService, { slownessOf }: LearnedSpeeds): { extraMs: number, weight: number } | undefined {
    if (slownessOf === undefined || finishMs === undefined) return undefined
    let fastSlots = 0
    let takenSlots = 0
    for (const { workerId, slots } of workers) {
      if (slownessOf(workerId) > MAX_FAST_SLOWNESS) continue
      fastSlots += slots
      takenSlots += Math.min(slots, this._statistics.inFlightOf(workerId))
    }
    return { extraMs: (finishMs - durationMs) * this._options.slackShare, weight: fastSlots === 0 ? 1 : 1 - takenSlots / fastSlots }
  }

  /** Learns from a completed stream. */
  private _observe ({ workerId, startedAtMs, readTokens, inFlight, slots }: OpenPlacement, { eventTimes }: PlacementEnd, service: PlacementService, nowMs: number): void {
    const { workers, tokensPerEvent } = service
    if (eventTimes === undefined || tokensPerEvent === undefined || !this._learns(service)) return
    if (workers.find(worker => worker.workerId === workerId)?.startedAtMs !== startedAtMs) return
    if ((this._startsMs.get(workerId) ?? startedAtMs) !== startedAtMs) this._speeds.removeWorker(workerId)
    this._startsMs.set(workerId, startedAtMs)
    this._outputTokens.add(eventTimes[2] * tokensPerEvent)
    const running = (Math.min(slots, inFlight) + Math.min(slots, this._statistics.inFlightOf(workerId))) / 2
    this._speeds.observe(workerId, { times: eventTimes, tokensPerEvent, readTokens, running, hasWaited: inFlight > slots }, nowMs)
  }

  private _close (placementId: string, { workerId, programId, prompt, outputTokens }: OpenPlacement, nowMs: number, durationRatio?: number): void {
    this._open.delete(placementId)
    this._tokens.end(workerId, prompt, outputTokens)
    this._statistics.endRequest(workerId, durationRatio, nowMs)
    this._programs.endTurn(programId, nowMs)
  }

  private _orderOf ({ isOrderedByCost = false }: PlacementService): IPlacementOrder {
    const { placementOrder } = this._options
    return placementOrder === PlacementOrder.Cost || (placementOrder === PlacementOrder.Auto && isOrderedByCost) ? this._costOrder : this._rankOrder
  }

  private _createWaiting (request: PlacementRequest, order: IPlacementOrder, nowMs: number): WaitingRequest {
    this._programs.observe(request, nowMs)
    const isBegun = request.hasBegun || this._programs.hasBegun(request.programId, nowMs)
    const isDelayed = !isBegun && this._programs.waitedMs(request, nowMs) > request.objectiveMs
    const { maxWaitMs, beginWaitShare } = this._options
    const waitMs = order.mayWaitLong({ request, isBegun, isDelayed }) ? Math.min(maxWaitMs, request.timeLeftMs - request.durationMs) : request.objectiveMs * beginWaitShare
    const workMs = this._programs.remainingMs(request, nowMs)
    const latestStartMs = nowMs + (request.finishMs ?? request.timeLeftMs) - workMs
    return { request, isBegun, isDelayed, queuedAtMs: nowMs, untilMs: nowMs + waitMs, workMs, latestStartMs, order: ++this._lastOrder }
  }

  private _createSituation (service: PlacementService, hasFreeSlot: boolean, nowMs: number): OpenSituation {
    const begun = this._queue.filter(({ isBegun }) => isBegun).length
    const mayBegin = hasFreeSlot && begun < this._queue.length
    return new OpenSituation({
      nowMs,
      slots: this.roomOf(service, nowMs),
      // Not needed, and not counted, if no program can begin.
      programCount: mayBegin ? this._open.size + this._programs.pausingCount(nowMs) + begun : 0,
      programsOfRank: priority => this._programs.runningOfRank(priority, nowMs),
      shareOf: service.shareOf ?? (() => 1)
    })
  }

  private _freeSlots ({ workers }: PlacementService): number {
    return workers.reduce((total, { workerId, slots }) => total + Math.max(0, slots + this._options.queuePerWorker - this._statistics.inFlightOf(workerId)), 0)
  }

  private _updateAdoptedLoad (nowMs: number): void {
    const share = 1 - (nowMs - this._adoptedAtMs) / this._options.adoptedLoadMs
    if (share <= 0) {
      this._statistics.removePeerLoad(ADOPTED_LOAD)
      return
    }
    const entries = Object.entries(this._adoptedLoad).map(([workerId, inFlight]) => [workerId, Math.round(inFlight * share)] as const)
    this._statistics.setPeerLoad(ADOPTED_LOAD, Object.fromEntries(entries))
  }

  /** Why no worker will take the request before its wait is over; undefined if one may. */
  private _refusalOf (waiting: WaitingRequest, order: IPlacementOrder, ahead: QueueAhead, service: PlacementService, situation: PlacementSituation): PlacementRefusalReason | undefined {
    const { request, untilMs } = waiting
    const { nowMs } = situation
    if (!service.workers.some(worker => isOfVersion(worker, request))) return PlacementRefusalReason.NoWorker
    if (nowMs >= untilMs) return untilMs < waiting.queuedAtMs ? PlacementRefusalReason.Deadline : PlacementRefusalReason.Waited
    const waitMs = Math.max(this._rateWaitMs(ahead.count, service), order.expectedWaitMs(waiting, ahead, situation))
    return nowMs + waitMs >= untilMs ? PlacementRefusalReason.QueueAhead : undefined
  }

  /** Time until the workers may take a request that has `queuedCount` others before it; 0 while a worker has no rate limit. */
  private _rateWaitMs (queuedCount: number, { workers, ratesPerS }: PlacementService): number {
    const isBound = workers.length > 0 && workers.every(({ workerId }) => ratesPerS.has(workerId))
    return isBound ? timeForRequestsMs(queuedCount, ratesPerS.values()) : 0
  }

  /** While rate limits bind, refused callers return after the queue, one after the other at the rate of the workers. */
  private _resolveRetryAfterMs (queuedCount: number, expectedWaitMs: number, service: PlacementService, nowMs: number): number {
    const { retryAfterMs, retryAfterSpreadMs, maxRetryAfterMs } = this._options
    const waitMs = this._rateWaitMs(queuedCount + 1, service)
    const spreadMs = this._random.next() * retryAfterSpreadMs
    if (waitMs === 0) return Math.min(maxRetryAfterMs, Math.max(retryAfterMs, expectedWaitMs) + spreadMs)
    const nextReturnAtMs = this._lastReturnAtMs + this._rateWaitMs(1, service)
    this._lastReturnAtMs = Math.min(nowMs + maxRetryAfterMs, Math.max(nowMs + waitMs, nextReturnAtMs))
    return Math.max(retryAfterMs + spreadMs, this._lastReturnAtMs - nowMs)
  }
}

/** A situation in which programs begin one after the other. */
class OpenSituation implements PlacementSituation {
  readonly nowMs: number
  readonly slots: number
  readonly shareOf: (account: string) => number
  programCount: number
  private readonly _countsByRank = new Map<number, number>()

  constructor (private readonly _initial: PlacementSituation) {
    this.nowMs = _initial.nowMs
    this.slots = _initial.slots
    this.shareOf = _initial.shareOf
    this.programCount = _initial.programCount
  }

  // All programs are iterated over, so the count is kept for the requests that follow.
  readonly programsOfRank = (priority: number): number => {
    const known = this._countsByRank.get(priority) ?? this._initial.programsOfRank(priority)
    this._countsByRank.set(priority, known)
    return known
  }

  begin ({ request: { priority } }: WaitingRequest): void {
    this.programCount++
    const known = this._countsByRank.get(priority)
    if (known !== undefined) this._countsByRank.set(priority, known + 1)
  }
}

/** Counts the requests that remain in the queue, in its order. */
class QueueCounts {
  private _count = 0
  private _newCount = 0
  private readonly _newByRank = new Map<number, number>()

  add ({ request: { priority }, isBegun }: WaitingRequest): void {
    this._count++
    if (isBegun) return
    this._newCount++
    this._newByRank.set(priority, (this._newByRank.get(priority) ?? 0) + 1)
  }

  before ({ request: { priority } }: WaitingRequest): QueueAhead {
    return { count: this._count, newCount: this._newCount, newOfRankCount: this._newByRank.get(priority) ?? 0 }
  }
}

function isOfVersion (worker: WorkerRegistration, { softwareVersion }: PlacementRequest): boolean {
  return softwareVersion === undefined || worker.softwareVersion === softwareVersion
}
