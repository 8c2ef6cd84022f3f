import { Packr } from 'msgpackr'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import type { NodeStatus } from '../../../src/common/routed/routedPeerMessages.js'
import { compactStatus, expandStatus } from '../../../src/node/routed/statusCodec.js'
import { statusPeriodMs } from '../../../src/node/routed/statusPeriod.js'

const FROM = { node: 'edge-saskatoon-39', incarnation: '0mp2ieqhb35fa', peerAddress: '10.1.0.139:8427', callerAddress: '10.1.0.139:8420', zone: 'saskatoon' }
/** What control may send a second, from the target of 3 KB for a node of the designed system. */
const MAX_BYTES_PER_S = 3_000
const DESIGNED_PEERS = 439
const MS_PER_S = 1_000

const optional = <T>(arbitrary: fc.Arbitrary<T>): fc.Arbitrary<T | undefined> => fc.option(arbitrary, { nil: undefined })

test('a status is the same after its short form', () => {
  const fields = fc.record({
    isReady: fc.boolean(),
    isDraining: fc.boolean(),
    reachesWorkers: optional(fc.boolean()),
    periodMs: fc.nat(10_000),
    documentVersion: fc.nat(),
    logSilenceMs: fc.oneof(fc.nat(60_000), fc.constant(Number.POSITIVE_INFINITY)),
    cores: fc.constantFrom(0.324, 0.675, 1.35),
    busyShare: fc.nat(100).map(percent => percent / 100),
    owned: fc.array(fc.tuple(fc.nat(12), fc.nat())),
    // No worker has the id '__proto__': `DocumentCodec` takes no such entry.
    load: fc.dictionary(fc.string({ minLength: 1 }).filter(workerId => workerId !== '__proto__'), fc.nat(64), { noNullPrototype: true }),
    readsCrashRecords: optional(fc.constant(true)),
    takesRequestReports: optional(fc.constant(true)),
    holdsStreamOutputs: optional(fc.constant(true)),
    rateLimitedShards: optional(fc.array(fc.string()))
  })
  const packr = new Packr({ useRecords: false })
  fc.assert(fc.property(fields, drawn => {
    const status = Object.fromEntries(Object.entries({ type: 'status', from: FROM, ...drawn }).filter(([, value]) => value !== undefined)) as unknown as NodeStatus
    assert.equal(expandStatus(packr.unpack(packr.pack(compactStatus(status))), FROM), status)
  }))
})

test('the statuses of a node fit what control may send, at the designed number of nodes', () => {
  const status: NodeStatus = { type: 'status', from: FROM, periodMs: statusPeriodMs(DESIGNED_PEERS), isReady: true, isDraining: false, owned: [], documentVersion: 1_000, cores: 1.35, busyShare: 0.123, logSilenceMs: 87.4, reachesWorkers: true, load: { 'i-9cbb8e0123': 1 } }
  const bytes = new Packr({ useRecords: false }).pack({ t: 'u', u: compactStatus(status) }).length
  const bytesPerS = bytes * DESIGNED_PEERS * MS_PER_S / status.periodMs
  assert.ok(bytesPerS <= MAX_BYTES_PER_S, `${bytes} bytes, ${bytesPerS} a second`)
})

test.run()
