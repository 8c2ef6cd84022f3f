import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { NodeAddress, NodeStatus } from '../../../src/common/routed/routedPeerMessages.js'
import { PeerMesh } from '../../../src/node/routed/peerMesh.js'

/** Below the ephemeral port range, from which outgoing connections get their local ports. */
let nextPort = 19_000 + process.pid % 500

function nextAddress (): string {
  return `127.0.0.1:${nextPort++}`
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !isDone(); tries++) await new Promise<void>(resolve => { setTimeout(resolve, 10) })
}

function createMesh (self: NodeAddress, onStatus: (status: NodeStatus) => void = () => {}, onDisconnected: (peer: string) => void = () => {}): PeerMesh {
  return new PeerMesh({ self, onStatus, onRequest: () => {}, onConnected: () => {}, onDisconnected })
}

function createAddress (node: string): NodeAddress {
  return { node, incarnation: '1', zone: 'a', peerAddress: nextAddress(), callerAddress: '' }
}

function createStatus (from: NodeAddress): NodeStatus {
  return { type: 'status', from, periodMs: 200, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores: 1, logSilenceMs: 0, busyShare: 0, load: {} }
}

test('statuses arrive whole, and all but the first of a connection are small', async () => {
  const [near, far] = [createAddress('near'), createAddress('far')]
  const statuses: NodeStatus[] = []
  const [sender, receiver] = [createMesh(near), createMesh(far, status => statuses.push(status))]
  await receiver.listen()
  sender.addPeer(far)
  await waitUntil(() => sender.isConnected('far'))
  const status: NodeStatus = { ...createStatus(near), owned: [[3, 17]], reachesWorkers: false, load: { 'i-9cbb8e0123': 2 }, rateLimitedShards: ['engines/0/1'] }
  for (let count = 0; count < 3; count++) sender.sendStatus(status)
  await waitUntil(() => statuses.length === 3)
  assert.equal(statuses, [status, status, status])
  await Promise.all([sender.close(), receiver.close()])
})

test('the disconnection of a peer is reported as soon as its connection closes', async () => {
  const [near, far] = [createAddress('near'), createAddress('far')]
  const disconnected: string[] = []
  const [sender, receiver] = [createMesh(near, undefined, peer => disconnected.push(peer)), createMesh(far)]
  await receiver.listen()
  sender.addPeer(far)
  await waitUntil(() => sender.isConnected('far'))
  await receiver.close()
  await waitUntil(() => disconnected.length > 0)
  assert.equal(disconnected, ['far'])
  await sender.close()
})

test.run()
