/** Tests that several coordinators of the same workers share their rate limits. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type ClientAccount, type IRouteTable, PlacementOrder, type RouteDocument, RouteTable, SeededRandom, WorkerNotices, type WorkerRegistration, WorkerRegistry, WorkerStatistics } from '@trefoilshunt/core'
import type { PlaceReply, ServiceShard } from '@trefoilshunt/node/routed'
import { PlacementCoordinator, type PlacementCoordinatorOptions } from '../../../src/node/routed/placementCoordinator.js'
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

/** Refuses one request that no worker can take, and returns the reply. */
async function refuseOne (time: VirtualTime, accounts: ClientAccount[] | undefined, options: Partial<PlacementCoordinatorOptions> = {}): Promise<PlaceReply> {
  const registry = new WorkerRegistry()
  registry.update('w', { ...WORKER, slots: 1 }, 0)
  const routes = new RouteTable(new SeededRandom(1))
  routes.apply({ version: 1, routes: [], services: [], accounts } as unknown as RouteDocument)
  const coordinator = new PlacementCoordinator({ routes, registry, statistics: new WorkerStatistics(), notices: new WorkerNotices(), otherCoordinatorCount: () => 0, random: new SeededRandom(2), write: () => {}, ...options })
  const replies: PlaceReply[] = []
  for (let index = 0; index < 8; index++) {
    coordinator.place(SHARD, 'n', { placementId: String(index), account: 'yard-7', programId: `p${index}`, hasBegun: false, priority: 1, objectiveMs: 100, durationMs: 20, timeLeftMs: 500, zone: 'a', prompt: [], cached: [], excluded: [] }, reply => {
      if (reply.type === 'refused') replies.push(reply)
    })
  }
  assert.equal([...coordinator.programsByAccount], [['yard-7', 2]])
  await time.advance(200)
  coordinator.dispose()
  return replies[0]
}

test('requests are ordered by cost only where the document has accounts, the speeds differ or the settings say so: other deployments send no further field', async () => {
  await VirtualTime.run(async time => {
    const accounts = [{ name: 'yard-7', accessKeys: ['k1'] }]
    const reasons: unknown[] = []
    for (const [documentAccounts, options] of [
      [undefined, {}], [accounts, {}], [accounts, { placementOrder: PlacementOrder.Rank }], [undefined, { placementOrder: PlacementOrder.Cost }], [undefined, { isUneven: () => true }]
    ] as const) {
      reasons.push('reason' in await refuseOne(time, documentAccounts?.slice(), options))
    }
    assert.equal(reasons, [false, true, false, true, true])
  })
})

test.run()
