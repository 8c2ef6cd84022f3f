import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoreSettings, type QueueItem, Rank, WorkerQueue, type SlotReport } from '@trefoilshunt/core'

const REPORT: SlotReport = { isSuccess: true, serviceMs: 1_000, firstTokenMs: 100, tokenGapMs: 30, promptTokens: 10, cachedTokens: 0 }
let lastTicket = 0

function createQueue (floors = { urgent: 0, other: 0 }, slots = 2): WorkerQueue {
  return new WorkerQueue({ worker: 'w-1', settings: createCoreSettings({ initialConcurrency: slots }), floors: () => floors, weightOf: () => 1, maxConcurrency: () => slots })
}

function item (overrides: Partial<QueueItem> = {}): QueueItem {
  lastTicket++
  return {
    ticket: `t${lastTicket}`,
    programId: `p${lastTicket}`,
    customer: 'riders',
    kind: 'fitting',
    rank: Rank.Urgent,
    isFirstStep: false,
    dueAtMs: 60_000,
    deadlineMs: 100_000,
    attainedSteps: 1,
    promptTokens: 100,
    isSuspect: false,
    owner: 'regina-1',
    enqueuedAtMs: 0,
    ...overrides
  }
}

function drain (queue: WorkerQueue, nowMs = 0): string[] {
  const order: string[] = []
  for (;;) {
    const next = queue.dequeueNext(nowMs)
    if (next === undefined) return order
    order.push(next.ticket)
    queue.remove(next.ticket, REPORT)
  }
}

function enqueueAll (queue: WorkerQueue, items: QueueItem[]): void {
  for (const entry of items) queue.enqueue(entry)
}

test('urgent work is served before other work', () => {
  const queue = createQueue()
  const other = item({ rank: Rank.Other })
  const urgent = item()
  enqueueAll(queue, [other, urgent])
  assert.equal(drain(queue), [urgent.ticket, other.ticket])
})

test('the other rank gets its floor while urgent work waits', () => {
  const queue = createQueue({ urgent: 0, other: 0.25 }, 4)
  enqueueAll(queue, [item({ rank: Rank.Other }), item({ rank: Rank.Other }), ...Array.from({ length: 6 }, () => item())])
  const running = [queue.dequeueNext(0), queue.dequeueNext(0), queue.dequeueNext(0), queue.dequeueNext(0)]
  assert.is(running.filter(entry => entry?.rank === Rank.Other).length, 1)
  assert.is(queue.dequeueNext(0), undefined)
})

test('started programs come before new ones, and the earlier target first', () => {
  const queue = createQueue()
  const firstStep = item({ isFirstStep: true, attainedSteps: 0, dueAtMs: 10_000 })
  const late = item({ dueAtMs: 50_000 })
  const soon = item({ dueAtMs: 20_000 })
  enqueueAll(queue, [firstStep, late, soon])
  assert.equal(drain(queue), [soon.ticket, late.ticket, firstStep.ticket])
})

test('programs past their target get one slot, and no more while others can meet theirs', () => {
  const queue = createQueue({ urgent: 0, other: 0 }, 3)
  const overdue = [item({ dueAtMs: 1_000 }), item({ dueAtMs: 2_000 })]
  const timely = [item(), item(), item()]
  enqueueAll(queue, [...overdue, ...timely])
  const running = [queue.dequeueNext(5_000), queue.dequeueNext(5_000), queue.dequeueNext(5_000)].map(entry => entry?.ticket)
  assert.equal(running.filter(ticket => overdue.some(entry => entry.ticket === ticket)), [overdue[0].ticket])
})

test('among new programs the customer with the least service comes first', () => {
  const queue = createQueue({ urgent: 0, other: 0 }, 1)
  const first = item({ isFirstStep: true, customer: 'riders' })
  queue.enqueue(first)
  queue.dequeueNext(0)
  const riderStep = item({ isFirstStep: true, customer: 'riders', dueAtMs: 10_000 })
  const dealerStep = item({ isFirstStep: true, customer: 'dealers', dueAtMs: 90_000 })
  enqueueAll(queue, [riderStep, dealerStep])
  queue.remove(first.ticket, REPORT)
  assert.equal(drain(queue), [dealerStep.ticket, riderStep.ticket])
})

test('only one suspect request runs on a worker at a time', () => {
  const queue = createQueue({ urgent: 0, other: 0 }, 3)
  const suspects = [item({ isSuspect: true }), item({ isSuspect: true })]
  const healthy = item({ dueAtMs: 90_000 })
  enqueueAll(queue, [...suspects, healthy])
  assert.equal([queue.dequeueNext(0)?.ticket, queue.dequeueNext(0)?.ticket, queue.dequeueNext(0)?.ticket], [suspects[0].ticket, healthy.ticket, undefined])
})

test('the concurrency limit of the other rank is lower than that of urgent work', () => {
  const queue = createQueue({ urgent: 0, other: 0 }, 64)
  for (let concurrency = 1; concurrency <= 40; concurrency++) {
    for (let round = 0; round < 3; round++) {
      const running = Array.from({ length: concurrency }, () => item())
      for (const entry of running) queue.addInFlight(entry, 0)
      for (const entry of running) queue.remove(entry.ticket, { ...REPORT, tokenGapMs: 16 + 1.5 * concurrency })
    }
  }
  assert.ok(queue.limitOf(Rank.Other) < queue.limitOf(Rank.Urgent))
  assert.ok(queue.limitOf(Rank.Urgent) < 40)
})

test('an urgent program close to its target holds back other work on its worker, down to the floor', () => {
  const queue = createQueue({ urgent: 0, other: 0.25 }, 4)
  enqueueAll(queue, [item({ dueAtMs: 10_000 }), item({ rank: Rank.Other }), item({ rank: Rank.Other })])
  assert.is(queue.dequeueNext(0)?.rank, Rank.Other)
  assert.is(queue.dequeueNext(0)?.rank, Rank.Urgent)
  assert.is(queue.dequeueNext(0), undefined)
  assert.is(queue.dequeueNext(11_000)?.rank, Rank.Other)
})

test('the expected wait is zero with a free slot and grows with the queue', () => {
  const queue = createQueue({ urgent: 0, other: 0 }, 1)
  assert.is(queue.expectedWaitMs(Rank.Urgent), 0)
  enqueueAll(queue, [item(), item(), item()])
  queue.dequeueNext(0)
  assert.ok(queue.expectedWaitMs(Rank.Urgent) >= 2 * queue.serviceMs)
})

test.run()
