/** Tests that several coordinators of the same workers share their rate limits. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type IRouteTable, RouteTable, SeededRandom, WorkerNotices, type WorkerRegistration, WorkerRegistry, WorkerStatistics } from '@trefoilshunt/core'
import type { ServiceShard } from '@trefoilshunt/node/routed'
import { PlacementCoordinator } from '../../../src/node/routed/placementCoordinator.js'
import { VirtualTime } from './virtualTime.js'

const WORKER: WorkerRegistration = { workerId: 'w', service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 100, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }
const SHARD: ServiceShard = { service: 's', index: 0, count: 1 }
const LIMIT_PER_S = 10
const FOR_MS = 4_000

/** Requests that the coordinator places within `FOR_MS`, of one each 10 ms. */
async function countPlaced (time: VirtualTime, otherCoordinatorCount: number): Promise<number> {
  const registry = new WorkerRegistry()
  registry.update('w', WORKER, 0)
  const notices = new WorkerNotices()
  notices.observe(WORKER, { limitPerS: LIMIT_PER_S }, 0)
  const routes: IRouteTable = new RouteTable(new SeededRandom(1))
  const coordinator = new PlacementCoordinator({ routes, registry, statistics: new WorkerStatistics(), notices, otherCoordinatorCount: () => otherCoordinatorCount, random: new SeededRandom(2), write: () => {} })
  let placed = 0
  for (let atMs = 0; atMs < FOR_MS; atMs += 10) {
    const placementId = String(atMs)
    coordinator.place(SHARD, 'n', { placementId, hasBegun: true, priority: 0, objectiveMs: 100, durationMs: 20, timeLeftMs: 500, zone: 'a', prompt: [], cached: [], excluded: [] }, reply => {
      if (reply.type !== 'placed') return
      placed++
      coordinator.release(SHARD, placementId, { durationRatio: 1 })
    })
    await time.advance(10)
  }
  assert.equal(coordinator.rateLimitedShards, ['s/0/1'])
  coordinator.dispose()
  return placed
}

test('while two nodes coordinate a worker with a rate limit, because the role moves, each one gives it half', async () => {
  await VirtualTime.run(async time => {
    const alone = await countPlaced(time, 0)
    const shared = await countPlaced(time, 1)
    const limit = LIMIT_PER_S * FOR_MS / 1_000
    assert.ok(alone > 0.9 * limit && alone <= limit, String(alone))
    assert.ok(2 * shared > 0.8 * limit && 2 * shared <= limit, String(shared))
  })
})

test.run()
