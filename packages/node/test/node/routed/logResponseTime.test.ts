import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LogResponseTime } from '../../../src/node/routed/logResponseTime.js'

const LIMITS = { minMs: 80, maxMs: 1_500 }

test('calls without an answer double the time-out of those that follow, up to the longest', () => {
  const responseTime = new LogResponseTime()
  assert.equal([0, 1, 2, 3, 4, 5].map(count => responseTime.timeoutMs(LIMITS, count)), [80, 160, 320, 640, 1_280, 1_500])
})

test('one slow answer is enough for the time-outs of all calls', () => {
  const responseTime = new LogResponseTime()
  responseTime.recordAnswer(240)
  assert.is(responseTime.timeoutMs(LIMITS, 0), 480)
})

test('time-outs are short again after three fast answers', () => {
  const responseTime = new LogResponseTime()
  responseTime.recordAnswer(240)
  for (let count = 0; count < 3; count++) responseTime.recordAnswer(4)
  assert.is(responseTime.timeoutMs(LIMITS, 0), LIMITS.minMs)
})

test('a log that loses a third of the answers and is fast otherwise gets short time-outs', () => {
  const responseTime = new LogResponseTime()
  let unansweredCount = 0
  const timeouts = Array.from({ length: 300 }, (_, index) => {
    const timeoutMs = responseTime.timeoutMs(LIMITS, unansweredCount)
    if (index % 3 === 0) unansweredCount++
    else {
      unansweredCount = 0
      responseTime.recordAnswer(4)
    }
    return timeoutMs
  })
  assert.is(Math.max(...timeouts), 2 * LIMITS.minMs)
})

test.run()
