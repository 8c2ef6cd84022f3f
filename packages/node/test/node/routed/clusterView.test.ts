/** Tests when a node counts its document as up to date, and what it sends to peers that can't read a topic. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { IRouteTable, IWorkerRegistry, createContainer, SeededRandom } from '@trefoilshunt/core'
import type { NodeAddress, PeerReply, PeerRequest } from '../../../src/common/routed/routedPeerMessages.js'
import { ClusterView } from '../../../src/node/routed/clusterView.js'
import { NodeDirectory } from '../../../src/node/routed/nodeDirectory.js'
import type { PeerMesh } from '../../../src/node/routed/peerMesh.js'
import { FakeLog } from './fakeLog.js'

const SELF: NodeAddress = { node: 'n0', incarnation: '1', zone: 'a', peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:2' }
const PEER_COUNT = 194

async function pause (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

/** A view of a log that holds version 1 of a document with `documentBytes`. Peers answer as `reply` says. */
async function startView (documentBytes: number, reply: (request: PeerRequest) => PeerReply | undefined = () => undefined): Promise<{ view: ClusterView, requests: PeerRequest[], directory: NodeDirectory, log: FakeLog }> {
  const log = new FakeLog()
  log.log.append('keyed.op', 0, [{ key: 'config', value: Buffer.alloc(documentBytes, '1') }])
  const container = createContainer({ seed: 1, plugins: ['routing', 'workers'] })
  const directory = new NodeDirectory({ self: SELF, nowMs: () => performance.now(), onAdded: () => {}, onRemoved: () => {} })
  const requests: PeerRequest[] = []
  const mesh = {
    requestOnce: async (_peer: string, request: PeerRequest) => {
      requests.push(request)
      return reply(request)
    }
  }
  const view = new ClusterView({
    node: SELF.node,
    zone: SELF.zone,
    random: new SeededRandom(1),
    documentTopic: 'keyed.op',
    documentKey: 'config',
    workerTopic: 'keyed.servers',
    log,
    maxRecordBytes: 262_144,
    maxAppendBytes: 2_000_000,
    codec: {
      decodeDocument: bytes => ({ version: Number(String.fromCharCode(bytes[0])), routes: [], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }),
      decodeRegistration: () => undefined
    },
    routes: container.resolve<IRouteTable>(IRouteTable),
    registry: container.resolve<IWorkerRegistry>(IWorkerRegistry),
    directory,
    mesh: mesh as unknown as PeerMesh,
    crashRecords: { apply: () => {} },
    sinceMembershipConfirmedMs: () => 0,
    write: () => {}
  })
  view.start()
  await pause(100)
  return { view, requests, directory, log }
}

test('a document is not up to date while a peer has a newer one, which is fetched once however many peers tell of it', async () => {
  const { view, requests } = await startView(10, ({ type }) => type === 'topic' ? { type: 'topicContent', records: [{ key: 'config', value: Buffer.from('2') }] } : undefined)
  assert.is(view.isDocumentFresh, true)
  for (let index = 1; index <= PEER_COUNT; index++) view.handlePeerVersion(`n${index}`, 2)
  assert.is(view.isDocumentFresh, false)
  await pause(500)
  assert.is(view.isDocumentFresh, true)
  assert.is(requests.length, 1)
  view.stop()
})

test('a node that can no longer read a topic gets no copy of what it has', async () => {
  const peer = await startView(10)
  const replies: PeerReply[] = []
  const node = await startView(10, request => {
    if (request.type !== 'topic') return undefined
    const reply = peer.view.answerTopic(request.topic, request.knownDigest)
    replies.push(reply)
    return reply
  })
  node.directory.applyStatus({ type: 'status', from: { ...SELF, node: 'n1' }, periodMs: 60_000, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores: 1, logSilenceMs: 0, busyShare: 0, load: {} })
  node.log.isDown = true
  await pause(3_000)
  assert.ok(replies.length > 0)
  assert.equal(replies.filter(reply => reply.type !== 'topicContent' || reply.isUnchanged !== true), [])
  assert.ok((peer.view.answerTopic('keyed.op', 'another') as { records?: unknown }).records !== undefined)
  for (const { view } of [peer, node]) view.stop()
})

test('a node sends large documents to few peers at a time', async () => {
  const { view } = await startView(500_000)
  const sent = Array.from({ length: PEER_COUNT }, () => view.answerTopic('keyed.op')).filter(reply => reply.type === 'topicContent' && reply.records !== undefined)
  assert.is(sent.length, 3)
  view.stop()
})

test.run()
