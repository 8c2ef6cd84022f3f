import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { EventSequence } from '@trefoilshunt/core'

function acceptAll (sequence: EventSequence, ids: readonly number[]): Array<string | undefined> {
  return ids.map(id => sequence.accept(String(id)))
}

test('increasing ids are accepted, whatever their differences', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 50 })), steps => {
    let id = 0
    return acceptAll(new EventSequence(), steps.map(step => { id += step; return id })).every(problem => problem === undefined)
  }))
})

test('an event that was there before is refused, within an attempt and after another one', () => {
  const sequence = new EventSequence()
  assert.equal(acceptAll(sequence, [1, 2, 2]), [undefined, undefined, 'event 2 after event 2'])
  const continued = new EventSequence('3')
  continued.beginAttempt()
  assert.equal(acceptAll(continued, [1]), ['event 1 after event 3'])
})

test('a continuation that leaves events out is refused where the ids so far have one difference', () => {
  const sequence = new EventSequence()
  acceptAll(sequence, [4, 8, 12])
  sequence.beginAttempt()
  assert.is(sequence.accept('20'), 'event 20 in place of event 16')
  const varying = new EventSequence()
  acceptAll(varying, [4, 8, 9])
  varying.beginAttempt()
  assert.is(varying.accept('20'), undefined)
})

test('a continuation brings at least one event', () => {
  const sequence = new EventSequence()
  sequence.beginAttempt(false)
  assert.is(sequence.endAttempt(), undefined)
  sequence.beginAttempt()
  assert.is(sequence.endAttempt(), 'a continuation without events')
  sequence.accept('1')
  assert.is(sequence.endAttempt(), undefined)
})

test('ids that are no whole numbers are accepted', () => {
  const sequence = new EventSequence()
  assert.equal(['a', 'a', undefined].map(id => sequence.accept(id)), [undefined, undefined, undefined])
})

test.run()
