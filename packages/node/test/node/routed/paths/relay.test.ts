/** Tests calls that a peer makes for a node that is cut off from the workers, over real connections between the two. */
import { createServer } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Emitter, type IRouteTable, type IWorkerRegistry, type WorkerRegistration } from '@trefoilshunt/core'
import type { NodeAddress } from '../../../../src/common/routed/routedPeerMessages.js'
import { CallEndCause, type CallFailure, type IOpenWorkerCall, type IWorkerCallListener, type WorkerCall } from '../../../../src/common/routed/workerClient.js'
import type { NodeDirectory } from '../../../../src/node/routed/nodeDirectory.js'
import { RelayClient } from '../../../../src/node/routed/paths/relayClient.js'
import { RelayServer } from '../../../../src/node/routed/paths/relayServer.js'
import type { WorkerLinks } from '../../../../src/node/routed/paths/workerLinks.js'
import { PeerMesh } from '../../../../src/node/routed/peerMesh.js'
import type { WorkerNoticeReporter } from '../../../../src/node/routed/workerNoticeReporter.js'

const HEAD = { status: 200, headers: [['server-seal', 'x']] as Array<[string, string]>, isEventStream: false, notice: { limitPerS: 7 } }
const WORKER: WorkerRegistration = { workerId: 'w', service: 's', address: '10.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 4, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }
/** Generous bound on what a peer reads from a worker ahead of the node that it relays for. */
const MAX_AHEAD_BYTES = 256 * 1024

/** A call at the links of a peer. */
class FakeCall implements IOpenWorkerCall {
  readonly isSent = true
  isAborted = false
  isPaused = false

  constructor (readonly call: WorkerCall, readonly listener: IWorkerCallListener) {}

  abort (): void {
    this.isAborted = true
  }

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
  }
}

interface Peer {
  address: NodeAddress
  mesh: PeerMesh
  calls: FakeCall[]
  server: RelayServer
  /** False if the peer doesn't reach the worker. */
  isReaching: boolean
  /** True if the peer knows that the worker takes no new requests. */
  isWorkerDraining: boolean
  openRequests: number
}

interface Context {
  peers: Peer[]
  mesh: PeerMesh
  client: RelayClient
}

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  await new Promise<void>(resolve => { server.close(() => resolve()) })
  return port
}

async function createAddress (node: string): Promise<NodeAddress> {
  return { node, incarnation: '1', peerAddress: `127.0.0.1:${await findFreePort()}`, callerAddress: '', zone: 'a' }
}

async function startPeer (node: string): Promise<Peer> {
  const address = await createAddress(node)
  const calls: FakeCall[] = []
  const links = {
    mayCall: () => peer.isReaching,
    call: (call: WorkerCall, listener: IWorkerCallListener) => {
      const open = new FakeCall(call, listener)
      calls.push(open)
      return open
    }
  } as unknown as WorkerLinks
  const server = new RelayServer({
    links,
    registry: { find: (workerId: string) => workerId === WORKER.workerId ? { ...WORKER, isDraining: peer.isWorkerDraining } : undefined } as unknown as IWorkerRegistry,
    routes: { findService: () => undefined } as unknown as IRouteTable,
    nodeCount: () => 2,
    noticeReporter: { observe: () => {}, observeRefusal: () => {} } as unknown as WorkerNoticeReporter,
    beginRequest: () => {
      peer.openRequests++
      return () => { peer.openRequests-- }
    },
    write: () => {}
  })
  const mesh = new PeerMesh({
    self: address,
    onStatus: () => {},
    onRequest: (request, respond, requester) => { server.handle(request, respond, requester) },
    onConnected: () => {},
    onDisconnected: () => {}
  })
  await mesh.listen()
  const peer: Peer = { address, mesh, calls, server, isReaching: true, isWorkerDraining: false, openRequests: 0 }
  return peer
}

