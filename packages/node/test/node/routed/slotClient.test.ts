/** Tests how nodes find the coordinator of a service and what they do when it does not reply. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_SERVICE_PLACEMENT, type IRouteTable, RouteTable, SeededRandom, type WorkerRegistration, WorkerNotices, WorkerRegistry, WorkerStatistics } from '@trefoilshunt/core'
import type { NodeAddress, NodeStatus, PeerReply, PeerRequest } from '@trefoilshunt/node/routed'
import { NodeDirectory } from '../../../src/node/routed/nodeDirectory.js'
import type { PeerMesh } from '../../../src/node/routed/peerMesh.js'
import { PlacementCoordinator } from '../../../src/node/routed/placementCoordinator.js'
import { SlotClient, type SlotOutcome } from '../../../src/node/routed/slotClient.js'
import { VirtualTime } from './virtualTime.js'

const SERVICE = 'engines'
const HOP_MS = 1
const SLOTS = 2
const WORKER_CAPACITY = SLOTS + DEFAULT_SERVICE_PLACEMENT.queuePerWorker

interface TestNode {
  name: string
  client: SlotClient
  /** Creates the client of a later process of the node. */
  restartClient: () => SlotClient
  coordinator: PlacementCoordinator
  directory: NodeDirectory
  registry: WorkerRegistry
  /** Requests that reached the node's coordinator. */
  receivedCount: number
  isFrozen: boolean
}

function createAddress (node: string): NodeAddress {
  return { node, zone: 'a', incarnation: '1', peerAddress: `${node}:1`, callerAddress: node }
}

/** Nodes that exchange their messages in memory; `cores` holds those of each node by name. */
function createNodes (cores: Record<string, number>, workerCount = 2): Map<string, TestNode> {
  const nodes = new Map<string, TestNode>()
  const routes: IRouteTable = new RouteTable(new SeededRandom(1))
  const deliver = (to: string, request: PeerRequest, onReply: (reply: PeerReply | undefined) => void): void => {
    setTimeout(() => {
      const node = nodes.get(to)
      if (node === undefined) onReply(undefined)
      else if (!node.isFrozen) handle(node, request, reply => setTimeout(() => onReply(reply), HOP_MS))
    }, HOP_MS)
  }
  const handle = (node: TestNode, request: PeerRequest, respond: (reply: PeerReply) => void): void => {
    if (request.type === 'place') {
      node.receivedCount++
      node.coordinator.place(request.shard, request.from, request.request, respond)
    } else if (request.type === 'release') {
      node.coordinator.release(request.shard, request.placementId, request.end)
    }
  }
  for (const name of Object.keys(cores)) {
    const registry = new WorkerRegistry()
    for (let index = 0; index < workerCount; index++) registry.update(`w${index}`, createWorker(`w${index}`), 0)
    const directory = new NodeDirectory({ self: createAddress(name), nowMs: () => performance.now(), onAdded: () => {}, onRemoved: () => {} })
    const coordinator = new PlacementCoordinator({ routes, registry, statistics: new WorkerStatistics(), notices: new WorkerNotices(), otherCoordinatorCount: () => 0, random: new SeededRandom(2), write: () => {} })
    const mesh = {
      request: (to: string, request: PeerRequest, { onReply }: { onReply: (reply: PeerReply | undefined) => void }) => deliver(to, request, onReply),
      notify: (to: string, request: PeerRequest) => deliver(to, request, () => {})
    } as unknown as PeerMesh
    let lastIncarnation = 0
    const createClient = (): SlotClient => new SlotClient({
      node: name, incarnation: String(++lastIncarnation), cores: cores[name], isReady: () => true, registry, directory, mesh, coordinator, write: () => {}
    })
    nodes.set(name, { name, client: createClient(), restartClient: createClient, coordinator, directory, registry, receivedCount: 0, isFrozen: false })
  }
  for (const { name, directory } of nodes.values()) {
    for (const peer of nodes.keys()) if (peer !== name) directory.applyStatus(createStatus(peer, cores[peer]))
  }
  return nodes
}

function createWorker (workerId: string): WorkerRegistration {
  return { workerId, service: SERVICE, address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: SLOTS, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }
}

function createStatus (node: string, cores: number): NodeStatus {
  return { type: 'status', from: createAddress(node), periodMs: 60_000, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores, logSilenceMs: 0, busyShare: 0, load: {} }
}

async function requestSlot (time: VirtualTime, node: TestNode, waitMs = 300, priority = 1): Promise<SlotOutcome | undefined> {
  const { outcome } = node.client.request(SERVICE, { programId: 'p', hasBegun: true, priority, objectiveMs: 400, durationMs: 300, timeLeftMs: 3_000, zone: 'a', prompt: [], cached: [], excluded: [] })
  let settled: SlotOutcome | undefined
  void outcome.then(result => { settled = result })
  await time.advance(waitMs)
  return settled
}

async function run (body: (time: VirtualTime) => Promise<void>): Promise<void> {
  await VirtualTime.run(body)
}

function coordinatorOf (nodes: Map<string, TestNode>): TestNode {
  const used = [...nodes.values()].filter(({ receivedCount, coordinator }) => receivedCount > 0 || coordinator.openCount > 0)
  assert.is(used.length, 1, 'one node coordinates')
  return used[0]
}

