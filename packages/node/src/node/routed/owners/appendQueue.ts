/** Appends the records of one partition in order and repeats each append until it is in the log. */
import { type IRandom, type KeyedRecord, type LogFields, PartitionLoss } from '@trefoilshunt/core'
import type { AppendResult, ILogClient } from '../../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../../steadyClock.js'
import type { LogResponseTime } from '../logResponseTime.js'
import { groupRecords, sizeOfRecords } from '../recordParts.js'

/** All owners append under one producer name, so that the log refuses earlier owners once it has a higher epoch. */
export const PRODUCER = 'owner'
/** Time-outs of an append. The log recognises a repeat by its sequence number. */
const APPEND_TIMEOUT = { minMs: 80, maxMs: 1_500 }
const RETRY_MS = 40
const MAX_RETRY_MS = 250
/** Longest delay of records that nobody waits for; an earlier append takes them along. */
const LAZY_FLUSH_MS = 400
/** The first append has a random number below this, so that one of another process under the same epoch is neither taken for its repeat nor accepted after it. */
const MAX_FIRST_SEQUENCE = 2 ** 30

/** Outcome of an append: in the log, given up with the partition before that was known, or never accepted by the log. */
export type RecordOutcome = 'recorded' | 'lost' | 'rejected'

export interface AppendQueueOptions {
  topic: string
  partition: number
  log: ILogClient
  /** Largest call. Waiting appends are merged up to this size, and larger ones take several calls. */
  maxAppendBytes: number
  /** Shared by all partitions of the node. */
  responseTime: LogResponseTime
  random: IRandom
  /** Called once, when the log refuses an append because of another owner. The caller then calls `stop`. */
  onLost: (loss: PartitionLoss) => void
  /** Writes a log line. */
  write: (event: string, fields: LogFields) => void
}

/** The records of one append, or those of them that one call takes. */
interface Part {
  records: KeyedRecord[]
  bytes: number
  append: { isRejected: boolean, notifyWaiter: (outcome: RecordOutcome) => void }
  /** True if the append is in the log when this part is. */
  isLast: boolean
}

/** What one call appends. */
interface Batch {
  parts: Part[]
  bytes: number
}

/**
 * Sends one append at a time and merges the ones that wait for it. Records reach the log in the order of the calls, lazy ones
 * included: the log keeps the last record of each key, so an older state must never follow a newer one. An append that the log
 * never accepts is dropped, so that the ones behind it don't wait for it.
 *
 * @example
 * queue.start(epoch)
 * if (await queue.append(records) === 'recorded') answer()
 */
export class AppendQueue {
  private _epoch: number | undefined
  /** Number of the latest append. */
  private _sequence: number
  private _batches: Batch[] = []
  private _inFlight: Batch | undefined
  private _inFlightSinceMs: number | undefined
  private _lazyRecords: KeyedRecord[] = []
  private _lazyTimer: NodeJS.Timeout | undefined
  private _isStopped = false

  constructor (private readonly _options: AppendQueueOptions) {
    this._sequence = _options.random.nextInt(MAX_FIRST_SEQUENCE)
  }

  /** Batches that are queued or in flight, without the lazy records that are not flushed yet. */
  get backlog (): number {
    return this._batches.length + (this._inFlight === undefined ? 0 : 1)
  }

  /** Milliseconds since the batch in flight was first sent; 0 when there is none. */
  get waitingMs (): number {
    return this._inFlightSinceMs === undefined ? 0 : steadyNowMs() - this._inFlightSinceMs
  }

  /** Starts to send under an epoch that the log has accepted. Earlier appends wait for this. */
  start (epoch: number): void {
    this._epoch = epoch
    this._sendNext()
  }

  /** Appends records after all earlier ones. Without records it checks that the log still accepts the epoch. */
  async append (records: KeyedRecord[]): Promise<RecordOutcome> {
    if (this._isStopped) return 'lost'
    return await new Promise(resolve => {
      this._enqueueLazy()
      this._enqueue(records, resolve)
      this._sendNext()
    })
  }

  /** Appends records with the next append, or after `LAZY_FLUSH_MS`. Nobody learns whether they reach the log. */
  appendLazily (records: readonly KeyedRecord[]): void {
    if (records.length === 0 || this._isStopped) return
    this._lazyRecords.push(...records)
    this._lazyTimer ??= setTimeout(() => this.flushLazy(), LAZY_FLUSH_MS)
  }

  /** Queues the lazy records at once. */
  flushLazy (): void {
    if (this._isStopped) return
    this._enqueueLazy()
    this._sendNext()
  }

