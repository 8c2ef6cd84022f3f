/** Epochs that processes of one node claim one after the other, while the log executes some of their claims late. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { EPOCHS_PER_GENERATION, epochAfterCollision, nextEpoch } from '@trefoilshunt/core'

const GENERATION = 3
const BASE_EPOCH = GENERATION * EPOCHS_PER_GENERATION

interface Claim { epoch: number, process: number }

/** The epoch that the log has accepted last, and the process that claimed it. */
class ClaimLog {
  accepted: Claim = { epoch: -1, process: -1 }

  claim (claim: Claim): 'accepted' | 'fenced' | 'outOfSequence' {
    if (claim.epoch < this.accepted.epoch) return 'fenced'
    if (claim.epoch === this.accepted.epoch) return claim.process === this.accepted.process ? 'accepted' : 'outOfSequence'
    this.accepted = claim
    return 'accepted'
  }
}

/** Claims until the log accepts one, or gets the claim number `lostClaim` without answering it. The result is that claim. */
function runProcess (log: ClaimLog, process: number, lostClaim?: number): Claim {
  let epoch = nextEpoch(GENERATION)
  for (let count = 0; epoch !== undefined; count++) {
    const claim = { epoch, process }
    if (count === lostClaim) return claim
    const answer = log.claim(claim)
    if (answer === 'accepted') return claim
    epoch = answer === 'fenced' ? nextEpoch(GENERATION, epoch) : epochAfterCollision(GENERATION, epoch)
  }
  throw new Error('the generation has no epoch left')
}

// Guards against an owner that a late claim of an ended process of the same node fences, and against two processes that share an epoch.
test('a claim that the log executes late is never above, and never taken for, that of a process that has started since', () => {
  const processes = fc.array(fc.record({ lostClaim: fc.option(fc.nat(4), { nil: undefined }), lateAfter: fc.nat(3), isLateBeforeStart: fc.boolean() }), { minLength: 1, maxLength: 10 })
  fc.assert(fc.property(processes, schedule => {
    const log = new ClaimLog()
    const lost: Array<{ claim: Claim, dueAt: number, isBeforeStart: boolean }> = []
    const epochs: number[] = []
    const executeLate = (process: number, isStarted: boolean): void => {
      for (const { claim, dueAt, isBeforeStart } of lost) if (dueAt < process || (dueAt === process && isBeforeStart !== isStarted)) log.claim(claim)
    }
    for (const [process, { lostClaim, lateAfter, isLateBeforeStart }] of schedule.entries()) {
      executeLate(process, false)
      const claim = runProcess(log, process, lostClaim)
      if (log.accepted !== claim) {
        lost.push({ claim, dueAt: process + lateAfter, isBeforeStart: isLateBeforeStart })
        continue
      }
      epochs.push(claim.epoch)
      executeLate(process, true)
      assert.is(log.accepted, claim)
    }
    assert.equal(epochs, [...new Set(epochs)].sort((left, right) => left - right))
  }), { numRuns: 1_000 })
})

test('an epoch of any height in the generation is passed with a few claims', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: EPOCHS_PER_GENERATION / 4 }), offset => {
    let claims = 1
    for (let epoch = nextEpoch(GENERATION); epoch !== undefined && epoch <= BASE_EPOCH + offset; epoch = nextEpoch(GENERATION, epoch)) claims++
    assert.ok(claims <= 11)
  }))
})

test('epochs of other generations are never returned', () => {
  assert.is(nextEpoch(GENERATION, BASE_EPOCH - 1), BASE_EPOCH)
  assert.is(nextEpoch(GENERATION, BASE_EPOCH + EPOCHS_PER_GENERATION - 1), undefined)
  assert.is(epochAfterCollision(GENERATION, BASE_EPOCH + EPOCHS_PER_GENERATION - 1), undefined)
  assert.is(epochAfterCollision(GENERATION, BASE_EPOCH), BASE_EPOCH + 1)
})

test.run()
