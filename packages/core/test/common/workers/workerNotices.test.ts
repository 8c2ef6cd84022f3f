/** Tests what a node knows of the rate limits of workers, and of workers that leave. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type NoticeChange, WorkerNotices } from '@trefoilshunt/core'

const WORKER = { workerId: 'w', startedAtMs: 1 }

test('a limit holds until the worker names another one or none, without further answers too', () => {
  const limits = new WorkerNotices()
  assert.is(limits.observe(WORKER, {}, 0), false)
  limits.observe(WORKER, { limitPerS: 7.5 }, 10)
  assert.is(limits.rateOf(WORKER), 7.5)
  limits.observe(WORKER, { limitPerS: 4 }, 100_000)
  assert.is(limits.rateOf(WORKER), 4)
  limits.observe(WORKER, {}, 100_001)
  assert.is(limits.rateOf(WORKER), undefined)
})

test('of reports that cross each other, the one of the newest answer decides', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, {}, 1_000)
  limits.applyReports([{ ...WORKER, limitPerS: 5, agoMs: 50 }], 1_000)
  limits.observe(WORKER, {}, 1_000)
  limits.applyReports([{ ...WORKER, limitPerS: 5, agoMs: 100 }], 1_050)
  assert.is(limits.rateOf(WORKER), undefined, 'the older report')
  limits.applyReports([{ ...WORKER, limitPerS: 6, agoMs: 20 }], 1_060)
  assert.is(limits.rateOf(WORKER), 6)
})

test('a node that had no part learns limits and their end from the reports of another one', () => {
  const [limits, other] = [new WorkerNotices(), new WorkerNotices()]
  const changes: NoticeChange[] = []
  other.onDidChange(change => changes.push(change))
  limits.observe(WORKER, { limitPerS: 5 }, 0)
  other.applyReports(limits.reports(300), 2_000)
  assert.is(other.rateOf(WORKER), 5)
  limits.observe(WORKER, {}, 400)
  other.applyReports(limits.reports(500), 2_200)
  assert.is(other.rateOf(WORKER), undefined)
  assert.equal(changes.map(({ limitPerS }) => limitPerS), [5, undefined])
})

test('a restarted worker has no limit, whatever is still reported of its earlier start', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, { limitPerS: 5 }, 0)
  const restarted = { ...WORKER, startedAtMs: 2 }
  assert.is(limits.rateOf(restarted), undefined)
  limits.observe(restarted, { limitPerS: 8 }, 10)
  limits.applyReports([{ ...WORKER, limitPerS: 3, agoMs: 0 }], 20)
  assert.is(limits.rateOf(restarted), 8)
})

test('a worker that takes no requests still gets a few, whose answers show the end of the limit', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, { limitPerS: 0 }, 0)
  const ratePerS = limits.rateOf(WORKER) ?? 0
  assert.ok(ratePerS > 0 && ratePerS <= 1, String(ratePerS))
})

test('the end of a limit is reported for a limited time, also while the worker goes on answering', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, { limitPerS: 5 }, 0)
  let isReported = true
  for (let nowMs = 1_000; nowMs <= 30_000; nowMs += 1_000) isReported = limits.observe(WORKER, {}, nowMs)
  assert.is(isReported, false)
  assert.equal(limits.reports(30_000), [])
})

test('a worker that leaves counts as leaving until it restarts, whatever its later answers and older reports say', () => {
  const notices = new WorkerNotices()
  assert.not.ok(notices.isLeaving(WORKER))
  notices.observe(WORKER, { isLeaving: true }, 1_000)
  assert.ok(notices.isLeaving(WORKER))
  notices.observe(WORKER, {}, 2_000)
  notices.applyReports([{ ...WORKER, limitPerS: 5, agoMs: 5_000 }], 3_000)
  assert.ok(notices.isLeaving(WORKER))
  assert.not.ok(notices.isLeaving({ ...WORKER, startedAtMs: 2 }), 'another start')
})

test('a node that had no part learns from reports that a worker leaves, also from one that is older than an answer of its own', () => {
  const [notices, other] = [new WorkerNotices(), new WorkerNotices()]
  other.observe(WORKER, { limitPerS: 3 }, 5_000)
  notices.observe(WORKER, { isLeaving: true }, 0)
  other.applyReports(notices.reports(600_000), 5_010)
  assert.ok(other.isLeaving(WORKER))
  assert.is(other.rateOf(WORKER), 3, 'the newer answer decides on the limit')
})

test('what is reported of a worker that has gone is forgotten after a while', () => {
  const notices = new WorkerNotices()
  notices.applyReports([{ ...WORKER, isLeaving: true, agoMs: 0 }, { ...WORKER, workerId: 'registered', isLeaving: true, agoMs: 0 }], 0)
  const isRegistered = (workerId: string): boolean => workerId === 'registered'
  notices.removeInactive(isRegistered, 1_000)
  assert.ok(notices.isLeaving(WORKER), 'its entry may not be read yet')
  notices.removeInactive(isRegistered, 600_000)
  assert.not.ok(notices.isLeaving(WORKER))
  assert.ok(notices.isLeaving({ ...WORKER, workerId: 'registered' }))
})

test.run()
