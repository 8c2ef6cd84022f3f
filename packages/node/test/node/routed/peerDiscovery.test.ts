/** Tests when a node asks its peers for the nodes that they know, and whether it then finds all of them. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '@trefoilshunt/core'
import type { NodeAddress, PeerReply, PeerRequest } from '../../../src/common/routed/routedPeerMessages.js'
import { NodeDirectory } from '../../../src/node/routed/nodeDirectory.js'
import { PeerDiscovery } from '../../../src/node/routed/peerDiscovery.js'

const NODE_COUNT = 195

function createAddress (index: number): NodeAddress {
  return { node: `n${index}`, incarnation: '1', zone: `z${index % 5}`, peerAddress: `10.0.0.${index}:1`, callerAddress: `10.0.0.${index}:2` }
}

/** A node whose requests to peers are answered by `reply`. */
function createNode (self: NodeAddress, isNodeListRead: boolean, reply: (peer: string, request: PeerRequest) => PeerReply | undefined): { directory: NodeDirectory, discovery: PeerDiscovery, asked: string[] } {
  const asked: string[] = []
  const directory = new NodeDirectory({ self, nowMs: () => performance.now(), onAdded: () => {}, onRemoved: () => {} })
  const mesh = {
    isConnected: () => true,
    requestOnce: async (peer: string, request: PeerRequest) => {
      asked.push(peer)
      return reply(peer, request)
    }
  }
  return { directory, discovery: new PeerDiscovery({ self, directory, mesh, isNodeListRead: () => isNodeListRead, random: new SeededRandom(1), write: () => {} }), asked }
}

function answerOf (discovery: PeerDiscovery): PeerReply | undefined {
  let reply: PeerReply | undefined
  discovery.handle({ type: 'nodes' }, answer => { reply = answer })
  return reply
}

function applyStatus (directory: NodeDirectory, from: NodeAddress): void {
  directory.applyStatus({ type: 'status', from, periodMs: 60_000, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores: 1, logSilenceMs: 0, busyShare: 0, load: {} })
}

async function settle (): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
}

test('a node that starts without the log learns of all nodes from its first peer', async () => {
  const peer = createNode(createAddress(0), true, () => undefined)
  for (let index = 1; index < NODE_COUNT; index++) applyStatus(peer.directory, createAddress(index))
  const starting = createNode(createAddress(NODE_COUNT), false, () => answerOf(peer.discovery))
  starting.discovery.handleConnected('seed-0')
  await settle()
  assert.is(starting.directory.size, NODE_COUNT)
  assert.equal(starting.asked, ['seed-0'])
})

test('many connections at once lead to a single request', async () => {
  const starting = createNode(createAddress(0), false, () => ({ type: 'nodeList', nodes: [] }))
  for (let index = 1; index < NODE_COUNT; index++) starting.discovery.handleConnected(`n${index}`)
  await settle()
  assert.is(starting.asked.length, 1)
})

test('while the log tells which nodes there are, no peer is asked', async () => {
  const node = createNode(createAddress(0), true, () => undefined)
  applyStatus(node.directory, createAddress(1))
  node.discovery.start()
  for (let index = 1; index < NODE_COUNT; index++) node.discovery.handleConnected(`n${index}`)
  await new Promise<void>(resolve => { setTimeout(resolve, 1_100) })
  node.discovery.stop()
  assert.equal(node.asked, [])
})

test('while the list of nodes is not read, a peer of the own zone is asked again and again', async () => {
  const node = createNode(createAddress(0), false, () => ({ type: 'nodeList', nodes: [createAddress(9)] }))
  for (let index = 1; index < 11; index++) applyStatus(node.directory, createAddress(index))
  node.discovery.start()
  await new Promise<void>(resolve => { setTimeout(resolve, 1_100) })
  node.discovery.stop()
  assert.ok(node.asked.length > 0)
  assert.equal(node.asked.filter(peer => peer !== 'n5' && peer !== 'n10'), [])
})

test.run()
