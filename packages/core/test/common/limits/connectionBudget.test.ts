import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ConnectionBudget } from '../../../src/index.js'

const test = suite('connection budget')

// Guards against one address that takes all connections of a process.
test('when all are taken, another address gets the oldest idle connection of the one that has most, which itself is refused', () => {
  const busy = new Set(['a1'])
  const budget = new ConnectionBudget<string>({ maxConnections: 4, isIdle: connection => !busy.has(connection) })
  for (const [owner, connection] of [['a', 'a1'], ['a', 'a2'], ['a', 'a3'], ['b', 'b1']]) assert.ok(budget.open(owner, connection).isAdmitted)
  assert.equal(budget.open('a', 'a4'), { isAdmitted: false })
  assert.equal(budget.open('c', 'c1'), { isAdmitted: true, evicted: 'a2' })
  // Neither address has more than the newcomer would have.
  assert.equal(budget.open('c', 'c2'), { isAdmitted: false })
  budget.close('a', 'a2')
  assert.is(budget.count, 4)
  budget.close('b', 'b1')
  assert.equal(budget.open('b', 'b2'), { isAdmitted: true })
})

test.run()
