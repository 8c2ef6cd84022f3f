import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { WorkerContact } from '../../../src/index.js'

const test = suite('worker contact')

test('silence begins with the first call that waits, and ends with each worker that sends something', () => {
  const contact = new WorkerContact()
  assert.is(contact.silenceMs(5_000), 0)
  contact.beginWait(1_000)
  contact.beginWait(1_200)
  assert.is(contact.silenceMs(1_300), 300)
  contact.recordBytes(1_350)
  assert.is(contact.silenceMs(1_400), 50)
})

test('a node without calls in progress is not silent', () => {
  const contact = new WorkerContact()
  contact.beginWait(1_000)
  contact.endWait()
  assert.is(contact.silenceMs(9_000), 0)
  contact.beginWait(9_000)
  assert.is(contact.silenceMs(9_100), 100)
})

test.run()
