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

const PEERS_PERIOD_MS = 100

function createMesh (self: NodeAddress, onStatus: (status: NodeStatus) => void = () => {}, onDisconnected: (peer: string) => void = () => {}): PeerMesh {
  return new PeerMesh({ self, peersPeriodMs: PEERS_PERIOD_MS, onStatus, onRequest: () => {}, onConnected: () => {}, onDisconnected })
}

function createAddress (node: string): NodeAddress {
  return { node, incarnation: '1', zone: 'a', peerAddress: nextAddress(), callerAddress: '' }
}

function createStatus (from: NodeAddress): NodeStatus {
  return { type: 'status', from, periodMs: 200, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores: 1, logSilenceMs: 0, load: {} }
}

test('the list of peers is sent with the first status of a connection, and after changes at most once per period', async () => {
  const [near, far] = [createAddress('near'), createAddress('far')]
  const statuses: NodeStatus[] = []
  const [sender, receiver] = [createMesh(near), createMesh(far, status => statuses.push(status))]
  await receiver.listen()
  sender.addPeer(far)
  await waitUntil(() => sender.isConnected('far'))
  const status = createStatus(near)
  const send = (peersVersion: string): void => sender.sendStatus({ status, peers: [far], peersVersion })
  for (const peersVersion of ['1', '1', '2', '3']) send(peersVersion)
  await new Promise<void>(resolve => { setTimeout(resolve, PEERS_PERIOD_MS + 20) })
  for (const peersVersion of ['3', '3']) send(peersVersion)
  await waitUntil(() => statuses.length === 6)
  assert.equal(statuses.map(({ peers }) => peers?.length), [1, undefined, undefined, undefined, 1, undefined])
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
