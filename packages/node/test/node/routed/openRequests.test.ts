/** Tests that requests at workers are known to a peer, in virtual time. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PeerRequest, RequestReport } from '../../../src/common/routed/routedPeerMessages.js'
import type { RoutedRequest } from '../../../src/common/routed/routedRequest.js'
import { NodeDirectory } from '../../../src/node/routed/nodeDirectory.js'
import { OpenRequestReporter } from '../../../src/node/routed/openRequestReporter.js'
import type { PeerMesh } from '../../../src/node/routed/peerMesh.js'
import { ReportedRequests, senderKeyOf } from '../../../src/node/routed/reportedRequests.js'
import { fingerprintOf } from '../../../src/node/routed/requestFingerprint.js'
import { createStatus, createWorker } from './streamOriginNodes.js'
import { VirtualTime } from './virtualTime.js'

const WORKER = createWorker('w1', 'v1')
const LIFETIME = 'w1@1'
const test = suite('open requests')

function createRequest (body: string): RoutedRequest {
  return { callerAddress: '127.0.0.1', method: 'POST', host: 'h', path: '/a/', body: Buffer.from(body) } as unknown as RoutedRequest
}

interface ReporterTest {
  time: VirtualTime
  reporter: OpenRequestReporter
  held: ReportedRequests
  reports: RequestReport[]
}

async function withReporter (run: (context: ReporterTest) => Promise<void>): Promise<void> {
  await VirtualTime.run(async time => {
    const directory = new NodeDirectory({ self: createStatus('n0').from, nowMs: () => performance.now(), onAdded: () => {}, onRemoved: () => {} })
    directory.applyStatus({ ...createStatus('n1'), takesRequestReports: true })
    directory.applyStatus(createStatus('earlier'))
    const held = new ReportedRequests()
    const reports: RequestReport[] = []
    const mesh = {
      isConnected: () => true,
      notify: (to: string, request: PeerRequest) => {
        if (request.type !== 'requestsOpen') return
        assert.is(to, 'n1', 'the only peer that takes reports')
        reports.push(request)
        held.apply(request)
      }
    } as unknown as PeerMesh
    const reporter = new OpenRequestReporter({ node: 'n0', incarnation: '1', directory, mesh })
    await run({ time, reporter, held, reports })
    reporter.dispose()
  })
}

test('requests that are answered soon are not reported, others with their fingerprint and worker until they end', async () => {
  await withReporter(async ({ time, reporter, held, reports }) => {
    const quick = reporter.begin(createRequest('quick'), WORKER, { sentAtMs: performance.now(), isSuspect: false })
    const slow = reporter.begin(createRequest('slow'), WORKER, { sentAtMs: performance.now(), isSuspect: false })
    await time.advance(50)
    reporter.end(quick)
    await time.advance(200)
    assert.equal(held.listAt(LIFETIME).map(({ request: { fingerprint } }) => fingerprint), [fingerprintOf(createRequest('slow'))])
    assert.equal(held.listAt('w1@2'), [], 'another life of the worker')
    reporter.end(slow)
    await time.advance(1_000)
    assert.is(held.size, 0)
    assert.is(reports.length, 2)
  })
})

test('a suspect request is reported before it is sent', async () => {
  await withReporter(async ({ reporter, held }) => {
    reporter.begin(createRequest('suspect'), WORKER, { sentAtMs: performance.now(), isSuspect: true })
    assert.is(held.listAt(LIFETIME).length, 1)
  })
})

test('an unanswered request stays reported while its worker is watched, unless a worker serves it', async () => {
  await withReporter(async ({ time, reporter, held }) => {
    const requests = ['a', 'b'].map(createRequest)
    for (const request of requests) reporter.endUnanswered(reporter.begin(request, WORKER, { sentAtMs: performance.now(), isSuspect: false }), 10_000)
    await time.advance(1_000)
    assert.is(held.size, 2)
    reporter.endServed(fingerprintOf(requests[0]))
    await time.advance(1_000)
    assert.is(held.size, 1)
    await time.advance(11_000)
    assert.is(held.size, 0)
    assert.is(reporter.size, 0)
  })
})

test('a peer that has started again is told of all open requests', async () => {
  await withReporter(async ({ time, reporter, reports }) => {
    reporter.begin(createRequest('a'), WORKER, { sentAtMs: performance.now(), isSuspect: false })
    await time.advance(2_000)
    reporter.handleConnected('n1')
    await time.advance(200)
    assert.equal(reports.map(({ isReset, sent }) => [isReset, sent.length]), [[true, 1], [true, 1]])
  })
})

test('what a lost node had open is kept when it starts again, and for a minute', async () => {
  await withReporter(async ({ time, reporter, held }) => {
    reporter.begin(createRequest('a'), WORKER, { sentAtMs: performance.now(), isSuspect: false })
    await time.advance(200)
    reporter.dispose()
    held.apply({ from: 'n0', incarnation: '2', isReset: true, sent: [], ended: [] })
    assert.is(held.listAt(LIFETIME).length, 1)
    held.removeInactive(() => false)
    assert.is(held.size, 1)
    await time.advance(61_000)
    held.removeInactive(sender => sender === senderKeyOf({ from: 'n0', incarnation: '1' }))
    assert.is(held.size, 1, 'its sender lives')
    held.removeInactive(() => false)
    assert.is(held.size, 0)
  })
})

test.run()
