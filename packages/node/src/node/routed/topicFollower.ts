/** Follows a keyed topic of the log: reads the newest record of each key first, then every change as it is appended. */
import { createHash } from 'node:crypto'
import type { ClockReading, KeyedRecord, LogFields } from '@trefoilshunt/core'
import type { ILogClient } from '../../common/routed/logClient.js'
import { delay, readClocks, steadyNowMs } from '../steadyClock.js'

/** How long the log may hold a read until a record is appended. A dead connection is detected after this and the slack. */
const READ_WAIT_MS = 2_000
const READ_SLACK_MS = 700
const READ_NEWEST_TIMEOUT_MS = 1_200
const RETRY_MS = 100
const MAX_RETRY_MS = 400
/** A node that already has the content reads the fallback after this long without an answer of the log. */
const FALLBACK_AFTER_MS = 500

export interface TopicFollowerOptions {
  topic: string
  log: ILogClient
  /** Called for each record appended; one without a value removes its key. */
  onRecord: (record: KeyedRecord) => void
  /** Called with the whole content, after the start, after the log dropped records before they were read, and from the fallback. */
  onContent: (records: KeyedRecord[]) => void
  /** Called after each answered read of the log, with the time at which it was sent: everything that was appended before is delivered. */
  onCaughtUp?: (sentAt: ClockReading) => void
  /** Called when reads of the log begin to succeed or to fail. */
  onReachable: (isReachable: boolean) => void
  /** Reads the content from peers or snapshots while the log can't be read; undefined when none has it, 'unchanged' if it has the digest `knownDigest`. */
  readFallback: (knownDigest: string | undefined) => Promise<KeyedRecord[] | 'unchanged' | undefined>
  /** Writes a log line. */
  write: (event: string, fields: LogFields) => void
}

/**
 * Repeats failed reads until it is stopped. Every change of the content is passed to `onRecord` or `onContent`.
 *
 * @example
 * const follower = new TopicFollower({ topic: 'keyed.nodes', log, onRecord, onContent, onReachable, readFallback, write })
 * follower.start()
 */
export class TopicFollower {
  private readonly _content = new Map<string, Uint8Array>()
  private _nextOffset: number | undefined
  private _isReachable: boolean | undefined
  private _lastReadAtMs = steadyNowMs()
  private _isStopped = false
  private _hasContent = false
  private _digest: string | undefined

  constructor (private readonly _options: TopicFollowerOptions) {}

  /** True once the content was read from the log or from the fallback. */
  get hasContent (): boolean {
    return this._hasContent
  }

  /** Name of the followed topic. */
  get topic (): string {
    return this._options.topic
  }

  /** True while reads of the log fail; false before the first one has ended. */
  get isFailing (): boolean {
    return this._isReachable === false
  }

  /** Milliseconds since the log last answered a read; since the creation before the first answer. */
  get sinceLastReadMs (): number {
    return steadyNowMs() - this._lastReadAtMs
  }

  /**
   * The newest record of each key; undefined while the topic is still to be read from the log, even if the fallback was read.
   * After the log was read once, it may be the content of the fallback while reads fail.
   */
  get content (): KeyedRecord[] | undefined {
    return this._nextOffset === undefined ? undefined : [...this._content].map(([key, value]) => ({ key, value }))
  }

  /** Digest of all keys and values; undefined before the content was read. Equal content has the same digest on every node. */
  get contentDigest (): string | undefined {
    if (this._hasContent) this._digest ??= digestOf(this._content)
    return this._digest
  }

  /** True if the log answers, within `timeoutMs`, that it holds no record which this follower has not read. */
  async confirmRead (timeoutMs: number): Promise<boolean> {
    const { log, topic } = this._options
    const fromOffset = this._nextOffset
    if (fromOffset === undefined) return false
    const sentAt = readClocks()
    const result = await log.read({ topic, partition: 0, fromOffset, waitMs: 0, timeoutMs })
    const isRead = result.type === 'read' && result.records.length === 0
    if (isRead) this._options.onCaughtUp?.(sentAt)
    return isRead
  }

  /** Starts to follow the topic. */
  start (): void {
    void this._follow()
  }

