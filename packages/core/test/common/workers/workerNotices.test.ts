/** Tests what a node knows of the rate limits of workers. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type NoticeChange, WorkerNotices } from '@trefoilshunt/core'

const WORKER = { workerId: 'w', startedAtMs: 1 }

test('a limit holds until the worker names another one or none, without further answers too', () => {
  const limits = new WorkerNotices()
  assert.is(limits.observe(WORKER, undefined, 0), false)
  limits.observe(WORKER, 7.5, 10)
  assert.is(limits.rateOf(WORKER), 7.5)
  limits.observe(WORKER, 4, 100_000)
  assert.is(limits.rateOf(WORKER), 4)
  limits.observe(WORKER, undefined, 100_001)
  assert.is(limits.rateOf(WORKER), undefined)
})

test('of reports that cross each other, the one of the newest answer decides', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, undefined, 1_000)
  limits.applyReports([{ ...WORKER, limitPerS: 5, agoMs: 50 }], 1_000)
  limits.observe(WORKER, undefined, 1_000)
  limits.applyReports([{ ...WORKER, limitPerS: 5, agoMs: 100 }], 1_050)
  assert.is(limits.rateOf(WORKER), undefined, 'the older report')
  limits.applyReports([{ ...WORKER, limitPerS: 6, agoMs: 20 }], 1_060)
  assert.is(limits.rateOf(WORKER), 6)
})

test('a node that had no part learns limits and their end from the reports of another one', () => {
  const [limits, other] = [new WorkerNotices(), new WorkerNotices()]
  const changes: NoticeChange[] = []
  other.onDidChange(change => changes.push(change))
  limits.observe(WORKER, 5, 0)
  other.applyReports(limits.reports(300), 2_000)
  assert.is(other.rateOf(WORKER), 5)
  limits.observe(WORKER, undefined, 400)
  other.applyReports(limits.reports(500), 2_200)
  assert.is(other.rateOf(WORKER), undefined)
  assert.equal(changes.map(({ limitPerS }) => limitPerS), [5, undefined])
})

test('a restarted worker has no limit, whatever is still reported of its earlier start', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, 5, 0)
  const restarted = { ...WORKER, startedAtMs: 2 }
  assert.is(limits.rateOf(restarted), undefined)
  limits.observe(restarted, 8, 10)
  limits.applyReports([{ ...WORKER, limitPerS: 3, agoMs: 0 }], 20)
  assert.is(limits.rateOf(restarted), 8)
})

test('a worker that takes no requests still gets a few, whose answers show the end of the limit', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, 0, 0)
  const ratePerS = limits.rateOf(WORKER) ?? 0
  assert.ok(ratePerS > 0 && ratePerS <= 1, String(ratePerS))
})

test('the end of a limit is reported for a limited time, also while the worker goes on answering', () => {
  const limits = new WorkerNotices()
  limits.observe(WORKER, 5, 0)
  let isReported = true
  for (let nowMs = 1_000; nowMs <= 30_000; nowMs += 1_000) isReported = limits.observe(WORKER, undefined, nowMs)
  assert.is(isReported, false)
  assert.equal(limits.reports(30_000), [])
})

test.run()
