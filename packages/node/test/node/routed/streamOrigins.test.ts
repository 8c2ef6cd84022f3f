/** Tests what nodes know of the software version that began a stream. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type WorkerRegistration, WorkerRegistry } from '@trefoilshunt/core'
import type { NodeAddress, NodeStatus, PeerReply, PeerRequest } from '@trefoilshunt/node/routed'
import { NodeDirectory } from '../../../src/node/routed/nodeDirectory.js'
import type { PeerMesh } from '../../../src/node/routed/peerMesh.js'
import { type OriginOutcome, StreamOrigins } from '../../../src/node/routed/streamOrigins.js'
import { VirtualTime } from './virtualTime.js'

const SERVICE = 'engines'
const HOP_MS = 2
const LONG_MS = 30_000

interface TestNode {
  origins: StreamOrigins
  registry: WorkerRegistry
  /** Time at which the node read the list of workers; it is behind a cut from the log since `silentSinceMs`. */
  listReadAtMs: number
  silentSinceMs: number | undefined
  sentCount: number
  isCut: boolean
}

function createWorker (workerId: string, softwareVersion: string): WorkerRegistration {
  return { workerId, service: SERVICE, address: '127.0.0.1:1', zone: 'a', softwareVersion, slots: 4, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }
}

function createAddress (node: string): NodeAddress {
  return { node, zone: 'a', incarnation: '1', peerAddress: `${node}:1`, callerAddress: node }
}

/** Nodes that exchange their messages in memory and know one worker of version v1. */
function createNodes (time: VirtualTime, names: readonly string[]): Map<string, TestNode> {
  const nodes = new Map<string, TestNode>()
  for (const name of names) {
    const registry = new WorkerRegistry()
    registry.update('a1', createWorker('a1', 'v1'), time.nowMs)
    const directory = new NodeDirectory({ self: createAddress(name), nowMs: () => performance.now(), onAdded: () => {}, onRemoved: () => {} })
    for (const peer of names) {
      const status: NodeStatus = { type: 'status', from: createAddress(peer), periodMs: 1_000_000, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores: 1, logSilenceMs: 0, load: {} }
      if (peer !== name) directory.applyStatus(status)
    }
    const deliver = (to: string, request: PeerRequest, onReply: (reply: PeerReply | undefined) => void): void => {
      node.sentCount++
      setTimeout(() => {
        const peer = nodes.get(to)
        if (peer !== undefined && !peer.isCut && !node.isCut) peer.origins.handle(request, reply => setTimeout(() => onReply(reply), HOP_MS))
      }, HOP_MS)
    }
    const mesh = {
      request: (to: string, request: PeerRequest, { timeoutMs, onReply }: { timeoutMs: number, onReply: (reply: PeerReply | undefined) => void }) => {
        const timer = setTimeout(() => onReply(undefined), timeoutMs)
        deliver(to, request, reply => {
          clearTimeout(timer)
          onReply(reply)
        })
      },
      notify: (to: string, request: PeerRequest) => deliver(to, request, () => {})
    } as unknown as PeerMesh
    const node: TestNode = {
      registry,
      listReadAtMs: time.nowMs,
      silentSinceMs: undefined,
      sentCount: 0,
      isCut: false,
      origins: new StreamOrigins({
        registry,
        directory,
        mesh,
        listKnownForMs: () => time.nowMs - node.listReadAtMs,
        listSilenceMs: () => node.silentSinceMs === undefined ? 0 : time.nowMs - node.silentSinceMs,
        write: () => {}
      })
    }
    nodes.set(name, node)
  }
  return nodes
}

async function resolve (time: VirtualTime, node: TestNode | undefined, requestId: string | undefined): Promise<string> {
  let outcome: OriginOutcome | undefined
  void node?.origins.resolve(requestId, SERVICE).then(result => { outcome = result })
  await time.advance(200)
  return outcome?.type === 'known' ? outcome.origin.softwareVersion : outcome?.type ?? 'none'
}

/** Runs a test with nodes that have known the workers for `ageMs`. */
async function run (names: readonly string[], ageMs: number, body: (time: VirtualTime, nodes: Map<string, TestNode>) => Promise<void>): Promise<void> {
  await VirtualTime.run(async time => {
    const nodes = createNodes(time, names)
    await time.advance(ageMs)
    await body(time, nodes)
    for (const { origins } of nodes.values()) origins.dispose()
  })
}

