import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '@trefoilshunt/core'

test('the first values of consecutive seeds are evenly distributed', () => {
  const firsts = Array.from({ length: 1_000 }, (_, seed) => new SeededRandom(seed).next())
  const mean = firsts.reduce((sum, value) => sum + value, 0) / firsts.length
  assert.ok(Math.abs(mean - 0.5) < 0.05, `mean ${mean}`)
  assert.ok(firsts.filter(value => value < 0.1).length > 50)
  assert.ok(firsts.filter(value => value > 0.9).length > 50)
})

test('the same seed gives the same values', () => {
  assert.is(new SeededRandom(7).next(), new SeededRandom(7).next())
})

test('a sample holds distinct items', () => {
  const sample = new SeededRandom(1).sample([1, 2, 3, 4, 5], 9)
  assert.equal([...sample].sort(), [1, 2, 3, 4, 5])
})

test.run()
