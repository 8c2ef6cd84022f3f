/** The platform's append-only log: streams with offsets, an append rate, retention, and faults on request. */
import type { AppendOutcome, LogRecord, ReadOutcome, StoredRecord } from '@trefoilshunt/core'
import { TokenBucket } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

export interface LogServiceOptions {
  /** Appends accepted per second, over all streams. */
  appendsPerSecond: number
  retentionMs: number
  /** Does not tell where a record landed. */
  hidesOffsets: boolean
}

interface Stream {
  /** Offset of the oldest record that is kept. */
  firstOffset: number
  records: Array<{ atMs: number, record: LogRecord }>
}

/** What becomes of the next appends. */
export const AppendFault = {
  /** Lands, but the answer is lost. */
  LoseAnswer: 'loseAnswer',
  /** Does not land; the answer is lost as well. */
  LoseRequest: 'loseRequest',
  /** The answer is lost and the record lands later. */
  LandLate: 'landLate'
} as const
export type AppendFault = typeof AppendFault[keyof typeof AppendFault]

const LATE_MS = 1_500

export class LogService {
  readonly options: LogServiceOptions
  private readonly _streams = new Map<string, Stream>()
  private readonly _bucket: TokenBucket
  private _isDown = false
  private _delayMs = 0
  private _faults: AppendFault[] = []
  appendCount = 0
  rejectedCount = 0
  appendedBytes = 0

  constructor (options: Partial<LogServiceOptions>, private readonly _host: IStandinHost) {
    this.options = { appendsPerSecond: 400, retentionMs: 86_400_000, hidesOffsets: false, ...options }
    this._bucket = new TokenBucket({ ratePerSecond: this.options.appendsPerSecond, burst: this.options.appendsPerSecond })
  }

  get isDown (): boolean {
    return this._isDown
  }

  /** Extra delay of every answer; the transport adds it. */
  get delayMs (): number {
    return this._delayMs
  }

  setDown (isDown: boolean): void {
    this._isDown = isDown
  }

  setDelay (delayMs: number): void {
    this._delayMs = delayMs
  }

  /** Applies a fault to the next appends, one each. */
  addFaults (fault: AppendFault, count: number): void {
    for (let index = 0; index < count; index++) this._faults.push(fault)
  }

  append (stream: string, records: LogRecord[]): AppendOutcome {
    if (this._isDown) return { type: 'failed', detail: 'the log service is down' }
    if (!this._bucket.tryTake(this._host.nowMs())) {
      this.rejectedCount++
      return { type: 'failed', detail: 'too many appends' }
    }
    const fault = this._faults.shift()
    if (fault === AppendFault.LoseRequest) return { type: 'ambiguous', detail: 'no answer' }
    if (fault === AppendFault.LandLate) {
      this._host.after(LATE_MS, () => this._store(stream, records))
      return { type: 'ambiguous', detail: 'no answer' }
    }
    const firstOffset = this._store(stream, records)
    if (fault === AppendFault.LoseAnswer) return { type: 'ambiguous', detail: 'no answer' }
    return this.options.hidesOffsets ? { type: 'appended' } : { type: 'appended', firstOffset }
  }

  read (stream: string, fromOffset: number, limit: number): ReadOutcome {
    if (this._isDown) return { type: 'failed', detail: 'the log service is down' }
    const kept = this._resolve(stream)
    this._trim(kept)
    const firstOffset = Math.max(fromOffset, kept.firstOffset)
    const start = firstOffset - kept.firstOffset
    const records = kept.records.slice(start, start + limit)
      .map(({ record }, index): StoredRecord => ({ offset: firstOffset + index, record }))
    return { type: 'read', records, firstOffset, endOffset: kept.firstOffset + kept.records.length }
  }

  /** Every record of a stream that is kept; for checkers. */
  recordsOf (stream: string): StoredRecord[] {
    const kept = this._resolve(stream)
    return kept.records.map(({ record }, index) => ({ offset: kept.firstOffset + index, record }))
  }

  streamNames (): string[] {
    return [...this._streams.keys()]
  }

  private _store (stream: string, records: LogRecord[]): number {
    const kept = this._resolve(stream)
    const firstOffset = kept.firstOffset + kept.records.length
    const atMs = this._host.nowMs()
    this.appendCount++
    for (const record of records) {
      const text = JSON.stringify(record)
      this.appendedBytes += text.length
      kept.records.push({ atMs, record: JSON.parse(text) as LogRecord })
    }
    return firstOffset
  }

  private _resolve (name: string): Stream {
    let stream = this._streams.get(name)
    if (stream === undefined) {
      stream = { firstOffset: 0, records: [] }
      this._streams.set(name, stream)
    }
    return stream
  }

  private _trim (stream: Stream): void {
    const oldestMs = this._host.nowMs() - this.options.retentionMs
    let count = 0
    while (count < stream.records.length && stream.records[count].atMs < oldestMs) count++
    if (count === 0) return
    stream.records.splice(0, count)
    stream.firstOffset += count
  }
}
