/** The queue of one worker at its coordinator: running steps, waiting steps and the order in which they start. */
import { Ewma } from '../base/ewma.js'
import { type CoreSettings, QueuePolicy } from '../kernel/settings.js'
import { Rank } from '../configuration/document.js'
import type { SlotReport } from '../peers/peerMessages.js'
import { ConcurrencyLimit } from './concurrencyLimit.js'
import { CustomerShares } from './customerShares.js'

const SERVICE_WEIGHT = 0.1
const INITIAL_SERVICE_MS = 3_000

/** A waiting or running step; fields without a comment have the meaning of those in `SlotRequest`. */
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
  /** Node that owns the step's program. */
  owner: string
  enqueuedAtMs: number
  /** Set once the step runs. */
  grantedAtMs?: number
  /** Running calls of the worker at the start of this one, including it; once it ends, the mean of start and end. */
  concurrency?: number
}

/** A number for each rank: a share or a count. */
export interface RankShares { urgent: number, other: number }

/** Worker of a queue and the configuration that it reads at each decision. */
export interface WorkerQueueOptions {
  worker: string
  settings: CoreSettings
  /** Floor shares of the two ranks, 0 to 1, from the active document. */
  floors: () => RankShares
  weightOf: (customer: string) => number
  maxConcurrency: () => number
}