  /** Stops following after the read in progress, which may still deliver records. */
  stop (): void {
    this._isStopped = true
  }

  private async _follow (): Promise<void> {
    let retryMs = RETRY_MS
    while (!this._isStopped) {
      const isRead = this._nextOffset === undefined ? await this._readNewest() : await this._readChanges(this._nextOffset)
      if (this._isStopped) return
      this._updateReachable(isRead)
      if (isRead) {
        retryMs = RETRY_MS
        continue
      }
      if (!this._hasContent || this.sinceLastReadMs > FALLBACK_AFTER_MS) await this._readFallback()
      await delay(retryMs)
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
    }
  }

  private async _readNewest (): Promise<boolean> {
    const { log, topic, write } = this._options
    const records: KeyedRecord[] = []
    const sentAt = readClocks()
    let afterKey: string | undefined
    let endOffset: number | undefined
    for (;;) {
      const page = await log.readNewest({ topic, partition: 0, afterKey, timeoutMs: READ_NEWEST_TIMEOUT_MS })
      if (page.type === 'failed') {
        write('topicReadFailed', { topic, detail: page.detail, silenceMs: Math.round(this.sinceLastReadMs) })
        return false
      }
      records.push(...page.records)
      // The pages are not one consistent state: changes after the first page are read again from its end offset.
      endOffset ??= page.endOffset
      afterKey = page.records.at(-1)?.key
      if (!page.hasMore || afterKey === undefined) break
    }
    this._nextOffset = endOffset
    this._replaceContent(records)
    this._options.onCaughtUp?.(sentAt)
    write('topicRead', { topic, records: records.length, nextOffset: endOffset })
    return true
  }

  private async _readChanges (fromOffset: number): Promise<boolean> {
    const { log, topic, write } = this._options
    const sentAt = readClocks()
    // After a failure the log answers at once, so that the content counts as current again without delay.
    const waitMs = this._isReachable === false ? 0 : READ_WAIT_MS
    const result = await log.read({ topic, partition: 0, fromOffset, waitMs, timeoutMs: READ_WAIT_MS + READ_SLACK_MS })
    if (result.type === 'failed') {
      write('topicReadFailed', { topic, detail: result.detail, silenceMs: Math.round(this.sinceLastReadMs) })
      return false
    }
    if (result.type === 'truncated') {
      write('topicTruncated', { topic, fromOffset, firstOffset: result.firstOffset })
      this._nextOffset = undefined
      return true
    }
    this._nextOffset = result.nextOffset
    if (result.records.length > 0) this._digest = undefined
    for (const record of result.records) {
      if (record.value === undefined) this._content.delete(record.key)
      else this._content.set(record.key, record.value)
      this._deliver(() => this._options.onRecord(record))
    }
    if (result.endOffset === undefined || result.nextOffset >= result.endOffset) this._options.onCaughtUp?.(sentAt)
    return true
  }

  private async _readFallback (): Promise<void> {
    const records = await this._options.readFallback(this.contentDigest)
    if (records === undefined || records === 'unchanged' || this._isStopped) return
    this._replaceContent(records)
  }

  private _replaceContent (records: KeyedRecord[]): void {
    this._content.clear()
    this._digest = undefined
    for (const { key, value } of records) {
      if (value !== undefined) this._content.set(key, value)
    }
    this._hasContent = true
    this._deliver(() => this._options.onContent(records))
  }

  /** An error of a handler must not end the following of the topic. */
  private _deliver (handle: () => void): void {
    try {
      handle()
    } catch (error) {
      this._options.write('topicHandlerFailed', { topic: this._options.topic, detail: error instanceof Error ? error.stack : String(error) })
    }
  }

  private _updateReachable (isReachable: boolean): void {
    if (isReachable) this._lastReadAtMs = steadyNowMs()
    if (isReachable === this._isReachable) return
    this._isReachable = isReachable
    this._options.onReachable(isReachable)
  }
}

function digestOf (content: ReadonlyMap<string, Uint8Array>): string {
  const hash = createHash('sha256')
  for (const key of [...content.keys()].sort()) {
    const value = content.get(key) ?? new Uint8Array()
    hash.update(`${key} ${value.length} `).update(value)
  }
  return hash.digest('base64')
}
