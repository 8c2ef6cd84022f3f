/** Tests the order of waiting requests: what callers get by cost, compared with the order by rank. `LOAD_REPORT=1` prints each result. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_SERVICE_PLACEMENT, hash32, type IRandom, PlacementOrder, SeededRandom, ServicePlacement } from '@trefoilshunt/core'
import { type ContendedLoad, runContendedFleet, ZONES } from './load/contendedFleet.js'
import { playPlacementSequence } from './load/placementSequence.js'
import { CONSULT, REMEASURE } from './load/programLoad.js'

/** Digests of the decisions of 50 sequences by the code before there was an order by cost (74f4eb2), by length of the steps. Programs pause for longer than `pauseMs` only in the longer ones. */
const DIGESTS_BY_RANK = [[40, 1_631_625_349], [200, 3_296_377_392], [600, 2_459_186_280]] as const
const SEEDS = [7, 8]
const FLOOD = { factor: 4, fromMs: 3_000, toMs: 7_000 }
/** Differences below this are those of the random sequences. */
const NOISE = 0.07
/** Least programs of an account from which its share says something. */
const MIN_PROGRAMS = 20

interface Earned {
  /** Credit earned by each class, mean of the seeds. */
  classes: number[]
  /** Share of the programs of an account that ended in aim, relative to those of all accounts. */
  accounts: Map<string, number>
}

function measure (loads: readonly ContendedLoad[], order: PlacementOrder, seeds = SEEDS): Earned {
  const classes = loads.map(() => 0)
  const counts = new Map<string, { programs: number, inAim: number }>()
  const all = { programs: 0, inAim: 0 }
  for (const seed of seeds) {
    const result = runContendedFleet(loads, order, seed)
    for (const [index, { earnedShare }] of result.classes.entries()) classes[index] += earnedShare / seeds.length
    for (const [account, { programs, inAim }] of result.byAccount) {
      const known = counts.get(account) ?? { programs: 0, inAim: 0 }
      counts.set(account, { programs: known.programs + programs, inAim: known.inAim + inAim })
      all.programs += programs
      all.inAim += inAim
    }
  }
  const seen = [...counts].filter(([, { programs }]) => programs >= MIN_PROGRAMS)
  return { classes, accounts: new Map(seen.map(([account, { programs, inAim }]) => [account, inAim / programs / (all.inAim / all.programs)])) }
}

function compareOrders (label: string, loads: readonly ContendedLoad[], seeds = SEEDS): { byRank: Earned, byCost: Earned } {
  const byRank = measure(loads, PlacementOrder.Rank, seeds)
  const byCost = measure(loads, PlacementOrder.Cost, seeds)
  if (process.env.LOAD_REPORT !== undefined) console.log(label, { byRank, byCost })
  return { byRank, byCost }
}

test('by rank, every decision is the one of the code before there were two orders: deployments without accounts see no change', () => {
  for (const [stepMs, digest] of DIGESTS_BY_RANK) {
    const decisions = Array.from({ length: 50 }, (_, seed) => playPlacementSequence(seed, stepMs).map(decision =>
      decision.type === 'placed' ? decision : { type: decision.type, placementId: decision.placementId, retryAfterMs: decision.retryAfterMs }))
    assert.is(hash32(JSON.stringify(decisions)), digest, `steps of ${stepMs} ms`)
  }
})

test('a flood of rank 0 does not make all programs late: both ranks earn more than by rank, the urgent one not less than the other', () => {
  for (const seed of SEEDS) {
    const { byRank, byCost } = compareOrders(`flood of rank 0, seed ${seed}`, [{ programClass: CONSULT, burst: FLOOD }, { programClass: REMEASURE }], [seed])
    for (const index of [0, 1]) assert.ok(byCost.classes[index] > 1.5 * byRank.classes[index], `seed ${seed}, class ${index}: ${byCost.classes[index]}`)
  }
  const { byCost } = compareOrders('flood of rank 0', [{ programClass: CONSULT, burst: FLOOD }, { programClass: REMEASURE }])
  assert.ok(byCost.classes[0] >= byCost.classes[1], 'the urgent rank earned less')
})

test('a flood of rank 2 leaves what both ranks earn as by rank, but for noise', () => {
  const { byRank, byCost } = compareOrders('flood of rank 2', [{ programClass: CONSULT }, { programClass: REMEASURE, burst: FLOOD }])
  for (const index of [0, 1]) assert.ok(byCost.classes[index] > byRank.classes[index] - NOISE, `class ${index}: ${byCost.classes[index]}`)
})

