/** The partitions that the member group assigns to this node, and when those that it has lost may be taken over again. */
import type { PartitionLoss } from './partitionLoss.js'

export interface PartitionAssignmentsOptions {
  /** Pause before the second takeover after a loss; it doubles with each further one. The first is not delayed. */
  minPauseMs?: number
  maxPauseMs?: number
  /** After this time of service the next loss counts as the first one. */
  stableAfterMs?: number
}

/** A partition that is assigned to this node and not served by it. */
export interface UnservedPartition {
  partition: number
  /** The latest loss; undefined for a partition that has not been lost since it was assigned. */
  loss: PartitionLoss | undefined
  /** Losses without a longer service in between. */
  lossCount: number
  /** Time since its assignment or loss. */
  ageMs: number
}

interface Assignment {
  /** Undefined while the partition is served. */
  unservedSinceMs: number | undefined
  servedSinceMs: number
  lossCount: number
  latestLoss?: { reason: PartitionLoss, epoch: number, retryAtMs: number }
}

const DEFAULT_MIN_PAUSE_MS = 250
const DEFAULT_MAX_PAUSE_MS = 4_000
const DEFAULT_STABLE_AFTER_MS = 10_000

/**
 * The times are those of one clock that never goes back.
 *
 * A lost partition is taken over again once the group, asked after the loss, still assigns it to this node. Two processes of the
 * same name, which the group takes for one member, would replace each other in turns; so each further takeover is delayed.
 *
 * @example
 * assignments.assign([3], nowMs)
 * assignments.recordLoss(3, { reason: PartitionLoss.Fenced, epoch: owner.epoch }, nowMs)
 * if (assignments.mayTakeOver(3, joinSentMs)) takeOver(3, { outdatedEpoch: assignments.outdatedEpochOf(3) })
 */
export class PartitionAssignments {
  private readonly _assignments = new Map<number, Assignment>()
  private readonly _minPauseMs: number
  private readonly _maxPauseMs: number
  private readonly _stableAfterMs: number

  constructor ({ minPauseMs = DEFAULT_MIN_PAUSE_MS, maxPauseMs = DEFAULT_MAX_PAUSE_MS, stableAfterMs = DEFAULT_STABLE_AFTER_MS }: PartitionAssignmentsOptions = {}) {
    this._minPauseMs = minPauseMs
    this._maxPauseMs = maxPauseMs
    this._stableAfterMs = stableAfterMs
  }

  /** Replaces the assignment. What is known of partitions that are no longer assigned is forgotten. */
  assign (partitions: Iterable<number>, nowMs: number): void {
    const assigned = new Set(partitions)
    for (const partition of this._assignments.keys()) if (!assigned.has(partition)) this._assignments.delete(partition)
    for (const partition of assigned) {
      if (!this._assignments.has(partition)) this._assignments.set(partition, { unservedSinceMs: nowMs, servedSinceMs: nowMs, lossCount: 0 })
    }
  }

  recordServing (partition: number, nowMs: number): void {
    const assignment = this._assignments.get(partition)
    if (assignment === undefined) return
    assignment.unservedSinceMs = undefined
    assignment.servedSinceMs = nowMs
  }

  /** Records that this node has lost the partition, under `epoch`. Ignored for a partition that isn't assigned to it. */
  recordLoss (partition: number, { reason, epoch }: { reason: PartitionLoss, epoch: number }, nowMs: number): void {
    const assignment = this._assignments.get(partition)
    if (assignment === undefined) return
    const wasStable = assignment.unservedSinceMs === undefined && nowMs - assignment.servedSinceMs >= this._stableAfterMs
    assignment.lossCount = wasStable ? 1 : assignment.lossCount + 1
    assignment.unservedSinceMs ??= nowMs
    const pauseMs = assignment.lossCount === 1 ? 0 : Math.min(this._maxPauseMs, this._minPauseMs * 2 ** (assignment.lossCount - 2))
    assignment.latestLoss = { reason, epoch, retryAtMs: nowMs + pauseMs }
  }

  /** True if the partition is assigned by the answer to a join that was sent at `joinSentMs`, after the latest loss and its pause. */
  mayTakeOver (partition: number, joinSentMs: number): boolean {
    const assignment = this._assignments.get(partition)
    return assignment !== undefined && joinSentMs >= (assignment.latestLoss?.retryAtMs ?? joinSentMs)
  }

  /** The epoch under which this node has lost the partition; undefined if it has not. */
  outdatedEpochOf (partition: number): number | undefined {
    return this._assignments.get(partition)?.latestLoss?.epoch
  }

  /** Number of losses of the partition without a longer service in between. */
  lossCountOf (partition: number): number {
    return this._assignments.get(partition)?.lossCount ?? 0
  }

  /** The partitions that are not served, and for how long. */
  unserved (nowMs: number): UnservedPartition[] {
    return [...this._assignments].flatMap(([partition, { unservedSinceMs, latestLoss, lossCount }]) =>
      unservedSinceMs === undefined ? [] : [{ partition, loss: latestLoss?.reason, lossCount, ageMs: nowMs - unservedSinceMs }])
  }
}
