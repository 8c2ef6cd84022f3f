/** Epochs that processes of one node raise to one after the other, while the log executes some of their calls late. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { EPOCHS_PER_GENERATION, nextEpoch } from '@trefoilshunt/core'

const GENERATION = 3
const BASE_EPOCH = GENERATION * EPOCHS_PER_GENERATION

/** The highest epoch that the log has accepted. */
class EpochLog {
  epoch = -1

  raise (epoch: number): boolean {
    if (epoch < this.epoch) return false
    this.epoch = epoch
    return true
  }
}

/** Takes a partition over, or ends at the call number `lostCall`, which the log has not executed. */
function runProcess (log: EpochLog, lostCall?: number): { owned: number } | { lost: number } {
  let calls = 0
  for (let epoch = nextEpoch(GENERATION); epoch !== undefined; epoch = nextEpoch(GENERATION, epoch)) {
    if (calls++ === lostCall) return { lost: epoch }
    if (!log.raise(epoch)) continue
    if (calls++ === lostCall) return { lost: epoch + 1 }
    if (log.raise(epoch + 1)) return { owned: epoch + 1 }
  }
  throw new Error('the generation has no epoch left')
}

// Guards against an owner that a late claim of an ended process of the same node fences, and against two processes that share an epoch.
test('a call that the log executes late never raises the epoch above that of a process that has started since, and no two processes share one', () => {
  const processes = fc.array(fc.record({ lostCall: fc.option(fc.nat(8), { nil: undefined }), lateAfter: fc.nat(3), isLateBeforeStart: fc.boolean() }), { minLength: 1, maxLength: 10 })
  fc.assert(fc.property(processes, schedule => {
    const log = new EpochLog()
    const lost: Array<{ epoch: number, dueAt: number, isBeforeStart: boolean }> = []
    const ownedEpochs: number[] = []
    const executeLate = (process: number, isStarted: boolean): void => {
      for (const { epoch, dueAt, isBeforeStart } of lost) if (dueAt < process || (dueAt === process && isBeforeStart !== isStarted)) log.raise(epoch)
    }
    for (const [process, { lostCall, lateAfter, isLateBeforeStart }] of schedule.entries()) {
      executeLate(process, false)
      const outcome = runProcess(log, lostCall)
      if ('lost' in outcome) {
        lost.push({ epoch: outcome.lost, dueAt: process + lateAfter, isBeforeStart: isLateBeforeStart })
        continue
      }
      ownedEpochs.push(outcome.owned)
      executeLate(process, true)
      assert.is(log.epoch, outcome.owned)
    }
    assert.equal(ownedEpochs, [...new Set(ownedEpochs)].sort((left, right) => left - right))
  }), { numRuns: 1_000 })
})

test('an epoch of any height in the generation is passed with 20 calls at most', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: EPOCHS_PER_GENERATION / 2 }), offset => {
    let calls = 1
    for (let epoch = nextEpoch(GENERATION); epoch !== undefined && epoch <= BASE_EPOCH + offset; epoch = nextEpoch(GENERATION, epoch)) calls++
    assert.ok(calls <= 20)
  }))
})

test('epochs of other generations are never returned', () => {
  assert.is(nextEpoch(GENERATION, BASE_EPOCH - 1), BASE_EPOCH)
  assert.is(nextEpoch(GENERATION, BASE_EPOCH + EPOCHS_PER_GENERATION - 1), undefined)
  const epochs: number[] = []
  for (let epoch = nextEpoch(GENERATION); epoch !== undefined; epoch = nextEpoch(GENERATION, epoch)) epochs.push(epoch + 1)
  assert.ok(epochs.every(epoch => epoch < BASE_EPOCH + EPOCHS_PER_GENERATION))
})

test.run()
