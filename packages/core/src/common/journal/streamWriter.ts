/** Group commit to one log stream; reads the stream back when the outcome of an append is ambiguous. */
import type { IClock } from '../kernel/clock.js'
import { Emitter } from '../kernel/emitter.js'
import type { AppendOutcome, LogRecord, ReadOutcome, StoredRecord } from '../kernel/logRecords.js'
import { Disposable, type IDisposable } from '../kernel/lifecycle.js'
import type { ILogService } from '../kernel/logPort.js'
import type { ITimers } from '../kernel/timers.js'
import { TokenBucket } from '../base/tokenBucket.js'

const READ_PAGE_RECORDS = 500
/** Append requests that may be sent at once after a pause. */
const APPEND_BURST = 2
const MAX_RETRY_MS = 2_000

export interface StreamWriterOptions {
  stream: string
  log: ILogService
  clock: IClock
  timers: ITimers
  /** Appends per second that this writer may send. */
  ratePerSecond: () => number
  maxBatchRecords: number
  /** Wait after the first failed append; it grows by the same time with each further failure in a row, up to a limit. */
  retryMs: number
  /**
   * Receives every record read that is not part of the batch being appended, before any own record after it is reported
   * as appended. These are records of other writers, and duplicates of own ones.
   */
  onForeignRecord: (stored: StoredRecord) => void
  /** Called when records were removed from the log before this writer could read them. */
  onTruncated: () => void
}

/** A record that is queued or being appended. */
export interface PendingAppend {
  /**
   * Cancels the append: its callback will not be called.
   *
   * @returns true when the record will certainly not be appended; false when it may be in the log.
   */
  cancel (): boolean
}

interface QueuedRecord {
  record: LogRecord
  onAppended: (offset: number) => void
  isCancelled: boolean
  wasSent: boolean
}

/**
 * Appends records in order and in batches, and retries until they are in the log. It is the only regular writer of its
 * stream: other nodes append only fences and ownership transfers.
 */
export class StreamWriter extends Disposable {
  private readonly _didChangeHealth = this._register(new Emitter<boolean>())
  private readonly _bucket: TokenBucket
  private _queue: QueuedRecord[] = []
  private _batch: QueuedRecord[] = []
  private _isBusy = false
  private _timer: IDisposable | undefined
  private _consecutiveFailures = 0
  private _nextOffset = 0
  private _appendCount = 0

  /** Fires when appends begin to fail, with false, and when they succeed again, with true. */
  readonly onDidChangeHealth = this._didChangeHealth.event

  constructor (private readonly _options: StreamWriterOptions) {
    super()
    this._bucket = new TokenBucket({ ratePerSecond: 1, burst: APPEND_BURST })
  }

  /** False from the first failed append until one succeeds. */
  get isHealthy (): boolean {
    return this._consecutiveFailures === 0
  }

  /** Number of records that are not in the log yet. */
  get backlog (): number {
    return this._queue.length + this._batch.length
  }

  /** Number of append requests sent so far. */
  get appendCount (): number {
    return this._appendCount
  }

  /** Offset after the last record that this writer has appended or read. */
  get nextOffset (): number {
    return this._nextOffset
  }

  /** Queues a record; `onAppended` gets its offset once it is in the log, with no time limit. */
  append (record: LogRecord, onAppended: (offset: number) => void): PendingAppend {
    const queued: QueuedRecord = { record, onAppended, isCancelled: false, wasSent: false }
    this._queue.push(queued)
    this._flush()
    return {
      cancel: () => {
        queued.isCancelled = true
        return !queued.wasSent
      }
    }
  }

  /** Reads the records that this writer has not read yet; `onDone` gets false when a read failed or another request is in progress. */
  catchUp (onDone: (isComplete: boolean) => void): void {
    if (this._isBusy) {
      onDone(false)
      return
    }
    this._isBusy = true
    this._readTail(isComplete => {
      this._isBusy = false
      onDone(isComplete)
      this._flush()
    })
  }

