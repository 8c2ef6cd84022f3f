/**
 * Snapshots of topics that other systems write, stored in a topic of this system. When all nodes restart while a part of the log
 * is unavailable, neither the log nor a peer has the content of those topics.
 */
import type { KeyedRecord, LogFields } from '@trefoilshunt/core'
import type { ILogClient } from '../../common/routed/logClient.js'
import { delay } from '../steadyClock.js'
import { groupRecords, joinRecords, splitRecord } from './recordParts.js'

/** Topic that holds the snapshots. */
export const SNAPSHOT_TOPIC = 'keyed.copies'
/** Each partition holds a whole snapshot, because some partitions of the log may be unavailable. */
const SNAPSHOT_PARTITIONS = 3
/** Period at which the writer checks for changes. */
const CHECK_PERIOD_MS = 250
/** Gives a starting node time to find its peers, so that only one of them writes. */
const START_DELAY_MS = 2_000
/** Period at which the writer reads its snapshots again, because another writer may have changed them. */
const RELOAD_PERIOD_MS = 30_000
const RETRY_MS = 1_000
const CALL_TIMEOUT_MS = 500
const RECORDS_PER_APPEND = 200
/** Of the largest record, what its length, key and the length of the key take. */
const RECORD_OVERHEAD_BYTES = 1_024
/** Between the name of the topic and the key of a record. Names of topics have no spaces. */
const SEPARATOR = ' '
/** The log stores the length of a key in one byte, and parts of records have longer keys. Records whose key is longer with the name of the topic are left out. */
const MAX_KEY_BYTES = 250

export interface TopicSnapshotsOptions {
  log: ILogClient
  /** Largest record that the log accepts; larger ones are stored in parts. */
  maxRecordBytes: number
  /** Largest append that the log accepts. */
  maxAppendBytes: number
  /** The newest records of each topic to store; undefined while this node has not read all of these topics from the log. */
  contents: () => ReadonlyMap<string, readonly KeyedRecord[]> | undefined
  /** True on the node that writes the snapshots. Two writers at once do no harm. */
  isWriter: () => boolean
  /** Writes a log line. */
  write: (event: string, fields: LogFields) => void
}

/**
 * Writes the snapshots on one node and reads them on every node.
 *
 * @example
 * const snapshots = new TopicSnapshots({ log, contents, isWriter, write })
 * snapshots.start()
 * const workers = await snapshots.read('keyed.servers')
 */
export class TopicSnapshots {
  private _changeCount = 0
  private _isStopped = false

  constructor (private readonly _options: TopicSnapshotsOptions) {}

  /** Starts to write the snapshots whenever this node is the writer. */
  start (): void {
    for (let partition = 0; partition < SNAPSHOT_PARTITIONS; partition++) void this._maintainSnapshot(partition)
  }

  /** Stops writing after the write in progress. */
  stop (): void {
    this._isStopped = true
  }

  /** To be called when a record of a topic with a snapshot has changed, so that the snapshots are updated. */
  markChanged (): void {
    this._changeCount++
  }

  /** The records of a topic, from the first snapshot that holds any; undefined when none can be read or none holds the topic. */
  async read (topic: string): Promise<KeyedRecord[] | undefined> {
    const prefix = topic + SEPARATOR
    for (let partition = 0; partition < SNAPSHOT_PARTITIONS; partition++) {
      const snapshot = await this._readSnapshot(partition)
      const records = joinRecords([...snapshot ?? []].filter(([key]) => key.startsWith(prefix)).map(([key, value]) => [key.slice(prefix.length), value] as const))
      if (records.length === 0) continue
      this._options.write('copyRead', { topic, partition, records: records.length })
      return records
    }
    return undefined
  }

