import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { AccountDirectory, type ClockReading, decideAccess, DocumentFreshness, earlierBy, scopeId } from '../../../src/index.js'

const directory = new AccountDirectory([{ name: 'a', accessKeys: ['k1'] }, { name: 'b', accessKeys: ['k2'] }])
const LIMIT_MS = 5_000

function decide (accessKeys: string[], documentAgeMs: number, isOpenRoute = false): string {
  const decision = decideAccess({ directory, isOpenRoute, accessKeys, documentAgeMs, withdrawnKeyLimitMs: LIMIT_MS })
  return decision.type === 'account' ? decision.account.name : decision.type
}

test('a request is refused for good only by a node with a fresh document', () => {
  assert.equal([decide(['k1'], 0), decide(['k2'], 4_700), decide(['k1'], 4_750), decide(['k1'], Number.POSITIVE_INFINITY)], ['a', 'b', 'stale', 'stale'])
  assert.equal([decide([], 400), decide(['x'], 400), decide(['k1', 'k2'], 400), decide(['x'], 600)], ['unauthorized', 'unauthorized', 'unauthorized', 'uncertain'])
  assert.is(decide(['x'], Number.POSITIVE_INFINITY, true), 'open')
})

// Guards against a node that takes its document for fresh because its clocks don't count the time in which its VM was suspended, or were set.
test('the age is never less than the true time since the confirmation, over freezes, suspensions and clocks that are set', () => {
  const step = fc.record({ runMs: fc.nat(2_000), suspendMs: fc.nat(4_000), setMs: fc.integer({ min: -900, max: 6_000 }), isConfirmed: fc.boolean(), sentMsAgo: fc.nat(500) })
  fc.assert(fc.property(fc.array(step, { maxLength: 12 }), steps => {
    const freshness = new DocumentFreshness()
    let now: ClockReading = { steadyMs: 0, wallMs: 1e6 }
    let trueMs = 0
    let confirmedAtMs = Number.NEGATIVE_INFINITY
    let wallErrorMs = 0
    for (const { runMs, suspendMs, setMs, isConfirmed, sentMsAgo } of steps) {
      trueMs += runMs + suspendMs
      now = { steadyMs: now.steadyMs + runMs, wallMs: now.wallMs + runMs + suspendMs + setMs }
      wallErrorMs += Math.max(0, -setMs)
      if (isConfirmed) {
        freshness.confirm(earlierBy(sentMsAgo, now), now)
        confirmedAtMs = Math.max(confirmedAtMs, trueMs - sentMsAgo)
      }
      assert.ok(freshness.ageMs(now) >= trueMs - confirmedAtMs - wallErrorMs, 'a clock that is set back may hide at most as much')
    }
  }), { seed: 1 })
})

test('a time of day that was set back by seconds leaves no confirmation', () => {
  const freshness = new DocumentFreshness()
  freshness.confirm({ steadyMs: 0, wallMs: 10_000 }, { steadyMs: 0, wallMs: 10_000 })
  assert.is(freshness.ageMs({ steadyMs: 100, wallMs: 8_000 }), Number.POSITIVE_INFINITY)
  freshness.confirm({ steadyMs: 100, wallMs: 8_000 }, { steadyMs: 100, wallMs: 8_000 })
  assert.is(freshness.ageMs({ steadyMs: 300, wallMs: 8_200 }), 200)
})

test('no two pairs of account and id have the same scoped id', () => {
  fc.assert(fc.property(fc.array(fc.string({ unit: fc.constantFrom('a', '/', '%', ' '), maxLength: 4 }), { minLength: 4, maxLength: 4 }), ([account, id, otherAccount, otherId]) => {
    const isSame = account === otherAccount && id === otherId
    assert.is(scopeId(account, id) === scopeId(otherAccount, otherId), isSame)
  }))
})

test.run()
