import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoreSettings, type IMembership, Outliers, RetryBudget, type WorkerInfo } from '@trefoilshunt/core'

const SILENT = { info () {}, warn () {} }

function createOutliers (workerCount: number, clock: { nowMs: () => number }): Outliers {
  const workers = Array.from({ length: workerCount }, (_, index): WorkerInfo => ({ worker: `w${index}`, backend: 'm', zone: 'a', address: '' }))
  const membership = { workers: () => workers, findWorker: (name: string) => workers.find(worker => worker.worker === name) } as unknown as IMembership
  return new Outliers(createCoreSettings(), clock, membership, SILENT)
}

test('retries stay a tenth of the first attempts', () => {
  const budget = new RetryBudget(createCoreSettings())
  let taken = 0
  for (let index = 0; index < 10_000; index++) {
    budget.recordFirstAttempt('riders')
    if (budget.tryTake('riders')) taken++
  }
  assert.ok(taken <= 1_010, `${taken} retries`)
  assert.ok(taken >= 900, `${taken} retries`)
})

test('one customer cannot use up the retries of another', () => {
  const budget = new RetryBudget(createCoreSettings())
  for (let index = 0; index < 300; index++) {
    budget.recordFirstAttempt('riders')
    budget.recordFirstAttempt('dealers')
    budget.tryTake('riders')
  }
  assert.not(budget.tryTake('riders') && budget.tryTake('riders') && budget.tryTake('riders'))
})

test('a worker that fails three times in a row is left out for a while', () => {
  let nowMs = 0
  const outliers = createOutliers(8, { nowMs: () => nowMs })
  outliers.recordFailure('w1')
  outliers.recordFailure('w1')
  assert.not(outliers.isEjected('w1'))
  outliers.recordFailure('w1')
  assert.ok(outliers.isEjected('w1'))
  nowMs = 6_000
  assert.not(outliers.isEjected('w1'))
})

test('a success forgives earlier failures', () => {
  const outliers = createOutliers(8, { nowMs: () => 0 })
  outliers.recordFailure('w1')
  outliers.recordFailure('w1')
  outliers.recordSuccess('w1')
  outliers.recordFailure('w1')
  assert.not(outliers.isEjected('w1'))
})

test('never more than the allowed share of a back end is left out', () => {
  const outliers = createOutliers(8, { nowMs: () => 0 })
  for (let index = 0; index < 8; index++) {
    for (let round = 0; round < 5; round++) outliers.recordFailure(`w${index}`)
  }
  const ejected = Array.from({ length: 8 }, (_, index) => outliers.isEjected(`w${index}`)).filter(Boolean).length
  assert.is(ejected, 2)
})

test.run()