  private async _maintainSnapshot (partition: number): Promise<void> {
    await delay(START_DELAY_MS)
    let snapshot: Map<string, Uint8Array> | undefined
    let writtenChangeCount = -1
    let sinceReloadMs = 0
    while (!this._isStopped) {
      await delay(CHECK_PERIOD_MS)
      sinceReloadMs += CHECK_PERIOD_MS
      const contents = this._options.contents()
      if (contents === undefined || !this._options.isWriter()) {
        snapshot = undefined
        continue
      }
      if (snapshot === undefined || sinceReloadMs >= RELOAD_PERIOD_MS) {
        snapshot = await this._readSnapshot(partition)
        writtenChangeCount = -1
        sinceReloadMs = 0
      }
      if (writtenChangeCount === this._changeCount) continue
      const changeCount = this._changeCount
      if (snapshot !== undefined && await this._writeChanges(partition, snapshot, contents)) {
        writtenChangeCount = changeCount
      } else {
        snapshot = undefined
        await delay(RETRY_MS)
      }
    }
  }

  private async _writeChanges (partition: number, snapshot: Map<string, Uint8Array>, contents: ReadonlyMap<string, readonly KeyedRecord[]>): Promise<boolean> {
    const changes = this._findChanges(snapshot, contents)
    const groups = groupRecords(changes, { maxBytes: this._options.maxAppendBytes, maxRecords: RECORDS_PER_APPEND })
    for (let records = groups.shift(); records !== undefined; records = groups.shift()) {
      const result = await this._options.log.append({ topic: SNAPSHOT_TOPIC, partition, records, timeoutMs: CALL_TIMEOUT_MS })
      if (result.type === 'rejected') {
        // Only the records that the log never accepts are left out.
        if (records.length > 1) groups.unshift(...records.map(record => [record]))
        else this._options.write('copyRejected', { partition, recordKey: records[0].key, detail: result.detail })
        continue
      }
      if (result.type !== 'appended') {
        this._options.write('copyDelayed', { partition, changes: changes.length, detail: 'detail' in result ? result.detail : result.type })
        return false
      }
      for (const { key, value } of records) {
        if (value === undefined) snapshot.delete(key)
        else snapshot.set(key, value)
      }
    }
    if (changes.length > 0) this._options.write('copyWritten', { partition, changes: changes.length, records: snapshot.size })
    return true
  }

  private _findChanges (snapshot: ReadonlyMap<string, Uint8Array>, contents: ReadonlyMap<string, readonly KeyedRecord[]>): KeyedRecord[] {
    const expected = new Map<string, Uint8Array>()
    for (const [topic, records] of contents) {
      for (const { key, value } of records) {
        const snapshotKey = topic + SEPARATOR + key
        if (value === undefined || Buffer.byteLength(snapshotKey) > MAX_KEY_BYTES) continue
        for (const part of splitRecord({ key: snapshotKey, value }, this._options.maxRecordBytes - RECORD_OVERHEAD_BYTES)) expected.set(part.key, part.value)
      }
    }
    const changes: KeyedRecord[] = []
    for (const [key, value] of expected) {
      const stored = snapshot.get(key)
      if (stored === undefined || Buffer.compare(stored, value) !== 0) changes.push({ key, value })
    }
    for (const key of snapshot.keys()) {
      if (!expected.has(key)) changes.push({ key })
    }
    return changes
  }

  private async _readSnapshot (partition: number): Promise<Map<string, Uint8Array> | undefined> {
    const snapshot = new Map<string, Uint8Array>()
    let afterKey: string | undefined
    for (;;) {
      const page = await this._options.log.readNewest({ topic: SNAPSHOT_TOPIC, partition, afterKey, timeoutMs: CALL_TIMEOUT_MS })
      if (page.type === 'failed') {
        this._options.write('copyUnreadable', { partition, detail: page.detail })
        return undefined
      }
      for (const { key, value } of page.records) {
        if (value !== undefined) snapshot.set(key, value)
      }
      afterKey = page.records.at(-1)?.key
      if (!page.hasMore || afterKey === undefined) return snapshot
    }
  }
}
