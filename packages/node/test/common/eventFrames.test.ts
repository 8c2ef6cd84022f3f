/** Tests the splitter of event streams. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { EventFrameSplitter, type StreamEvent } from '@trefoilshunt/node'

test('events are returned complete and in order for any split of the bytes', () => {
  const text = 'id: 1\ndata: one\n\nweight-versions: 3\nid: 2\ndata: two\ndata: lines\n\n: comment\n\nid: 3\r\ndata: dr\u00fcck\r\n\r\n'
  const bytes = Buffer.from(text)
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 60 }), sizes => {
    const splitter = new EventFrameSplitter()
    const parts: Buffer[] = []
    const events: StreamEvent[] = []
    let offset = 0
    for (let index = 0; offset < bytes.length; index++) {
      const end = offset + sizes[index % sizes.length]
      const batch = splitter.push(bytes.subarray(offset, end))
      for (const { endOffset } of batch.events) assert.ok(/\n\r?\n$/.test(batch.bytes.toString('latin1', 0, endOffset)), 'an event ends with a blank line')
      parts.push(batch.bytes)
      events.push(...batch.events)
      offset = end
    }
    assert.equal(Buffer.concat([...parts, splitter.rest]), bytes)
    assert.ok(parts.every(part => part.length === 0 || /\n\r?\n$/.test(part.toString('latin1'))), 'only complete frames are returned')
    assert.equal(events.map(({ id }) => id), ['1', '2', '3'])
    assert.equal(events.map(({ data }) => data), ['one', 'two\nlines', Buffer.from('dr\u00fcck').toString('latin1')])
  }))
})

test('the bytes of an incomplete event stay in the splitter', () => {
  const splitter = new EventFrameSplitter()
  assert.equal(splitter.push(Buffer.from('id: 1\ndata: on')), { bytes: Buffer.alloc(0), events: [] })
  assert.is(splitter.rest.toString(), 'id: 1\ndata: on')
})

test.run()
