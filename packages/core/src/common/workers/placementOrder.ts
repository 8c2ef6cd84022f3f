/** Which of a service's waiting requests goes first, which may begin, and which is refused. */
import type { ProgramsInProgress } from './programsInProgress.js'
import type { PlacementRequest, ServicePlacementOptions } from './servicePlacement.js'

/** `Auto`: by cost where the service asks for it, else by rank. */
export const PlacementOrder = {
  Rank: 'rank',
  Cost: 'cost',
  Auto: 'auto'
} as const
export type PlacementOrder = typeof PlacementOrder[keyof typeof PlacementOrder]

/** Why a request was refused. */
export const PlacementRefusalReason = {
  /** No worker serves the request's software version. */
  NoWorker: 'noWorker',
  /** It has waited as long as it may. */
  Waited: 'waited',
  /** The requests before it take longer than it may wait. */
  QueueAhead: 'queueAhead',
  /** Its deadline is closer than the shortest answer. */
  Deadline: 'deadline'
} as const
export type PlacementRefusalReason = typeof PlacementRefusalReason[keyof typeof PlacementRefusalReason]

/** A request without a slot. */
export interface WaitingRequest {
  request: PlacementRequest
  /** True if its program is in progress. */
  isBegun: boolean
  /** True if its program has waited so long for its first turn that it can hardly finish in time. */
  isDelayed: boolean
  queuedAtMs: number
  untilMs: number
  /** Time that its program needs to finish, without waits. */
  workMs: number
  /** Latest time to start at which its program finishes in time. */
  latestStartMs: number
  /** Order of arrival. */
  order: number
}

/** The state of the service at the time of a decision. */
export interface PlacementSituation {
  nowMs: number
  /** Slots of all workers of the service. */
  slots: number
  /** Programs in progress with their parallel turns. */
  programCount: number
  /** Programs of a rank in progress. */
  programsOfRank: (priority: number) => number
  /** Share of an account in the workers, relative to those of others. */
  shareOf: (account: string) => number
}

/** Requests that remain in the queue before the one under decision. */
export interface QueueAhead {
  /** All of them. */
  count: number
  /** Of programs that have not begun. */
  newCount: number
  /** Of programs that have not begun and have the same rank. */
  newOfRankCount: number
}

/** The order of a queue. */
export interface IPlacementOrder {
  /** Adds a request to the queue. */
  insert (queue: WaitingRequest[], waiting: WaitingRequest): void
  /** Sorts the queue before decisions, which depend on the requests ahead of each one. */
  sort (queue: WaitingRequest[], situation: PlacementSituation): void
  /** True if the request may begin with that many programs in progress; a request of a program in progress always may. */
  mayBegin (waiting: WaitingRequest, situation: PlacementSituation): boolean
  /** True if a request may wait for as long as callers wait for a first event, not only for a share of its objective. */
  mayWaitLong (waiting: Pick<WaitingRequest, 'request' | 'isBegun' | 'isDelayed'>): boolean
  /** Expected time until a slot is assigned to a request; 0 if unknown. */
  expectedWaitMs (waiting: WaitingRequest, ahead: QueueAhead, situation: PlacementSituation): number
}

/** By rank, then programs that can still finish in time, then those in progress, then those that were not delayed, then in order of arrival. Rank 0 always may begin. */
export class RankOrder implements IPlacementOrder {
  constructor (private readonly _options: ServicePlacementOptions) {}

  insert (queue: WaitingRequest[], waiting: WaitingRequest): void {
    const index = queue.findIndex(other => compareByRank(waiting, other) < 0)
    if (index < 0) queue.push(waiting)
    else queue.splice(index, 0, waiting)
  }

  sort (): void {}

  mayBegin (waiting: WaitingRequest, { programCount, slots }: PlacementSituation): boolean {
    const { maxProgramsPerSlot, maxProgramsPerSlotIfDelayed } = this._options
    return isAlwaysAdmitted(waiting) || programCount < slots * (waiting.isDelayed ? maxProgramsPerSlotIfDelayed : maxProgramsPerSlot)
  }

  // A delayed program can only be late, so a place in the queue serves it better than another refusal.
  mayWaitLong (waiting: Pick<WaitingRequest, 'request' | 'isBegun' | 'isDelayed'>): boolean {
    return isAlwaysAdmitted(waiting) || waiting.isDelayed
  }

  expectedWaitMs (): number {
    return 0
  }
}

/**
 * By what a delay costs callers: rank, then requests that can still finish in time, then programs in progress, then the account that is served least
 * for its share, then least slack, then least work. Rank 0 has a limit too, and the less urgent ranks keep a share of the slots.
 */
export class CostOrder implements IPlacementOrder {
  constructor (private readonly _options: ServicePlacementOptions, private readonly _programs: ProgramsInProgress) {}

