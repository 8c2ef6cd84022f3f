/** Follows a keyed topic: the newest record of each key at first, then every change as it is appended. */
import type { KeyedRecord, LogFields } from '@trefoilshunt/core'
import type { ILogClient } from '../../common/routed/logClient.js'
import { delay, steadyNowMs } from '../steadyClock.js'

/** How long the log may hold a read; a connection that went silent is noticed after this and the slack. */
const READ_WAIT_MS = 2_000
const READ_SLACK_MS = 700
const NEWEST_TIMEOUT_MS = 1_200
const RETRY_MS = 100
const MAX_RETRY_MS = 400
/** A node that knows the content looks for it elsewhere after this long without the log. */
const LOOK_ELSEWHERE_AFTER_MS = 500

export interface TopicFollowerOptions {
  topic: string
  log: ILogClient
  /** One record; without a value its key is gone. */
  onRecord: (record: KeyedRecord) => void
  /** The whole content, after the start or after records were missed. */
  onContent: (records: KeyedRecord[]) => void
  onReachable: (isReachable: boolean) => void
  /** The content as peers or copies have it, while this node can't read the topic. */
  readElsewhere: () => Promise<KeyedRecord[] | undefined>
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const follower = new TopicFollower({ topic: 'keyed.nodes', log, onRecord, onContent, onReachable, readElsewhere, write })
 * follower.start()
 */
export class TopicFollower {
  private readonly _content = new Map<string, Uint8Array>()
  private _nextOffset: number | undefined
  private _isReachable: boolean | undefined
  private _heardAtMs = steadyNowMs()
  private _isStopped = false
  private _hasContent = false

  constructor (private readonly _options: TopicFollowerOptions) {}

  /** True once the content was read, from the log or elsewhere. */
  get hasContent (): boolean {
    return this._hasContent
  }

  get topic (): string {
    return this._options.topic
  }

  /** True while reads fail. */
  get isFailing (): boolean {
    return this._isReachable === false
  }

  /** Time since the log answered. */
  get silenceMs (): number {
    return steadyNowMs() - this._heardAtMs
  }

  /** The newest record of each key as the log has it; undefined while the topic has not been read. */
  get content (): KeyedRecord[] | undefined {
    return this._nextOffset === undefined ? undefined : [...this._content].map(([key, value]) => ({ key, value }))
  }

  start (): void {
    void this._follow()
  }

  stop (): void {
    this._isStopped = true
  }

  private async _follow (): Promise<void> {
    let retryMs = RETRY_MS
    while (!this._isStopped) {
      const isRead = this._nextOffset === undefined ? await this._readNewest() : await this._readChanges(this._nextOffset)
      if (this._isStopped) return
      this._noteReachable(isRead)
      if (isRead) {
        retryMs = RETRY_MS
        continue
      }
      if (!this._hasContent || this.silenceMs > LOOK_ELSEWHERE_AFTER_MS) await this._readElsewhere()
      await delay(retryMs)
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2)
    }
  }

  private async _readNewest (): Promise<boolean> {
    const { log, topic, write } = this._options
    const records: KeyedRecord[] = []
    let afterKey: string | undefined
    let endOffset: number | undefined
    for (;;) {
      const page = await log.readNewest({ topic, partition: 0, afterKey, timeoutMs: NEWEST_TIMEOUT_MS })
      if (page.type === 'failed') {
        write('topicReadFailed', { topic, detail: page.detail, silenceMs: Math.round(this.silenceMs) })
        return false
      }
      records.push(...page.records)
      // Pages are no snapshot: changes after the first one are read again as changes.
      endOffset ??= page.endOffset
      afterKey = page.records.at(-1)?.key
      if (!page.hasMore || afterKey === undefined) break
    }
    this._nextOffset = endOffset
    this._takeContent(records)
    write('topicRead', { topic, records: records.length, nextOffset: endOffset })
    return true
  }

  private async _readChanges (fromOffset: number): Promise<boolean> {
    const { log, topic, write } = this._options
    const result = await log.read({ topic, partition: 0, fromOffset, waitMs: READ_WAIT_MS, timeoutMs: READ_WAIT_MS + READ_SLACK_MS })
    if (result.type === 'failed') {
      write('topicReadFailed', { topic, detail: result.detail, silenceMs: Math.round(this.silenceMs) })
      return false
    }
    if (result.type === 'truncated') {
      write('topicTruncated', { topic, fromOffset, firstOffset: result.firstOffset })
      this._nextOffset = undefined
      return true
    }
    this._nextOffset = result.nextOffset
    for (const record of result.records) {
      if (record.value === undefined) this._content.delete(record.key)
      else this._content.set(record.key, record.value)
      this._options.onRecord(record)
    }
    return true
  }

  private async _readElsewhere (): Promise<void> {
    const records = await this._options.readElsewhere()
    if (records === undefined || this._isStopped) return
    this._takeContent(records)
  }

  private _takeContent (records: KeyedRecord[]): void {
    this._content.clear()
    for (const { key, value } of records) {
      if (value !== undefined) this._content.set(key, value)
    }
    this._hasContent = true
    this._options.onContent(records)
  }

  private _noteReachable (isReachable: boolean): void {
    if (isReachable) this._heardAtMs = steadyNowMs()
    if (isReachable === this._isReachable) return
    this._isReachable = isReachable
    this._options.onReachable(isReachable)
  }
}
