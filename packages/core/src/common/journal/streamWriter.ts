/** Group commit to one log stream, with ambiguous appends resolved by reading. */
import type { IClock } from '../kernel/clock.js'
import { Emitter } from '../kernel/emitter.js'
import type { AppendOutcome, LogRecord, ReadOutcome, StoredRecord } from '../kernel/logRecords.js'
import { Disposable, type IDisposable } from '../kernel/lifecycle.js'
import type { ILogService } from '../kernel/logPort.js'
import type { ITimers } from '../kernel/timers.js'
import { TokenBucket } from '../base/tokenBucket.js'

const READ_PAGE_RECORDS = 500
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
  retryMs: number
  /** Gets every record of another writer, before any own record behind it is reported as landed. */
  onForeignRecord: (stored: StoredRecord) => void
  /** Records were removed before this writer could read them. */
  onTruncated: () => void
}

/** A record on its way into the log. */
export interface PendingAppend {
  /**
   * Gives the record up: `onLanded` will not be called.
   *
   * @returns true when the record certainly never reaches the log.
   */
  cancel (): boolean
}

interface QueuedRecord {
  record: LogRecord
  onLanded: (offset: number) => void
  isCancelled: boolean
  wasSent: boolean
}

/** Appends records in order and in batches; retries until they have landed. The only regular writer of its stream. */
export class StreamWriter extends Disposable {
  private readonly _didChangeHealth = this._register(new Emitter<boolean>())
  private readonly _bucket: TokenBucket
  private _queue: QueuedRecord[] = []
  private _batch: QueuedRecord[] = []
  private _isBusy = false
  private _timer: IDisposable | undefined
  private _failuresInRow = 0
  private _nextOffset = 0
  private _appendCount = 0

  /** Fires when appends begin to fail, with false, and when they succeed again, with true. */
  readonly onDidChangeHealth = this._didChangeHealth.event

  constructor (private readonly _options: StreamWriterOptions) {
    super()
    this._bucket = new TokenBucket({ ratePerSecond: 1, burst: APPEND_BURST })
  }

  get isHealthy (): boolean {
    return this._failuresInRow === 0
  }

  /** Records that have not landed yet. */
  get backlog (): number {
    return this._queue.length + this._batch.length
  }

  /** Append requests sent so far. */
  get appendCount (): number {
    return this._appendCount
  }

  /** Offset behind the last record that is known to be in the stream. */
  get nextOffset (): number {
    return this._nextOffset
  }

  append (record: LogRecord, onLanded: (offset: number) => void): PendingAppend {
    const queued: QueuedRecord = { record, onLanded, isCancelled: false, wasSent: false }
    this._queue.push(queued)
    this._flush()
    return {
      cancel: () => {
        queued.isCancelled = true
        return !queued.wasSent
      }
    }
  }

  /** Reads records of other writers that this one has not met yet; `onDone` gets false when the log did not answer. */
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
      this._retryLater()
      return
    }
    const isContiguous = outcome.type === 'appended' && outcome.firstOffset === this._nextOffset
    if (isContiguous) {
      this._settleContiguous()
      return
    }
    this._readTail(isComplete => isComplete ? this._finishBatch() : this._retryLater())
  }

  private _settleContiguous (): void {
    const batch = this._batch
    this._batch = []
    const firstOffset = this._nextOffset
    this._nextOffset += batch.length
    this._noteSuccess()
    batch.forEach((queued, index) => this._settle(queued, firstOffset + index))
    this._isBusy = false
    this._flush()
  }

  /** After a complete read: what was not found goes to the head of the queue again. */
  private _finishBatch (): void {
    this._queue = [...this._batch, ...this._queue]
    this._batch = []
    this._noteSuccess()
    this._isBusy = false
    this._flush()
  }

  private _retryLater (): void {
    this._queue = [...this._batch, ...this._queue]
    this._batch = []
    this._isBusy = false
    this._failuresInRow++
    if (this._failuresInRow === 1) this._didChangeHealth.fire(false)
    const delayMs = Math.min(MAX_RETRY_MS, this._options.retryMs * this._failuresInRow)
    this._timer?.dispose()
    this._timer = this._options.timers.after(delayMs, () => this._resume())
  }

  private _noteSuccess (): void {
    const wasHealthy = this.isHealthy
    this._failuresInRow = 0
    if (!wasHealthy) this._didChangeHealth.fire(true)
  }

  private _readTail (onDone: (isComplete: boolean) => void): void {
    this._options.log.read(this._options.stream, this._nextOffset, READ_PAGE_RECORDS, outcome => this._handleTail(outcome, onDone))
  }

  private _handleTail (outcome: ReadOutcome, onDone: (isComplete: boolean) => void): void {
    if (outcome.type === 'failed') {
      onDone(false)
      return
    }
    if (outcome.firstOffset > this._nextOffset) {
      this._nextOffset = outcome.firstOffset
      this._options.onTruncated()
    }
    for (const stored of outcome.records) this._handleStored(stored)
    if (this._nextOffset < outcome.endOffset && outcome.records.length > 0) this._readTail(onDone)
    else onDone(true)
  }

  private _handleStored (stored: StoredRecord): void {
    if (stored.offset < this._nextOffset) return
    this._nextOffset = stored.offset + 1
    const index = this._batch.findIndex(queued => queued.record.id === (stored.record as Partial<LogRecord> | null)?.id)
    if (index >= 0) {
      const [queued] = this._batch.splice(index, 1)
      this._settle(queued, stored.offset)
      return
    }
    this._options.onForeignRecord(stored)
  }

  private _settle (queued: QueuedRecord, offset: number): void {
    if (!queued.isCancelled) queued.onLanded(offset)
  }

  override dispose (): void {
    this._timer?.dispose()
    super.dispose()
  }
}
