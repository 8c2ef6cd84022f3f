/** The queue of one worker at its lead: what runs, what waits, and which step is next. */
import { Ewma } from '../base/ewma.js'
import { type CoreSettings, QueuePolicy } from '../kernel/settings.js'
import { Rank } from '../configuration/document.js'
import type { SlotReport } from '../peers/peerMessages.js'
import { ConcurrencyLimit } from './concurrencyLimit.js'
import { CustomerShares } from './customerShares.js'

const SERVICE_WEIGHT = 0.1
const INITIAL_SERVICE_MS = 3_000

/** A step in the queue. */
export interface QueueItem {
  ticket: string
  programId: string
  customer: string
  kind: string
  rank: Rank
  isFirstStep: boolean
  dueAtMs: number
  deadlineMs: number
  attainedSteps: number
  promptTokens: number
  /** True when the request was in flight at a crash; only one such request runs on a worker at a time. */
  isSuspect: boolean
  /** Node that runs the step. */
  home: string
  enqueuedAtMs: number
  grantedAtMs?: number
  /** Calls on the worker while this one ran, on average over its start and its end. */
  concurrency?: number
}

export interface RankShares { urgent: number, other: number }

export interface WorkerQueueOptions {
  worker: string
  settings: CoreSettings
  /** Floor shares of the two ranks, from the document in force. */
  floors: () => RankShares
  weightOf: (customer: string) => number
  maxConcurrency: () => number
}

export class WorkerQueue {
  readonly worker: string
  private readonly _options: WorkerQueueOptions
  private readonly _limit: ConcurrencyLimit
  private readonly _waiting = new Map<string, QueueItem>()
  private readonly _inFlight = new Map<string, QueueItem>()
  private readonly _inFlightByRank: RankShares = { urgent: 0, other: 0 }
  private readonly _waitingByRank: RankShares = { urgent: 0, other: 0 }
  private readonly _serviceMs = new Ewma(SERVICE_WEIGHT, INITIAL_SERVICE_MS)
  private readonly _shares: CustomerShares

  constructor (options: WorkerQueueOptions) {
    this._options = options
    this.worker = options.worker
    const { initialConcurrency, minConcurrency } = options.settings
    this._limit = new ConcurrencyLimit({ initial: initialConcurrency, min: minConcurrency })
    this._shares = new CustomerShares(options.weightOf)
  }

  /** Calls that may run at once if the last of them is of the given rank. */
  limitOf (rank: Rank): number {
    const { tokenGapTargetMs, otherTokenGapTargetMs } = this._options.settings
    return this._limit.limitFor(rank === Rank.Urgent ? tokenGapTargetMs : otherTokenGapTargetMs, this._options.maxConcurrency())
  }

  get inFlightCount (): number {
    return this._inFlight.size
  }

  get waitingCount (): number {
    return this._waiting.size
  }

  /** Mean time of a call on the worker. */
  get serviceMs (): number {
    return this._serviceMs.value
  }

  waitingOf (rank: Rank): number {
    return this._waitingByRank[rank]
  }

  inFlightOf (rank: Rank): number {
    return this._inFlightByRank[rank]
  }

  find (ticket: string): QueueItem | undefined {
    return this._waiting.get(ticket) ?? this._inFlight.get(ticket)
  }

  items (): QueueItem[] {
    return [...this._inFlight.values(), ...this._waiting.values()]
  }

  enqueue (item: QueueItem): void {
    if (this.find(item.ticket) !== undefined) return
    this._waiting.set(item.ticket, item)
    this._waitingByRank[item.rank]++
    this._shares.noteArrival(item.customer)
  }

  /** Counts a step that was granted by an earlier lead. */
  adoptInFlight (item: QueueItem, nowMs: number): void {
    if (this.find(item.ticket) === undefined) this._start(item, nowMs)
  }

  /** Takes the next step that may run now; undefined when there is none or no slot is free. */
  takeNext (nowMs: number): QueueItem | undefined {
    if (this._inFlight.size >= this.limitOf(Rank.Urgent)) return undefined
    const next = this._options.settings.queuePolicy === QueuePolicy.Fifo ? this._oldest() : this._mostUrgent(nowMs)
    if (next === undefined) return undefined
    this._removeWaiting(next)
    this._start(next, nowMs)
    return next
  }

  /** Removes a step whether it waits or runs, and learns from its report. */
  remove (ticket: string, report?: SlotReport): QueueItem | undefined {
    const waiting = this._waiting.get(ticket)
    if (waiting !== undefined) {
      this._removeWaiting(waiting)
      this._shares.noteDeparture(waiting.customer)
      return waiting
    }
    const running = this._inFlight.get(ticket)
    if (running === undefined) return undefined
    running.concurrency = ((running.concurrency ?? this._inFlight.size) + this._inFlight.size) / 2
    this._inFlight.delete(ticket)
    this._inFlightByRank[running.rank]--
    this._shares.noteDeparture(running.customer)
    if (report?.isSuccess === true) this._learn(running, report)
    return running
  }

