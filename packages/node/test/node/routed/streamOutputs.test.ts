/** Tests which nodes hold the events of a stream that its caller may take up again, in virtual time. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { NodeAddress, PeerReply, PeerRequest } from '@trefoilshunt/node/routed'
import { NodeDirectory } from '../../../src/node/routed/nodeDirectory.js'
import type { PeerMesh } from '../../../src/node/routed/peerMesh.js'
import { type IForwardedOutput, StreamOutputs } from '../../../src/node/routed/streamOutputs.js'
import { VirtualTime } from './virtualTime.js'

const HOP_MS = 2
const ZONES = ['a', 'b', 'c']
/** Longer than the period in which nodes check who holds what. */
const CHECK_MS = 300
const MEMORY_MS = 20_000
const MIB = 1024 * 1024

interface TestNode {
  name: string
  outputs: StreamOutputs
  directory: NodeDirectory
  /** Peers to which events were sent. */
  holders: Set<string>
  sentBytes: number
  /** Time that the node's messages take. */
  hopMs: number
  backlogBytes: number
  isLost: boolean
}

class TestNodes {
  readonly nodes = new Map<string, TestNode>()

  constructor (private readonly _time: VirtualTime) {}

  get (name: string): TestNode {
    const node = this.nodes.get(name)
    if (node === undefined) throw new Error(`there is no node ${name}`)
    return node
  }

  add (name: string, zone: string, isEarlierBuild = false): TestNode {
    const directory = new NodeDirectory({ self: createAddress(name, zone), nowMs: () => performance.now(), onAdded: () => {}, onRemoved: () => {} })
    const deliver = (to: string, request: PeerRequest, onReply: (reply: PeerReply | undefined) => void): void => {
      setTimeout(() => {
        const peer = this.nodes.get(to)
        if (peer !== undefined && !peer.isLost) peer.outputs.handle(request, reply => setTimeout(() => { if (!peer.isLost) onReply(reply) }, HOP_MS))
      }, node.hopMs)
    }
    const mesh = {
      isConnected: (to: string) => this.nodes.get(to)?.isLost === false && !node.isLost,
      backlogBytes: () => node.backlogBytes,
      requestOnce: async (to: string, request: PeerRequest, timeoutMs: number) => await new Promise<PeerReply | undefined>(resolve => {
        setTimeout(() => resolve(undefined), timeoutMs)
        deliver(to, request, resolve)
      }),
      notify: (to: string, request: PeerRequest) => {
        if (request.type === 'streamOutput') {
          node.holders.add(to)
          node.sentBytes += request.bytes.length
        }
        // The frame is encoded when it is sent.
        deliver(to, request.type === 'streamOutput' ? { ...request, bytes: Buffer.from(request.bytes) } : request, () => {})
      }
    } as unknown as PeerMesh
    const node: TestNode = { name, directory, holders: new Set(), sentBytes: 0, hopMs: HOP_MS, backlogBytes: 0, isLost: false, outputs: new StreamOutputs({ zone, directory, mesh, write: () => {} }) }
    for (const peer of this.nodes.values()) {
      if (peer.isLost) continue
      applyStatus(peer, name, { zone, isEarlierBuild })
      applyStatus(node, peer.name, { zone: zoneOf(peer), isEarlierBuild: false })
    }
    this.nodes.set(name, node)
    return node
  }

  /** Ends nodes at once; the others notice. */
  lose (...names: string[]): void {
    for (const name of names) this.get(name).isLost = true
    for (const node of this.nodes.values()) {
      for (const name of names) node.directory.markDisconnected(name)
      if (!node.isLost) node.outputs.handleDisconnected()
    }
  }

  /** Data of the events that a node finds, or why it finds none. */
  async resolve (name: string, lastEventId: number, { streamId = 's', attemptId = `${name}-again` }: { streamId?: string, attemptId?: string } = {}): Promise<string> {
    let found = 'open'
    void this.get(name).outputs.resolve({ streamId, attemptId, lastEventId: String(lastEventId) }, performance.now() + 1_000).then(outcome => {
      found = outcome.type === 'known' ? Buffer.from(outcome.output).toString() : outcome.detail
    })
    await this._time.advance(600)
    return found
  }

  dispose (): void {
    for (const { outputs } of this.nodes.values()) outputs.dispose()
  }
}

function createAddress (node: string, zone: string): NodeAddress {
  return { node, zone, incarnation: '1', peerAddress: `${node}:1`, callerAddress: node }
}

function zoneOf ({ name }: TestNode): string {
  return name.charAt(0)
}

function applyStatus (node: TestNode, peer: string, { zone, isEarlierBuild = false, isDraining = false }: { zone: string, isEarlierBuild?: boolean, isDraining?: boolean }): void {
  node.directory.applyStatus({ type: 'status', from: createAddress(peer, zone), periodMs: 1_000_000, isReady: true, isDraining, owned: [], documentVersion: 1, cores: 1, logSilenceMs: 0, busyShare: 0, load: {}, holdsStreamOutputs: isEarlierBuild ? undefined : true })
}