async function waitFor (isDone: () => boolean): Promise<void> {
  const endMs = performance.now() + 3_000
  while (!isDone()) {
    assert.ok(performance.now() < endMs, 'not within three seconds')
    await new Promise<void>(resolve => { setTimeout(resolve, 5) })
  }
}

/** Records what a call brings. */
class Recorder implements IWorkerCallListener {
  heads = 0
  bytes = 0
  isEnded = false
  limitPerS: number | undefined
  readonly failures: CallFailure[] = []

  onHead ({ notice }: typeof HEAD): void {
    this.heads++
    this.limitPerS = notice.limitPerS
  }

  onData (bytes: Uint8Array): void {
    this.bytes += bytes.length
  }

  onEnd (): void {
    this.isEnded = true
  }

  onFailed (failure: CallFailure): void {
    this.failures.push(failure)
  }
}

function createCall (): WorkerCall {
  return { workerId: 'w', address: '10.9.9.9:1', requestId: 'r', method: 'POST', path: '/x', headers: [['host', 'h']], body: [Buffer.from('he'), Buffer.from('llo')], deadlineMs: 2_000, maxConnections: 4, isRepeatable: false }
}

const test = suite<Context>('relayed calls')

test.before.each(async context => {
  context.peers = [await startPeer('p0'), await startPeer('p1')]
  const self = await createAddress('self')
  context.mesh = new PeerMesh({ self, onStatus: () => {}, onRequest: () => {}, onConnected: () => {}, onDisconnected: () => {} })
  for (const { address } of context.peers) context.mesh.addPeer(address)
  await waitFor(() => context.peers.every(({ address }) => context.mesh.isConnected(address.node)))
  const directory = { relays: ['p0', 'p1'] } as unknown as NodeDirectory
  context.client = new RelayClient({ node: 'self', incarnation: '1', directory, mesh: context.mesh, write: () => {} })
})

test.after.each(async ({ peers, mesh }) => { await Promise.all([mesh.close(), ...peers.map(async peer => await peer.mesh.close())]) })

function callsOf (peers: readonly Peer[]): FakeCall[] {
  return peers.flatMap(({ calls }) => calls)
}

test('a peer sends the request unchanged to the address that it knows itself, and the whole answer comes back', async ({ peers, client }) => {
  const recorder = new Recorder()
  client.call(createCall(), recorder)
  await waitFor(() => callsOf(peers).length === 1)
  const [{ call, listener }] = callsOf(peers)
  assert.is(call.address, WORKER.address)
  assert.is(Buffer.concat([...call.body]).toString(), 'hello')
  assert.equal([call.requestId, call.deadlineMs, call.isRepeatable], ['r', 2_000, false])
  listener.onHead(HEAD)
  listener.onData(Buffer.from('answer'))
  listener.onEnd()
  await waitFor(() => recorder.isEnded)
  assert.equal([recorder.heads, recorder.bytes, recorder.limitPerS, recorder.failures], [1, 6, 7, []])
  assert.equal(peers.map(({ server, openRequests }) => [server.openCount, openRequests]), [[0, 0], [0, 0]])
  assert.is(client.openCount, 0)
})

test('a call whose peer is lost midway may have run: it is reported as broken and given to no other peer', async ({ peers, client }) => {
  const recorder = new Recorder()
  client.call(createCall(), recorder)
  await waitFor(() => callsOf(peers).length === 1)
  const peer = peers.find(({ calls }) => calls.length === 1) as Peer
  await peer.mesh.close()
  await waitFor(() => recorder.failures.length > 0)
  assert.equal(recorder.failures.map(({ type }) => type), ['broken'])
  assert.is(callsOf(peers).length, 1)
})

test('a peer ends the call when the connection to the node that requested it is lost', async ({ peers, client, mesh }) => {
  client.call(createCall(), new Recorder())
  await waitFor(() => callsOf(peers).length === 1)
  await mesh.close()
  await waitFor(() => callsOf(peers)[0].isAborted)
  assert.ok(peers.every(({ openRequests }) => openRequests === 0))
})

