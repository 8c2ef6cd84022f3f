/** Crashes of workers and quarantines as records in the log, so that they outlive the nodes that observed them. */
import type { KeyedRecord, LogFields } from '@trefoilshunt/core'
import { Packr } from 'msgpackr'
import type { ILogClient } from '../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../steadyClock.js'

const CRASH_PREFIX = 'crash/'
const QUARANTINE_PREFIX = 'quarantine/'
/** Records of one crash come together; each append wakes the readers of all nodes. */
const LINGER_MS = 250
const APPEND_TIMEOUT_MS = 1_500
const MIN_RETRY_MS = 200
const MAX_RETRY_MS = 1_000
const RECORDS_PER_APPEND = 200
/** The oldest waiting record is dropped when there are more. */
const MAX_WAITING = 5_000
/** The log stores the length of a key in one byte. */
const MAX_KEY_BYTES = 255
/** Records are removed after this time. */
const RETENTION_MS = 24 * 3_600_000

/** A crash with its times on the steady clock of this process. */
export interface RecordedCrash {
  fingerprint: string
  worker: string
  crashedAtMs: number
  sentAtMs?: number
}

export interface CrashRecordsOptions {
  topic: string
  log: ILogClient
  onCrash: (crash: RecordedCrash) => void
  onCrashRemoved: (fingerprint: string, worker: string) => void
  onQuarantine: (fingerprint: string) => void
  onQuarantineRemoved: (fingerprint: string) => void
  write: (event: string, fields: LogFields) => void
}

/** Times are Unix milliseconds, as nodes share no other clock. */
interface CrashValue { fingerprint: string, worker: string, atMs: number, sentAtMs?: number }
interface QuarantineValue { fingerprint: string, atMs: number }

/**
 * Each record has a key of its own, so that writers need not know of each other and may repeat an append.
 *
 * @example
 * records.recordCrash(crash)
 * records.recordQuarantine(fingerprint)
 * if (CrashRecords.isKey(record.key)) records.apply(record)
 */
export class CrashRecords {
  private readonly _packr = new Packr({ useRecords: false })
  /** Keys in the log, with the Unix time of the record. */
  private readonly _recorded = new Map<string, number>()
  private readonly _waiting = new Map<string, KeyedRecord>()
  private _isAppending = false
  private _isStopped = false

  constructor (private readonly _options: CrashRecordsOptions) {}

  static isKey (key: string): boolean {
    return key.startsWith(CRASH_PREFIX) || key.startsWith(QUARANTINE_PREFIX)
  }

  /** Records that are not in the log yet. */
  get waitingCount (): number {
    return this._waiting.size
  }

  isCrashRecorded (fingerprint: string, worker: string): boolean {
    return this._recorded.has(crashKeyOf(fingerprint, worker))
  }

  isQuarantineRecorded (fingerprint: string): boolean {
    return this._recorded.has(QUARANTINE_PREFIX + fingerprint)
  }

  /** Appends until the log has the record, or `stop` is called. */
  recordCrash ({ fingerprint, worker, crashedAtMs, sentAtMs }: RecordedCrash): void {
    const value: CrashValue = { fingerprint, worker, atMs: toUnixMs(crashedAtMs), sentAtMs: sentAtMs === undefined ? undefined : toUnixMs(sentAtMs) }
    this._enqueue(crashKeyOf(fingerprint, worker), value)
  }

  /** As `recordCrash`. */
  recordQuarantine (fingerprint: string): void {
    const value: QuarantineValue = { fingerprint, atMs: Math.round(Date.now()) }
    this._enqueue(QUARANTINE_PREFIX + fingerprint, value)
  }

  /** Removes the crashes of a request from the log, because a worker has served it. */
  removeCrashes (fingerprint: string): void {
    const prefix = crashKeyOf(fingerprint, '')
    for (const key of this._waiting.keys()) if (key.startsWith(prefix)) this._waiting.delete(key)
    for (const key of this._recorded.keys()) if (key.startsWith(prefix)) this._remove(key)
  }

  /** Removes records whose retention has ended. */
  removeExpired (): void {
    const nowMs = Date.now()
    for (const [key, atMs] of this._recorded) if (nowMs - atMs > RETENTION_MS) this._remove(key)
  }

