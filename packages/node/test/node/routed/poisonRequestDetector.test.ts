/** Tests what a node tells its peers of requests that crash workers. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ProbeResult, SeededRandom, SuspectRequests } from '@trefoilshunt/core'
import { PoisonRequestDetector, type PoisonRequestDetectorOptions, type UnansweredAttempt } from '../../../src/node/routed/poisonRequestDetector.js'
import { ReportedRequests } from '../../../src/node/routed/reportedRequests.js'
import { createWorker } from './streamOriginNodes.js'
import { VirtualTime } from './virtualTime.js'
import { FakeLog } from './fakeLog.js'

const CRASHES = [9_000, 6_000, 3_000].map((agoMs, index) => ({ fingerprint: 'f', worker: `w${index}@1`, agoMs, sentAgoMs: agoMs + 20 }))

function createDetector (options: Partial<PoisonRequestDetectorOptions> = {}): PoisonRequestDetector {
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
    listSilenceMs: () => 0,
    write: () => {},
    ...options
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

const REQUEST = { callerAddress: '127.0.0.1', method: 'POST', host: 'h', path: '/a/', body: Buffer.from('x'), requestId: 'r' } as unknown as UnansweredAttempt['request']

test('a connection that broke at a leaving worker counts when its entry goes, a request that was given up there does not', async () => {
  await VirtualTime.run(async time => {
    const detector = createDetector()
    for (const [workerId, isBroken] of [['w1', true], ['w2', false], ['w3', true], ['w4', true]] as const) {
      const worker = createWorker(workerId, 'v1')
      const sentAtMs = time.nowMs
      await time.advance(50)
      await detector.handleUnanswered({ request: REQUEST, worker, sentAtMs, isBroken })
      detector.handleWorkerLost(worker, { ...worker, isDraining: true }, true)
      assert.is(detector.quarantinedCount, 0)
      await time.advance(2_000)
      detector.handleWorkerLost(worker, undefined, true)
    }
    assert.is(detector.quarantinedCount, 1)
    detector.dispose()
  })
})

test('a request that was given up counts although the list of workers was silent for longer than it is watched', async () => {
  await VirtualTime.run(async time => {
    let listSilenceMs = 0
    const detector = createDetector({ listSilenceMs: () => listSilenceMs })
    const worker = createWorker('w1', 'v1')
    await detector.handleUnanswered({ request: REQUEST, worker, sentAtMs: time.nowMs, isBroken: false })
    for (; listSilenceMs < 16_000; listSilenceMs += 1_000) await time.advance(1_000)
    listSilenceMs = 0
    await time.advance(2_000)
    detector.handleWorkerLost(worker, { ...worker, startedAtMs: 2 }, false)
    assert.is(detector.suspectCount, 1)
    detector.dispose()
  })
})

test('requests that are no longer watched because there are too many leave a line in the log', async () => {
  await VirtualTime.run(async time => {
    const lines: string[] = []
    const detector = createDetector({ write: event => lines.push(event) })
    for (let index = 0; index < 5_010; index++) await detector.handleUnanswered({ request: REQUEST, worker: createWorker(`w${index}`, 'v1'), sentAtMs: 0, isBroken: false })
    await time.advance(3_000)
    assert.equal(lines, ['suspicionsDropped'])
    detector.dispose()
  })
})

test('a crash that another node has cleared is not told to peers any more', async () => {
  await VirtualTime.run(async time => {
    const detector = createDetector()
    const worker = createWorker('w1', 'v1')
    await detector.handleUnanswered({ request: REQUEST, worker, sentAtMs: time.nowMs, isBroken: true })
    detector.handleWorkerLost(worker, undefined, false)
    const [{ fingerprint }] = detector.crashesToReport({ includesQuarantined: false })
    detector.records.apply({ key: `crash/${fingerprint}/w1@1`, value: undefined })
    assert.equal(detector.crashesToReport({ includesQuarantined: false }), [])
    detector.dispose()
  })
})

test.run()
