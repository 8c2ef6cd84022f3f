import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { AttemptOutcome, type AttemptHistory, resolveNextAction, type Route, RouteKind } from '@trefoilshunt/core'

function createHistory (route: Partial<Route>, fields: Partial<AttemptHistory> = {}): AttemptHistory {
  const full: Route = {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: RouteKind.Unsafe,
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 0,
    targets: [],
    maxAttempts: 2,
    retainsTurns: false,
    turnRetentionMs: 0,
    isSticky: false,
    canResume: false,
    maxEventGapMs: 200,
    ...route
  }
  return { route: full, sentCount: 1, unsentCount: 0, mayHaveRun: false, hasAnswerBegun: false, isAnswerContinuable: false, timeLeftMs: 500, ...fields }
}

test('an unsafe request of unknown outcome is never sent again and never reported as not run', () => {
  fc.assert(fc.property(fc.nat(5), fc.nat(5), fc.integer({ min: 0, max: 2_000 }), (sentCount, unsentCount, timeLeftMs) => {
    const next = resolveNextAction(AttemptOutcome.Unknown, createHistory({ kind: RouteKind.Unsafe, maxAttempts: 6 }, { sentCount, unsentCount, timeLeftMs, mayHaveRun: true }))
    return next.type === 'unknown'
  }))
})

test('after an attempt of unknown outcome a refusal is not reported as "not run"', () => {
  const history = createHistory({ kind: RouteKind.Safe }, { sentCount: 2, mayHaveRun: true })
  assert.equal(resolveNextAction(AttemptOutcome.Refused, history), { type: 'unknown' })
})

test('refused and unsent requests are retried within the attempts of the route', () => {
  assert.equal(resolveNextAction(AttemptOutcome.Refused, createHistory({ maxAttempts: 2 })), { type: 'again' })
  assert.equal(resolveNextAction(AttemptOutcome.Refused, createHistory({ maxAttempts: 1 })), { type: 'notRun' })
  assert.equal(resolveNextAction(AttemptOutcome.NotSent, createHistory({ maxAttempts: 1 }, { sentCount: 0, unsentCount: 1 })), { type: 'again' })
  assert.equal(resolveNextAction(AttemptOutcome.NotSent, createHistory({}, { sentCount: 0, unsentCount: 7 })), { type: 'again' })
  assert.equal(resolveNextAction(AttemptOutcome.NotSent, createHistory({}, { sentCount: 0, unsentCount: 8 })), { type: 'notRun' })
  assert.equal(resolveNextAction(AttemptOutcome.NotSent, createHistory({}, { sentCount: 0, unsentCount: 2, timeLeftMs: 10 })), { type: 'notRun' })
})

test('a broken stream resumes after its last event only when the route allows it', () => {
  const broken = { sentCount: 1, mayHaveRun: true, hasAnswerBegun: true, isAnswerContinuable: true }
  assert.equal(resolveNextAction(AttemptOutcome.Unknown, createHistory({ kind: RouteKind.Stream, canResume: true }, broken)), { type: 'resume' })
  assert.equal(resolveNextAction(AttemptOutcome.Unknown, createHistory({ kind: RouteKind.Stream, canResume: false }, broken)), { type: 'unknown' })
  assert.equal(resolveNextAction(AttemptOutcome.Unknown, createHistory({ kind: RouteKind.Stream, canResume: true, maxAttempts: 1 }, broken)), { type: 'unknown' })
})

test('an answer that has begun and cannot be continued is not followed by another one', () => {
  const begun = { mayHaveRun: true, hasAnswerBegun: true, isAnswerContinuable: false }
  for (const route of [{ kind: RouteKind.Safe }, { kind: RouteKind.Stream, canResume: true }]) {
    for (const outcome of Object.values(AttemptOutcome)) {
      assert.equal(resolveNextAction(outcome, createHistory({ ...route, maxAttempts: 3 }, begun)), { type: 'unknown' }, outcome)
    }
  }
})

test.run()
