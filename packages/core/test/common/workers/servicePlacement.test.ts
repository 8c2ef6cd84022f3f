/** Tests the decisions of the coordinator of a service. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_SERVICE_PLACEMENT, type PlacementRequest, type PlacementService, SeededRandom, ServicePlacement, type WorkerRegistration } from '@trefoilshunt/core'

const SLOTS = 2

function createService (workerCount: number): PlacementService {
  const workers = Array.from({ length: workerCount }, (_, index): WorkerRegistration => ({
    workerId: `w${index}`, service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: SLOTS, isDraining: false, startedAtMs: 1, coldLeftMs: 0
  }))
  return { workers, cacheTokens: 100_000, ratesPerS: new Map() }
}

function createRequest (placementId: string, fields: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    placementId,
    programId: `program-${placementId}`,
    hasBegun: true,
    priority: 1,
    objectiveMs: 400,
    durationMs: 300,
    timeLeftMs: 3_000,
    zone: 'a',
    prompt: [],
    cached: [],
    excluded: [],
    ...fields
  }
}

function createPlacement (): ServicePlacement {
  return new ServicePlacement(new SeededRandom(1), { ...DEFAULT_SERVICE_PLACEMENT, queuePerWorker: 0 })
}

test('a worker never gets more requests than it has slots; the rest waits in the order of rank, then of progress', () => {
  const service = createService(2)
  const placement = createPlacement()
  const placed = ['a', 'b', 'c', 'd'].flatMap(id => placement.place(createRequest(id), service, 0))
  assert.equal(placed.map(({ type }) => type), Array(4).fill('placed'))
  assert.equal(placement.place(createRequest('new', { hasBegun: false }), service, 1), [])
  assert.equal(placement.place(createRequest('begun'), service, 2), [])
  assert.equal(placement.place(createRequest('urgent', { priority: 0, hasBegun: false }), service, 3), [])
  const order = ['a', 'b', 'c'].flatMap(id => placement.release(id, { durationRatio: 1 }, service, 50)).map(({ placementId }) => placementId)
  assert.equal(order.slice(0, 2), ['urgent', 'begun'])
})

test('while all workers are busy, a request waits at the one that caches its prompt instead of having it read again', () => {
  const slots = 8
  const service = { workers: createService(2).workers.map(worker => ({ ...worker, slots })), cacheTokens: 100_000, ratesPerS: new Map<string, number>() }
  const placement = new ServicePlacement(new SeededRandom(1))
  let lastId = 0
  const place = (shared: string, excluded: string[] = []): string => {
    const [placed] = placement.place(createRequest(String(++lastId), { prompt: [{ id: shared, tokens: 12_600 }], excluded }), service, 0)
    return placed?.type === 'placed' ? placed.workerId : 'none'
  }
  for (let index = 0; index < slots; index++) place('a', ['w1'])
  for (let index = 1; index < slots; index++) place('b', ['w0'])
  assert.equal([place('a'), place('a')], ['w0', 'w0'])
  assert.is(place('a'), 'w1', 'the limit of w0 is reached')
})

test('a turn whose program can still finish in time goes before one whose program is late', () => {
  const service = createService(1)
  const placement = createPlacement()
  for (const id of ['a', 'b']) placement.place(createRequest(id), service, 0)
  placement.place(createRequest('late', { finishMs: 0 }), service, 1)
  placement.place(createRequest('in time', { finishMs: 2_000 }), service, 2)
  assert.equal(placement.release('a', {}, service, 10).map(({ placementId }) => placementId), ['in time'])
})

test('a program that cannot begin is refused soon as not run, with a time to return; one in progress waits longer', () => {
  const service = createService(1)
  const placement = createPlacement()
  for (const id of ['a', 'b']) placement.place(createRequest(id), service, 0)
  placement.place(createRequest('new', { hasBegun: false }), service, 0)
  placement.place(createRequest('begun'), service, 0)
  const waitMs = 400 * DEFAULT_SERVICE_PLACEMENT.beginWaitShare
  assert.equal(placement.decideQueued(service, waitMs - 1), [])
  const [refused, ...others] = placement.decideQueued(service, waitMs)
  assert.is(others.length, 0)
  assert.ok(refused.type === 'refused' && refused.placementId === 'new' && refused.retryAfterMs >= DEFAULT_SERVICE_PLACEMENT.retryAfterMs, JSON.stringify(refused))
  assert.equal(placement.decideQueued(service, DEFAULT_SERVICE_PLACEMENT.maxWaitMs).map(({ placementId, type }) => `${placementId} ${type}`), ['begun refused'])
})

test('programs of a lower rank do not begin while those in progress need the slots for their next turns', () => {
  const service = createService(2)
  const placement = createPlacement()
  for (const id of ['a', 'b', 'c', 'd']) {
    placement.place(createRequest(id, { programId: id }), service, 0)
    placement.release(id, {}, service, 100)
    placement.place(createRequest(`${id}2`, { programId: `${id}2` }), service, 100)
    placement.release(`${id}2`, {}, service, 120)
  }
  assert.equal(placement.place(createRequest('new', { hasBegun: false }), service, 130), [], 'all slots are free, but eight programs pause')
  assert.equal(placement.place(createRequest('urgent', { hasBegun: false, priority: 0 }), service, 130).map(({ type }) => type), ['placed'])
  const later = 130 + DEFAULT_SERVICE_PLACEMENT.pauseMs + 1
  assert.equal(placement.place(createRequest('later', { hasBegun: false }), service, later).map(({ type }) => type).includes('placed'), true)
})

test('a failing worker is avoided after the failures that any node reports', () => {
  const service = createService(2)
  const placement = createPlacement()
  const [first] = placement.place(createRequest('a'), service, 0)
  const failing = first.type === 'placed' ? first.workerId : ''
  placement.release('a', { failureSeverity: 1 }, service, 10)
  for (let index = 0; index < 4; index++) {
    const [next] = placement.place(createRequest(`next${index}`), service, 20)
    assert.ok(next.type === 'placed' && next.workerId !== failing)
    placement.release(`next${index}`, { durationRatio: 1 }, service, 30)
  }
})

test('a session returns to the worker that has its prompt, and the worker of a shared prompt counts only until its cache is full', () => {
  const service = createService(4)
  const placement = createPlacement()
  const prompt = (session: string): PlacementRequest['prompt'] => [{ id: 'shared', tokens: 12_600 }, { id: session, tokens: 5_000 }]
  const workerOf = (id: string, session: string): string => {
    const [placed] = placement.place(createRequest(id, { prompt: prompt(session) }), service, 0)
    placement.release(id, { durationRatio: 1 }, service, 1)
    return placed.type === 'placed' ? placed.workerId : ''
  }
  const first = workerOf('a', 's1')
  for (let turn = 0; turn < 5; turn++) assert.is(workerOf(`b${turn}`, 's1'), first)
  assert.is(workerOf('c', 's2'), first, 'another session with the same shared prompt')
})

test('slots whose release is lost are free again after the deadline of their request', () => {
  const service = createService(1)
  const placement = createPlacement()
  for (const id of ['a', 'b']) placement.place(createRequest(id, { timeLeftMs: 1_000 }), service, 0)
  assert.equal(placement.removeExpired(1_000), [])
  assert.equal(placement.removeExpired(1_000 + DEFAULT_SERVICE_PLACEMENT.releaseGraceMs), ['a', 'b'])
  assert.is(placement.openCount, 0)
})

test('a new coordinator counts the requests that another one has placed, for a limited time', () => {
  const service = createService(2)
  const placement = createPlacement()
  placement.adoptLoad({ w0: 2 }, 0)
  const placed = ['a', 'b'].flatMap(id => placement.place(createRequest(id), service, 1))
  assert.equal(placed.map(decided => decided.type === 'placed' ? decided.workerId : ''), ['w1', 'w1'])
  const later = DEFAULT_SERVICE_PLACEMENT.adoptedLoadMs + 1
  assert.equal(placement.place(createRequest('c'), service, later).map(decided => decided.type === 'placed' ? decided.workerId : ''), ['w0'])
})

/** Places a request each millisecond, and returns how many each worker got within `forMs`. */
function countPlaced (service: PlacementService, forMs: number): Record<string, number> {
  const placement = createPlacement()
  const counts: Record<string, number> = {}
  for (let nowMs = 0; nowMs < forMs; nowMs++) {
    for (const decided of placement.place(createRequest(String(nowMs)), service, nowMs)) {
      if (decided.type !== 'placed') continue
      counts[decided.workerId] = (counts[decided.workerId] ?? 0) + 1
      placement.release(decided.placementId, { durationRatio: 1 }, service, nowMs)
    }
  }
  return counts
}

