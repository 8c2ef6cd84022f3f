/** Stand-in for the platform's append-only log: streams with offsets, an append rate, retention, and faults on request. */
import type { AppendOutcome, LogRecord, ReadOutcome, StoredRecord } from '@trefoilshunt/core'
import { TokenBucket } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

/** Limits and behaviour of the log. */
export interface LogServiceOptions {
  /** Appends accepted per second, over all streams. */
  appendsPerSecond: number
  retentionMs: number
  /** Answers successful appends without the offset. */
  hidesOffsets: boolean
}

interface Stream {
  /** Offset of the oldest record that is kept. */
  firstOffset: number
  records: Array<{ atMs: number, record: LogRecord }>
}

/** Faults of single appends. */
export const AppendFault = {
  /** The records are stored, but the answer is lost. */
  LoseAnswer: 'loseAnswer',
  /** The records are not stored and there is no answer. */
  LoseRequest: 'loseRequest',
  /** The answer is lost and the records are stored later. */
  LandLate: 'landLate'
} as const
export type AppendFault = typeof AppendFault[keyof typeof AppendFault]

const LATE_APPEND_DELAY_MS = 1_500

/** The log with all its streams; a stream exists from its first use. */
export class LogService {
  readonly options: LogServiceOptions
  private readonly _streams = new Map<string, Stream>()
  private readonly _bucket: TokenBucket
  private _isDown = false
  private _delayMs = 0
  private _nextFaults: AppendFault[] = []
  /** Appends whose records were stored. */
  appendCount = 0
  /** Appends refused because the rate was exceeded. */
  rejectedCount = 0
  /** Characters of the stored records as JSON. */
  appendedBytes = 0

  constructor (options: Partial<LogServiceOptions>, private readonly _host: IStandinHost) {
    this.options = { appendsPerSecond: 400, retentionMs: 86_400_000, hidesOffsets: false, ...options }
    this._bucket = new TokenBucket({ ratePerSecond: this.options.appendsPerSecond, burst: this.options.appendsPerSecond })
  }

  get isDown (): boolean {
    return this._isDown
  }

  /** Delay that the transport adds to every request. */
  get delayMs (): number {
    return this._delayMs
  }

  setDown (isDown: boolean): void {
    this._isDown = isDown
  }

  setDelay (delayMs: number): void {
    this._delayMs = delayMs
  }

  /** Applies a fault to each of the next `count` appends, after the faults that were added before. */
  addFaults (fault: AppendFault, count: number): void {
    for (let index = 0; index < count; index++) this._nextFaults.push(fault)
  }

  /** Appends records. Fails while the log is down or when the rate is exceeded; `ambiguous` when a fault loses the answer. */
  append (stream: string, records: LogRecord[]): AppendOutcome {
    if (this._isDown) return { type: 'failed', detail: 'the log service is down' }
    if (!this._bucket.tryTake(this._host.nowMs())) {
      this.rejectedCount++
      return { type: 'failed', detail: 'too many appends' }
    }
    const fault = this._nextFaults.shift()
    if (fault === AppendFault.LoseRequest) return { type: 'ambiguous', detail: 'no answer' }
    if (fault === AppendFault.LandLate) {
      this._host.after(LATE_APPEND_DELAY_MS, () => this._store(stream, records))
      return { type: 'ambiguous', detail: 'no answer' }
    }
    const firstOffset = this._store(stream, records)
    if (fault === AppendFault.LoseAnswer) return { type: 'ambiguous', detail: 'no answer' }
    return this.options.hidesOffsets ? { type: 'appended' } : { type: 'appended', firstOffset }
  }

  /** Reads up to `limit` records from an offset on, or from the oldest one that is kept. Fails while the log is down. */
  read (stream: string, fromOffset: number, limit: number): ReadOutcome {
    if (this._isDown) return { type: 'failed', detail: 'the log service is down' }
    const storedStream = this._getOrCreateStream(stream)
    this._removeExpiredRecords(storedStream)
    const firstOffset = Math.max(fromOffset, storedStream.firstOffset)
    const start = firstOffset - storedStream.firstOffset
    const records = storedStream.records.slice(start, start + limit)
      .map(({ record }, index): StoredRecord => ({ offset: firstOffset + index, record }))
    return { type: 'read', records, firstOffset, endOffset: storedStream.firstOffset + storedStream.records.length }
  }

  /** Every record of a stream that is kept; for checkers. */
  recordsOf (stream: string): StoredRecord[] {
    const storedStream = this._getOrCreateStream(stream)
    return storedStream.records.map(({ record }, index) => ({ offset: storedStream.firstOffset + index, record }))
  }

  streamNames (): string[] {
    return [...this._streams.keys()]
  }

  private _store (stream: string, records: LogRecord[]): number {
    const storedStream = this._getOrCreateStream(stream)
    const firstOffset = storedStream.firstOffset + storedStream.records.length
    const atMs = this._host.nowMs()
    this.appendCount++
    for (const record of records) {
      const text = JSON.stringify(record)
      this.appendedBytes += text.length
      storedStream.records.push({ atMs, record: JSON.parse(text) as LogRecord })
    }
    return firstOffset
  }

  private _getOrCreateStream (name: string): Stream {
    let stream = this._streams.get(name)
    if (stream === undefined) {
      stream = { firstOffset: 0, records: [] }
      this._streams.set(name, stream)
    }
    return stream
  }

  private _removeExpiredRecords (stream: Stream): void {
    const minAtMs = this._host.nowMs() - this.options.retentionMs
    let count = 0
    while (count < stream.records.length && stream.records[count].atMs < minAtMs) count++
    if (count === 0) return
    stream.records.splice(0, count)
    stream.firstOffset += count
  }
}
