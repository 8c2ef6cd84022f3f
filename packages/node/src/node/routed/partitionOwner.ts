/** One partition of turns and accounts while this node owns it: its folded state and its only writer. */
import { type CachedPart, type GrantRequest, type IRandom, isAccountKey, type KeptTurn, type KeyedRecord, type LogFields, PartitionState, type TurnEnd } from '@trefoilshunt/core'
import type { AppendResult, ILogClient } from '../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../steadyClock.js'

export const TURN_TOPIC = 'keyed.turns'
/** All owners write under one producer name, so that a higher epoch refuses every earlier owner. */
const PRODUCER = 'owner'
/** First time-out of an append; a repeat under the same sequence number is recognised by the log. */
const FIRST_APPEND_TIMEOUT_MS = 150
const MAX_APPEND_TIMEOUT_MS = 1_500
const APPEND_RETRY_MS = 40
const MAX_APPEND_RETRY_MS = 250
const RECOVER_TIMEOUT_MS = 1_500
const RECOVER_RETRY_MS = 100
/** Records without a waiting reader are appended with the next batch, at the latest after this. */
const LAZY_APPEND_MS = 400
/** A log that answered nothing for this long counts as down: two joins of the member group. */
const LOG_SILENT_MS = 1_000

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
  | { type: 'granted', chain: KeptTurn[], cached: CachedPart[], recorded: Promise<boolean> | undefined }
  | { type: 'spent' }
  | { type: 'noSuchTurn' }
  /** The log takes no records now, or not all turns are read yet. */
  | { type: 'stalled' }

interface Batch {
  records: KeyedRecord[]
  waiters: Array<(outcome: RecordOutcome) => void>
}

/** Fate of records: in the log, or lost with the partition before they got there. */
export type RecordOutcome = 'recorded' | 'lost'

/** An append that waits longer than this means that the log is slow or down. */
const STALLED_MS = 450
/** Epochs that belong to one generation of the member group: restarts of its member take higher ones. */
export const EPOCHS_PER_GENERATION = 2 ** 20

export class PartitionOwner {
  readonly partition: number
  private readonly _state: PartitionState
  private _epoch: number
  private _ownerState: OwnerState = OwnerState.Waiting
  private _sequence = 0
  private _isHistoryComplete = false
  private _isClosing = false
  private _queue: Batch[] = []
  private _lazyRecords: KeyedRecord[] = []
  private _lazyTimer: NodeJS.Timeout | undefined
  private _inFlight: Batch | undefined
  private _waitingSinceMs: number | undefined
  /** Ends of kept turns that are on their way to the log, by request. */
  private readonly _pendingEnds = new Map<string, Promise<RecordOutcome>>()
  /** The newest append of each account that is on its way. */
  private readonly _accountAppends = new Map<string, Promise<boolean>>()
  private _appendTimeoutMs = FIRST_APPEND_TIMEOUT_MS

  constructor (private readonly _options: PartitionOwnerOptions) {
    this.partition = _options.partition
    const firstEpoch = _options.generation * EPOCHS_PER_GENERATION
    this._epoch = firstEpoch + _options.random.nextInt(EPOCHS_PER_GENERATION / 2)
    this._state = new PartitionState({ maxRecordBytes: _options.maxRecordBytes })
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
    return this._queue.length + (this._inFlight === undefined ? 0 : 1)
  }