test('all nodes use the same coordinator, and no worker gets more requests than the limit', async () => {
  await run(async time => {
    const nodes = createNodes({ a: 1, b: 1, c: 1 })
    const outcomes: Array<SlotOutcome | undefined> = []
    const names = [...nodes.keys()]
    for (let index = 0; index < 2 * WORKER_CAPACITY; index++) outcomes.push(await requestSlot(time, nodes.get(names[index % names.length]) as TestNode, 20))
    const workers = outcomes.map(outcome => outcome?.type === 'placed' ? outcome.worker.workerId : '')
    assert.equal(workers.sort(), [...Array(WORKER_CAPACITY).fill('w0'), ...Array(WORKER_CAPACITY).fill('w1')])
    coordinatorOf(nodes)
    const waiting = requestSlot(time, nodes.get('b') as TestNode)
    const [first] = outcomes
    if (first?.type === 'placed') first.release({ durationRatio: 1 })
    assert.is((await waiting)?.type, 'placed', 'a released slot goes to the waiting request')
    for (const { coordinator } of nodes.values()) coordinator.dispose()
  })
})

test('small nodes do not coordinate beside large ones', async () => {
  await run(async time => {
    for (const small of [['a', 'b', 'c'], ['c', 'd', 'e']]) {
      const nodes = createNodes(Object.fromEntries(['a', 'b', 'c', 'd', 'e'].map(name => [name, small.includes(name) ? 0.3 : 1.35])))
      for (const node of nodes.values()) await requestSlot(time, node, 10)
      assert.not(small.includes(coordinatorOf(nodes).name))
      for (const { coordinator } of nodes.values()) coordinator.dispose()
    }
  })
})

test('a coordinator that does not reply is not waited for again, and nodes choose workers by themselves meanwhile', async () => {
  await run(async time => {
    const nodes = createNodes({ a: 1, b: 1, c: 1 })
    for (const node of nodes.values()) await requestSlot(time, node, 10)
    const coordinator = coordinatorOf(nodes)
    const other = [...nodes.values()].find(node => node !== coordinator) as TestNode
    coordinator.isFrozen = true
    assert.is((await requestSlot(time, other, 150))?.type, 'unavailable')
    assert.is((await requestSlot(time, other, 0))?.type, 'unavailable', 'at once')
    coordinator.isFrozen = false
    await time.advance(1_000)
    assert.is((await requestSlot(time, other))?.type, 'placed')
    for (const node of nodes.values()) node.coordinator.dispose()
  })
})

test('the slots of a node that has failed are free again, and a failed coordinator is replaced', async () => {
  await run(async time => {
    const nodes = createNodes({ a: 1, b: 1, c: 1 })
    for (const node of nodes.values()) await requestSlot(time, node, 10)
    const coordinator = coordinatorOf(nodes)
    const openCount = coordinator.coordinator.openCount
    const failed = [...nodes.values()].find(node => node !== coordinator) as TestNode
    coordinator.coordinator.releaseAllOf(failed.name)
    assert.is(coordinator.coordinator.openCount, openCount - 1)
    nodes.delete(coordinator.name)
    for (const { directory } of nodes.values()) directory.markDisconnected(coordinator.name)
    await time.advance(100)
    for (const node of nodes.values()) assert.is((await requestSlot(time, node, 10))?.type, 'placed')
    assert.is([...nodes.values()].filter(node => node.coordinator.openCount > 0).length, 1)
    for (const node of [coordinator, ...nodes.values()]) node.coordinator.dispose()
  })
})

test('a node that has restarted does not take over the slots of its earlier process', async () => {
  await run(async time => {
    const nodes = createNodes({ a: 1 }, 1)
    const node = nodes.get('a') as TestNode
    await requestSlot(time, node, 10)
    await requestSlot(time, { ...node, client: node.restartClient() }, 10)
    assert.is(node.coordinator.openCount, 2)
    node.coordinator.dispose()
  })
})

test('a request that its caller has withdrawn leaves the queue', async () => {
  await run(async time => {
    const nodes = createNodes({ a: 1 }, 1)
    const node = nodes.get('a') as TestNode
    for (let index = 0; index < WORKER_CAPACITY; index++) await requestSlot(time, node, 20)
    const request = node.client.request(SERVICE, { programId: 'q', hasBegun: true, priority: 1, objectiveMs: 400, durationMs: 300, timeLeftMs: 3_000, zone: 'a', prompt: [], cached: [], excluded: [] })
    assert.is(node.coordinator.queueLength, 1)
    request.cancel()
    assert.is(await request.outcome, undefined)
    assert.is(node.coordinator.queueLength, 0)
    node.coordinator.dispose()
  })
})

test('the rest of a stream is requested from the coordinator of a shard that has workers of its software version', async () => {
  await run(async time => {
    const nodes = createNodes({ a: 1, b: 1, c: 1 }, 200)
    for (const { registry } of nodes.values()) registry.update('w7', { ...createWorker('w7'), softwareVersion: 'v2' }, 0)
    for (let index = 0; index < 2 * SLOTS; index++) {
      const { outcome } = (nodes.get('a') as TestNode).client.request(SERVICE, { programId: `p${index}`, hasBegun: true, priority: 0, objectiveMs: 400, durationMs: 300, timeLeftMs: 3_000, zone: 'a', prompt: [], cached: [], excluded: [], softwareVersion: 'v2' })
      await time.advance(20)
      const slot = await outcome
      assert.is(slot?.type === 'placed' && slot.worker.workerId, 'w7', slot?.type)
    }
    for (const { coordinator } of nodes.values()) coordinator.dispose()
  })
})

test.run()