  private _flush (): void {
    if (this._isBusy || this._timer !== undefined) return
    this._queue = this._queue.filter(queued => !queued.isCancelled)
    if (this._queue.length === 0) return
    const { clock, timers, ratePerSecond } = this._options
    this._bucket.setRate(ratePerSecond(), clock.nowMs())
    const waitMs = this._bucket.waitMs(clock.nowMs())
    if (waitMs > 0) {
      this._timer = timers.after(waitMs, () => this._resume())
      return
    }
    this._bucket.tryTake(clock.nowMs())
    this._send()
  }

  private _resume (): void {
    this._timer = undefined
    this._flush()
  }

  private _send (): void {
    this._isBusy = true
    this._appendCount++
    this._batch = this._queue.splice(0, this._options.maxBatchRecords)
    for (const queued of this._batch) queued.wasSent = true
    const records = this._batch.map(queued => queued.record)
    this._options.log.append(this._options.stream, records, outcome => this._handleOutcome(outcome))
  }

  private _handleOutcome (outcome: AppendOutcome): void {
    if (outcome.type === 'failed') {
      this._scheduleRetry()
      return
    }
    const isContiguous = outcome.type === 'appended' && outcome.firstOffset === this._nextOffset
    if (isContiguous) {
      this._completeBatch()
      return
    }
    this._readTail(isComplete => isComplete ? this._requeueMissing() : this._scheduleRetry())
  }

  private _completeBatch (): void {
    const batch = this._batch
    this._batch = []
    const firstOffset = this._nextOffset
    this._nextOffset += batch.length
    this._recordSuccess()
    batch.forEach((queued, index) => this._completeRecord(queued, firstOffset + index))
    this._isBusy = false
    this._flush()
  }

  /** Puts the records that a complete read did not find back at the head of the queue. */
  private _requeueMissing (): void {
    this._queue = [...this._batch, ...this._queue]
    this._batch = []
    this._recordSuccess()
    this._isBusy = false
    this._flush()
  }

  private _scheduleRetry (): void {
    this._queue = [...this._batch, ...this._queue]
    this._batch = []
    this._isBusy = false
    this._consecutiveFailures++
    if (this._consecutiveFailures === 1) this._didChangeHealth.fire(false)
    const delayMs = Math.min(MAX_RETRY_MS, this._options.retryMs * this._consecutiveFailures)
    this._timer?.dispose()
    this._timer = this._options.timers.after(delayMs, () => this._resume())
  }

  private _recordSuccess (): void {
    const wasHealthy = this.isHealthy
    this._consecutiveFailures = 0
    if (!wasHealthy) this._didChangeHealth.fire(true)
  }

  private _readTail (onDone: (isComplete: boolean) => void): void {
    this._options.log.read(this._options.stream, this._nextOffset, READ_PAGE_RECORDS, outcome => this._handleTailRead(outcome, onDone))
  }

  private _handleTailRead (outcome: ReadOutcome, onDone: (isComplete: boolean) => void): void {
    if (outcome.type === 'failed') {
      onDone(false)
      return
    }
    if (outcome.firstOffset > this._nextOffset) {
      this._nextOffset = outcome.firstOffset
      this._options.onTruncated()
    }
    for (const stored of outcome.records) this._handleStoredRecord(stored)
    if (this._nextOffset < outcome.endOffset && outcome.records.length > 0) this._readTail(onDone)
    else onDone(true)
  }

  private _handleStoredRecord (stored: StoredRecord): void {
    if (stored.offset < this._nextOffset) return
    this._nextOffset = stored.offset + 1
    const index = this._batch.findIndex(queued => queued.record.id === (stored.record as Partial<LogRecord> | null)?.id)
    if (index >= 0) {
      const [queued] = this._batch.splice(index, 1)
      this._completeRecord(queued, stored.offset)
      return
    }
    this._options.onForeignRecord(stored)
  }

  private _completeRecord (queued: QueuedRecord, offset: number): void {
    if (!queued.isCancelled) queued.onAppended(offset)
  }

  override dispose (): void {
    this._timer?.dispose()
    super.dispose()
  }
}
