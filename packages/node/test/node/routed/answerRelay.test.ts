/** Tests what the relay of an answer holds back and when it stops reading. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { IAnswerSink } from '@trefoilshunt/node/routed'
import { AnswerRelay } from '../../../src/node/routed/answerRelay.js'
import { steadyNowMs } from '../../../src/node/steadyClock.js'
import { HeldBytes } from '../../../src/node/routed/heldBytes.js'

class RecordingSink implements IAnswerSink {
  onCallerDisconnected: () => void = () => {}
  onDrained: () => void = () => {}
  writtenBytes = 0
  writeCount = 0
  text = ''
  hasBegun = false
  isFull = false

  begin (): void { this.hasBegun = true }
  end (): void {}
  refuse (): void {}
  abort (): void {}
  write (bytes: Uint8Array): boolean {
    this.writtenBytes += bytes.length
    this.writeCount++
    this.text += Buffer.from(bytes).toString('latin1')
    return !this.isFull
  }
}

const PLAIN_HEAD = { status: 200, headers: [], isEventStream: false, notice: {} }
const LARGE = new Uint8Array(600 * 1024)

test('a plain answer that is larger than the buffer reaches the caller only after its reservation is recorded', () => {
  const sink = new RecordingSink()
  const paused: boolean[] = []
  const relay = new AnswerRelay(sink, { onBackpressure: isPaused => paused.push(isPaused) })
  relay.pauseForwarding()
  relay.beginAttempt()
  relay.handleHead(PLAIN_HEAD)
  relay.handleData(LARGE)
  assert.is(sink.hasBegun, false)
  assert.equal(paused, [true])
  relay.resumeForwarding()
  assert.equal(paused, [true, false])
  relay.endAttempt(() => {})
  assert.is(sink.writtenBytes, LARGE.length)
})

test('no more is read from the worker while the caller does not read', () => {
  const sink = new RecordingSink()
  const paused: boolean[] = []
  const relay = new AnswerRelay(sink, { onBackpressure: isPaused => paused.push(isPaused) })
  relay.beginAttempt()
  relay.handleHead(PLAIN_HEAD)
  sink.isFull = true
  relay.handleData(LARGE)
  assert.equal(paused, [true])
  sink.isFull = false
  sink.onDrained()
  assert.equal(paused, [true, false])
})

const STREAM_HEAD = { status: 200, headers: [], isEventStream: true, isSelfDelimiting: false, notice: {} }
const READ_BYTES = 64 * 1024

// Guards against a process that runs out of memory, because each blank line, comment or event of a worker cost objects of its own.
for (const [name, text] of [['blank lines', '\n'], ['comments', ': on\n\n'], ['events without content', 'data:\n\n']] as const) {
  test(`${name} that one read brings are written to the caller at once`, () => {
    const sink = new RecordingSink()
    const relay = new AnswerRelay(sink, {})
    relay.beginAttempt()
    relay.handleHead(STREAM_HEAD)
    const bytes = Buffer.from(text.repeat(Math.floor(READ_BYTES / text.length)))
    assert.is(relay.handleData(bytes), undefined)
    assert.is(sink.writeCount, 1)
    assert.is(sink.writtenBytes, bytes.length)
  })
}

for (const text of ['\n', ': on\n\n']) {
  test(`a stream that goes on with ${JSON.stringify(text)} has failed, also after an event`, () => {
    const relay = new AnswerRelay(new RecordingSink(), {})
    relay.beginAttempt()
    relay.handleHead(STREAM_HEAD)
    assert.is(relay.handleData(Buffer.from('id: 1\ndata: a\n\n')), undefined)
    const bytes = Buffer.from(text.repeat(1_000))
    let receivedBytes = 0
    while (relay.handleData(bytes) === undefined) {
      receivedBytes += bytes.length
      assert.ok(receivedBytes < 2 * READ_BYTES)
    }
    assert.ok(receivedBytes > READ_BYTES / 2, 'some of them are passed on')
  })
}

test('comments between events are passed on without end', () => {
  const relay = new AnswerRelay(new RecordingSink(), {})
  relay.beginAttempt()
  relay.handleHead(STREAM_HEAD)
  for (let id = 1; id < 200; id++) assert.is(relay.handleData(Buffer.from(`${':\n\n'.repeat(1_000)}id: ${id}\ndata: a\n\n`)), undefined)
})

test('events before one that can not be accepted are passed on, and counted', () => {
  const sink = new RecordingSink()
  const relay = new AnswerRelay(sink, { retainsOutput: true })
  relay.beginAttempt(2)
  relay.handleHead(STREAM_HEAD)
  assert.is(relay.handleData(Buffer.from(': on\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n: on\n\nid: 3\ndata: c\n\n')), 'more events than the request may generate')
  assert.is(sink.text, ': on\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n')
  assert.is(relay.eventCount, 2)
  assert.is(relay.lastEventId, '2')
  assert.is(relay.takeOutput().toString(), 'a\nb\n')
})

test('events without content count for the output that is retained', () => {
  const relay = new AnswerRelay(new RecordingSink(), { retainsOutput: true })
  relay.beginAttempt()
  relay.handleHead(STREAM_HEAD)
  const bytes = Buffer.from('data:\n\n'.repeat(200_000))
  let problem: string | undefined
  for (let read = 0; read < 50 && problem === undefined; read++) problem = relay.handleData(bytes)
  assert.is(problem, 'the output is too large to be retained')
})

test('while many requests of a node hold bytes, each one holds fewer', () => {
  const heldBytes = new HeldBytes(1024 * 1024)
  const paused: boolean[] = []
  const relays = Array.from({ length: 40 }, () => {
    const relay = new AnswerRelay(new RecordingSink(), { heldBytes, onBackpressure: isPaused => paused.push(isPaused) })
    relay.pauseForwarding()
    relay.beginAttempt()
    relay.handleHead(PLAIN_HEAD)
    relay.handleData(new Uint8Array(60_000))
    return relay
  })
  assert.is(heldBytes.byteCount, 40 * 60_000)
  assert.ok(paused.length > 20, `${paused.length} are paused`)
  relays[0].resumeForwarding()
  relays[0].handleData(new Uint8Array(1))
  assert.is(heldBytes.byteCount, 39 * 60_000, 'a body that could be buffered is passed on')
  for (const relay of relays) relay.stop()
  assert.is(heldBytes.byteCount, 0)
})

// Guards against speeds of workers that are learned from what slow callers, or other attempts, took.
test('the times of events are known for a whole stream only, and not after reading was paused', () => {
  const createRelay = (lastEventId?: string): { relay: AnswerRelay, sink: RecordingSink } => {
    const sink = new RecordingSink()
    const relay = new AnswerRelay(sink, { lastEventId })
    relay.beginAttempt()
    relay.handleHead(STREAM_HEAD)
    return { relay, sink }
  }
  const whole = createRelay()
  assert.is(whole.relay.eventTimesSince(0), undefined, 'no event has arrived')
  const sentAtMs = steadyNowMs()
  for (const id of [1, 2, 3]) whole.relay.handleData(Buffer.from(`id: ${id}\ndata: x\n\n`))
  const times = whole.relay.eventTimesSince(sentAtMs)
  assert.ok(times !== undefined && times[0] >= 0 && times[1] >= 0 && times[2] === 3, String(times))
  whole.sink.isFull = true
  whole.relay.handleData(Buffer.from('id: 4\ndata: x\n\n'))
  assert.is(whole.relay.eventTimesSince(sentAtMs), undefined)
  const resumed = createRelay('2')
  resumed.relay.handleData(Buffer.from('id: 3\ndata: x\n\n'))
  assert.is(resumed.relay.eventTimesSince(sentAtMs), undefined)
  const second = createRelay()
  second.relay.handleData(Buffer.from('id: 1\ndata: x\n\n'))
  second.relay.beginAttempt()
  second.relay.handleHead(STREAM_HEAD)
  second.relay.handleData(Buffer.from('id: 2\ndata: x\n\n'))
  assert.is(second.relay.eventTimesSince(sentAtMs), undefined)
})

test.run()
