/** The partitions that the log's member group gives to this node. */
import type { IRandom, LogFields } from '@trefoilshunt/core'
import type { ILogClient } from '../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import { AdaptiveTimeout } from './adaptiveTimeout.js'
import { EPOCHS_PER_GENERATION, OwnerState, PartitionOwner, TURN_TOPIC } from './partitionOwner.js'

const GROUP = 'turn-owners'
/** Joins within one time to live: three may get lost. */
const JOINS_PER_TTL = 4
/** Pause between joins while the membership changes: partitions move only when their holder joins again. */
const SETTLING_JOIN_MS = 50
/** After a change of the membership it counts as settling for this long. */
const SETTLING_MS = 700
/** Partitions that are read at the same time; the rest may have moved on before their turn comes. */
const PARALLEL_RECOVERIES = 3
/** First time-out of joins and leaves, which may be repeated; the log answers in some milliseconds. */
const FIRST_MEMBER_TIMEOUT_MS = 120
/** A node that leaves tries for this long to tell the log; after that its membership has nearly run out. */
const LEAVE_MS = 800
/** A member that hears no other one for this long while the group has others counts as cut off from them. */
const ISOLATED_MS = 1_500
/** An isolated node tries the group again after this: the other members may be gone. */
const ISOLATED_RETRY_MS = 3_000
/** The last records of a partition that is given up get this long; well below a member's time to live. */
const HANDOVER_MS = 250
const EXPIRE_PERIOD_MS = 5_000

export interface PartitionHostOptions {
  /** The node's name: after a restart it gets its partitions back at once. */
  member: string
  log: ILogClient
  partitionCount: number
  maxRecordBytes: number
  maxAppendBytes: number
  /** Time without a join after which the group gives the partitions to others. */
  memberTtlMs: number
  logSilenceMs: () => number
  /** True while this node hears any other one. */
  hearsPeers: () => boolean
  random: IRandom
  /** The set of served partitions has changed. */
  onChanged: () => void
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const host = new PartitionHost(options)
 * host.start()
 * host.find(3)?.grant(request)
 */
export class PartitionHost {
  private readonly _owners = new Map<number, PartitionOwner>()
  /** Generations in which a partition was lost to another node; only a later one may be tried again. */
  private readonly _fencedGenerations = new Map<number, number>()
  private _generation = 0
  private _changedAtMs = Number.NEGATIVE_INFINITY
  private _recoveries = 0
  private _aloneSinceMs: number | undefined
  private _lastJoinMs = Number.NEGATIVE_INFINITY
  private _lastJoinWallMs = 0
  private _isStopped = false
  private readonly _memberTimeout: AdaptiveTimeout
  private _expireTimer: NodeJS.Timeout | undefined

  constructor (private readonly _options: PartitionHostOptions) {
    this._memberTimeout = new AdaptiveTimeout({ firstMs: FIRST_MEMBER_TIMEOUT_MS, maxMs: _options.memberTtlMs / 2 })
  }

  start (): void {
    void this._keepJoined()
    this._expireTimer = setInterval(() => { for (const owner of this._owners.values()) owner.expire() }, EXPIRE_PERIOD_MS)
  }

  /** The owner object of a partition that this node serves. */
  find (partition: number): PartitionOwner | undefined {
    const owner = this._owners.get(partition)
    return owner?.isServing === true ? owner : undefined
  }

  get served (): PartitionOwner[] {
    return [...this._owners.values()].filter(owner => owner.isServing)
  }

  /** True when the group has other members and none of them was heard for a while. */
  get isIsolated (): boolean {
    return this._aloneSinceMs !== undefined && steadyNowMs() - this._aloneSinceMs > ISOLATED_MS
  }

  /** Gives up partitions that another node serves under a higher epoch: this one may be unable to learn it from the log. */
  noteOwners (owned: ReadonlyArray<readonly [partition: number, epoch: number]>): void {
    for (const [partition, epoch] of owned) {
      const owner = this._owners.get(partition)
      if (owner !== undefined && owner.epoch < epoch) this._lose(owner, 'replaced')
    }
  }

  /** True when the membership can't have lapsed: judged by both clocks, since a suspended machine counts only one. */
  get isMembershipFresh (): boolean {
    const { memberTtlMs } = this._options
    return steadyNowMs() - this._lastJoinMs < memberTtlMs && Math.abs(Date.now() - this._lastJoinWallMs) < memberTtlMs
  }

  /** Time since the log last confirmed the membership. */
  get joinSilenceMs (): number {
    return steadyNowMs() - this._lastJoinMs
  }

  /** Records what is left and hands the partitions to the other members. */
  async stop (flushMs: number): Promise<void> {
    this._isStopped = true
    clearInterval(this._expireTimer)
    await Promise.all([...this._owners.values()].map(async owner => await owner.close(flushMs)))
    await this._leave()
    for (const owner of [...this._owners.values()]) this._lose(owner, 'stopped')
  }

