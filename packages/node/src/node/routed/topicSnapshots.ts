/**
 * Copies of topics that others write, in partitions of a topic of ours: a part of the log may be away while all nodes start anew,
 * and then neither the log nor a peer can tell what the topics hold.
 */
import type { KeyedRecord, LogFields } from '@trefoilshunt/core'
import type { ILogClient } from '../../common/routed/logClient.js'
import { delay } from '../steadyClock.js'

export const SNAPSHOT_TOPIC = 'keyed.copies'
/** Each is a whole copy: the log may lose touch with some of its partitions. */
const COPY_PARTITIONS = 3
/** How often the writer looks for changes. */
const CHECK_MS = 250
/** A starting node hears its peers first, so that not all of them write. */
const START_DELAY_MS = 2_000
/** The writer compares its copies with the log again after this, since another writer may have changed them meanwhile. */
const RELOAD_MS = 30_000
const RETRY_MS = 1_000
const CALL_TIMEOUT_MS = 500
const RECORDS_PER_APPEND = 200
/** Between the name of the topic and the key of a record; topics have no spaces. */
const SEPARATOR = ' '
const MAX_KEY_BYTES = 255

export interface TopicSnapshotsOptions {
  log: ILogClient
  /** The newest records of each topic to copy; undefined while this node has not read all of them from the log. */
  contents: () => ReadonlyMap<string, readonly KeyedRecord[]> | undefined
  /** True on the one node that writes the copies; two writers do no harm. */
  isWriter: () => boolean
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const copies = new TopicCopies({ log, contents, isWriter, write })
 * copies.start()
 * const workers = await copies.read('keyed.servers')
 */
export class TopicSnapshots {
  private _changeCount = 0
  private _isStopped = false

  constructor (private readonly _options: TopicSnapshotsOptions) {}

  start (): void {
    for (let partition = 0; partition < COPY_PARTITIONS; partition++) void this._keepCopy(partition)
  }

  stop (): void {
    this._isStopped = true
  }

  /** A record of a copied topic has changed. */
  noteChanged (): void {
    this._changeCount++
  }

  /** The copied records of a topic; undefined when no copy can be read or none holds the topic. */
  async read (topic: string): Promise<KeyedRecord[] | undefined> {
    const prefix = topic + SEPARATOR
    for (let partition = 0; partition < COPY_PARTITIONS; partition++) {
      const copy = await this._readCopy(partition)
      const records = [...copy ?? []]
        .filter(([key]) => key.startsWith(prefix))
        .map(([key, value]) => ({ key: key.slice(prefix.length), value }))
      if (records.length === 0) continue
      this._options.write('copyRead', { topic, partition, records: records.length })
      return records
    }
    return undefined
  }

  private async _keepCopy (partition: number): Promise<void> {
    await delay(START_DELAY_MS)
    let copy: Map<string, Uint8Array> | undefined
    let copiedCount = -1
    let loadedAgoMs = 0
    while (!this._isStopped) {
      await delay(CHECK_MS)
      loadedAgoMs += CHECK_MS
      const contents = this._options.contents()
      if (contents === undefined || !this._options.isWriter()) {
        copy = undefined
        continue
      }
      if (copy === undefined || loadedAgoMs >= RELOAD_MS) {
        copy = await this._readCopy(partition)
        copiedCount = -1
        loadedAgoMs = 0
      }
      if (copiedCount === this._changeCount) continue
      const changeCount = this._changeCount
      if (copy !== undefined && await this._bringUpToDate(partition, copy, contents)) {
        copiedCount = changeCount
      } else {
        copy = undefined
        await delay(RETRY_MS)
      }
    }
  }

  private async _bringUpToDate (partition: number, copy: Map<string, Uint8Array>, contents: ReadonlyMap<string, readonly KeyedRecord[]>): Promise<boolean> {
    const changes = this._findChanges(copy, contents)
    for (let from = 0; from < changes.length; from += RECORDS_PER_APPEND) {
      const records = changes.slice(from, from + RECORDS_PER_APPEND)
      const result = await this._options.log.append({ topic: SNAPSHOT_TOPIC, partition, records, timeoutMs: CALL_TIMEOUT_MS })
      if (result.type !== 'appended') {
        this._options.write('copyDelayed', { partition, changes: changes.length, detail: 'detail' in result ? result.detail : result.type })
        return false
      }
      for (const { key, value } of records) {
        if (value === undefined) copy.delete(key)
        else copy.set(key, value)
      }
    }
    if (changes.length > 0) this._options.write('copyWritten', { partition, changes: changes.length, records: copy.size })
    return true
  }

  private _findChanges (copy: ReadonlyMap<string, Uint8Array>, contents: ReadonlyMap<string, readonly KeyedRecord[]>): KeyedRecord[] {
    const wanted = new Map<string, Uint8Array>()
    for (const [topic, records] of contents) {
      for (const { key, value } of records) {
        const copyKey = topic + SEPARATOR + key
        if (value !== undefined && Buffer.byteLength(copyKey) <= MAX_KEY_BYTES) wanted.set(copyKey, value)
      }
    }
    const changes: KeyedRecord[] = []
    for (const [key, value] of wanted) {
      const copied = copy.get(key)
      if (copied === undefined || Buffer.compare(copied, value) !== 0) changes.push({ key, value })
    }
    for (const key of copy.keys()) {
      if (!wanted.has(key)) changes.push({ key })
    }
    return changes
  }

  private async _readCopy (partition: number): Promise<Map<string, Uint8Array> | undefined> {
    const copy = new Map<string, Uint8Array>()
    let afterKey: string | undefined
    for (;;) {
      const page = await this._options.log.readNewest({ topic: SNAPSHOT_TOPIC, partition, afterKey, timeoutMs: CALL_TIMEOUT_MS })
      if (page.type === 'failed') {
        this._options.write('copyUnreadable', { partition, detail: page.detail })
        return undefined
      }
      for (const { key, value } of page.records) {
        if (value !== undefined) copy.set(key, value)
      }
      afterKey = page.records.at(-1)?.key
      if (!page.hasMore || afterKey === undefined) return copy
    }
  }
}