/** Orders the steps of one worker and limits how many of them run at once. */
export class WorkerQueue {
  readonly worker: string
  private readonly _options: WorkerQueueOptions
  private readonly _concurrencyLimit: ConcurrencyLimit
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
    this._concurrencyLimit = new ConcurrencyLimit({ initial: initialConcurrency, min: minConcurrency })
    this._shares = new CustomerShares(options.weightOf)
  }

  /** Calls that may run at once if the last of them is of the given rank. */
  limitOf (rank: Rank): number {
    const { tokenGapTargetMs, otherTokenGapTargetMs } = this._options.settings
    return this._concurrencyLimit.limitFor(rank === Rank.Urgent ? tokenGapTargetMs : otherTokenGapTargetMs, this._options.maxConcurrency())
  }

  get inFlightCount (): number {
    return this._inFlight.size
  }

  get waitingCount (): number {
    return this._waiting.size
  }

  /** Mean duration of a call on the worker, in milliseconds. */
  get serviceMs (): number {
    return this._serviceMs.value
  }

  waitingOf (rank: Rank): number {
    return this._waitingByRank[rank]
  }

  inFlightOf (rank: Rank): number {
    return this._inFlightByRank[rank]
  }

  /** Waiting or running step with the ticket; undefined when there is none. */
  find (ticket: string): QueueItem | undefined {
    return this._waiting.get(ticket) ?? this._inFlight.get(ticket)
  }

  /** All steps, the running ones first. */
  items (): QueueItem[] {
    return [...this._inFlight.values(), ...this._waiting.values()]
  }

  /** Adds a waiting step; a ticket that is already known has no effect. */
  enqueue (item: QueueItem): void {
    if (this.find(item.ticket) !== undefined) return
    this._waiting.set(item.ticket, item)
    this._waitingByRank[item.rank]++
    this._shares.recordArrival(item.customer)
  }

  /** Adds a running step that an earlier coordinator granted, without a check of the limit. */
  addInFlight (item: QueueItem, nowMs: number): void {
    if (this.find(item.ticket) === undefined) this._start(item, nowMs)
  }

  /** Marks the next step that may start as running and returns it; undefined when none may start. */
  dequeueNext (nowMs: number): QueueItem | undefined {
    if (this._inFlight.size >= this.limitOf(Rank.Urgent)) return undefined
    const next = this._options.settings.queuePolicy === QueuePolicy.Fifo ? this._oldestStartable() : this._nextByRank(nowMs)
    if (next === undefined) return undefined
    this._removeWaiting(next)
    this._start(next, nowMs)
    return next
  }

  /**
   * Removes a waiting or running step and returns it; undefined when the ticket is unknown. The report of a successful call
   * updates the statistics.
   */
  remove (ticket: string, report?: SlotReport): QueueItem | undefined {
    const waiting = this._waiting.get(ticket)
    if (waiting !== undefined) {
      this._removeWaiting(waiting)
      this._shares.recordDeparture(waiting.customer)
      return waiting
    }
    const running = this._inFlight.get(ticket)
    if (running === undefined) return undefined
    running.concurrency = ((running.concurrency ?? this._inFlight.size) + this._inFlight.size) / 2
    this._inFlight.delete(ticket)
    this._inFlightByRank[running.rank]--
    this._shares.recordDeparture(running.customer)
    if (report?.isSuccess === true) this._recordReport(running, report)
    return running
  }

  /** Waiting steps whose deadline has passed. */
  expiredItems (nowMs: number): QueueItem[] {
    return [...this._waiting.values()].filter(item => item.deadlineMs <= nowMs)
  }

  /** Expected wait of a new step of a rank in milliseconds: the steps ahead of it divided by the rate at which slots become free. */
  expectedWaitMs (rank: Rank): number {
    const slots = this.limitOf(rank)
    const ahead = rank === Rank.Urgent ? this._waitingByRank.urgent : this._waiting.size
    const free = slots - this._inFlight.size
    if (free > ahead) return 0
    return (ahead + 1 - Math.max(0, free)) * this._serviceMs.value / slots
  }

  private _recordReport (item: QueueItem, report: SlotReport): void {
    this._serviceMs.add(report.serviceMs)
    this._shares.recordService(item.customer, report.serviceMs)
    this._concurrencyLimit.recordCall(item.concurrency ?? this._inFlight.size + 1, report.tokenGapMs)
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

  /** First step in order of arrival that may start. */
  private _oldestStartable (): QueueItem | undefined {
    for (const item of this._waiting.values()) {
      if (this._mayStart(item)) return item
    }
    return undefined
  }

  /** Urgent steps first, unless only the other rank is below its floor; `_isBefore` gives the order inside a rank. */
  private _nextByRank (nowMs: number): QueueItem | undefined {
    const first = this._isBelowFloor(Rank.Other) && !this._isBelowFloor(Rank.Urgent) ? Rank.Other : Rank.Urgent
    const second = first === Rank.Urgent ? Rank.Other : Rank.Urgent
    return this._bestWaitingOf(first, nowMs) ?? this._bestWaitingOf(second, nowMs)
  }

  /** True when steps of the rank wait and fewer run than its floor allows. */
  private _isBelowFloor (rank: Rank): boolean {
    return this._waitingByRank[rank] > 0 && this._inFlightByRank[rank] < Math.ceil(this._options.floors()[rank] * this.limitOf(Rank.Urgent))
  }

  /** Step of a rank that starts next; undefined when none of its steps may start. */
  private _bestWaitingOf (rank: Rank, nowMs: number): QueueItem | undefined {
    const limit = rank === Rank.Other && this._hasUrgentAtRisk(nowMs) ? 0 : this.limitOf(rank)
    const isFull = this._inFlight.size >= limit && !this._isBelowFloor(rank)
    if (this._waitingByRank[rank] === 0 || isFull) return undefined
    const mayPreferLate = !this._hasLateInFlight(rank, nowMs)
    let best: QueueItem | undefined
    let bestLate: QueueItem | undefined
    for (const item of this._waiting.values()) {
      if (item.rank !== rank || !this._mayStart(item)) continue
      if (best === undefined || this._isBefore(item, best, nowMs)) best = item
      const isLate = mayPreferLate && item.dueAtMs < nowMs
      if (isLate && (bestLate === undefined || item.dueAtMs < bestLate.dueAtMs)) bestLate = item
    }
    return bestLate ?? best
  }

  /** True while a running urgent step is close to its target; work of the other rank is then limited to its floor. */
  private _hasUrgentAtRisk (nowMs: number): boolean {
    const { urgentAtRiskMs } = this._options.settings
    for (const item of this._inFlight.values()) {
      const leftMs = item.dueAtMs - nowMs
      if (item.rank === Rank.Urgent && leftMs > 0 && leftMs < urgentAtRiskMs) return true
    }
    return false
  }

  /**
   * True while a step of the rank runs that is past its target. One slot of each rank goes to such steps, so that they do
   * not starve behind those that can meet their target.
   */
  private _hasLateInFlight (rank: Rank, nowMs: number): boolean {
    for (const item of this._inFlight.values()) {
      if (item.rank === rank && item.dueAtMs < nowMs) return true
    }
    return false
  }

  /** False for a suspect request while another one runs. */
  private _mayStart (item: QueueItem): boolean {
    return !item.isSuspect || ![...this._inFlight.values()].some(running => running.isSuspect)
  }

  /**
   * Steps that are not past their target come before those that are. Within each group started programs come first, then
   * the step that is due first, then the program with more completed steps. Among programs that have not started, the
   * customer with the least attained service comes first: customer shares are applied only to new programs, because a
   * started program is served to its end.
   */
  private _isBefore (left: QueueItem, right: QueueItem, nowMs: number): boolean {
    const isLeftLate = left.dueAtMs < nowMs
    const isRightLate = right.dueAtMs < nowMs
    if (isLeftLate !== isRightLate) return isRightLate
    if (left.isFirstStep !== right.isFirstStep) return right.isFirstStep
    if (left.isFirstStep) {
      const leftShare = this._shares.attainedServiceOf(left.customer)
      const rightShare = this._shares.attainedServiceOf(right.customer)
      if (leftShare !== rightShare) return leftShare < rightShare
    }
    if (left.dueAtMs !== right.dueAtMs) return left.dueAtMs < right.dueAtMs
    return left.attainedSteps > right.attainedSteps
  }
}