  insert (queue: WaitingRequest[], waiting: WaitingRequest): void {
    queue.push(waiting)
  }

  sort (queue: WaitingRequest[], { nowMs, shareOf }: PlacementSituation): void {
    const positions = this._positionsByAccount(queue, shareOf, nowMs)
    queue.sort((left, right) =>
      left.request.priority - right.request.priority ||
      Number(left.latestStartMs < nowMs) - Number(right.latestStartMs < nowMs) ||
      Number(right.isBegun) - Number(left.isBegun) ||
      (positions === undefined ? 0 : (positions.get(left) ?? 0) - (positions.get(right) ?? 0)) ||
      compareBySlack(left, right))
  }

  mayBegin (waiting: WaitingRequest, { nowMs, programCount, programsOfRank, slots }: PlacementSituation): boolean {
    if (waiting.isBegun) return true
    const { request: { priority }, isDelayed, latestStartMs } = waiting
    const { maxUrgentProgramsPerSlot, maxProgramsPerSlot, maxProgramsPerSlotIfDelayed, lessUrgentShare } = this._options
    const limit = isDelayed || latestStartMs < nowMs
      ? maxProgramsPerSlotIfDelayed
      : priority === 0 ? maxUrgentProgramsPerSlot : maxProgramsPerSlot
    return programCount < slots * limit || (priority > 0 && programsOfRank(priority) < slots * lessUrgentShare)
  }

  mayWaitLong ({ isBegun, isDelayed }: Pick<WaitingRequest, 'isBegun' | 'isDelayed'>): boolean {
    return isBegun || isDelayed
  }

  /** From the mean work of programs in progress: by Little's law as many of them end in a time as begin. */
  expectedWaitMs ({ request, isBegun }: WaitingRequest, { count, newCount, newOfRankCount }: QueueAhead, { slots }: PlacementSituation): number {
    if (slots === 0) return 0
    if (isBegun) return count * request.durationMs / slots
    const waitMs = (newCount + 1) * this._programs.meanWorkMs / slots
    const { lessUrgentShare } = this._options
    return request.priority === 0 ? waitMs : Math.min(waitMs, (newOfRankCount + 1) * this._programs.meanWorkMs / (slots * lessUrgentShare))
  }

  /**
   * Position of each request of a new program among the accounts: what its account has in progress, relative to its share, once its earlier ones have begun.
   * An account that was served much less often than all others goes first. Undefined if the requests of new programs belong to one account.
   */
  private _positionsByAccount (queue: readonly WaitingRequest[], shareOf: (account: string) => number, nowMs: number): ReadonlyMap<WaitingRequest, number> | undefined {
    const waiting = queue.filter(({ request, isBegun }) => !isBegun && request.account !== undefined)
    if (waiting.every(({ request }) => request.account === waiting[0].request.account)) return undefined
    const positions = new Map<WaitingRequest, number>()
    const counts = this._programs.runningByAccount(nowMs)
    for (const entry of waiting.sort(compareBySlack)) {
      const account = entry.request.account as string
      const count = counts.get(account) ?? 0
      const isUnderserved = this._programs.servedRatioOf(account, nowMs) < this._options.minServedRatio
      positions.set(entry, (isUnderserved ? -UNDERSERVED_LEAD : 0) + count / shareOf(account))
      counts.set(account, count + 1)
    }
    return positions
  }
}

/** Above every number of programs in progress, so that underserved accounts go before all others. */
const UNDERSERVED_LEAD = 1e9

function isAlwaysAdmitted ({ request, isBegun }: Pick<WaitingRequest, 'request' | 'isBegun'>): boolean {
  return isBegun || request.priority === 0
}

function compareByRank (left: WaitingRequest, right: WaitingRequest): number {
  return left.request.priority - right.request.priority ||
    Number(isLate(left.request)) - Number(isLate(right.request)) ||
    Number(right.isBegun) - Number(left.isBegun) ||
    Number(left.isDelayed) - Number(right.isDelayed) ||
    left.order - right.order
}

/**
 * The slack of waiting requests decreases evenly, so that the latest start gives their order. It counts in steps of the objective, below which callers
 * notice no difference; within a step the least work goes first, so that more programs are served.
 */
function compareBySlack (left: WaitingRequest, right: WaitingRequest): number {
  return toStep(left) - toStep(right) || left.workMs - right.workMs || left.order - right.order
}

function toStep ({ latestStartMs, request: { objectiveMs } }: WaitingRequest): number {
  return objectiveMs > 0 ? Math.floor(latestStartMs / objectiveMs) * objectiveMs : latestStartMs
}

function isLate ({ finishMs, durationMs }: PlacementRequest): boolean {
  return finishMs !== undefined && finishMs < durationMs
}
