/** Tests of the records of crashes and quarantines in the log. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Packr } from 'msgpackr'
import { CrashRecords, type RecordedCrash } from '../../../src/node/routed/crashRecords.js'
import { FakeLog } from './fakeLog.js'

const TOPIC = 'keyed.nodes'
const HOUR_MS = 3_600_000
/** Longer than records wait for others before they are appended. */
const SETTLE_MS = 350

interface Reader {
  records: CrashRecords
  crashes: RecordedCrash[]
  quarantined: string[]
  removed: string[]
  events: string[]
}

function createRecords (log: FakeLog): Reader {
  const reader: Omit<Reader, 'records'> = { crashes: [], quarantined: [], removed: [], events: [] }
  const records = new CrashRecords({
    topic: TOPIC,
    log,
    onCrash: crash => reader.crashes.push(crash),
    onCrashRemoved: (fingerprint, worker) => reader.removed.push(`${fingerprint} ${worker}`),
    onQuarantine: fingerprint => reader.quarantined.push(fingerprint),
    onQuarantineRemoved: fingerprint => reader.removed.push(fingerprint),
    write: event => reader.events.push(event)
  })
  return { ...reader, records }
}

async function pause (durationMs: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, durationMs) })
}

/** Feeds a reader with the newest records of the topic. */
function readTopic (log: FakeLog, { records }: Reader): void {
  for (const { key, value } of log.log.newest(TOPIC, 0, undefined, 500).items) if (CrashRecords.isKey(key)) records.apply({ key, value })
}

test('a node that starts later reads crashes with their times, and quarantines', async () => {
  const log = new FakeLog()
  const writer = createRecords(log)
  const nowMs = performance.now()
  writer.records.recordCrash({ fingerprint: 'f', worker: 'w/1@5', crashedAtMs: nowMs - 900, sentAtMs: nowMs - 1_000 })
  writer.records.recordQuarantine('g')
  await pause(SETTLE_MS)
  assert.is(writer.records.waitingCount, 0)
  const reader = createRecords(log)
  readTopic(log, reader)
  const [{ fingerprint, worker, crashedAtMs, sentAtMs = 0 }] = reader.crashes
  assert.equal([fingerprint, worker], ['f', 'w/1@5'])
  assert.ok(Math.abs(crashedAtMs - (nowMs - 900)) < 50)
  assert.ok(Math.abs(crashedAtMs - sentAtMs - 100) <= 2)
  assert.equal(reader.quarantined, ['g'])
  assert.ok(reader.records.isCrashRecorded('f', 'w/1@5'))
  assert.ok(reader.records.isQuarantineRecorded('g'))
})

test('records reach the log after an outage and lost answers', async () => {
  const log = new FakeLog()
  const { records, events } = createRecords(log)
  log.isDown = true
  records.recordCrash({ fingerprint: 'f', worker: 'w@1', crashedAtMs: performance.now() })
  await pause(SETTLE_MS)
  assert.is(records.waitingCount, 1)
  assert.ok(events.includes('crashRecordsDelayed'))
  log.isDown = false
  await pause(400)
  assert.is(records.waitingCount, 0)
  assert.is(log.log.newest(TOPIC, 0, undefined, 500).items.length, 1)
})

test('the crashes of a served request and records after their retention are removed', async () => {
  const log = new FakeLog()
  const writer = createRecords(log)
  for (const worker of ['w1@1', 'w2@1']) writer.records.recordCrash({ fingerprint: 'f', worker, crashedAtMs: performance.now() })
  await pause(SETTLE_MS)
  readTopic(log, writer)
  writer.records.removeCrashes('f')
  writer.records.apply({ key: 'quarantine/old', value: new Packr({ useRecords: false }).pack({ fingerprint: 'old', atMs: Date.now() - 25 * HOUR_MS }) })
  writer.records.removeExpired()
  await pause(SETTLE_MS)
  assert.equal(log.log.newest(TOPIC, 0, undefined, 500).items, [])
  const reader = createRecords(log)
  reader.records.apply({ key: 'crash/f/w/1@1' })
  reader.records.apply({ key: 'quarantine/f' })
  assert.equal(reader.removed, ['f w/1@1', 'f'])
})

test('unreadable records and keys that the log does not take are reported and dropped', async () => {
  const { records, crashes, quarantined, events } = createRecords(new FakeLog())
  const packr = new Packr({ useRecords: false })
  for (const bytes of [Buffer.from([0xc1]), packr.pack(null), packr.pack([1]), packr.pack({ fingerprint: 1, worker: 'w', atMs: 0 }), packr.pack({ fingerprint: 'f', worker: 'w', atMs: 'x' })]) {
    records.apply({ key: 'crash/f/w', value: bytes })
    records.apply({ key: 'quarantine/f', value: bytes })
  }
  assert.equal([crashes.length, quarantined.length], [0, 0])
  assert.ok(events.includes('crashRecordUnreadable'))
  records.recordCrash({ fingerprint: 'f', worker: 'w'.repeat(300), crashedAtMs: 0 })
  assert.ok(events.includes('crashRecordDropped'))
  assert.is(records.waitingCount, 0)
})

test.run()
