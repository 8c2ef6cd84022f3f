/** Appends the records of one partition in order, several calls at a time, until each of them is in the log. */
import type { KeyedRecord, LogFields } from '@trefoilshunt/core'
import type { AppendResult, ILogClient } from '../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import { AdaptiveTimeout } from './adaptiveTimeout.js'

/** All owners write under one producer name, so that a higher epoch refuses every earlier owner. */
export const PRODUCER = 'owner'
/** First time-out of an append; a repeat under the same sequence number is recognised by the log. */
const FIRST_TIMEOUT_MS = 80
const MAX_TIMEOUT_MS = 1_500
const RETRY_MS = 40
const MAX_RETRY_MS = 250
/** Records that nobody waits for go with the next append, at the latest after this. */
const LAZY_MS = 400
/** Bytes around each record of an append. */
const RECORD_FRAME_BYTES = 8

/** Fate of records: in the log, or lost with the partition before they got there. */
export type RecordOutcome = 'recorded' | 'lost'

export interface AppendQueueOptions {
  topic: string
  partition: number
  log: ILogClient
  maxAppendBytes: number
  /** Called once when another owner has taken over. */
  onFenced: () => void
  write: (event: string, fields: LogFields) => void
}

interface Batch {
  records: KeyedRecord[]
  bytes: number
  waiters: Array<(outcome: RecordOutcome) => void>
}

/**
 * Keeps the order of calls, also between records that wait for the next append and those that don't: the log keeps the
 * newest record of a key, so an older state must never follow a newer one.
 *
 * @example
 * queue.start(epoch)
 * if (await queue.append(records) === 'recorded') answer()
 */
export class AppendQueue {
  private _epoch: number | undefined
  private _sequence = 0
  private _batches: Batch[] = []
  private _inFlight: Batch | undefined
  private _sinceMs: number | undefined
  private _lazyRecords: KeyedRecord[] = []
  private _lazyTimer: NodeJS.Timeout | undefined
  private readonly _timeout = new AdaptiveTimeout({ firstMs: FIRST_TIMEOUT_MS, maxMs: MAX_TIMEOUT_MS })
  private _isStopped = false

  constructor (private readonly _options: AppendQueueOptions) {}

  /** Appends that are not in the log yet. */
  get backlog (): number {
    return this._batches.length + (this._inFlight === undefined ? 0 : 1)
  }

  /** How long the oldest append has been under way. */
  get waitingMs (): number {
    return this._sinceMs === undefined ? 0 : steadyNowMs() - this._sinceMs
  }

  /** Begins to append under an epoch that the log has accepted. */
  start (epoch: number): void {
    this._epoch = epoch
    this._pump()
  }

  async append (records: KeyedRecord[]): Promise<RecordOutcome> {
    if (this._isStopped) return 'lost'
    return await new Promise(resolve => {
      this._enqueue([...this._takeLazy(), ...records], resolve)
      this._pump()
    })
  }

  /** Appends with the next call, or after a while. */
  appendLazily (records: readonly KeyedRecord[]): void {
    if (records.length === 0 || this._isStopped) return
    this._lazyRecords.push(...records)
    this._lazyTimer ??= setTimeout(() => this.flushLazy(), LAZY_MS)
  }

  flushLazy (): void {
    const records = this._takeLazy()
    if (records.length === 0 || this._isStopped) return
    this._enqueue(records)
    this._pump()
  }

  /** Ends all appends; returns how many were not in the log. */
  stop (): { unrecordedBatches: number, unrecordedLazily: number } {
    this._isStopped = true
    const batches = [...(this._inFlight === undefined ? [] : [this._inFlight]), ...this._batches]
    const unrecordedLazily = this._takeLazy().length
    this._batches = []
    for (const batch of batches) {
      for (const settle of batch.waiters) settle('lost')
    }
    return { unrecordedBatches: batches.length, unrecordedLazily }
  }

  private _enqueue (records: KeyedRecord[], waiter?: (outcome: RecordOutcome) => void): void {
    const bytes = records.reduce((total, record) => total + record.key.length + (record.value?.length ?? 0) + RECORD_FRAME_BYTES, 0)
    let batch = this._batches.at(-1)
    if (batch === undefined || batch.bytes + bytes > this._options.maxAppendBytes) {
      batch = { records: [], bytes: 0, waiters: [] }
      this._batches.push(batch)
    }
    batch.records.push(...records)
    batch.bytes += bytes
    if (waiter !== undefined) batch.waiters.push(waiter)
  }

  private _takeLazy (): KeyedRecord[] {
    clearTimeout(this._lazyTimer)
    this._lazyTimer = undefined
    return this._lazyRecords.splice(0)
  }

  private _pump (): void {
    if (this._inFlight !== undefined || this._epoch === undefined || this._isStopped) return
    const batch = this._batches.shift()
    if (batch === undefined) return
    this._inFlight = batch
    this._sinceMs = steadyNowMs()
    void this._appendBatch(batch, this._epoch)
  }

  private async _appendBatch (batch: Batch, epoch: number): Promise<void> {
    const isEmpty = batch.records.length === 0
    if (!isEmpty) this._sequence++
    for (let tries = 1; !this._isStopped; tries++) {
      const result = await this._options.log.append({
        topic: this._options.topic,
        partition: this._options.partition,
        records: batch.records,
        producer: { producer: PRODUCER, epoch, sequence: isEmpty ? undefined : this._sequence },
        timeoutMs: this._timeout.ms
      })
      if (this._isStopped) return
      if (result.type === 'appended') {
        this._finish(batch)
        return
      }
      if (result.type === 'fenced') {
        this._options.onFenced()
        return
      }
      this._prepareRepeat(result)
      this._options.write('appendRepeated', { partition: this._options.partition, epoch, sequence: this._sequence, tries, detail: describeAppend(result) })
      if (result.type !== 'outOfSequence') await delay(Math.min(MAX_RETRY_MS, RETRY_MS * tries))
    }
  }

  private _prepareRepeat (result: AppendResult): void {
    if (result.type === 'outOfSequence') this._sequence = result.expected
    else if (result.type === 'unknown') this._timeout.recordTimeout()
  }

  private _finish (batch: Batch): void {
    this._timeout.recordAnswer()
    this._inFlight = undefined
    this._sinceMs = undefined
    for (const settle of batch.waiters) settle('recorded')
    this._pump()
  }
}

/** Why an append did not succeed, for the log. */
export function describeAppend (result: AppendResult): string {
  return 'detail' in result ? result.detail : result.type === 'outOfSequence' ? `expected ${result.expected}` : result.type
}
