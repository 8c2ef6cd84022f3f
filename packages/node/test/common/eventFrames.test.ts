/** Tests the splitter of event streams. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { EventFrameSplitter } from '@trefoilshunt/node'

test('events are returned complete and in order for any split of the bytes', () => {
  const text = 'id: 1\ndata: one\n\nweight-versions: 3\nid: 2\ndata: two\ndata: lines\n\n: comment\n\nid: 3\r\ndata: dr\u00fcck\r\n\r\n'
  const bytes = Buffer.from(text)
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 60 }), sizes => {
    const splitter = new EventFrameSplitter()
    const frames = []
    let offset = 0
    for (let index = 0; offset < bytes.length; index++) {
      const end = offset + sizes[index % sizes.length]
      frames.push(...splitter.push(bytes.subarray(offset, end)))
      offset = end
    }
    assert.equal(Buffer.concat([...frames.map(frame => frame.bytes), splitter.rest]), bytes)
    assert.equal(frames.map(frame => frame.id), ['1', '2', undefined, '3'])
    assert.equal(frames.map(frame => frame.data), ['one', 'two\nlines', undefined, Buffer.from('dr\u00fcck').toString('latin1')])
  }))
})

test('the bytes of an incomplete event stay in the splitter', () => {
  const splitter = new EventFrameSplitter()
  assert.is(splitter.push(Buffer.from('id: 1\ndata: on')).length, 0)
  assert.is(splitter.rest.toString(), 'id: 1\ndata: on')
})

test.run()
