/** Tests that nodes without a coordinator together keep to the rate limit of a worker. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom, WorkerNotices, type WorkerRegistration } from '@trefoilshunt/core'
import { OwnRates } from '../../../src/node/routed/ownRates.js'
import { VirtualTime } from './virtualTime.js'

const WORKER: WorkerRegistration = { workerId: 'w', service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 6, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }
const LIMIT_PER_S = 5
const STEP_MS = 50

function createNodes (count: number): OwnRates[] {
  const notices = new WorkerNotices()
  notices.observe(WORKER, { limitPerS: LIMIT_PER_S }, 0)
  return Array.from({ length: count }, (_, index) => new OwnRates({ notices, nodeCount: () => count, random: new SeededRandom(index) }))
}

/** Requests that the worker gets within each window of 4 s while every node would send one in every step. */
async function countByWindow (time: VirtualTime, nodes: readonly OwnRates[], windows: number): Promise<number[]> {
  const counts: number[] = []
  for (let window = 0; window < windows; window++) {
    let count = 0
    for (let atMs = 0; atMs < 4_000; atMs += STEP_MS) {
      for (const node of nodes) {
        const [worker] = node.filter([WORKER])
        if (worker === undefined) continue
        node.take(worker)
        count++
      }
      await time.advance(STEP_MS)
    }
    counts.push(count)
  }
  return counts
}

for (const nodeCount of [1, 9, 74, 440]) {
  test(`${nodeCount} nodes that lose their coordinator at once send a limited worker no more than its limit together`, async () => {
    await VirtualTime.run(async time => {
      const counts = await countByWindow(time, createNodes(nodeCount), 30)
      const allowed = 1.5 * LIMIT_PER_S * 4 + 5
      assert.ok(Math.max(...counts) <= allowed, String(counts))
      const mean = counts.reduce((total, count) => total + count, 0) / counts.length
      assert.ok(Math.abs(mean / (LIMIT_PER_S * 4) - 1) < 0.1, `mean ${mean}`)
    })
  })
}

test('pauses do not add up to a burst of many nodes', async () => {
  await VirtualTime.run(async time => {
    const nodes = createNodes(440)
    for (const node of nodes) node.filter([WORKER])
    await time.advance(600_000)
    const [count] = await countByWindow(time, nodes, 1)
    assert.ok(count <= 1.5 * LIMIT_PER_S * 4 + 5, String(count))
  })
})

test.run()
