import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SuspectTurnEnd, SuspectTurns } from '@trefoilshunt/core'

const TURN_A = { fingerprint: 'f', turnId: 'a' }
const TURN_B = { fingerprint: 'f', turnId: 'b' }
const DURATION_MS = 1_000

function begin (turns: SuspectTurns, turn: typeof TURN_A, nowMs: number): boolean {
  return turns.begin(turn, { durationMs: DURATION_MS, nowMs }).type === 'begun'
}

test('a suspect request has one turn at a time, others are not affected', () => {
  const turns = new SuspectTurns()
  assert.ok(begin(turns, TURN_A, 0))
  assert.ok(begin(turns, TURN_A, 5), 'the same turn, asked for again')
  assert.not(begin(turns, TURN_B, 10))
  assert.ok(begin(turns, { ...TURN_B, fingerprint: 'g' }, 10))
  turns.end(TURN_B, { end: SuspectTurnEnd.NotHarmed, nowMs: 20 })
  assert.not(begin(turns, TURN_B, 30), 'an end of another turn')
  turns.end(TURN_A, { end: SuspectTurnEnd.NotHarmed, nowMs: 40 })
  assert.ok(begin(turns, TURN_B, 40))
})

test('the next turn waits after one without an answer, so that a crash becomes known', () => {
  const turns = new SuspectTurns()
  assert.ok(begin(turns, TURN_A, 0))
  turns.end(TURN_A, { end: SuspectTurnEnd.Unanswered, nowMs: 100 })
  const reply = turns.begin(TURN_B, { durationMs: DURATION_MS, nowMs: 200 })
  const waitMs = reply.type === 'paused' ? reply.waitMs : 0
  assert.ok(waitMs > 0)
  assert.not(begin(turns, TURN_B, 199 + waitMs))
  assert.ok(begin(turns, TURN_B, 200 + waitMs))
})

test('a turn whose end is not heard ends with its time', () => {
  const turns = new SuspectTurns()
  assert.ok(begin(turns, TURN_A, 0))
  assert.not(begin(turns, TURN_B, DURATION_MS))
  assert.ok(begin(turns, TURN_B, 3 * DURATION_MS))
  assert.is(turns.size, 1)
})

test('turns begin side by side once a worker has served the request', () => {
  const turns = new SuspectTurns()
  assert.ok(begin(turns, TURN_A, 0))
  assert.equal(turns.begin(TURN_B, { durationMs: DURATION_MS, nowMs: 10 }), { type: 'open' })
  turns.end(TURN_A, { end: SuspectTurnEnd.Served, nowMs: 20 })
  assert.ok(begin(turns, TURN_A, 30))
  assert.ok(begin(turns, TURN_B, 30))
  assert.ok(begin(turns, TURN_A, 10_000))
  assert.not(begin(turns, TURN_B, 10_000), 'suspect once more')
})

test.run()
