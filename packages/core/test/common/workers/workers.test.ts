import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_WORKER_CHOICE, SeededRandom, WorkerChoice, type WorkerChoiceQuery, type WorkerRegistration, WorkerRegistry, WorkerStatistics } from '@trefoilshunt/core'

function createWorker (workerId: string, fields: Partial<WorkerRegistration> = {}): WorkerRegistration {
  return { workerId, service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 4, isDraining: false, startedAtMs: 1, coldLeftMs: 0, ...fields }
}

function createQuery (candidates: WorkerRegistration[], fields: Partial<WorkerChoiceQuery> = {}): WorkerChoiceQuery {
  return { candidates, excluded: new Set(), zone: 'a', durationMs: 200, prompt: [], cached: [], isConnected: () => true, nowMs: 0, ...fields }
}

function idsOf (workers: WorkerRegistration[]): string[] {
  return workers.map(worker => worker.workerId)
}

test('a worker that drains, leaves or serves another service gets no new work', () => {
  const registry = new WorkerRegistry()
  const lost: string[] = []
  registry.onDidLoseWorker(({ workerId }) => lost.push(workerId))
  for (const id of ['a', 'b', 'c']) registry.update(id, createWorker(id), 0)
  registry.update('d', createWorker('d', { service: 'other' }), 0)
  registry.update('a', createWorker('a', { isDraining: true }), 1)
  registry.update('b', undefined, 1)
  assert.equal(idsOf(registry.workersOf('s', 1)), ['c'])
  assert.equal(lost, ['a', 'b'])
  registry.update('c', createWorker('c', { startedAtMs: 2 }), 2)
  assert.equal(lost, ['a', 'b', 'c'], 'a restart under the same id fires for the previous worker')
})

test('entries that expire while the log is unavailable stay in use for two seconds after its return', () => {
  const registry = new WorkerRegistry()
  for (const id of ['a', 'b']) registry.update(id, createWorker(id), 0)
  registry.handleLogLost()
  registry.handleLogRegained(10_000)
  registry.replaceAll([], 10_000)
  assert.equal(idsOf(registry.workersOf('s', 11_900)), ['a', 'b'])
  registry.update('a', createWorker('a'), 11_950)
  assert.equal(idsOf(registry.workersOf('s', 12_000)), ['a'], 'an entry that is still missing is removed')
})

test('a registration at whose address another worker answers is not used until the worker restarts, or for ten seconds', () => {
  const registry = new WorkerRegistry()
  for (const id of ['a', 'b']) registry.update(id, createWorker(id), 0)
  registry.markMisdirected('a', 0)
  registry.markMisdirected('b', 0)
  registry.update('a', createWorker('a', { slots: 5 }), 100)
  assert.equal(idsOf(registry.workersOf('s', 200)), [], 'a registration with the same start and address stays excluded')
  registry.update('a', createWorker('a', { startedAtMs: 2 }), 300)
  assert.equal(idsOf(registry.workersOf('s', 400)), ['a'])
  assert.equal(idsOf(registry.workersOf('s', 10_000)), ['a', 'b'])
})

test('a session stays at its worker until the queue there costs more than processing the prompt again', () => {
  const statistics = new WorkerStatistics()
  const choice = new WorkerChoice(DEFAULT_WORKER_CHOICE, statistics, new SeededRandom(1))
  const workers = ['w0', 'w1', 'w2', 'w3'].map(id => createWorker(id))
  const prompt = [{ id: 'shared', tokens: 12_600 }, { id: 'own', tokens: 5_800 }]
  const query = createQuery(workers, { prompt, cached: [{ id: 'own', tokens: 5_000, worker: 'w2' }] })
  statistics.recordPrompt('w2', prompt.slice(0, 1))
  for (let index = 0; index < 20; index++) assert.is(choice.chooseWorker(query)?.workerId, 'w2')
  for (let index = 0; index < 8; index++) statistics.beginRequest('w2')
  assert.is.not(choice.chooseWorker(query)?.workerId, 'w2')
})

test('a session returns to its worker also from a node that has not seen the shared prompt there', () => {
  const workers = Array.from({ length: 8 }, (_, index) => createWorker(`w${index}`, { slots: 12 }))
  const prompt = [{ id: 'shared', tokens: 12_600 }, { id: 'own', tokens: 5_800 }]
  for (const { workerId } of workers) {
    const choice = new WorkerChoice(DEFAULT_WORKER_CHOICE, new WorkerStatistics(), new SeededRandom(1))
    assert.is(choice.chooseWorker(createQuery(workers, { prompt, cached: [{ id: 'own', tokens: 5_000, worker: workerId }] }))?.workerId, workerId)
  }
})

test('a shared prompt is kept on a few workers, the same for every node', () => {
  const workers = Array.from({ length: 8 }, (_, index) => createWorker(`w${index}`, { slots: 12 }))
  const prompt = [{ id: 'shared', tokens: 12_600 }, { id: 'own', tokens: 800 }]
  const chosen = new Set<string>()
  for (let seed = 0; seed < 40; seed++) {
    const choice = new WorkerChoice(DEFAULT_WORKER_CHOICE, new WorkerStatistics(), new SeededRandom(seed))
    chosen.add(choice.chooseWorker(createQuery(workers, { prompt }))?.workerId ?? '')
  }
  assert.ok(chosen.size <= DEFAULT_WORKER_CHOICE.prefixCopies, [...chosen].join())
})

