/** One partition of turns and accounts while this node owns it: its folded state and its only writer. */
import { type CachedPart, type GrantRequest, type IRandom, isAccountKey, type RetainedTurn, type KeyedRecord, type LogFields, PartitionState, type TurnEnd } from '@trefoilshunt/core'
import type { ILogClient } from '../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import { AdaptiveTimeout } from './adaptiveTimeout.js'
import { AppendQueue, describeAppend, PRODUCER, type RecordOutcome } from './appendQueue.js'

export const TURN_TOPIC = 'keyed.turns'
/** First time-out of the calls of a recovery, all of which may be repeated: a loaded log answers a full page within it. */
const FIRST_RECOVER_TIMEOUT_MS = 250
/** Longest time-out of a recovery's calls; a slow log takes 60 times its usual 4 ms, and a page several answers' time. */
const MAX_RECOVER_TIMEOUT_MS = 3_000
const RECOVER_RETRY_MS = 50
/** An append that waits longer than this means that the log is slow or down. */
const STALLED_MS = 450
/** A log that answered nothing for this long counts as down: four joins of the member group. */
const LOG_SILENT_MS = 1_000
/** Pause between looks at what is left to append while the owner closes. */
const CLOSE_POLL_MS = 10
/** Epochs that belong to one generation of the member group: restarts of its member take higher ones. */
export const EPOCHS_PER_GENERATION = 2 ** 20

export const OwnerState = { Waiting: 'waiting', Recovering: 'recovering', Serving: 'serving', Lost: 'lost' } as const
export type OwnerState = typeof OwnerState[keyof typeof OwnerState]

export interface PartitionOwnerOptions {
  partition: number
  /** Generation of the member group that gave the partition to this node. */
  generation: number
  log: ILogClient
  maxRecordBytes: number
  maxAppendBytes: number
  /** Time since the log answered this node. */
  logSilenceMs: () => number
  random: IRandom
  onLost: (owner: PartitionOwner, detail: string) => void
  onServing: (owner: PartitionOwner) => void
  write: (event: string, fields: LogFields) => void
}

export type Grant =
  /** `recorded` resolves to true once the reservation is in the log, false when the partition was lost before. */
  | { type: 'granted', chain: RetainedTurn[], cached: CachedPart[], recorded: Promise<boolean> | undefined }
  | { type: 'spent' }
  | { type: 'noSuchTurn' }
  /** The log takes no records now, or not all turns are read yet. */
  | { type: 'stalled' }

export class PartitionOwner {
  readonly partition: number
  private readonly _state: PartitionState
  private _epoch: number
  private _ownerState: OwnerState = OwnerState.Waiting
  private _isHistoryComplete = false
  private _isClosing = false
  private readonly _recoverTimeout = new AdaptiveTimeout({ firstMs: FIRST_RECOVER_TIMEOUT_MS, maxMs: MAX_RECOVER_TIMEOUT_MS })
  private readonly _queue: AppendQueue
  /** Ends of kept turns that are on their way to the log, by request. */
  private readonly _pendingEnds = new Map<string, Promise<RecordOutcome>>()
  /** The newest append of each account that is on its way. */
  private readonly _accountAppends = new Map<string, Promise<boolean>>()

  constructor (private readonly _options: PartitionOwnerOptions) {
    this.partition = _options.partition
    const firstEpoch = _options.generation * EPOCHS_PER_GENERATION
    this._epoch = firstEpoch + _options.random.nextInt(EPOCHS_PER_GENERATION / 2)
    this._state = new PartitionState({ maxRecordBytes: _options.maxRecordBytes })
    this._queue = new AppendQueue({
      topic: TURN_TOPIC,
      partition: this.partition,
      log: _options.log,
      maxAppendBytes: _options.maxAppendBytes,
      onFenced: () => _options.onLost(this, 'fenced'),
      write: _options.write
    })
  }

  /** Number under which this node appends; the log refuses lower ones. */
  get epoch (): number {
    return this._epoch
  }

  get state (): OwnerState {
    return this._ownerState
  }

  get isServing (): boolean {
    return this._ownerState === OwnerState.Serving && !this._isClosing
  }

  /** True once every turn of the partition is read. */
  get isHistoryComplete (): boolean {
    return this._isHistoryComplete
  }

  get turnCount (): number {
    return this._state.turnCount
  }

  get turnBytes (): number {
    return this._state.turnBytes
  }

  get programCount (): number {
    return this._state.programCount
  }

  get backlog (): number {
    return this._queue.backlog
  }

  /** Fences earlier owners, then reads everything they recorded. */
  async recover (): Promise<void> {
    const startedMs = steadyNowMs()
    this._ownerState = OwnerState.Recovering
    if (!await this._raiseEpoch()) return
    this._queue.start(this._epoch)
    let afterKey: string | undefined
    let count = 0
    for (;;) {
      if (this._isLost()) return
      const page = await this._options.log.readNewest({ topic: TURN_TOPIC, partition: this.partition, afterKey, timeoutMs: this._recoverTimeout.ms })
      if (page.type === 'failed') {
        await this._delayRecovery(page.detail)
        continue
      }
      if (this._isLost()) return
      for (const record of page.records) this._foldRecovered(record, startedMs)
      count += page.records.length
      afterKey = page.records.at(-1)?.key
      if (!page.hasMore || afterKey === undefined) break
    }
    this._serveAccounts(startedMs)
    this._isHistoryComplete = true
    this._options.write('partitionComplete', { partition: this.partition, epoch: this.epoch, records: count, turns: this.turnCount, turnBytes: this.turnBytes, programs: this.programCount, tookMs: Math.round(steadyNowMs() - startedMs) })
  }

