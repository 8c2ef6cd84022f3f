/** Keeps this node in the log's member group and runs a `PartitionOwner` for each partition that the group assigns to it. */
import { type IRandom, type LogFields, nextEpoch, PartitionAssignments, PartitionLoss } from '@trefoilshunt/core'
import type { ILogClient } from '../../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../../steadyClock.js'
import { LogResponseTime, type TimeoutLimits } from '../logResponseTime.js'
import { InterruptibleDelay } from './interruptibleDelay.js'
import { OwnerState, PartitionOwner, TURN_TOPIC } from './partitionOwner.js'
import { UnservedPartitionReporter, type UnservedPartitionState } from './unservedPartitions.js'

const MEMBER_GROUP = 'turn-owners'
/** Joins sent within one time to live of the membership, so that three of them may fail. */
const JOINS_PER_TTL = 4
/** Period of the joins while partitions move after a change of the membership: a partition moves only when its owner joins again. */
const SETTLING_JOIN_MS = 50
/** How long the short join period is used after a change of the membership. Joins of all nodes for all of that time were most of what a start cost the others. */
const SETTLING_MS = 700
/** Partitions that recover at the same time. The others wait, and may be reassigned before they are read. */
const MAX_PARALLEL_RECOVERIES = 3
/** Shortest time-out of joins and leaves, which may be repeated. The log usually answers within a few milliseconds. */
const MIN_MEMBER_TIMEOUT_MS = 120
/** How long a leaving node repeats the leave. After that its membership has nearly expired. */
const LEAVE_TIMEOUT_MS = 800
/** A node that has had no live peer for this long, in a group with other members, counts as isolated. */
const ISOLATED_AFTER_MS = 1_500
/** An isolated node joins again after this even without peers, because the other members may have crashed. */
const ISOLATED_RETRY_MS = 3_000
/** Time to append the last records of a partition that is given up; well below a member's time to live. */
const HANDOVER_TIMEOUT_MS = 250
const EXPIRE_PERIOD_MS = 5_000
/** Shortest time between two departures from the group that are to start a generation with unused epochs. */
const MIN_REJOIN_PERIOD_MS = 10_000

export interface PartitionHostOptions {
  /** The node's name. A restarted node that joins under the same name gets its partitions back at once. */
  member: string
  log: ILogClient
  partitionCount: number
  maxRecordBytes: number
  /** Size up to which queued appends are merged in one call. */
  maxAppendBytes: number
  /** Time without a join after which the group assigns the partitions to other members. */
  memberTtlMs: number
  /** Milliseconds since the log last answered this node. */
  sinceLogResponseMs: () => number
  /** True while at least one peer is alive from the point of view of this node. */
  hasLivePeers: () => boolean
  /** True if neither this node nor a live peer serves some partition, so that the group may assign it to this node. Without it, the short join period is used after each change of the membership. */
  hasUnservedPartition?: () => boolean
  random: IRandom
  /** Called when the set of served partitions may have changed. */
  onChanged: () => void
  /** Writes a log line. */
  write: (event: string, fields: LogFields) => void
}

/**
 * Joins the member group periodically, starts and recovers owners of newly assigned partitions, and gives up revoked ones.
 *
 * @example
 * const host = new PartitionHost(options)
 * host.start()
 * host.find(3)?.grant(request)
 */
export class PartitionHost {
  private readonly _owners = new Map<number, PartitionOwner>()
  private readonly _assignments = new PartitionAssignments()
  private readonly _unservedReporter: UnservedPartitionReporter
  private _generation = 0
  /** The first generation that this process has joined; undefined before. Earlier processes of this node knew of no later one. */
  private _firstGeneration: number | undefined
  private _membershipChangedAtMs = Number.NEGATIVE_INFINITY
  /** True if partitions were given up after the latest join: the group moves them when this node has joined again. */
  private _hasReleased = false
  /** True if this node has lost a partition, or has left the group, after the latest join was sent. */
  private _isJoinDue = false
  private readonly _joinDelay = new InterruptibleDelay()
  private _lastRejoinMs = Number.NEGATIVE_INFINITY
  private _runningRecoveries = 0
  private _withoutPeersSinceMs: number | undefined
  private _lastJoinSentMs = Number.NEGATIVE_INFINITY
  private _lastJoinSentWallMs = 0
  private _lapseCount = 0
  private _isStopped = false
  private readonly _responseTime = new LogResponseTime()
  private readonly _memberTimeout: TimeoutLimits
  /** Joins and leaves that failed, one after the other. */
  private _failedMemberCalls = 0
  private _expireTimer: NodeJS.Timeout | undefined