test('a worker with a rate limit gets its rate and no burst, the others get the rest', () => {
  const service = { ...createService(2), ratesPerS: new Map([['w0', 5]]) }
  const { w0, w1 } = countPlaced(service, 4_000)
  assert.ok(w0 > 15 && w0 <= 20, String(w0))
  assert.is(w0 + w1, 4_000)
})

test('when the rate limits of all workers bind, a request is refused at once and refused callers return one after the other', () => {
  const service = { ...createService(2), ratesPerS: new Map([['w0', 1], ['w1', 1]]) }
  const placement = createPlacement()
  const decided = Array.from({ length: 8 }, (_, index) => placement.place(createRequest(String(index)), service, 0)).flat()
  const returnsMs = decided.flatMap(placed => placed.type === 'refused' ? [placed.retryAfterMs] : [])
  assert.ok(returnsMs.length >= 5, `${returnsMs.length} refused`)
  for (const [index, returnMs] of returnsMs.slice(1).entries()) {
    assert.ok(returnMs >= Math.min(returnsMs[index] + 500, DEFAULT_SERVICE_PLACEMENT.maxRetryAfterMs), String(returnsMs))
  }
})

test('the rest of a stream gets a worker of its software version only, and is refused at once when there is none', () => {
  const [first, second] = createService(2).workers
  const service = { ...createService(0), workers: [first, { ...second, softwareVersion: 'v2' }] }
  const placement = createPlacement()
  for (let index = 0; index < SLOTS; index++) {
    const [placed] = placement.place(createRequest(`rest${index}`, { softwareVersion: 'v2' }), service, 0)
    assert.is(placed.type === 'placed' && placed.workerId, 'w1')
  }
  assert.equal(placement.place(createRequest('waiting', { softwareVersion: 'v2' }), service, 0), [], 'it waits although another version is free')
  assert.equal(placement.place(createRequest('gone', { softwareVersion: 'v3' }), service, 0).map(({ type }) => type), ['refused'])
})

test.run()