  /** Ends at once, as a crash would. */
  close (): void {
    this._isStopped = true
    clearInterval(this._expireTimer)
    for (const owner of this._owners.values()) owner.lose('closed')
    this._owners.clear()
  }

  private async _keepJoined (): Promise<void> {
    const { member, memberTtlMs, log } = this._options
    while (!this._isStopped) {
      if (this.isIsolated) await this._leaveWhileIsolated()
      if (this._isStopped) return
      const sentMs = steadyNowMs()
      const sentWallMs = Date.now()
      const result = await log.join({ group: GROUP, member, topic: TURN_TOPIC, ttlMs: memberTtlMs, generation: this._generation, timeoutMs: this._memberTimeout.ms })
      if (this._isStopped) return
      if (result.type === 'joined') {
        this._memberTimeout.recordAnswer()
        this._lastJoinMs = sentMs
        this._lastJoinWallMs = sentWallMs
        await this._applyMembership(result.generation, result.partitions)
        if (this._isStopped) return
      } else {
        this._memberTimeout.recordTimeout()
        this._options.write('groupJoinFailed', { detail: result.detail, sinceLastMs: Math.round(sentMs - this._lastJoinMs) })
      }
      const isSettling = result.type === 'joined' && steadyNowMs() - this._changedAtMs < SETTLING_MS
      const periodMs = isSettling ? SETTLING_JOIN_MS : memberTtlMs / JOINS_PER_TTL
      await delay(Math.max(SETTLING_JOIN_MS / 2, periodMs - (steadyNowMs() - sentMs)))
    }
  }

  /** Others could not reach partitions here: they go to members that hear each other. */
  private async _leaveWhileIsolated (): Promise<void> {
    this._options.write('isolated', { partitions: [...this._owners.keys()].join(',') })
    await Promise.all([...this._owners.values()].map(async owner => await owner.close(HANDOVER_MS)))
    for (const owner of [...this._owners.values()]) this._lose(owner, 'isolated')
    await this._leave()
    const retryAtMs = steadyNowMs() + ISOLATED_RETRY_MS
    while (!this._options.hearsPeers() && steadyNowMs() < retryAtMs && !this._isStopped) await delay(SETTLING_JOIN_MS)
    this._aloneSinceMs = undefined
  }

  /** Without it the partitions wait until the membership has run out. */
  private async _leave (): Promise<void> {
    const untilMs = steadyNowMs() + LEAVE_MS
    while (steadyNowMs() < untilMs) {
      if (await this._options.log.leave(GROUP, this._options.member, this._memberTimeout.ms)) return
      this._memberTimeout.recordTimeout()
      await delay(SETTLING_JOIN_MS)
    }
    this._options.write('groupLeaveFailed', { tookMs: LEAVE_MS })
  }

  private async _applyMembership (generation: number, partitions: readonly number[]): Promise<void> {
    const hasChanged = generation !== this._generation
    this._generation = generation
    const isAmongOthers = partitions.length < this._options.partitionCount
    if (!isAmongOthers || this._options.hearsPeers()) this._aloneSinceMs = undefined
    else this._aloneSinceMs ??= steadyNowMs()
    const mine = new Set(partitions.filter(partition => partition < this._options.partitionCount))
    if (hasChanged) this._changedAtMs = steadyNowMs()
    if (hasChanged) this._options.write('partitionsAssigned', { generation, partitions: [...mine].join(',') })
    // The log gives a partition to its next owner only when this node joins with the new generation.
    const leaving = [...this._owners.values()].filter(owner => !mine.has(owner.partition))
    await Promise.all(leaving.map(async owner => await owner.close(HANDOVER_MS)))
    for (const owner of leaving) this._lose(owner, 'reassigned')
    for (const partition of mine) {
      const isFenced = generation <= (this._fencedGenerations.get(partition) ?? 0)
      if (!this._owners.has(partition) && !isFenced) this._take(partition, generation)
    }
  }

  private _take (partition: number, generation: number): void {
    const { log, maxRecordBytes, maxAppendBytes, logSilenceMs, random, onChanged, write } = this._options
    const owner = new PartitionOwner({
      partition,
      generation,
      log,
      maxRecordBytes,
      maxAppendBytes,
      logSilenceMs,
      random,
      write,
      onLost: (lost, detail) => this._lose(lost, detail),
      onServing: onChanged
    })
    this._owners.set(partition, owner)
    this._recoverNext()
  }

  private _recoverNext (): void {
    for (const owner of this._owners.values()) {
      if (this._recoveries >= PARALLEL_RECOVERIES) return
      if (owner.state !== OwnerState.Waiting) continue
      this._recoveries++
      void owner.recover().finally(() => {
        this._recoveries--
        this._recoverNext()
      })
    }
  }

  private _lose (owner: PartitionOwner, detail: string): void {
    if (this._owners.get(owner.partition) === owner) this._owners.delete(owner.partition)
    if (detail === 'fenced') this._fencedGenerations.set(owner.partition, Math.floor(owner.epoch / EPOCHS_PER_GENERATION))
    owner.lose(detail)
    this._options.onChanged()
  }
}