  constructor (private readonly _options: PartitionHostOptions) {
    this._memberTimeout = { minMs: MIN_MEMBER_TIMEOUT_MS, maxMs: _options.memberTtlMs / 2 }
    this._unservedReporter = new UnservedPartitionReporter({ write: _options.write })
  }

  /** Starts to join the member group. */
  start (): void {
    void this._maintainMembership()
    this._expireTimer = setInterval(() => { for (const owner of this._owners.values()) owner.expire() }, EXPIRE_PERIOD_MS)
  }

  /** The owner of a partition; undefined when this node doesn't serve the partition now. */
  find (partition: number): PartitionOwner | undefined {
    const owner = this._owners.get(partition)
    return owner?.isServing === true ? owner : undefined
  }

  /** The owners of all partitions that this node serves now. */
  get served (): PartitionOwner[] {
    return [...this._owners.values()].filter(owner => owner.isServing)
  }

  /** The partitions that this node serves or is about to serve. */
  get assigned (): Iterable<number> {
    return this._owners.keys()
  }

  /** The partitions that the group assigns to this node and that it doesn't serve. */
  get unserved (): UnservedPartitionState[] {
    return this._assignments.unserved(steadyNowMs()).map(({ loss, ...fields }) => {
      const state = this._owners.get(fields.partition)?.state
      return { ...fields, reason: state ?? loss ?? OwnerState.Waiting, loss }
    })
  }

  /** True when the group has had other members for `ISOLATED_AFTER_MS` and none of them was alive for this node in that time. */
  get isIsolated (): boolean {
    return this._withoutPeersSinceMs !== undefined && steadyNowMs() - this._withoutPeersSinceMs > ISOLATED_AFTER_MS
  }

  /** Gives up the partitions that a peer serves under a higher epoch. The log may be unreachable and unable to fence this node. */
  applyPeerOwnership (owned: ReadonlyArray<readonly [partition: number, epoch: number]>): void {
    for (const [partition, epoch] of owned) {
      const owner = this._owners.get(partition)
      if (owner !== undefined && owner.epoch < epoch) this._loseOwner(owner, { reason: PartitionLoss.Replaced, epoch })
    }
  }

  /** True while the membership can't have expired. Checks both clocks, because the steady one stands still while the machine is suspended. */
  get isMembershipFresh (): boolean {
    const { memberTtlMs } = this._options
    return steadyNowMs() - this._lastJoinSentMs < memberTtlMs && Math.abs(Date.now() - this._lastJoinSentWallMs) < memberTtlMs
  }

  /** Number of times at which the membership may have expired and other members may have served this node's partitions. */
  get lapseCount (): number {
    return this._lapseCount
  }

  /** Milliseconds since the sending of the last join that the log confirmed; infinite before the first. */
  get sinceLastJoinMs (): number {
    return steadyNowMs() - this._lastJoinSentMs
  }

  /** Appends the remaining records for at most `flushMs`, then leaves the group, which assigns the partitions to other members. */
  async stop (flushMs: number): Promise<void> {
    this._isStopped = true
    clearInterval(this._expireTimer)
    await Promise.all([...this._owners.values()].map(async owner => await owner.close(flushMs)))
    await this._leaveGroup()
    for (const owner of [...this._owners.values()]) this._removeOwner(owner, 'stopped')
  }

  /** Stops at once without appending records or leaving the group, as a crash would. */
  close (): void {
    this._isStopped = true
    clearInterval(this._expireTimer)
    for (const owner of this._owners.values()) owner.lose('closed')
    this._owners.clear()
  }

