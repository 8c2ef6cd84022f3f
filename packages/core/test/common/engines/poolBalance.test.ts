import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseMove } from '@trefoilshunt/core'

test('a worker moves from the least loaded model to the most loaded one', () => {
  assert.equal(chooseMove([{ model: 'a', workers: ['w1'], load: 40 }, { model: 'b', workers: ['w2', 'w3'], load: 2 }]), { worker: 'w2', from: 'b', to: 'a' })
})

test('a model keeps its last worker', () => {
  assert.is(chooseMove([{ model: 'a', workers: ['w1'], load: 400 }, { model: 'b', workers: ['w2'], load: 0 }]), undefined)
})

test('no worker moves while the most loaded model is not short of workers', () => {
  assert.is(chooseMove([{ model: 'a', workers: ['w1'], load: 9 }, { model: 'b', workers: ['w2', 'w3'], load: 0 }]), undefined)
})

test('no worker moves when the model that gives it up would become as loaded as the other one', () => {
  assert.is(chooseMove([{ model: 'a', workers: ['w1', 'w2'], load: 40 }, { model: 'b', workers: ['w3', 'w4'], load: 20 }]), undefined)
})

test('the same loads do not move the worker back after a move', () => {
  const before = [{ model: 'a', workers: ['w1', 'w2'], load: 60 }, { model: 'b', workers: ['w3', 'w4', 'w5'], load: 12 }]
  const move = chooseMove(before)
  assert.ok(move)
  const after = [{ model: 'a', workers: ['w1', 'w2', 'w3'], load: 60 }, { model: 'b', workers: ['w4', 'w5'], load: 12 }]
  assert.is.not(chooseMove(after)?.to, 'b')
})

test.run()
