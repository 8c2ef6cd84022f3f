/** Tests at which software version streams go on after nodes were lost together with what they knew of the beginnings. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createStatus, createWorker, LONG_MS, resolve, run, SERVICE, startNode, type TestNode } from './streamOriginNodes.js'
import type { VirtualTime } from './virtualTime.js'

const NAMES = ['n0', 'n1', 'n2', 'n3', 'n4', 'n5', 'n6', 'n7', 'n8']
const V1 = { service: SERVICE, softwareVersion: 'v1' }
const V2 = { service: SERVICE, softwareVersion: 'v2' }
/** Longer than all tries of a caller for one stream. */
const CLIENT_WAIT_MS = 15_000

const test = suite('streams after the loss of nodes')

/** Starts the nodes anew; `versions` are in the list of workers, which can't be read if it is undefined. */
function restart (time: VirtualTime, nodes: Map<string, TestNode>, names: readonly string[], versions: readonly string[] | undefined): void {
  for (const name of names) startNode(time, nodes, { name, names: NAMES, versions })
}

/** The versions at which a stream that is taken up at each of the nodes goes on, or why not. */
async function resolveAt (time: VirtualTime, nodes: Map<string, TestNode>, requestId: string, names: readonly string[] = NAMES): Promise<string[]> {
  const outcomes: string[] = []
  for (const name of names) outcomes.push(await resolve(time, nodes.get(name), requestId))
  return [...new Set(outcomes)]
}

const STATES = [
  { state: 'both versions serve', versions: ['v1', 'v2'] },
  { state: 'the old version has just left', versions: ['v2'] },
  { state: 'the list of workers is not read yet', versions: undefined },
  { state: 'the list is stale and names the old version only', versions: ['v1'] }
]

for (const { state, versions } of STATES) {
  test(`after the restart of all nodes a stream of before goes on nowhere: ${state}`, async () => {
    await run(NAMES, LONG_MS, async (time, nodes) => {
      for (const { registry } of nodes.values()) registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
      nodes.get('n0')?.origins.recordBeginning('r', V1)
      await time.advance(100)
      restart(time, nodes, NAMES, versions)
      for (const waitMs of [0, CLIENT_WAIT_MS]) {
        await time.advance(waitMs)
        assert.equal(await resolveAt(time, nodes, 'r', ['n0', 'n4', 'n8']), ['unknown'])
      }
    })
  })
}

test('a stream that began between two restarts of all nodes goes on nowhere after the second one', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    restart(time, nodes, NAMES, ['v1', 'v2'])
    await time.advance(8_000)
    nodes.get('n3')?.origins.recordBeginning('r', V1)
    await time.advance(500)
    assert.equal(await resolveAt(time, nodes, 'r'), ['v1'], 'before it')
    restart(time, nodes, NAMES, ['v2'])
    for (const waitMs of [0, CLIENT_WAIT_MS]) {
      await time.advance(waitMs)
      assert.equal(await resolveAt(time, nodes, 'r', ['n0', 'n4', 'n8']), ['unknown'])
    }
  })
})

test('a stream that is taken up again after it was taken up goes on at its first version, also when all but a few nodes are lost', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    restart(time, nodes, NAMES, ['v1', 'v2'])
    nodes.get('n0')?.origins.recordBeginning('first', V1)
    await time.advance(100)
    restart(time, nodes, ['n0'], ['v1', 'v2'])
    const second = nodes.get('n1')
    assert.is(await resolve(time, second, 'first'), 'v1')
    second?.origins.recordBeginning('second', V1)
    await time.advance(100)
    restart(time, nodes, ['n1'], ['v1', 'v2'])
    for (const version of await resolveAt(time, nodes, 'first')) assert.is(version, 'v1')
  })
})

test('one node that is back long before the others does not vouch for streams that they began while the old version served', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    for (const { registry } of nodes.values()) registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
    restart(time, nodes, ['n0'], ['v1', 'v2'])
    nodes.get('n0')?.registry.update('w-v1', undefined, time.nowMs)
    await time.advance(10_000)
    nodes.get('n1')?.origins.recordBeginning('r', V1)
    await time.advance(100)
    restart(time, nodes, NAMES.slice(1), ['v2'])
    assert.equal(await resolveAt(time, nodes, 'r', ['n0', 'n5']), ['unknown'])
  })
})

test('a node does not vouch for a single version while another one, without the log, may still begin streams at an old one', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    const stale = nodes.get('n1') as TestNode
    stale.silentSinceMs = time.nowMs
    for (const [name, { registry }] of nodes) {
      if (name === 'n1') continue
      registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
      registry.update('w-v1', undefined, time.nowMs)
    }
    for (let second = 1; second <= 30; second++) {
      for (const [name, { directory }] of nodes) if (name !== 'n1') directory.applyStatus(createStatus('n1', second * 1_000))
      await time.advance(1_000)
    }
    const requestIds = Array.from({ length: 12 }, (_, index) => `r${index}`)
    for (const requestId of requestIds) stale.origins.recordBeginning(requestId, V1)
    await time.advance(100)
    restart(time, nodes, NAMES.slice(1, 8), ['v2'])
    const outcomes = await Promise.all(requestIds.map(async requestId => await resolve(time, nodes.get('n8'), requestId)))
    assert.not.ok(outcomes.includes('v2'), outcomes.join())
  })
})

test('while a single version serves all the time, streams go on after the loss of many nodes', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    nodes.get('n1')?.origins.recordBeginning('r', V1)
    restart(time, nodes, NAMES.slice(1, 5), ['v1'])
    assert.equal(await resolveAt(time, nodes, 'r'), ['v1'])
  })
})

test('streams that begin after the restart of all nodes go on at their version, wherever they are taken up', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    restart(time, nodes, NAMES, ['v1', 'v2'])
    for (const [index, name] of NAMES.entries()) nodes.get(name)?.origins.recordBeginning(`r${index}`, index % 2 === 0 ? V1 : V2)
    await time.advance(100)
    for (const [index] of NAMES.entries()) assert.equal(await resolveAt(time, nodes, `r${index}`), [index % 2 === 0 ? 'v1' : 'v2'])
  })
})

test.run()