  private async _maintainMembership (): Promise<void> {
    const { member, memberTtlMs, log } = this._options
    while (!this._isStopped) {
      if (this.isIsolated) await this._leaveWhileIsolated()
      if (this._isStopped) return
      const sentMs = steadyNowMs()
      const sentWallMs = Date.now()
      this._isJoinDue = false
      const result = await log.join({ group: MEMBER_GROUP, member, topic: TURN_TOPIC, ttlMs: memberTtlMs, generation: this._generation, timeoutMs: this._memberTimeoutMs })
      if (this._isStopped) return
      if (result.type === 'joined') {
        this._failedMemberCalls = 0
        this._responseTime.recordAnswer(steadyNowMs() - sentMs)
        const hasLapsed = sentMs - this._lastJoinSentMs >= memberTtlMs || Math.abs(sentWallMs - this._lastJoinSentWallMs) >= memberTtlMs
        if (hasLapsed && result.generation !== this._generation) this._lapseCount++
        this._lastJoinSentMs = sentMs
        this._lastJoinSentWallMs = sentWallMs
        await this._applyMembership(result.generation, result.partitions, sentMs)
        if (this._isStopped) return
      } else {
        this._failedMemberCalls++
        this._options.write('groupJoinFailed', { detail: result.detail, sinceLastMs: Math.round(sentMs - this._lastJoinSentMs) })
      }
      this._unservedReporter.report(this.unserved, this._generation)
      const isSettling = result.type === 'joined' && steadyNowMs() - this._membershipChangedAtMs < SETTLING_MS
      const periodMs = memberTtlMs / JOINS_PER_TTL
      if (isSettling) await this._waitWhileSettling(sentMs, periodMs)
      else await this._waitUntilJoinIsDue(Math.max(SETTLING_JOIN_MS / 2, periodMs - (steadyNowMs() - sentMs)))
    }
  }

  /** Resolves when this node should join again: soon if it has given up partitions or may get some, else after the usual period. */
  private async _waitWhileSettling (sentMs: number, periodMs: number): Promise<void> {
    const { hasUnservedPartition = () => true } = this._options
    let waitMs = SETTLING_JOIN_MS - (steadyNowMs() - sentMs)
    do {
      await delay(Math.max(SETTLING_JOIN_MS / 2, waitMs))
      waitMs = Math.min(SETTLING_JOIN_MS, periodMs - (steadyNowMs() - sentMs))
    } while (waitMs > 0 && !this._isStopped && !this._hasReleased && !this._isJoinDue && !hasUnservedPartition())
  }

  /** Resolves after `delayMs`, or earlier if a join is due. */
  private async _waitUntilJoinIsDue (delayMs: number): Promise<void> {
    if (!this._isJoinDue) await this._joinDelay.wait(delayMs)
    if (this._isJoinDue) await delay(SETTLING_JOIN_MS / 2)
  }

  private get _memberTimeoutMs (): number {
    return this._responseTime.timeoutMs(this._memberTimeout, this._failedMemberCalls)
  }

  /** Hands the partitions to members that can reach each other, because other nodes could not reach them here. */
  private async _leaveWhileIsolated (): Promise<void> {
    this._options.write('isolated', { partitions: [...this._owners.keys()].join(',') })
    await this._handOverPartitions('isolated')
    const retryAtMs = steadyNowMs() + ISOLATED_RETRY_MS
    while (!this._options.hasLivePeers() && steadyNowMs() < retryAtMs && !this._isStopped) await delay(SETTLING_JOIN_MS)
    this._withoutPeersSinceMs = undefined
  }

  /** Leaves the group, so that its partitions are reassigned before the membership expires. */
  private async _leaveGroup (): Promise<void> {
    const untilMs = steadyNowMs() + LEAVE_TIMEOUT_MS
    while (steadyNowMs() < untilMs) {
      if (await this._options.log.leave(MEMBER_GROUP, this._options.member, this._memberTimeoutMs)) return
      this._failedMemberCalls++
      await delay(SETTLING_JOIN_MS)
    }
    this._options.write('groupLeaveFailed', { tookMs: LEAVE_TIMEOUT_MS })
  }

  /** Leaves the group and so starts a generation, because all epochs of the current one are used. The next join returns partitions of the new one. */
  private async _startGeneration (): Promise<void> {
    this._lastRejoinMs = steadyNowMs()
    this._options.write('groupLeft', { generation: this._generation, detail: PartitionLoss.EpochsExhausted })
    await this._handOverPartitions('groupLeft')
    this._isJoinDue = true
  }