  private _foldRecovered ({ key, value }: KeyedRecord, startedMs: number): void {
    if (value === undefined) return
    if (!isAccountKey(key)) this._serveAccounts(startedMs)
    else if (this.isServing) {
      this._options.write('accountOutOfOrder', { partition: this.partition, recordKey: key })
      return
    }
    if (!this._state.fold(value, Date.now())) this._options.write('recordDamaged', { partition: this.partition, recordKey: key })
  }

  /** All accounts are known: turns can be granted, except those that continue one that isn't read yet. */
  private _serveAccounts (startedMs: number): void {
    if (this._ownerState !== OwnerState.Recovering) return
    this._ownerState = OwnerState.Serving
    this._options.write('partitionServing', { partition: this.partition, epoch: this.epoch, programs: this.programCount, tookMs: Math.round(steadyNowMs() - startedMs) })
    this._options.onServing(this)
  }

  /** True while the log is slow or down, as far as appends tell. */
  get isStalled (): boolean {
    return this._queue.waitingMs > STALLED_MS || this._options.logSilenceMs() > LOG_SILENT_MS
  }

  /** Tokens that a program has used and reserved. */
  committedOf (programId: string): number {
    return this._state.committedOf(programId)
  }

  /** Decides on a turn; its reservation is on its way to the log when this returns. */
  grant (request: GrantRequest, isKept: boolean): Grant {
    if (this.isStalled && (isKept || !this._state.isCovered(request))) return { type: 'stalled' }
    const decision = this._state.grant(request, Date.now())
    if (decision.type === 'noSuchTurn' && !this._isHistoryComplete) return { type: 'stalled' }
    if (decision.type !== 'granted') return decision
    const { chain, records, cached } = decision
    if (records.length > 0) this._trackAccount(request.programId, this._queue.append(records).then(outcome => outcome === 'recorded'))
    return { type: 'granted', chain, cached, recorded: this._accountAppends.get(request.programId) }
  }

  /** Takes the end of a turn in; resolves once it is recorded, when the turn is kept. */
  async end (end: TurnEnd): Promise<RecordOutcome> {
    const pending = this._pendingEnds.get(end.requestId)
    if (pending !== undefined) return await pending
    const records = this._state.end(end, Date.now())
    if (records.length === 0) return 'recorded'
    if (end.turn === undefined) {
      this._queue.appendLazily(records)
      return 'recorded'
    }
    const appended = this._queue.append(records)
    this._trackAccount(end.programId, appended.then(outcome => outcome === 'recorded'))
    this._pendingEnds.set(end.requestId, appended)
    const outcome = await appended
    this._pendingEnds.delete(end.requestId)
    return outcome
  }

  chainOf (turnId: string): RetainedTurn[] | undefined {
    return this._state.chainOf(turnId)
  }

  /** Takes turns of other partitions in. */
  importTurns (chain: readonly RetainedTurn[]): void {
    this._queue.appendLazily(this._state.importTurns(chain, Date.now()))
  }

  /** True when the log confirms that no other node has taken the partition over. */
  async confirm (): Promise<boolean> {
    return await this._queue.append([]) === 'recorded'
  }

  /** Removes turns and accounts whose time is over. */
  expire (): void {
    if (this.isServing) this._queue.appendLazily(this._state.expire(Date.now()))
  }

  /** Takes no more turns, makes the records exact for the next owner and waits until they are in the log, for a while. */
  async close (timeoutMs: number): Promise<void> {
    if (this._ownerState !== OwnerState.Serving) return
    this._isClosing = true
    this._queue.appendLazily(this._state.seal(Date.now()))
    this._queue.flushLazy()
    const untilMs = steadyNowMs() + timeoutMs
    while (this.backlog > 0 && this._ownerState === OwnerState.Serving && steadyNowMs() < untilMs) await delay(CLOSE_POLL_MS)
  }

  /** Gives the partition up; what didn't reach the log is lost. */
  lose (detail: string): void {
    if (this._ownerState === OwnerState.Lost) return
    this._ownerState = OwnerState.Lost
    this._options.write('partitionLost', { partition: this.partition, epoch: this.epoch, detail, ...this._queue.stop() })
  }

  private _isLost (): boolean {
    return this._ownerState === OwnerState.Lost
  }

  /** Sets an epoch above every one that was used before. Those of this generation belong to earlier starts of this node. */
  private async _raiseEpoch (): Promise<boolean> {
    const endEpoch = (this._options.generation + 1) * EPOCHS_PER_GENERATION
    for (;;) {
      if (this._isLost()) return false
      const result = await this._options.log.append({
        topic: TURN_TOPIC, partition: this.partition, records: [], producer: { producer: PRODUCER, epoch: this._epoch }, timeoutMs: this._recoverTimeout.ms
      })
      if (result.type === 'appended') return true
      if (result.type === 'fenced') {
        const room = endEpoch - this._epoch - 1
        if (room <= 1) {
          this._options.onLost(this, 'fenced')
          return false
        }
        this._epoch += 1 + this._options.random.nextInt(Math.ceil(room / 2))
        continue
      }
      await this._delayRecovery(describeAppend(result))
    }
  }

  /** Waits a moment; the next call gets more time, since the log may be slow. */
  private async _delayRecovery (detail: string): Promise<void> {
    this._options.write('partitionRecoveryDelayed', { partition: this.partition, epoch: this.epoch, timeoutMs: this._recoverTimeout.ms, detail })
    this._recoverTimeout.recordTimeout()
    await delay(RECOVER_RETRY_MS)
  }

  private _trackAccount (programId: string, recorded: Promise<boolean>): void {
    const tracked = recorded.finally(() => {
      if (this._accountAppends.get(programId) === tracked) this._accountAppends.delete(programId)
    })
    this._accountAppends.set(programId, tracked)
  }
}