  /** Fences earlier owners, then reads everything they recorded. */
  async recover (): Promise<void> {
    const startedMs = steadyNowMs()
    this._ownerState = OwnerState.Recovering
    if (!await this._raiseEpoch()) return
    let afterKey: string | undefined
    let count = 0
    for (;;) {
      if (this._isLost()) return
      const page = await this._options.log.readNewest({ topic: TURN_TOPIC, partition: this.partition, afterKey, timeoutMs: RECOVER_TIMEOUT_MS })
      if (page.type === 'failed') {
        await delay(RECOVER_RETRY_MS)
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
    const isWaiting = this._waitingSinceMs !== undefined && steadyNowMs() - this._waitingSinceMs > STALLED_MS
    return isWaiting || this._options.logSilenceMs() > LOG_SILENT_MS
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
    if (records.length > 0) this._trackAccount(request.programId, this.append(records).then(outcome => outcome === 'recorded'))
    return { type: 'granted', chain, cached, recorded: this._accountAppends.get(request.programId) }
  }

  /** Takes the end of a turn in; resolves once it is recorded, when the turn is kept. */
  async end (end: TurnEnd): Promise<RecordOutcome> {
    const pending = this._pendingEnds.get(end.requestId)
    if (pending !== undefined) return await pending
    const records = this._state.end(end, Date.now())
    if (records.length === 0) return 'recorded'
    if (end.turn === undefined) {
      this._appendLazily(records)
      return 'recorded'
    }
    const appended = this.append(records)
    this._trackAccount(end.programId, appended.then(outcome => outcome === 'recorded'))
    this._pendingEnds.set(end.requestId, appended)
    const outcome = await appended
    this._pendingEnds.delete(end.requestId)
    return outcome
  }

  chainOf (turnId: string): KeptTurn[] | undefined {
    return this._state.chainOf(turnId)
  }

  /** Takes turns of other partitions in. */
  importTurns (chain: readonly KeptTurn[]): void {
    this._appendLazily(this._state.importTurns(chain, Date.now()))
  }

  /** True when the log confirms that no other node has taken the partition over. */
  async confirm (): Promise<boolean> {
    return await this.append([]) === 'recorded'
  }

  /** Records in the order of calls; neighbours share an append. */
  async append (records: KeyedRecord[]): Promise<RecordOutcome> {
    if (this._ownerState === OwnerState.Lost) return 'lost'
    return await new Promise(resolve => {
      this._enqueue(records, resolve)
      this._pump()
    })
  }

  /** Removes turns and accounts whose time is over. */
  expire (): void {
    if (this.isServing) this._appendLazily(this._state.expire(Date.now()))
  }

  /** Takes no more turns, makes the records exact for the next owner and waits until they are in the log, for a while. */
  async close (timeoutMs: number): Promise<void> {
    if (this._ownerState !== OwnerState.Serving) return
    this._isClosing = true
    this._appendLazily(this._state.seal(Date.now()))
    this._flushLazy()
    const untilMs = steadyNowMs() + timeoutMs
    while (this.backlog > 0 && this._ownerState === OwnerState.Serving && steadyNowMs() < untilMs) await delay(10)
  }

  /** Gives the partition up; what didn't reach the log is lost. */
  lose (detail: string): void {
    if (this._ownerState === OwnerState.Lost) return
    this._ownerState = OwnerState.Lost
    clearTimeout(this._lazyTimer)
    const batches = [...(this._inFlight === undefined ? [] : [this._inFlight]), ...this._queue]
    this._options.write('partitionLost', { partition: this.partition, epoch: this.epoch, detail, unrecordedBatches: batches.length, unrecordedLazily: this._lazyRecords.length })
    this._queue = []
    this._lazyRecords = []
    for (const batch of batches) {
      for (const settle of batch.waiters) settle('lost')
    }
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
        topic: TURN_TOPIC, partition: this.partition, records: [], producer: { producer: PRODUCER, epoch: this._epoch }, timeoutMs: RECOVER_TIMEOUT_MS
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
      this._options.write('partitionRecoveryDelayed', { partition: this.partition, epoch: this.epoch, detail: describe(result) })
      await delay(RECOVER_RETRY_MS)
    }
  }

  private _trackAccount (programId: string, recorded: Promise<boolean>): void {
    const tracked = recorded.finally(() => {
      if (this._accountAppends.get(programId) === tracked) this._accountAppends.delete(programId)
    })
    this._accountAppends.set(programId, tracked)
  }

  private _enqueue (records: KeyedRecord[], waiter: (outcome: RecordOutcome) => void): void {
    const last = this._queue.at(-1)
    const bytes = sizeOf(records)
    if (last !== undefined && sizeOf(last.records) + bytes <= this._options.maxAppendBytes) {
      last.records.push(...records)
      last.waiters.push(waiter)
      return
    }
    this._queue.push({ records: [...this._takeLazy(), ...records], waiters: [waiter] })
  }

  private _appendLazily (records: KeyedRecord[]): void {
    if (records.length === 0) return
    this._lazyRecords.push(...records)
    this._lazyTimer ??= setTimeout(() => this._flushLazy(), LAZY_APPEND_MS)
  }

  private _flushLazy (): void {
    const records = this._takeLazy()
    if (records.length === 0 || this._isLost()) return
    this._queue.push({ records, waiters: [] })
    this._pump()
  }

  private _takeLazy (): KeyedRecord[] {
    clearTimeout(this._lazyTimer)
    this._lazyTimer = undefined
    const records = this._lazyRecords
    this._lazyRecords = []
    return records
  }

  private _pump (): void {
    if (this._inFlight !== undefined || this._ownerState !== OwnerState.Serving) return
    const batch = this._queue.shift()
    if (batch === undefined) return
    this._inFlight = batch
    this._waitingSinceMs = steadyNowMs()
    void this._appendBatch(batch)
  }

  private async _appendBatch (batch: Batch): Promise<void> {
    const isEmpty = batch.records.length === 0
    if (!isEmpty) this._sequence++
    let tries = 0
    while (!this._isLost()) {
      const result = await this._options.log.append({
        topic: TURN_TOPIC,
        partition: this.partition,
        records: batch.records,
        producer: { producer: PRODUCER, epoch: this.epoch, sequence: isEmpty ? undefined : this._sequence },
        timeoutMs: this._appendTimeoutMs
      })
      tries++
      if (this._isLost()) return
      if (result.type === 'appended') {
        this._appendTimeoutMs = Math.max(FIRST_APPEND_TIMEOUT_MS, this._appendTimeoutMs / 2)
        break
      }
      if (result.type === 'fenced') {
        this._options.onLost(this, 'fenced')
        return
      }
      if (result.type === 'outOfSequence') this._sequence = result.expected
      else if (result.type === 'unknown') this._appendTimeoutMs = Math.min(MAX_APPEND_TIMEOUT_MS, this._appendTimeoutMs * 2)
      this._options.write('appendRepeated', { partition: this.partition, epoch: this.epoch, sequence: this._sequence, tries, detail: describe(result) })
      if (result.type !== 'outOfSequence') await delay(Math.min(MAX_APPEND_RETRY_MS, APPEND_RETRY_MS * tries))
    }
    if (this._isLost()) return
    this._inFlight = undefined
    this._waitingSinceMs = undefined
    for (const settle of batch.waiters) settle('recorded')
    this._pump()
  }
}

function sizeOf (records: readonly KeyedRecord[]): number {
  return records.reduce((total, record) => total + record.key.length + (record.value?.length ?? 0) + 8, 0)
}

function describe (result: AppendResult): string {
  return 'detail' in result ? result.detail : result.type === 'outOfSequence' ? `expected ${result.expected}` : result.type
}
