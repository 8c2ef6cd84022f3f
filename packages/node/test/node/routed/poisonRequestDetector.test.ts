/** Tests what a node tells its peers of requests that crash workers. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ProbeResult, SeededRandom, SuspectRequests } from '@trefoilshunt/core'
import { PoisonRequestDetector } from '../../../src/node/routed/poisonRequestDetector.js'
import { ReportedRequests } from '../../../src/node/routed/reportedRequests.js'
import { FakeLog } from './fakeLog.js'

const CRASHES = [9_000, 6_000, 3_000].map((agoMs, index) => ({ fingerprint: 'f', worker: `w${index}@1`, agoMs, sentAgoMs: agoMs + 20 }))

function createDetector (): PoisonRequestDetector {
  return new PoisonRequestDetector({
    topic: 'keyed.nodes',
    log: new FakeLog(),
    random: new SeededRandom(1),
    onCrashObserved: () => {},
    isRegistered: () => false,
    reporter: { end: () => {}, endUnanswered: () => {}, endServed: () => {} },
    reported: new ReportedRequests(),
    isSenderAlive: () => false,
    probe: async () => ProbeResult.Silent,
    write: () => {}
  })
}

test('a node that knows crashes from its statuses only can quarantine a request that others have quarantined', () => {
  const detector = createDetector()
  detector.applyReport({ crashes: CRASHES, quarantined: [] })
  assert.is(detector.quarantinedCount, 1)
  assert.equal(detector.crashesToReport({ includesQuarantined: false }), [], 'this node has observed none')
  // As nodes of earlier builds count: by the times of the crashes.
  const earlier = new SuspectRequests({ crashesToQuarantine: 3, spacingMs: 500 })
  for (const { fingerprint, worker, agoMs } of detector.crashesToReport({ includesQuarantined: true })) earlier.addCrash(fingerprint, { worker, crashedAtMs: -agoMs })
  assert.ok(earlier.isQuarantined('f'))
  detector.dispose()
})

test('a peer that connects is told of crashes and quarantines', () => {
  const detector = createDetector()
  assert.is(detector.report, undefined)
  detector.applyReport({ crashes: CRASHES.slice(1), quarantined: ['g'] })
  const peer = createDetector()
  peer.applyReport(detector.report ?? { crashes: [], quarantined: [] })
  assert.equal([peer.suspectCount, peer.quarantinedCount], [1, 1])
  detector.dispose()
  peer.dispose()
})

test.run()