  /** Steps whose deadline has passed while they waited. */
  expired (nowMs: number): QueueItem[] {
    return [...this._waiting.values()].filter(item => item.deadlineMs <= nowMs)
  }

  /** Expected wait of a new step of a rank: work ahead of it over the rate at which slots come free. */
  expectedWaitMs (rank: Rank): number {
    const slots = this.limitOf(rank)
    const ahead = rank === Rank.Urgent ? this._waitingByRank.urgent : this._waiting.size
    const free = slots - this._inFlight.size
    if (free > ahead) return 0
    return (ahead + 1 - Math.max(0, free)) * this._serviceMs.value / slots
  }

  private _learn (item: QueueItem, report: SlotReport): void {
    this._serviceMs.add(report.serviceMs)
    this._shares.noteService(item.customer, report.serviceMs)
    this._limit.note(item.concurrency ?? this._inFlight.size + 1, report.tokenGapMs)
  }

  private _start (item: QueueItem, nowMs: number): void {
    item.grantedAtMs = nowMs
    this._inFlight.set(item.ticket, item)
    item.concurrency = this._inFlight.size
    this._inFlightByRank[item.rank]++
  }

  private _removeWaiting (item: QueueItem): void {
    this._waiting.delete(item.ticket)
    this._waitingByRank[item.rank]--
  }

  private _oldest (): QueueItem | undefined {
    for (const item of this._waiting.values()) {
      if (this._mayStart(item)) return item
    }
    return undefined
  }

  /** Urgent first, unless the other rank is below its floor; see `isBefore` for the order inside a rank. */
  private _mostUrgent (nowMs: number): QueueItem | undefined {
    const first = this._isBelowFloor(Rank.Other) && !this._isBelowFloor(Rank.Urgent) ? Rank.Other : Rank.Urgent
    const second = first === Rank.Urgent ? Rank.Other : Rank.Urgent
    return this._bestOf(first, nowMs) ?? this._bestOf(second, nowMs)
  }

  private _isBelowFloor (rank: Rank): boolean {
    return this._waitingByRank[rank] > 0 && this._inFlightByRank[rank] < Math.ceil(this._options.floors()[rank] * this.limitOf(Rank.Urgent))
  }

  private _bestOf (rank: Rank, nowMs: number): QueueItem | undefined {
    const limit = rank === Rank.Other && this._hasUrgentAtRisk(nowMs) ? 0 : this.limitOf(rank)
    const isFull = this._inFlight.size >= limit && !this._isBelowFloor(rank)
    if (this._waitingByRank[rank] === 0 || isFull) return undefined
    const isLateTurn = !this._hasLateInFlight(rank, nowMs)
    let best: QueueItem | undefined
    let bestLate: QueueItem | undefined
    for (const item of this._waiting.values()) {
      if (item.rank !== rank || !this._mayStart(item)) continue
      if (best === undefined || this._isBefore(item, best, nowMs)) best = item
      const isLate = isLateTurn && item.dueAtMs < nowMs
      if (isLate && (bestLate === undefined || item.dueAtMs < bestLate.dueAtMs)) bestLate = item
    }
    return bestLate ?? best
  }

  /** True while an urgent program that runs here is close to its target: work of the other rank then keeps to its floor. */
  private _hasUrgentAtRisk (nowMs: number): boolean {
    const { urgentAtRiskMs } = this._options.settings
    for (const item of this._inFlight.values()) {
      const leftMs = item.dueAtMs - nowMs
      if (item.rank === Rank.Urgent && leftMs > 0 && leftMs < urgentAtRiskMs) return true
    }
    return false
  }

  /** One slot goes to programs that have missed their target, so that none of them starves behind those that can meet it. */
  private _hasLateInFlight (rank: Rank, nowMs: number): boolean {
    for (const item of this._inFlight.values()) {
      if (item.rank === rank && item.dueAtMs < nowMs) return true
    }
    return false
  }

  private _mayStart (item: QueueItem): boolean {
    return !item.isSuspect || ![...this._inFlight.values()].some(running => running.isSuspect)
  }

  /**
   * Programs that can still meet their target come before those that cannot; among them started programs come first,
   * then the one due first. Among programs that have not started, the customer with the least service comes first:
   * shares are kept where programs enter, because a started one is carried through.
   */
  private _isBefore (left: QueueItem, right: QueueItem, nowMs: number): boolean {
    const isLeftLate = left.dueAtMs < nowMs
    const isRightLate = right.dueAtMs < nowMs
    if (isLeftLate !== isRightLate) return isRightLate
    if (left.isFirstStep !== right.isFirstStep) return right.isFirstStep
    if (left.isFirstStep) {
      const leftShare = this._shares.attained(left.customer)
      const rightShare = this._shares.attained(right.customer)
      if (leftShare !== rightShare) return leftShare < rightShare
    }
    if (left.dueAtMs !== right.dueAtMs) return left.dueAtMs < right.dueAtMs
    return left.attainedSteps > right.attainedSteps
  }
}
