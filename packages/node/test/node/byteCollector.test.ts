/** Tests that bytes keep their order, and that small pieces cost no object each. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { ByteCollector } from '../../src/node/byteCollector.js'

test('bytes are returned in order for any sizes of the pieces', () => {
  fc.assert(fc.property(fc.array(fc.oneof(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 0, max: 9_000 })), { maxLength: 80 }), sizes => {
    const collector = new ByteCollector()
    const pieces = sizes.map((size, index) => Buffer.alloc(size, index + 1))
    for (const piece of pieces) collector.add(piece)
    const expected = Buffer.concat(pieces)
    assert.is(collector.byteCount, expected.length)
    assert.is(Buffer.compare(collector.concat(), expected), 0)
    assert.is(collector.byteCount, 0)
    assert.is(collector.concat().length, 0)
  }))
})

test('single bytes are held in few blocks', () => {
  const collector = new ByteCollector()
  for (let index = 0; index < 100_000; index++) collector.add(Buffer.of(index & 0xff))
  assert.ok(collector.drain().length < 10)
})

test.run()
