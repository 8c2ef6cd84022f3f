/** One partition of turns and token accounts while this node owns it: recovers its state from the log and is its only writer. */
import { type CachedPart, EPOCHS_PER_GENERATION, type GrantRequest, type IRandom, isAccountKey, type RetainedTurn, type KeyedRecord, type LogFields, nextEpoch, PartitionLoss, PartitionState, type TurnEnd } from '@trefoilshunt/core'
import type { ILogClient } from '../../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../../steadyClock.js'
import { AppendQueue, describeFailedAppend, PRODUCER, type RecordOutcome } from './appendQueue.js'
import type { LogResponseTime } from '../logResponseTime.js'
import { groupRecords } from '../recordParts.js'

/** Topic of the records of turns and accounts. */
export const TURN_TOPIC = 'keyed.turns'
/**
 * Time-outs of a recovery's calls, all of which may be repeated. A loaded log returns a full page within the shortest one. A slow log takes 60 times its usual
 * 4 ms, and a page takes as long as several answers.
 */
const RECOVER_TIMEOUT = { minMs: 250, maxMs: 3_000 }
const RECOVER_RETRY_MS = 50
/** The log counts as stalled when an append takes longer than this. */
const STALLED_AFTER_MS = 450
/** The log counts as down when it answered nothing for this long, the time of four joins of the member group. */
const LOG_DOWN_AFTER_MS = 1_000
/** Larger turns are appended in calls of this size, between which the records of other programs are appended. */
const MAX_TURN_CALL_BYTES = 512 * 1024
/** Covers the time from the record of a turn until its answer has ended at the caller, and the way of the turn that continues it. */
const RETENTION_MARGIN_MS = 5_000
/** Period at which a closing owner checks whether records are still to be appended. */
const CLOSE_POLL_MS = 10

/**
 * `Waiting`: not recovering yet. `Recovering`: fencing earlier owners and reading accounts. `Serving`: grants turns.
 * `Lost`: given up for good.
 */
export const OwnerState = { Waiting: 'waiting', Recovering: 'recovering', Serving: 'serving', Lost: 'lost' } as const
export type OwnerState = typeof OwnerState[keyof typeof OwnerState]

export interface PartitionOwnerOptions {
  partition: number
  /** Generation of the member group that assigned the partition to this node. */
  generation: number
  /** The epoch under which this process owned the partition before and lost it; undefined for the first time. */
  outdatedEpoch?: number
  /** True if no earlier process of this node can have called the log in the generation. */
  isNewGeneration?: boolean
  log: ILogClient
  /** Shared by all partitions of the node. */
  responseTime: LogResponseTime
  maxRecordBytes: number
  /** Largest call of the log. */
  maxAppendBytes: number
  /** Milliseconds since the log last answered this node. */
  sinceLogResponseMs: () => number
  random: IRandom
  /** Called when there is another owner; the receiver calls `lose`. */
  onLost: (owner: PartitionOwner, loss: PartitionLoss) => void
  /** Called once, when turns can be granted. */
  onServing: (owner: PartitionOwner) => void
  /** Writes a log line. */
  write: (event: string, fields: LogFields) => void
}

/** Decision on a turn. */
export type Grant =
  /**
   * `recorded` resolves to true once the newest record of the account and the imported turns of the chain are in the log, false when
   * the partition was lost before. Undefined when no such record is on its way, so that nothing has to be waited for.
   */
  | { type: 'granted', chain: RetainedTurn[], cached: CachedPart[], recorded: Promise<boolean> | undefined }
  /** The budget doesn't hold the turn. */
  | { type: 'spent' }
  /** The previous turn doesn't exist in this partition. */
  | { type: 'noSuchTurn' }
  /** Undecided: the log takes no records now, too many turns of the program are open, or the previous turn may not be read yet. */
  | { type: 'stalled' }

/**
 * Decides on the turns of one partition. Nothing is granted before earlier owners are fenced and all accounts are read.
 *
 * @example
 * await owner.recover()
 * const grant = owner.grant(request, true)
 */
export class PartitionOwner {
  readonly partition: number
  private readonly _partitionState: PartitionState
  private _epoch: number
  private _ownerState: OwnerState = OwnerState.Waiting
  private _isHistoryComplete = false
  private _isClosing = false
  /** Calls of the recovery that failed, one after the other. */
  private _failedRecoveryCalls = 0
  private readonly _queue: AppendQueue
  /** Ends of retained turns that are not in the log yet, by request id. */
  private readonly _pendingEnds = new Map<string, Promise<RecordOutcome>>()
  /** The newest pending append of each account, by program id. */
  private readonly _accountAppends = new Map<string, Promise<boolean>>()
  /** Appends of imported turns that are not in the log yet, by turn id. */
  private readonly _pendingImports = new Map<string, Promise<boolean>>()