/** Runs a test with nodes `a0`, `b0`, ... of which the letter is the zone. */
async function run (nodesPerZone: number, body: (time: VirtualTime, nodes: TestNodes) => Promise<void>): Promise<void> {
  await VirtualTime.run(async time => {
    const nodes = new TestNodes(time)
    for (let index = 0; index < nodesPerZone; index++) {
      for (const zone of ZONES) nodes.add(`${zone}${index}`, zone)
    }
    await body(time, nodes)
    nodes.dispose()
  })
}

function forward (output: IForwardedOutput, from: number, to: number): void {
  for (let id = from; id <= to; id++) output.append(Buffer.from(`id: ${id}\ndata: ${id}\n\n`))
}

function begin ({ outputs }: TestNode, streamId = 's'): IForwardedOutput {
  return outputs.begin({ streamId, attemptId: streamId })
}

const FOUR = '1\n2\n3\n4\n'

test('events are sent to one peer of the zone and to one of another zone, once', async () => {
  await run(4, async (time, nodes) => {
    const node = nodes.get('a0')
    forward(begin(node), 1, 4)
    await time.advance(CHECK_MS)
    const zones = [...node.holders].map(name => name.charAt(0) === 'a')
    assert.equal(zones.sort(), [false, true])
    assert.is(node.sentBytes, 2 * 4 * 'id: 1\ndata: 1\n\n'.length)
  })
})

for (const [name, lost] of [['a node', ['a0']], ['a zone', ['a0', 'a1', 'a2', 'a3']]] as const) {
  test(`after the loss of ${name}, every other node finds the events`, async () => {
    await run(4, async (time, nodes) => {
      forward(begin(nodes.get('a0')), 1, 6)
      nodes.lose(...lost)
      for (const other of nodes.nodes.values()) {
        if (!other.isLost) assert.is(await nodes.resolve(other.name, 4), FOUR, other.name)
      }
    })
  })
}

// Guards against events that are held nowhere after holders were lost one by one.
test('a peer takes the place of a lost holder while the stream runs, and holds all of its events', async () => {
  await run(3, async (time, nodes) => {
    const node = nodes.get('a0')
    const output = begin(node)
    forward(output, 1, 3)
    await time.advance(HOP_MS)
    for (let round = 0; round < 3; round++) {
      nodes.lose(...[...node.holders].filter(holder => !nodes.get(holder).isLost).slice(0, 1))
      await time.advance(CHECK_MS)
    }
    forward(output, 4, 6)
    await time.advance(HOP_MS)
    nodes.lose('a0')
    const [other] = [...nodes.nodes.values()].filter(({ isLost }) => !isLost)
    assert.is(await nodes.resolve(other.name, 4), FOUR)
  })
})

test('the place of a lost holder is taken at once, also if the stream has ended', async () => {
  await run(3, async (time, nodes) => {
    const node = nodes.get('a0')
    const output = begin(node)
    forward(output, 1, 6)
    output.end()
    await time.advance(HOP_MS)
    nodes.lose(...node.holders)
    await time.advance(HOP_MS)
    nodes.lose('a0')
    const [other] = [...nodes.nodes.values()].filter(({ isLost }) => !isLost)
    assert.is(await nodes.resolve(other.name, 4), FOUR)
  })
})

test('a node that stops hands over what it holds for a lost one', async () => {
  await run(3, async (time, nodes) => {
    const node = nodes.get('a0')
    forward(begin(node), 1, 6)
    await time.advance(HOP_MS)
    nodes.lose('a0')
    const holders = [...node.holders]
    for (const holder of holders) {
      for (const other of nodes.nodes.values()) applyStatus(other, holder, { zone: holder.charAt(0), isDraining: true })
      nodes.get(holder).outputs.handOver()
      await time.advance(HOP_MS)
      nodes.lose(holder)
    }
    const [other] = [...nodes.nodes.values()].filter(({ isLost }) => !isLost)
    assert.is(await nodes.resolve(other.name, 4), FOUR)
  })
})

test('a peer that started anew gets the events again', async () => {
  await run(1, async (time, nodes) => {
    forward(begin(nodes.get('a0')), 1, 6)
    await time.advance(HOP_MS)
    for (const name of ['b0', 'c0']) {
      nodes.lose(name)
      nodes.get(name).outputs.dispose()
      nodes.add(name, name.charAt(0))
      nodes.get('a0').outputs.handleConnected(name)
    }
    await time.advance(CHECK_MS)
    nodes.lose('a0')
    assert.is(await nodes.resolve('b0', 4), FOUR)
  })
})

