import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseMove } from '@trefoilshunt/core'

test('a worker moves from the idle model to the busy one', () => {
  assert.equal(chooseMove([{ model: 'a', workers: ['w1'], demand: 40 }, { model: 'b', workers: ['w2', 'w3'], demand: 2 }]), { worker: 'w2', from: 'b', to: 'a' })
})

test('a model keeps its last worker', () => {
  assert.is(chooseMove([{ model: 'a', workers: ['w1'], demand: 400 }, { model: 'b', workers: ['w2'], demand: 0 }]), undefined)
})

test('nothing moves while the busy model is not short of workers', () => {
  assert.is(chooseMove([{ model: 'a', workers: ['w1'], demand: 9 }, { model: 'b', workers: ['w2', 'w3'], demand: 0 }]), undefined)
})

test('nothing moves when the donor would be as busy afterwards', () => {
  assert.is(chooseMove([{ model: 'a', workers: ['w1', 'w2'], demand: 40 }, { model: 'b', workers: ['w3', 'w4'], demand: 20 }]), undefined)
})

test('a move is never undone at once by the same demand', () => {
  const before = [{ model: 'a', workers: ['w1', 'w2'], demand: 60 }, { model: 'b', workers: ['w3', 'w4', 'w5'], demand: 12 }]
  const move = chooseMove(before)
  assert.ok(move)
  const after = [{ model: 'a', workers: ['w1', 'w2', 'w3'], demand: 60 }, { model: 'b', workers: ['w4', 'w5'], demand: 12 }]
  assert.is.not(chooseMove(after)?.to, 'b')
})

test.run()