  constructor (private readonly _options: PartitionOwnerOptions) {
    this.partition = _options.partition
    this._epoch = Math.max(_options.generation * EPOCHS_PER_GENERATION, _options.outdatedEpoch ?? 0)
    this._partitionState = new PartitionState({ maxRecordBytes: _options.maxRecordBytes, retentionMarginMs: RETENTION_MARGIN_MS })
    this._queue = new AppendQueue({
      topic: TURN_TOPIC,
      partition: this.partition,
      log: _options.log,
      responseTime: _options.responseTime,
      maxAppendBytes: _options.maxAppendBytes,
      random: _options.random,
      onLost: loss => _options.onLost(this, loss),
      write: _options.write
    })
  }

  /** Epoch under which this node appends, or to which it raises that of the partition next; the log refuses appends of lower epochs. */
  get epoch (): number {
    return this._epoch
  }

  get state (): OwnerState {
    return this._ownerState
  }

  /** True while turns can be granted: all accounts are read, and the partition is neither closing nor lost. */
  get isServing (): boolean {
    return this._ownerState === OwnerState.Serving && !this._isClosing
  }

  /** True once every turn of the partition is read. */
  get isHistoryComplete (): boolean {
    return this._isHistoryComplete
  }

  /** Number of turns held in memory. */
  get turnCount (): number {
    return this._partitionState.turnCount
  }

  /** Size of the turns held in memory. */
  get turnBytes (): number {
    return this._partitionState.turnBytes
  }

  /** Number of programs with a token account. */
  get programCount (): number {
    return this._partitionState.programCount
  }

  /** Batches of records that are queued or in flight. */
  get backlog (): number {
    return this._queue.backlog
  }

  /**
   * Fences earlier owners, then reads everything they recorded. Resolves when the history is complete or the partition is lost;
   * the owner serves from the moment at which all accounts are read, which is earlier.
   */
  async recover (): Promise<void> {
    const startedMs = steadyNowMs()
    this._ownerState = OwnerState.Recovering
    if (!await this._raiseEpoch()) return
    this._queue.start(this._epoch)
    let afterKey: string | undefined
    let recordCount = 0
    for (;;) {
      if (this._isLost()) return
      const page = await this._options.log.readNewest({ topic: TURN_TOPIC, partition: this.partition, afterKey, timeoutMs: this._recoverTimeoutMs })
      if (page.type === 'failed') {
        await this._delayRecovery(page.detail)
        continue
      }
      this._failedRecoveryCalls = 0
      if (this._isLost()) return
      for (const record of page.records) this._applyRecoveredRecord(record, startedMs)
      recordCount += page.records.length
      afterKey = page.records.at(-1)?.key
      if (!page.hasMore || afterKey === undefined) break
    }
    this._startServing(startedMs)
    this._isHistoryComplete = true
    this._options.write('partitionComplete', { partition: this.partition, epoch: this.epoch, records: recordCount, turns: this.turnCount, turnBytes: this.turnBytes, programs: this.programCount, tookMs: Math.round(steadyNowMs() - startedMs) })
  }

  /** Applies one record of the log, which returns them in the order of their keys: all accounts before all turns. */
  private _applyRecoveredRecord ({ key, value }: KeyedRecord, startedMs: number): void {
    if (value === undefined) return
    if (!isAccountKey(key)) this._startServing(startedMs)
    else if (this.isServing) {
      this._options.write('accountOutOfOrder', { partition: this.partition, recordKey: key })
      return
    }
    if (!this._partitionState.applyRecord(value, steadyNowMs())) this._options.write('recordDamaged', { partition: this.partition, recordKey: key })
  }

  /** Starts to grant turns, once all accounts are read. Turns that continue an unread one stay undecided until the history is complete. */
  private _startServing (startedMs: number): void {
    if (this._ownerState !== OwnerState.Recovering) return
    this._ownerState = OwnerState.Serving
    this._options.write('partitionServing', { partition: this.partition, epoch: this.epoch, programs: this.programCount, tookMs: Math.round(steadyNowMs() - startedMs) })
    this._options.onServing(this)
  }

  /** True while the log is slow or down, judged by the append in flight and by the time since the log last answered. */
  get isStalled (): boolean {
    return this._queue.waitingMs > STALLED_AFTER_MS || this._options.sinceLogResponseMs() > LOG_DOWN_AFTER_MS
  }

