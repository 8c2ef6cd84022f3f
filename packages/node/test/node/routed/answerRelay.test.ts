/** Tests what the relay of an answer holds back and when it stops reading. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { IAnswerSink } from '@trefoilshunt/node/routed'
import { AnswerRelay } from '../../../src/node/routed/answerRelay.js'

class RecordingSink implements IAnswerSink {
  onCallerDisconnected: () => void = () => {}
  onDrained: () => void = () => {}
  writtenBytes = 0
  hasBegun = false
  isFull = false

  begin (): void { this.hasBegun = true }
  end (): void {}
  refuse (): void {}
  abort (): void {}
  write (bytes: Uint8Array): boolean {
    this.writtenBytes += bytes.length
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

test.run()