test('events that reach their holders after the caller has come back are waited for, and not for long', async () => {
  await run(4, async (_time, nodes) => {
    const node = nodes.get('a0')
    node.hopMs = 80
    forward(begin(node), 1, 4)
    assert.is(await nodes.resolve('b1', 4), FOUR)
    node.hopMs = 700
    forward(begin(node, 'late'), 1, 4)
    assert.is(await nodes.resolve('b1', 4, { streamId: 'late' }), 'the stream is not known')
  })
})

test('a third node finds the events of two attempts after both of their nodes are lost', async () => {
  await run(4, async (time, nodes) => {
    forward(begin(nodes.get('a0')), 1, 6)
    nodes.lose('a0')
    const takeUp = { streamId: 's', attemptId: 'second', lastEventId: '4' }
    const resolved = nodes.get('b0').outputs.resolve(takeUp, performance.now() + 500)
    await time.advance(100)
    const earlier = await resolved
    assert.is(earlier.type, 'known')
    if (earlier.type !== 'known') return
    forward(nodes.get('b0').outputs.begin(takeUp, earlier), 5, 8)
    nodes.lose('b0')
    assert.is(await nodes.resolve('c0', 8), `${FOUR}5\n6\n7\n8\n`)
  })
})

test('peers of earlier builds get no events, and beside them alone no stream is taken up', async () => {
  await VirtualTime.run(async time => {
    const nodes = new TestNodes(time)
    const node = nodes.add('a0', 'a')
    for (const name of ['a1', 'b0', 'c0']) nodes.add(name, name.charAt(0), true)
    forward(begin(node), 1, 4)
    await time.advance(CHECK_MS)
    assert.is(node.holders.size, 0)
    assert.is(await nodes.resolve('a0', 4), 'no peer is reached that keeps the events of streams')
    nodes.dispose()
  })
})

test('a single node finds its own events; one that reaches no peer is not certain', async () => {
  await VirtualTime.run(async time => {
    const nodes = new TestNodes(time)
    forward(begin(nodes.add('a0', 'a')), 1, 4)
    assert.is(await nodes.resolve('a0', 4), FOUR)
    nodes.add('b0', 'b')
    nodes.lose('b0')
    assert.is(await nodes.resolve('a0', 4, { attemptId: 'later' }), 'no peer is reached that keeps the events of streams')
    nodes.dispose()
  })
})

// Guards against events of an attempt that ran on unnoticed: the caller may have further events from a node that does not reply.
test('a node to which fewer than half of the peers reply is not certain, although it has the events itself', async () => {
  await run(4, async (_time, nodes) => {
    const node = nodes.get('a0')
    forward(begin(node), 1, 6)
    for (const other of nodes.nodes.values()) other.isLost = other !== node && other.name !== 'a1'
    assert.is(await nodes.resolve('a0', 4), 'too few peers have replied')
  })
})

test('a peer that reads slowly gets the events later, all of them', async () => {
  await run(1, async (time, nodes) => {
    const node = nodes.get('a0')
    const output = begin(node)
    node.backlogBytes = 2 * MIB
    forward(output, 1, 3)
    assert.is(node.holders.size, 0)
    node.backlogBytes = 0
    await time.advance(CHECK_MS)
    forward(output, 4, 5)
    nodes.lose('a0')
    assert.is(await nodes.resolve('b0', 4), FOUR)
  })
})

// Guards against a node that runs out of memory by the events of others.
test('what a node holds is bounded: the oldest streams are given up, and a stream that is too long', async () => {
  await VirtualTime.run(async time => {
    const nodes = new TestNodes(time)
    const node = nodes.add('a0', 'a')
    const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(512 * 1024)}\n\n`)
    for (let index = 0; index < 60; index++) begin(node, `s${index}`).append(event)
    assert.ok(node.outputs.byteCount <= 17 * MIB, `${node.outputs.byteCount} bytes`)
    assert.is(await nodes.resolve('a0', 1, { streamId: 's0' }), 'the stream is not known')
    assert.is((await nodes.resolve('a0', 1, { streamId: 's59' })).length, 512 * 1024 + 1)
    const output = begin(node, 'long')
    for (let index = 0; index < 3; index++) output.append(event)
    assert.is(await nodes.resolve('a0', 1, { streamId: 'long' }), 'the stream is not known')
    // Callers that name streams that never were cost memory, too.
    for (let index = 0; index < 40_000; index++) node.outputs.handle({ type: 'findStreamOutput', streamId: `x${index}`, attemptId: 'y', lastEventId: '1' }, () => {})
    assert.ok(node.outputs.byteCount <= 17 * MIB, `${node.outputs.byteCount} bytes`)
    await time.advance(MEMORY_MS + CHECK_MS)
    assert.is(node.outputs.size, 0)
    assert.is(node.outputs.byteCount, 0)
    nodes.dispose()
  })
})

test.run()