test('demand that moves between zones with a burst: no request waits at a zone for its own workers, and both ranks together earn more than by rank', () => {
  const { byRank, byCost } = compareOrders('shift between zones', [
    { programClass: { ...CONSULT, zoneOf: nowMs => ZONES[Math.floor(nowMs / 3_000) % 3] }, burst: { ...FLOOD, factor: 2.5 } },
    { programClass: { ...REMEASURE, zoneOf: nowMs => ZONES[Math.floor(nowMs / 3_000 + 1) % 3] } }
  ])
  for (const index of [0, 1]) assert.ok(byCost.classes[index] > byRank.classes[index], `class ${index}: ${byCost.classes[index]}`)
})

test('one big account in a flood beside many small ones: the small ones earn more than by rank, and none is served less than a quarter as often as all', () => {
  const sizes = Array.from({ length: 20 }, (_, index) => (index + 1) ** -1.2)
  const accountOf = (random: IRandom): string => {
    let rest = random.next() * sizes.reduce((total, size) => total + size, 0)
    return `small-${sizes.findIndex(size => (rest -= size) < 0)}`
  }
  const { byRank, byCost } = compareOrders('big account', [
    { programClass: { ...REMEASURE, programsPerS: 28, accountOf } },
    { programClass: { ...REMEASURE, name: 'big', programsPerS: 12, accountOf: () => 'big' }, burst: { ...FLOOD, factor: 7 } }
  ])
  assert.ok(byCost.classes[0] > byRank.classes[0], `the small ones earned ${byCost.classes[0]}`)
  for (const [account, ratio] of byCost.accounts) assert.ok(ratio >= 0.25, `${account}: ${ratio}`)
})

test('programs whose finish cannot be met give way to those that can still finish in time', () => {
  const { byRank, byCost } = compareOrders('finish cannot be met', [
    { programClass: { ...REMEASURE, programsPerS: 28 } },
    { programClass: { ...REMEASURE, name: 'hopeless', aimRatio: 0 }, burst: { ...FLOOD, factor: 3 } }
  ])
  assert.ok(byCost.classes[0] > byRank.classes[0], `the others earned ${byCost.classes[0]} against ${byRank.classes[0]}`)
})

test('while rank 0 takes all the room that it may, the less urgent rank begins programs on its share of the slots and no more', () => {
  const placement = new ServicePlacement(new SeededRandom(1), { ...DEFAULT_SERVICE_PLACEMENT, placementOrder: PlacementOrder.Cost, queuePerWorker: 20 })
  const workers = [{ workerId: 'w', service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 20, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }]
  const service = { workers, cacheTokens: 1_000, ratesPerS: new Map<string, number>() }
  const placedCount = (priority: number): number => Array.from({ length: 40 }, (_, index) => placement.place({
    placementId: `${priority}/${index}`, programId: `${priority}/p${index}`, hasBegun: false, priority, objectiveMs: 400, durationMs: 10, timeLeftMs: 3_000, zone: 'a', prompt: [], cached: [], excluded: []
  }, service, 0)).flat().filter(({ type }) => type === 'placed').length
  assert.equal([placedCount(0), placedCount(2)], [28, 2])
})

test('a request of a program in progress is not refused for new ones that arrived before it while no slot is free', () => {
  const placement = new ServicePlacement(new SeededRandom(1), { ...DEFAULT_SERVICE_PLACEMENT, placementOrder: PlacementOrder.Cost, queuePerWorker: 0 })
  const workers = [{ workerId: 'w', service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 1, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }]
  const service = { workers, cacheTokens: 1_000, ratesPerS: new Map<string, number>() }
  const request = { hasBegun: false, priority: 2, objectiveMs: 4_000, durationMs: 300, timeLeftMs: 3_000, zone: 'a', prompt: [], cached: [], excluded: [] }
  placement.place({ ...request, placementId: 'running', hasBegun: true }, service, 0)
  for (let index = 0; index < 10; index++) placement.place({ ...request, placementId: `new-${index}`, programId: `p${index}` }, service, 0)
  const decided = placement.place({ ...request, placementId: 'begun', hasBegun: true }, service, 1)
  assert.ok(decided.every(({ placementId }) => placementId !== 'begun'))
  assert.equal(placement.release('running', {}, service, 2).map(({ type, placementId }) => [type, placementId]), [['placed', 'begun']])
})

test.run()
