import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoreSettings, type IMembership, Outliers, RetryBudget, type WorkerInfo } from '@trefoilshunt/core'

const NULL_LOGGER = { info () {}, warn () {} }

function createOutliers (workerCount: number, clock: { nowMs: () => number }): Outliers {
  const workers = Array.from({ length: workerCount }, (_, index): WorkerInfo => ({ worker: `w${index}`, backend: 'm', zone: 'a', address: '' }))
  const membership = { workers: () => workers, findWorker: (name: string) => workers.find(worker => worker.worker === name) } as unknown as IMembership
  return new Outliers(createCoreSettings(), clock, membership, NULL_LOGGER)
}

test('retries are limited to a tenth of the first attempts', () => {
  const budget = new RetryBudget(createCoreSettings())
  let retryCount = 0
  for (let index = 0; index < 10_000; index++) {
    budget.recordFirstAttempt('riders')
    if (budget.tryTake('riders')) retryCount++
  }
  assert.ok(retryCount <= 1_010, `${retryCount} retries`)
  assert.ok(retryCount >= 900, `${retryCount} retries`)
})

test('a customer that keeps using its retries cannot draw on those that another customer earned', () => {
  const budget = new RetryBudget(createCoreSettings())
  for (let index = 0; index < 300; index++) {
    budget.recordFirstAttempt('riders')
    budget.recordFirstAttempt('dealers')
    budget.tryTake('riders')
  }
  assert.not(budget.tryTake('riders') && budget.tryTake('riders') && budget.tryTake('riders'))
})

test('a worker is ejected after three consecutive failures, for a limited time', () => {
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

test('a success resets the count of consecutive failures', () => {
  const outliers = createOutliers(8, { nowMs: () => 0 })
  outliers.recordFailure('w1')
  outliers.recordFailure('w1')
  outliers.recordSuccess('w1')
  outliers.recordFailure('w1')
  assert.not(outliers.isEjected('w1'))
})

test('no more than the allowed share of the workers of a back end is ejected', () => {
  const outliers = createOutliers(8, { nowMs: () => 0 })
  for (let index = 0; index < 8; index++) {
    for (let round = 0; round < 5; round++) outliers.recordFailure(`w${index}`)
  }
  const ejectedCount = Array.from({ length: 8 }, (_, index) => outliers.isEjected(`w${index}`)).filter(Boolean).length
  assert.is(ejectedCount, 2)
})

test.run()