const NAMES = ['n0', 'n1', 'n2', 'n3', 'n4', 'n5', 'n6', 'n7']
const V1 = { service: SERVICE, softwareVersion: 'v1' }

test('while there is a single version for long enough, nothing is sent and a stream goes on at any node', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    nodes.get('n0')?.origins.recordBeginning('r', V1)
    await time.advance(1_000)
    assert.is(nodes.get('n0')?.sentCount, 0)
    assert.is(await resolve(time, nodes.get('n1'), 'r'), 'v1')
  })
})

test('streams that began before a second version came are sent to peers when it comes, and found after the loss of their node', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    nodes.get('n0')?.origins.recordBeginning('r', V1)
    for (const { registry } of nodes.values()) registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
    await time.advance(500)
    const lost = nodes.get('n0')
    if (lost !== undefined) lost.isCut = true
    for (const name of NAMES.slice(1)) assert.is(await resolve(time, nodes.get(name), 'r'), 'v1', name)
    assert.is(await resolve(time, nodes.get('n1'), 'another'), 'unknown')
  })
})

test('a version that has just left still counts, and is forgotten when no stream can have begun there', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    for (const { registry } of nodes.values()) {
      registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
      registry.update('a1', undefined, time.nowMs)
    }
    assert.is(await resolve(time, nodes.get('n1'), 'r'), 'unknown')
    await time.advance(LONG_MS)
    assert.is(await resolve(time, nodes.get('n1'), 'r'), 'v2')
  })
})

test('a restarted node relies on a peer that has known the workers for long enough', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    const restarted = nodes.get('n1') as TestNode
    restarted.listReadAtMs = time.nowMs
    assert.is(await resolve(time, restarted, 'r'), 'v1')
    for (const node of nodes.values()) node.listReadAtMs = time.nowMs
    assert.is(await resolve(time, restarted, 'r'), 'unknown', 'after the restart of all nodes')
  })
})

test('a node that sees one version goes by peers that see two', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    for (const [name, { registry }] of nodes) {
      if (name !== 'n1') registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
    }
    assert.is(await resolve(time, nodes.get('n1'), 'r'), 'unknown')
  })
})

test('behind a cut from the log and the peers, a stream that the node does not know is not continued', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    const cut = nodes.get('n1') as TestNode
    cut.origins.recordBeginning('own', V1)
    cut.isCut = true
    cut.silentSinceMs = time.nowMs
    await time.advance(5_000)
    assert.is(await resolve(time, cut, 'r'), 'unknown')
    assert.is(await resolve(time, cut, 'own'), 'v1')
  })
})

test('while the log is silent, the beginnings of streams are sent to peers', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    for (const node of nodes.values()) node.silentSinceMs = time.nowMs
    await time.advance(5_000)
    nodes.get('n0')?.origins.recordBeginning('r', V1)
    await time.advance(100)
    const lost = nodes.get('n0')
    if (lost !== undefined) lost.isCut = true
    assert.is(await resolve(time, nodes.get('n1'), 'r'), 'v1')
  })
})

for (const nodeCount of [74, 440]) {
  test(`with ${nodeCount} nodes of which a third restarts, most streams of lost nodes are found`, async () => {
    const names = Array.from({ length: nodeCount }, (_, index) => `n${index}`)
    await run(names, LONG_MS, async (time, nodes) => {
      for (const { registry } of nodes.values()) registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
      for (let index = 0; index < 60; index++) nodes.get('n0')?.origins.recordBeginning(`r${index}`, { service: SERVICE, softwareVersion: index % 2 === 0 ? 'v1' : 'v2' })
      await time.advance(100)
      for (let index = 0; index < nodeCount; index += 3) {
        const node = nodes.get(`n${index}`)
        if (node !== undefined) node.isCut = true
      }
      const found = await Promise.all(Array.from({ length: 60 }, async (_, index) => await resolve(time, nodes.get('n1'), `r${index}`)))
      const wrong = found.filter((version, index) => version !== 'unknown' && version !== (index % 2 === 0 ? 'v1' : 'v2'))
      assert.equal(wrong, [])
      const knownCount = found.filter(version => version !== 'unknown').length
      assert.ok(knownCount > 45, `${knownCount} of 60 found`)
      assert.ok((nodes.get('n0')?.sentCount ?? 0) <= 3 * 60, 'three messages for each stream at most')
    })
  })
}

test.run()