  /** Applies a record of the topic whose key `isKey`. */
  apply ({ key, value }: KeyedRecord): void {
    if (value === undefined) this._applyRemoval(key)
    else if (key.startsWith(CRASH_PREFIX)) this._applyCrash(key, value)
    else this._applyQuarantine(key, value)
  }

  stop (): void {
    this._isStopped = true
  }

  private _applyRemoval (key: string): void {
    this._recorded.delete(key)
    if (key.startsWith(QUARANTINE_PREFIX)) {
      this._options.onQuarantineRemoved(key.slice(QUARANTINE_PREFIX.length))
      return
    }
    const [, fingerprint] = key.split('/')
    this._options.onCrashRemoved(fingerprint, key.slice(crashKeyOf(fingerprint, '').length))
  }

  private _applyCrash (key: string, bytes: Uint8Array): void {
    const { fingerprint, worker, atMs, sentAtMs } = this._decode<CrashValue>(key, bytes) ?? {}
    if (typeof fingerprint !== 'string' || typeof worker !== 'string' || typeof atMs !== 'number') return
    this._recorded.set(key, atMs)
    this._options.onCrash({ fingerprint, worker, crashedAtMs: toSteadyMs(atMs), sentAtMs: typeof sentAtMs === 'number' ? toSteadyMs(sentAtMs) : undefined })
  }

  private _applyQuarantine (key: string, bytes: Uint8Array): void {
    const { fingerprint, atMs } = this._decode<QuarantineValue>(key, bytes) ?? {}
    if (typeof fingerprint !== 'string' || typeof atMs !== 'number') return
    this._recorded.set(key, atMs)
    this._options.onQuarantine(fingerprint)
  }

  private _decode<T extends object> (key: string, bytes: Uint8Array): Partial<T> | undefined {
    try {
      const value = this._packr.unpack(bytes) as unknown
      if (typeof value === 'object' && value !== null) return value
    } catch {
      // Reported below, like a value of another type.
    }
    this._options.write('crashRecordUnreadable', { key, bytes: bytes.length })
    return undefined
  }

  private _enqueue (key: string, value: CrashValue | QuarantineValue): void {
    if (Buffer.byteLength(key) > MAX_KEY_BYTES) {
      this._options.write('crashRecordDropped', { key, detail: 'the key is too long' })
      return
    }
    this._push({ key, value: this._packr.pack(value) })
  }

  private _remove (key: string): void {
    this._recorded.delete(key)
    this._push({ key })
  }

  private _push (record: KeyedRecord): void {
    this._waiting.delete(record.key)
    this._waiting.set(record.key, record)
    if (this._waiting.size > MAX_WAITING) {
      const oldest = this._waiting.keys().next().value as string
      this._waiting.delete(oldest)
      this._options.write('crashRecordDropped', { key: oldest, detail: 'too many records wait for the log' })
    }
    if (!this._isAppending) void this._appendWaiting()
  }

  private async _appendWaiting (): Promise<void> {
    const { log, topic, write } = this._options
    this._isAppending = true
    await delay(LINGER_MS)
    let retryMs = MIN_RETRY_MS
    let maxRecords = RECORDS_PER_APPEND
    while (this._waiting.size > 0 && !this._isStopped) {
      const records = [...this._waiting.values()].slice(0, maxRecords)
      const result = await log.append({ topic, partition: 0, records, timeoutMs: APPEND_TIMEOUT_MS })
      if (result.type === 'appended') {
        for (const record of records) {
          if (this._waiting.get(record.key) === record) this._waiting.delete(record.key)
        }
        retryMs = MIN_RETRY_MS
      } else if (result.type === 'rejected') {
        if (records.length === 1) {
          this._waiting.delete(records[0].key)
          write('crashRecordDropped', { key: records[0].key, detail: result.detail })
        }
        maxRecords = 1
      } else if (!this._isStopped) {
        write('crashRecordsDelayed', { records: this._waiting.size, detail: 'detail' in result ? result.detail : result.type })
        await delay(retryMs)
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs)
      }
    }
    this._isAppending = false
  }
}

function crashKeyOf (fingerprint: string, worker: string): string {
  return `${CRASH_PREFIX}${fingerprint}/${worker}`
}

function toUnixMs (steadyMs: number): number {
  return Math.round(Date.now() - (steadyNowMs() - steadyMs))
}

function toSteadyMs (unixMs: number): number {
  return steadyNowMs() - (Date.now() - unixMs)
}