  /** Stops sending; all waiters get 'lost'. Returns the batches without a confirmation of the log, and the lazy records not queued. */
  stop (): { unrecordedBatches: number, unrecordedLazily: number } {
    this._isStopped = true
    const batches = [...(this._inFlight === undefined ? [] : [this._inFlight]), ...this._batches]
    const unrecordedLazily = this._dequeueLazy().length
    this._batches = []
    for (const { append } of batches.flatMap(({ parts }) => parts)) append.notifyWaiter('lost')
    return { unrecordedBatches: batches.length, unrecordedLazily }
  }

  private _enqueueLazy (): void {
    const records = this._dequeueLazy()
    if (records.length > 0) this._enqueue(records, () => {})
  }

  private _enqueue (records: readonly KeyedRecord[], notifyWaiter: (outcome: RecordOutcome) => void): void {
    const { maxAppendBytes } = this._options
    const append = { isRejected: false, notifyWaiter }
    const groups = records.length === 0 ? [[]] : groupRecords(records, { maxBytes: maxAppendBytes })
    for (const [index, group] of groups.entries()) {
      const part: Part = { records: group, bytes: sizeOfRecords(group), append, isLast: index === groups.length - 1 }
      const batch = this._batches.at(-1)
      if (batch === undefined || batch.bytes + part.bytes > maxAppendBytes) {
        this._batches.push({ parts: [part], bytes: part.bytes })
      } else {
        batch.parts.push(part)
        batch.bytes += part.bytes
      }
    }
  }

  private _dequeueLazy (): KeyedRecord[] {
    clearTimeout(this._lazyTimer)
    this._lazyTimer = undefined
    return this._lazyRecords.splice(0)
  }

  private _sendNext (): void {
    if (this._inFlight !== undefined || this._epoch === undefined || this._isStopped) return
    const batch = this._batches.shift()
    if (batch === undefined) return
    batch.parts = batch.parts.filter(({ append }) => !append.isRejected)
    if (batch.parts.length === 0) {
      this._sendNext()
      return
    }
    this._inFlight = batch
    this._inFlightSinceMs = steadyNowMs()
    void this._appendBatch(batch, this._epoch)
  }

  private async _appendBatch (batch: Batch, epoch: number): Promise<void> {
    const records = batch.parts.flatMap(part => part.records)
    const isEmpty = records.length === 0
    if (!isEmpty) this._sequence++
    let unansweredCount = 0
    for (let tries = 1; !this._isStopped; tries++) {
      const sentMs = steadyNowMs()
      const result = await this._options.log.append({
        topic: this._options.topic,
        partition: this._options.partition,
        records,
        producer: { producer: PRODUCER, epoch, sequence: isEmpty ? undefined : this._sequence },
        timeoutMs: this._options.responseTime.timeoutMs(APPEND_TIMEOUT, unansweredCount)
      })
      if (this._isStopped) return
      if (result.type === 'unknown') unansweredCount++
      if (result.type === 'appended') {
        this._options.responseTime.recordAnswer(steadyNowMs() - sentMs)
        this._completeBatch(batch)
        return
      }
      if (result.type === 'fenced' || result.type === 'outOfSequence') {
        // Only another owner under the same epoch moves the sequence. What it has recorded must be read before anything else is.
        this._options.onLost(result.type === 'fenced' ? PartitionLoss.Fenced : PartitionLoss.OutOfSequence)
        return
      }
      if (result.type === 'rejected') {
        if (!isEmpty) this._sequence--
        this._rejectBatch(batch, result.detail)
        return
      }
      this._options.write('appendRepeated', { partition: this._options.partition, epoch, sequence: this._sequence, tries, detail: describeFailedAppend(result) })
      await delay(Math.min(MAX_RETRY_MS, RETRY_MS * tries))
    }
  }

  private _completeBatch (batch: Batch): void {
    this._inFlight = undefined
    this._inFlightSinceMs = undefined
    for (const { append, isLast } of batch.parts) {
      if (isLast) append.notifyWaiter('recorded')
    }
    this._sendNext()
  }

  /** Sends the appends of a merged batch one by one, and drops a single one. */
  private _rejectBatch (batch: Batch, detail: string): void {
    this._inFlight = undefined
    this._inFlightSinceMs = undefined
    if (batch.parts.length > 1) {
      this._batches.unshift(...batch.parts.map(part => ({ parts: [part], bytes: part.bytes })))
    } else {
      const [{ append, records, bytes }] = batch.parts
      append.isRejected = true
      this._options.write('appendRejected', { partition: this._options.partition, records: records.length, bytes, recordKey: records.at(0)?.key, detail })
      append.notifyWaiter('rejected')
    }
    this._sendNext()
  }
}

/** The reason why an append failed, for log lines. */
export function describeFailedAppend (result: AppendResult): string {
  return 'detail' in result ? result.detail : result.type
}
