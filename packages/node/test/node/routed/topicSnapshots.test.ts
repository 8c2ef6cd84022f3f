/** Tests snapshots of topics with records that are larger than the log accepts from this system. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import type { KeyedRecord } from '@trefoilshunt/core'
import type { AppendRequest, AppendResult } from '@trefoilshunt/node'
import { joinRecords, splitRecord } from '../../../src/node/routed/recordParts.js'
import { TopicSnapshots } from '../../../src/node/routed/topicSnapshots.js'
import { FakeLog } from './fakeLog.js'

const MAX_RECORD_BYTES = 4_096
const MAX_APPEND_BYTES = 8_192
/** The writer waits for two seconds after its start and checks four times a second. */
const WRITTEN_AFTER_MS = 2_600

/** Refuses records and appends that are too large, as the platform's log does. */
class BoundedLog extends FakeLog {
  override async append (request: AppendRequest): Promise<AppendResult> {
    const sizes = request.records.map(({ key, value }) => 1 + key.length + (value?.length ?? 0))
    const isTooLarge = sizes.some(size => size > MAX_RECORD_BYTES) || sizes.reduce((total, size) => total + size + 4, 0) > MAX_APPEND_BYTES
    return isTooLarge ? { type: 'refused', detail: 'status 400' } : await super.append(request)
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

test('a document with thousands of routes is restored from the snapshots, and so is its next version', async () => {
  const log = new BoundedLog()
  const contents = new Map<string, KeyedRecord[]>()
  const setDocument = (byte: number, size: number): void => { contents.set('keyed.op', [{ key: 'config', value: Buffer.alloc(size, byte) }, { key: 'other', value: Buffer.from('x') }]) }
  setDocument(1, 30_000)
  const snapshots = new TopicSnapshots({ log, maxRecordBytes: MAX_RECORD_BYTES, maxAppendBytes: MAX_APPEND_BYTES, contents: () => contents, isWriter: () => true, write: () => {} })
  const readDocument = async (): Promise<Uint8Array | undefined> => (await snapshots.read('keyed.op'))?.find(({ key }) => key === 'config')?.value
  snapshots.start()
  await pause(WRITTEN_AFTER_MS)
  assert.equal(await readDocument(), Buffer.alloc(30_000, 1))
  for (const size of [9_000, 100]) {
    setDocument(2, size)
    snapshots.markChanged()
    await pause(400)
    assert.equal(await readDocument(), Buffer.alloc(size, 2))
  }
  snapshots.stop()
})

test('a record is whole again after its parts were joined, and absent if one of them is missing or of another value', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 300 }), fc.integer({ min: 20, max: 80 }), fc.nat(), (value, maxValueBytes, drawn) => {
    const parts = splitRecord({ key: 'k', value }, maxValueBytes).map(({ key, value: part }) => [key, part] as const)
    assert.ok(parts.every(([, part]) => part.length <= maxValueBytes))
    assert.equal(joinRecords(parts).map(record => ({ ...record, value: [...record.value] })), [{ key: 'k', value: [...value] }])
    if (parts.length < 2) return
    const index = drawn % parts.length
    assert.equal(joinRecords(parts.filter((_, other) => other !== index)), [])
    const otherParts = splitRecord({ key: 'k', value: value.map(byte => 255 - byte) }, maxValueBytes)
    assert.equal(joinRecords(parts.map((part, other) => other === index ? [part[0], otherParts[index].value] as const : part)), [])
  }))
})

test.run()