  /** Number of tokens that a program has used and reserved; 0 for an unknown program. */
  committedTokensOf (programId: string): number {
    return this._partitionState.committedTokensOf(programId)
  }

  /** Decides on a turn, which is recorded at its end if `isRetained`. When this returns, its reservation is queued for the log. */
  grant (request: GrantRequest, isRetained: boolean): Grant {
    if (this.isStalled && (isRetained || !this._partitionState.isCovered(request))) return { type: 'stalled' }
    const decision = this._partitionState.grant(request, steadyNowMs())
    if (decision.type === 'tooManyTurns' || (decision.type === 'noSuchTurn' && !this._isHistoryComplete)) return { type: 'stalled' }
    if (decision.type !== 'granted') return decision
    const { chain, records, cached } = decision
    if (records.length > 0) this._trackAccountAppend(request.programId, this._queue.append(records))
    return { type: 'granted', chain, cached, recorded: this._pendingAppendOf(request.programId, chain) }
  }

  /**
   * Applies the end of a turn. For a retained turn it resolves once the turn is in the log, also for a repeated report; the turn's
   * answer ends afterwards, so that its retention begins then. Without a turn to retain, or when nothing is left to record, it resolves to 'recorded' at once.
   */
  async end (end: TurnEnd): Promise<RecordOutcome> {
    const outcome = await this._recordEnd(end)
    if (outcome === 'recorded' && end.turn !== undefined) this._partitionState.restartRetention(end.turn, steadyNowMs())
    return outcome
  }

  private async _recordEnd (end: TurnEnd): Promise<RecordOutcome> {
    const pending = this._pendingEnds.get(end.requestId)
    if (pending !== undefined) return await pending
    const isKnown = this._partitionState.holds(end.requestId)
    const records = this._partitionState.recordEnd(end, steadyNowMs())
    if (records.length === 0) return 'recorded'
    if (end.turn === undefined) {
      this._queue.appendLazily(records)
      return 'recorded'
    }
    const appended = this._appendTurns(records, end.programId)
    this._trackAccountAppend(end.programId, appended)
    this._pendingEnds.set(end.requestId, appended)
    const outcome = await appended
    this._pendingEnds.delete(end.requestId)
    if (outcome === 'rejected' && !isKnown) this._queue.appendLazily(this._partitionState.forgetTurns([end.turn]))
    return outcome
  }

  /**
   * Appends the records of turns, and of the account of `programId` if one of them is. Large turns take several calls; a turn counts once its
   * last part is recorded.
   */
  private async _appendTurns (records: KeyedRecord[], programId?: string): Promise<RecordOutcome> {
    const calls = groupRecords(records, { maxBytes: Math.min(MAX_TURN_CALL_BYTES, this._options.maxAppendBytes) })
    const last = calls.pop() ?? []
    if (calls.length === 0) return await this._queue.append(last)
    for (const call of calls) {
      const outcome = await this._queue.append(call.filter(({ key }) => !isAccountKey(key)))
      if (outcome !== 'recorded') return outcome
    }
    // The account may have changed since, and an older state must not follow a newer one.
    const accountRecords = programId !== undefined && records.some(({ key }) => isAccountKey(key)) ? this._partitionState.accountRecords(programId, steadyNowMs()) : []
    return await this._queue.append([...last.filter(({ key }) => !isAccountKey(key)), ...accountRecords])
  }

  /** The turn and all turns before it, in order; undefined when the turn is unknown here. */
  chainOf (turnId: string): RetainedTurn[] | undefined {
    return this._partitionState.chainOf(turnId)
  }

  /** Adds turns of other partitions that a turn of this one continues. That turn's answer is held back until they are in the log. */
  importTurns (chain: readonly RetainedTurn[]): void {
    const imported = chain.filter(({ turnId }) => !this._partitionState.holds(turnId))
    const records = this._partitionState.importTurns(imported, steadyNowMs())
    if (records.length === 0) return
    const recorded = this._appendTurns(records).then(outcome => {
      if (outcome === 'rejected') this._queue.appendLazily(this._partitionState.forgetTurns(imported))
      return outcome === 'recorded'
    })
    for (const { turnId } of imported) this._pendingImports.set(turnId, recorded)
    void recorded.then(() => {
      for (const { turnId } of imported) {
        if (this._pendingImports.get(turnId) === recorded) this._pendingImports.delete(turnId)
      }
    })
  }

