/** When a lost partition may be taken over again, and what is known of those that are not served. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PartitionAssignments, PartitionLoss } from '@trefoilshunt/core'

const FENCED = { reason: PartitionLoss.Fenced, epoch: 7 }

test('a lost partition is taken over only by the answer to a join that was sent after the loss', () => {
  const assignments = new PartitionAssignments()
  assignments.assign([3], 0)
  assert.ok(assignments.mayTakeOver(3, 0))
  assert.is(assignments.outdatedEpochOf(3), undefined)
  assignments.recordServing(3, 10)
  assignments.recordLoss(3, FENCED, 100)
  assert.not.ok(assignments.mayTakeOver(3, 99), 'the group may have moved it meanwhile')
  assert.ok(assignments.mayTakeOver(3, 100))
  assert.is(assignments.outdatedEpochOf(3), 7)
  assert.not.ok(assignments.mayTakeOver(4, 100), 'not assigned')
})

test('the pause before a takeover doubles with each loss up to a limit, and begins anew after a stable service or another assignment', () => {
  const assignments = new PartitionAssignments({ minPauseMs: 100, maxPauseMs: 300, stableAfterMs: 1_000 })
  assignments.assign([3], 0)
  let nowMs = 0
  const pauseAfterLoss = (servedMs: number): number => {
    assignments.recordServing(3, nowMs)
    nowMs += servedMs
    assignments.recordLoss(3, FENCED, nowMs)
    let pauseMs = 0
    while (!assignments.mayTakeOver(3, nowMs + pauseMs)) pauseMs++
    return pauseMs
  }
  assert.equal([10, 10, 10, 10, 10].map(pauseAfterLoss), [0, 100, 200, 300, 300])
  assert.equal([1_000, 10].map(pauseAfterLoss), [0, 100])
  assignments.assign([], nowMs)
  assignments.assign([3], nowMs)
  assert.is(pauseAfterLoss(10), 0)
})

test('a partition counts as unserved from its assignment or loss until it is served, with the reason and the number of losses', () => {
  const assignments = new PartitionAssignments()
  assignments.assign([3, 5], 1_000)
  assert.equal(assignments.unserved(1_200), [3, 5].map(partition => ({ partition, loss: undefined, lossCount: 0, ageMs: 200 })))
  for (const partition of [3, 5]) assignments.recordServing(partition, 1_300)
  assert.equal(assignments.unserved(1_400), [])
  assignments.recordLoss(5, FENCED, 2_000)
  assignments.recordLoss(5, { reason: PartitionLoss.EpochsExhausted, epoch: 8 }, 2_100)
  assert.equal(assignments.unserved(2_500), [{ partition: 5, loss: PartitionLoss.EpochsExhausted, lossCount: 2, ageMs: 500 }])
  assignments.recordLoss(6, FENCED, 2_600)
  assignments.assign([3], 2_700)
  assert.equal(assignments.unserved(2_800), [])
})

test.run()
