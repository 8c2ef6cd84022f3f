/** Tests what nodes know of the software version that began a stream. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createWorker, LONG_MS, resolve, run, SERVICE, type TestNode } from './streamOriginNodes.js'

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
      registry.update('w-v1', undefined, time.nowMs)
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

for (const { name, isSilent } of [{ name: 'cut off from the peers and the log for a short time', isSilent: true }, { name: 'that has just been standing still', isSilent: false }]) {
  test(`a node ${name} does not continue a stream that may have begun at a version which it has not seen`, async () => {
    await run(NAMES, LONG_MS, async (time, nodes) => {
      const node = nodes.get('n1') as TestNode
      node.isCut = isSilent
      if (isSilent) node.silentSinceMs = time.nowMs
      // Without a status for longer than the heartbeat timeout, no peer counts as alive.
      for (const peer of NAMES) node.directory.markDisconnected(peer)
      node.isListBehind = true
      await time.advance(1_500)
      assert.is(await resolve(time, node, 'r'), 'unknown')
      node.silentSinceMs = undefined
      node.isListBehind = false
      assert.is(await resolve(time, node, 'r'), 'v1', 'once the log confirms its list')
    })
  })
}

test('a node with an outdated list does not continue a stream while peers that started lately see another version', async () => {
  await run(NAMES, LONG_MS, async (time, nodes) => {
    for (const [name, node] of nodes) {
      if (name === 'n1') continue
      node.registry.update('b1', createWorker('b1', 'v2'), time.nowMs)
      node.registry.update('w-v1', undefined, time.nowMs)
    }
    await time.advance(LONG_MS)
    for (const [name, node] of nodes) if (name !== 'n1') node.listReadAtMs = time.nowMs
    assert.is(await resolve(time, nodes.get('n1'), 'r'), 'unknown')
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