  /** True when the log confirms that no other owner has taken over the partition; false when this owner is fenced or lost. */
  async confirm (): Promise<boolean> {
    return await this._queue.append([]) === 'recorded'
  }

  /** Removes expired turns and accounts from memory and from the log. */
  expire (): void {
    if (this.isServing) this._queue.appendLazily(this._partitionState.expire(steadyNowMs()))
  }

  /**
   * Stops granting turns, records the exact state of the accounts for the next owner and waits up to `timeoutMs` until all
   * records are in the log. Does nothing unless the owner serves.
   */
  async close (timeoutMs: number): Promise<void> {
    if (this._ownerState !== OwnerState.Serving) return
    this._isClosing = true
    this._queue.appendLazily(this._partitionState.sealAccounts(steadyNowMs()))
    this._queue.flushLazy()
    const untilMs = steadyNowMs() + timeoutMs
    while (this.backlog > 0 && this._ownerState === OwnerState.Serving && steadyNowMs() < untilMs) await delay(CLOSE_POLL_MS)
  }

  /** Gives up the partition. Records that the log has not confirmed are no longer repeated, and their callers get 'lost'. */
  lose (detail: string): void {
    if (this._ownerState === OwnerState.Lost) return
    this._ownerState = OwnerState.Lost
    this._options.write('partitionLost', { partition: this.partition, epoch: this.epoch, detail, ...this._queue.stop() })
  }

  private _isLost (): boolean {
    return this._ownerState === OwnerState.Lost
  }

  /**
   * Raises the epoch above all that owners append under; false when the partition is lost meanwhile. The log accepts an epoch that it has
   * already, too. So the epoch is raised twice: only the second time it is certainly higher than before.
   */
  private async _raiseEpoch (): Promise<boolean> {
    const { generation, outdatedEpoch, isNewGeneration = false } = this._options
    for (let epoch = nextEpoch(generation, outdatedEpoch); epoch !== undefined; epoch = nextEpoch(generation, epoch)) {
      const isAccepted = (isNewGeneration || await this._raiseEpochTo(epoch)) && await this._raiseEpochTo(epoch + 1)
      if (isAccepted) return true
      if (this._isLost()) return false
    }
    this._options.onLost(this, PartitionLoss.EpochsExhausted)
    return false
  }

  /** Repeats the call until the log has decided; false when it has accepted a higher epoch, or the partition is lost meanwhile. */
  private async _raiseEpochTo (epoch: number): Promise<boolean> {
    const { log, responseTime } = this._options
    this._epoch = epoch
    while (!this._isLost()) {
      const sentMs = steadyNowMs()
      const result = await log.append({ topic: TURN_TOPIC, partition: this.partition, records: [], producer: { producer: PRODUCER, epoch }, timeoutMs: this._recoverTimeoutMs })
      if (result.type === 'appended') {
        responseTime.recordAnswer(steadyNowMs() - sentMs)
        return true
      }
      if (result.type === 'fenced') return false
      await this._delayRecovery(describeFailedAppend(result))
    }
    return false
  }

  private get _recoverTimeoutMs (): number {
    return this._options.responseTime.timeoutMs(RECOVER_TIMEOUT, this._failedRecoveryCalls)
  }

  /** Waits before the next attempt and doubles its time-out, because the log may be slow. */
  private async _delayRecovery (detail: string): Promise<void> {
    this._options.write('partitionRecoveryDelayed', { partition: this.partition, epoch: this.epoch, timeoutMs: Math.round(this._recoverTimeoutMs), detail })
    this._failedRecoveryCalls++
    await delay(RECOVER_RETRY_MS)
  }

  /** Resolves to true once the account and the chain of a turn are in the log; undefined when they are. */
  private _pendingAppendOf (programId: string, chain: readonly RetainedTurn[]): Promise<boolean> | undefined {
    const imports = new Set(chain.flatMap(({ turnId }) => this._pendingImports.get(turnId) ?? []))
    const account = this._accountAppends.get(programId)
    if (imports.size === 0) return account
    return Promise.all([...imports, ...(account === undefined ? [] : [account])]).then(results => results.every(Boolean))
  }

  private _trackAccountAppend (programId: string, appended: Promise<RecordOutcome>): void {
    const tracked = appended.then(outcome => {
      if (outcome === 'rejected') this._partitionState.withdrawAccountRecord(programId)
      if (this._accountAppends.get(programId) === tracked) this._accountAppends.delete(programId)
      return outcome === 'recorded'
    })
    this._accountAppends.set(programId, tracked)
  }
}