test('a call that is aborted is aborted at the worker', async ({ peers, client }) => {
  const recorder = new Recorder()
  const open = client.call(createCall(), recorder)
  await waitFor(() => callsOf(peers).length === 1)
  open.abort()
  await waitFor(() => callsOf(peers)[0].isAborted)
  assert.equal(recorder.failures, [])
})

test('a call that a peer could not send goes to another peer, once, and is not sent if neither reaches the worker', async ({ peers, client }) => {
  peers[0].isReaching = false
  const recorders = [new Recorder(), new Recorder()]
  for (const recorder of recorders) client.call(createCall(), recorder)
  await waitFor(() => callsOf(peers).length === 2)
  assert.is(peers[1].calls.length, 2)
  peers[1].isReaching = false
  const recorder = new Recorder()
  client.call(createCall(), recorder)
  await waitFor(() => recorder.failures.length > 0)
  assert.equal(recorder.failures.map(failure => [failure.type, failure.type === 'notSent' ? failure.cause : '']), [['notSent', undefined]])
})

test('a peer that does not know the worker is no failure of the worker', async ({ peers, client }) => {
  const recorder = new Recorder()
  client.call({ ...createCall(), workerId: 'unknown' }, recorder)
  await waitFor(() => recorder.failures.length > 0)
  assert.equal(recorder.failures.map(failure => [failure.type, failure.type === 'notSent' ? failure.cause : '']), [['notSent', CallEndCause.CutOff]])
  assert.is(callsOf(peers).length, 0)
})

test('a peer that knows that the worker takes no new requests makes no call, and no other peer does', async ({ peers, client }) => {
  for (const peer of peers) peer.isWorkerDraining = true
  const recorder = new Recorder()
  client.call(createCall(), recorder)
  await waitFor(() => recorder.failures.length > 0)
  assert.equal(recorder.failures.map(failure => [failure.type, failure.type === 'notSent' ? failure.cause : '']), [['notSent', CallEndCause.WorkerLost]])
  assert.is(callsOf(peers).length, 0)
})

test('a refusal and a broken answer of the worker come back as they are', async ({ peers, client }) => {
  for (const failure of [{ type: 'refused', isMisdirected: true, detail: 'x', notice: { limitPerS: 3 } }, { type: 'broken', detail: 'y' }] as CallFailure[]) {
    const recorder = new Recorder()
    client.call(createCall(), recorder)
    await waitFor(() => callsOf(peers).length === 1)
    callsOf(peers)[0].listener.onFailed(failure)
    for (const { calls } of peers) calls.length = 0
    await waitFor(() => recorder.failures.length > 0)
    assert.equal(recorder.failures, [failure])
  }
})

test('while a slow caller does not read, the peer stops reading from the worker, and goes on when it does', async ({ peers, client }) => {
  const recorder = new Recorder()
  const open = client.call(createCall(), recorder)
  await waitFor(() => callsOf(peers).length === 1)
  const [fake] = callsOf(peers)
  fake.listener.onHead(HEAD)
  open.pause()
  let sentBytes = 0
  while (!fake.isPaused && sentBytes < 4 * MAX_AHEAD_BYTES) {
    fake.listener.onData(Buffer.alloc(8 * 1024))
    sentBytes += 8 * 1024
  }
  assert.ok(sentBytes <= MAX_AHEAD_BYTES, `${sentBytes} bytes read ahead`)
  await waitFor(() => recorder.bytes === sentBytes)
  assert.ok(fake.isPaused)
  open.resume()
  await waitFor(() => !fake.isPaused)
})

test('a call that the requesting node lost sight of ends at its deadline', async ({ peers }) => {
  const [peer] = peers
  const closed = new Emitter<void>()
  peer.server.handle({ type: 'relay', relayId: 'x', call: { ...createCall(), deadlineMs: 10 } }, () => {}, { onDidClose: closed.event })
  await waitFor(() => peer.calls[0].isAborted)
  assert.is(peer.server.openCount, 0)
})

test.run()
