import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chainDigest, digestValue, Ewma, initialDigest, resolveOwner, TokenBucket, toCanonicalJson } from '@trefoilshunt/core'

test('equal values have equal digests whatever the order of their fields', () => {
  assert.is(digestValue({ a: 1, b: [2, { c: 3, d: 4 }] }), digestValue({ b: [2, { d: 4, c: 3 }], a: 1 }))
  assert.is.not(digestValue({ a: 1 }), digestValue({ a: 2 }))
  assert.is(toCanonicalJson({ b: undefined, a: null }), '{"a":null}')
})

test('the digest chain depends on program, step, call and answer', () => {
  const start = initialDigest('regina-1.a.1')
  const digests = [
    chainDigest(start, 1, 'call', 'answer'),
    chainDigest(start, 2, 'call', 'answer'),
    chainDigest(start, 1, 'other', 'answer'),
    chainDigest(start, 1, 'call', 'other'),
    chainDigest(initialDigest('regina-1.a.2'), 1, 'call', 'answer')
  ]
  assert.is(new Set(digests).size, digests.length)
})

test('removing a node moves only the keys that it owned, and the nodes own about as many keys each', () => {
  const nodes = Array.from({ length: 9 }, (_, index) => `node-${index}`)
  const keys = Array.from({ length: 2_000 }, (_, index) => `worker-${index}`)
  const owner = (key: string, among: string[]) => resolveOwner(key, among, name => name)
  const rest = nodes.filter(node => node !== 'node-4')
  for (const key of keys) {
    const before = owner(key, nodes)
    if (before !== 'node-4') assert.is(owner(key, rest), before)
  }
  const counts = nodes.map(node => keys.filter(key => owner(key, nodes) === node).length)
  assert.ok(Math.min(...counts) > 2_000 / 9 / 1.5)
  assert.ok(Math.max(...counts) < 2_000 / 9 * 1.5)
})

test('a token bucket allows its burst and then its rate', () => {
  const bucket = new TokenBucket({ ratePerSecond: 10, burst: 2 })
  assert.ok(bucket.tryTake(0))
  assert.ok(bucket.tryTake(0))
  assert.not(bucket.tryTake(0))
  assert.is(bucket.waitMs(0), 100)
  assert.ok(bucket.tryTake(100))
})

test('the initial value of an average loses its influence within a few samples', () => {
  const average = new Ewma(0.1, 1_000)
  for (let index = 0; index < 20; index++) average.add(10)
  assert.ok(average.value < 200)
})

test.run()
