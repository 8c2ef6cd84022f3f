import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { MemoryBudget, type MemoryClaim } from '../../../src/index.js'

const KB = 1024
const test = suite('memory budget')

function openClaim (budget: MemoryBudget, owner: string, events: string[], name: string, isEvictable = true): MemoryClaim {
  return budget.open(owner, { isEvictable, evict: () => { events.push(`evict ${name}`) }, resume: () => { events.push(`resume ${name}`) } })
}

test('a caller that holds less gets room from the newest body of the one that holds most', () => {
  const events: string[] = []
  const budget = new MemoryBudget({ maxBytes: 300 * KB })
  for (const name of ['a1', 'a2', 'a3']) assert.ok(openClaim(budget, 'a', events, name).take(100 * KB, 0))
  assert.ok(openClaim(budget, 'b', events, 'b1').take(KB, 0))
  assert.equal(events, ['evict a3'])
})

// Guards against a refusal of a request that runs, which would break the promise that it has not run.
test('what runs is never evicted: the next one waits, goes on when there is room, and is given up after the longest wait', () => {
  const events: string[] = []
  const budget = new MemoryBudget({ maxBytes: 300 * KB, maxWaitMs: 1_000 })
  const running = openClaim(budget, 'a', events, 'a1', false)
  running.set(300 * KB)
  const waiting = openClaim(budget, 'b', events, 'b1')
  assert.not.ok(waiting.take(KB, 0))
  running.set(100 * KB)
  assert.equal(events, ['resume b1'])
  running.set(300 * KB)
  assert.not.ok(waiting.take(2 * KB, 500))
  budget.expire(1_499)
  budget.expire(1_500)
  assert.equal(events, ['resume b1', 'evict b1'])
})

// Guards against memory that stays counted for requests that have ended, which would refuse all later ones.
test('whatever is taken and closed in whatever order, the sum is that of the open claims, and zero at the end', () => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.nat(5), fc.nat(2), fc.nat(200 * KB), fc.boolean()), { maxLength: 60 }), steps => {
    const budget = new MemoryBudget({ maxBytes: 300 * KB })
    const open = new Map<number, MemoryClaim>()
    for (const [index, [key, owner, bytes, isClosed]] of steps.entries()) {
      let claim = open.get(key)
      if (claim === undefined) {
        const opened = budget.open(String(owner), { isEvictable: true, evict: () => open.delete(key), resume: () => {} })
        claim = opened
        open.set(key, opened)
      }
      if (isClosed) {
        open.delete(key)
        claim.close()
      } else claim.take(bytes, index)
      assert.is(budget.heldBytes, [...open.values()].reduce((total, { heldBytes }) => total + heldBytes, 0))
    }
    for (const claim of open.values()) claim.close()
    assert.is(budget.heldBytes, 0)
    assert.is(budget.waitingCount, 0)
  }))
})

test.run()