  /** Records what remains, gives up all partitions and leaves the group, which assigns them to other members. */
  private async _handOverPartitions (detail: string): Promise<void> {
    await Promise.all([...this._owners.values()].map(async owner => await owner.close(HANDOVER_TIMEOUT_MS)))
    this._assignments.assign([], steadyNowMs())
    for (const owner of [...this._owners.values()]) this._removeOwner(owner, detail)
    await this._leaveGroup()
  }

  private async _applyMembership (generation: number, partitions: readonly number[], sentMs: number): Promise<void> {
    const hasChanged = generation !== this._generation
    this._generation = generation
    this._firstGeneration ??= generation
    const hasOtherMembers = partitions.length < this._options.partitionCount
    if (!hasOtherMembers || this._options.hasLivePeers()) this._withoutPeersSinceMs = undefined
    else this._withoutPeersSinceMs ??= steadyNowMs()
    const assigned = new Set(partitions.filter(partition => partition < this._options.partitionCount))
    if (hasChanged) this._membershipChangedAtMs = steadyNowMs()
    if (hasChanged) this._options.write('partitionsAssigned', { generation, partitions: [...assigned].join(',') })
    this._assignments.assign(assigned, steadyNowMs())
    // The log assigns a revoked partition to its next owner only after this node has joined with the new generation.
    const revoked = [...this._owners.values()].filter(owner => !assigned.has(owner.partition))
    this._hasReleased = revoked.length > 0
    await Promise.all(revoked.map(async owner => await owner.close(HANDOVER_TIMEOUT_MS)))
    for (const owner of revoked) this._removeOwner(owner, 'reassigned')
    const available = [...assigned].filter(partition => !this._owners.has(partition) && this._assignments.mayTakeOver(partition, sentMs))
    const mayRejoin = steadyNowMs() - this._lastRejoinMs >= MIN_REJOIN_PERIOD_MS
    if (mayRejoin && available.some(partition => nextEpoch(generation, this._assignments.outdatedEpochOf(partition)) === undefined)) await this._startGeneration()
    else for (const partition of available) this._addOwner(partition, generation)
  }

  private _addOwner (partition: number, generation: number): void {
    const { log, maxRecordBytes, maxAppendBytes, sinceLogResponseMs, random, onChanged, write } = this._options
    const outdatedEpoch = this._assignments.outdatedEpochOf(partition)
    if (outdatedEpoch !== undefined) write('partitionRetaken', { partition, generation, outdatedEpoch, losses: this._assignments.lossCountOf(partition) })
    const owner = new PartitionOwner({
      partition,
      generation,
      outdatedEpoch,
      isNewGeneration: outdatedEpoch === undefined && generation > (this._firstGeneration ?? generation),
      log,
      responseTime: this._responseTime,
      maxRecordBytes,
      maxAppendBytes,
      sinceLogResponseMs,
      random,
      write,
      onLost: (lost, reason) => this._loseOwner(lost, { reason, epoch: lost.epoch }),
      onServing: () => {
        this._assignments.recordServing(partition, steadyNowMs())
        onChanged()
      }
    })
    this._owners.set(partition, owner)
    this._startRecoveries()
  }

  private _startRecoveries (): void {
    for (const owner of this._owners.values()) {
      if (this._runningRecoveries >= MAX_PARALLEL_RECOVERIES) return
      if (owner.state !== OwnerState.Waiting) continue
      this._runningRecoveries++
      void owner.recover().finally(() => {
        this._runningRecoveries--
        this._startRecoveries()
      })
    }
  }

  /** Gives up a partition that has another owner, under `epoch` or a higher one, and asks the group soon whether it is still assigned to this node. */
  private _loseOwner (owner: PartitionOwner, loss: { reason: PartitionLoss, epoch: number }): void {
    if (this._owners.get(owner.partition) === owner) this._assignments.recordLoss(owner.partition, loss, steadyNowMs())
    this._removeOwner(owner, loss.reason)
    this._isJoinDue = true
    this._joinDelay.end()
  }

  private _removeOwner (owner: PartitionOwner, detail: string): void {
    if (this._owners.get(owner.partition) === owner) this._owners.delete(owner.partition)
    owner.lose(detail)
    this._options.onChanged()
  }
}