test('load of the peers, slowness and failures direct work away from a worker', () => {
  const workers = ['w0', 'w1'].map(id => createWorker(id))
  const createChoice = (statistics: WorkerStatistics) => new WorkerChoice(DEFAULT_WORKER_CHOICE, statistics, new SeededRandom(3))
  const loaded = new WorkerStatistics()
  loaded.setPeerLoad('peer', { w0: 9 })
  assert.is(createChoice(loaded).chooseWorker(createQuery(workers))?.workerId, 'w1')
  const slow = new WorkerStatistics()
  for (let index = 0; index < 5; index++) {
    slow.beginRequest('w0')
    slow.endRequest('w0', 5)
  }
  assert.is(createChoice(slow).chooseWorker(createQuery(workers))?.workerId, 'w1')
  const failing = new WorkerStatistics()
  failing.recordFailure('w0', 0)
  assert.is(createChoice(failing).chooseWorker(createQuery(workers, { nowMs: 10 }))?.workerId, 'w1')
  assert.is(createChoice(failing).chooseWorker(createQuery(workers, { excluded: new Set(['w1']) }))?.workerId, 'w0')
})

test('the load of all nodes uses the latest report of each node and drops that of a removed node', () => {
  const statistics = new WorkerStatistics()
  statistics.beginRequest('w')
  statistics.setPeerLoad('a', { w: 3, v: 1 })
  statistics.setPeerLoad('b', { w: 2 })
  assert.equal([statistics.inFlightOf('w'), statistics.inFlightOf('v')], [6, 1])
  statistics.setPeerLoad('a', { w: 1 })
  assert.equal([statistics.inFlightOf('w'), statistics.inFlightOf('v')], [4, 0])
  statistics.removePeerLoad('a')
  statistics.removePeerLoad('a')
  assert.is(statistics.inFlightOf('w'), 3)
})

test('random lengths of answers do not move work, a permanently slow worker loses it', () => {
  const workers = ['w0', 'w1'].map(id => createWorker(id))
  const statistics = new WorkerStatistics()
  const random = new SeededRandom(11)
  const choice = new WorkerChoice({ ...DEFAULT_WORKER_CHOICE, jitterMs: 0 }, statistics, new SeededRandom(1))
  const first = choice.chooseWorker(createQuery(workers))?.workerId ?? ''
  let moved = 0
  for (let index = 0; index < 300; index++) {
    statistics.beginRequest(first)
    statistics.endRequest(first, 0.5 + random.nextExponential(0.5))
    if (choice.chooseWorker(createQuery(workers))?.workerId !== first) moved++
  }
  assert.ok(moved <= 6, `moved ${moved} of 300 times`)
  for (let index = 0; index < 12; index++) {
    statistics.beginRequest(first)
    statistics.endRequest(first, 4)
  }
  assert.is.not(choice.chooseWorker(createQuery(workers))?.workerId, first)
})

/** Sends a request of 6 ms each 20 ms; the ratio of a worker's duration depends on the time. Returns the times of the requests that `s1` got. */
function sendTo (ratioOf: (workerId: string, nowMs: number) => number, forMs: number): number[] {
  const statistics = new WorkerStatistics()
  const choice = new WorkerChoice(DEFAULT_WORKER_CHOICE, statistics, new SeededRandom(1))
  const times: number[] = []
  for (let nowMs = 0; nowMs < forMs; nowMs += 20) {
    const workerId = choice.chooseWorker(createQuery(['s1', 's2'].map(id => createWorker(id)), { durationMs: 6, nowMs }))?.workerId ?? ''
    if (workerId === 's1') times.push(nowMs)
    statistics.beginRequest(workerId, nowMs)
    statistics.endRequest(workerId, ratioOf(workerId, nowMs), nowMs + 6)
  }
  return times
}

test('a plain worker that stalled once gets requests again soon, although another is idle', () => {
  const times = sendTo((workerId, nowMs) => workerId === 's1' && nowMs < 600 ? 12 : 1, 4_000)
  const again = times.filter(atMs => atMs >= 600)
  assert.ok(again[0] <= 1_300, `after ${again[0]} ms`)
  assert.ok(again.length > 30, `${again.length} of 170 requests`)
})

test('a plain worker that stays slow is measured with few requests', () => {
  const times = sendTo(workerId => workerId === 's1' ? 12 : 1, 10_000)
  assert.ok(times.length >= 3 && times.length <= 6, times.join())
})

test('a slow worker that is measured again gets one request, not all that come before its answer', () => {
  const statistics = new WorkerStatistics()
  const choice = new WorkerChoice(DEFAULT_WORKER_CHOICE, statistics, new SeededRandom(1))
  statistics.beginRequest('s1', 0)
  statistics.endRequest('s1', 12, 10)
  const chosen = Array.from({ length: 20 }, () => {
    const workerId = choice.chooseWorker(createQuery(['s1', 's2'].map(id => createWorker(id, { slots: 40 })), { durationMs: 6, nowMs: 1_000 }))?.workerId ?? ''
    statistics.beginRequest(workerId, 1_000)
    return workerId
  })
  assert.is(chosen.filter(workerId => workerId === 's1').length, 1)
})

test('among equal workers one with an idle connection is preferred, unless its queue is long', () => {
  const workers = ['w0', 'w1', 'w2'].map(id => createWorker(id))
  const statistics = new WorkerStatistics()
  const choice = new WorkerChoice(DEFAULT_WORKER_CHOICE, statistics, new SeededRandom(7))
  const query = createQuery(workers, { isConnected: worker => worker.workerId === 'w1' })
  for (let index = 0; index < 20; index++) assert.is(choice.chooseWorker(query)?.workerId, 'w1')
  for (let index = 0; index < 5; index++) statistics.beginRequest('w1')
  assert.is.not(choice.chooseWorker(query)?.workerId, 'w1')
})

test.run()
