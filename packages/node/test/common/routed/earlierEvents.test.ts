/** Tests which events of a stream a caller holds after several attempts. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { resolveEarlierEvents, type StreamAttempt } from '../../../src/common/routed/earlierEvents.js'

const STREAM = 'a'
const RUNS = 2_000

function frame (id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`
}

/** An attempt that ended; `events` gives the source of each of its events, from 1 on. */
function createAttempt (attemptId: string, sources: string, options: Partial<StreamAttempt> = {}): StreamAttempt {
  const events = Buffer.from([...sources].map((source, index) => frame(index + 1, source)).join(''))
  return { attemptId, ancestors: attemptId === STREAM ? [] : [STREAM], events, isEnded: true, ...options }
}

/** Sources of the events that count, or why they aren't known. */
function resolve (attempts: readonly StreamAttempt[], lastEventId: string): string {
  const outcome = resolveEarlierEvents(attempts, lastEventId)
  return outcome.type === 'known' ? Buffer.from(outcome.output).toString('latin1').replaceAll('\n', '') : outcome.detail
}

test('what an attempt forwarded beyond the event that the caller names does not count', () => {
  const outcome = resolveEarlierEvents([createAttempt(STREAM, 'aaaaaa')], '4')
  assert.is(outcome.type, 'known')
  if (outcome.type !== 'known') return
  assert.is(outcome.eventCount, 4)
  assert.is(Buffer.from(outcome.events).toString(), [1, 2, 3, 4].map(id => frame(id, 'a')).join(''))
  assert.equal(outcome.ancestors, [STREAM])
})

test('after a second attempt, what the first one forwarded beyond it does not count', () => {
  assert.is(resolve([createAttempt(STREAM, 'aaaaaaaa'), createAttempt('b', 'aaaabb', { resumedAfter: '4' })], '6'), 'aaaabb')
  assert.is(resolve([createAttempt(STREAM, 'aaaaaaaa'), createAttempt('b', 'aaaabb', { resumedAfter: '4' })], '8'), 'the last event was superseded')
  assert.is(resolve([createAttempt(STREAM, 'aaaaaaaa'), createAttempt('b', 'aaaabb', { resumedAfter: '4' })], '4'), 'aaaa')
})

test('of two attempts after the same event, the one that has the last event counts, and with different events neither', () => {
  const attempts = [createAttempt(STREAM, 'aaaa'), createAttempt('b', 'aaaabb', { resumedAfter: '4' })]
  assert.is(resolve([...attempts, createAttempt('c', 'aaaacccc', { resumedAfter: '4' })], '7'), 'aaaaccc')
  assert.is(resolve([...attempts, createAttempt('c', 'aaaacccc', { resumedAfter: '4' })], '6'), 'attempts with different events may have brought the last one')
  assert.is(resolve([...attempts, createAttempt('c', 'aaaabbbb', { resumedAfter: '4' })], '6'), 'aaaabb')
})

test('an attempt of which events may be missing is not passed over, unless it ended without any', () => {
  const attempts = [createAttempt(STREAM, 'aaaa'), createAttempt('c', 'aaaacccc', { resumedAfter: '4' })]
  const lost = { ancestors: [STREAM], events: new Uint8Array(0), resumedAfter: '4' }
  assert.is(resolve([...attempts, { ...lost, attemptId: 'b', isEnded: false }], '7'), 'an attempt whose events are not all known may have brought the last one')
  assert.is(resolve([...attempts, { ...lost, attemptId: 'b', isEnded: true }], '7'), 'aaaaccc')
  assert.is(resolve([...attempts, { ...lost, attemptId: 'b', isEnded: true, resumedAfter: '99' }], '7'), 'aaaaccc')
})

test('what several nodes hold of an attempt is joined', () => {
  assert.is(resolve([createAttempt(STREAM, 'aa', { isEnded: false }), createAttempt(STREAM, 'aaaa', { isEnded: false }), createAttempt(STREAM, 'a', { isEnded: false })], '3'), 'aaa')
})

test('events are found whatever their ids, lines and line ends, and not without an id', () => {
  const events = Buffer.from('id: 10\r\ndata: one\r\ndata: two\r\n\r\n: comment\n\nid: 30\ndata:\n\ndata: last\n\n')
  const attempts = [{ attemptId: STREAM, ancestors: [], events, isEnded: true }]
  const outputOf = (id: string): string | undefined => {
    const outcome = resolveEarlierEvents(attempts, id)
    return outcome.type === 'known' ? Buffer.from(outcome.output).toString() : undefined
  }
  assert.is(outputOf('10'), 'one\ntwo\n')
  assert.is(outputOf('30'), 'one\ntwo\n\n')
  assert.is(outputOf('20'), undefined)
  assert.is(outputOf(''), undefined)
})

interface DrawnAttempt {
  /** The caller asks from this many events before the last one that it holds. */
  stepsBack: number
  forwarded: number
  /** Of the forwarded events, from 0 to 1. */
  receivedShare: number
  heldShare: number
  isBeginKnown: boolean
  hasEnded: boolean
}

/** Plays the attempts of one caller one after the other; earlier ones may run on, and holders may lack the last events of each. Returns how many take-ups went on. */
function playAttempts (drawn: readonly DrawnAttempt[], isHeldWhole: boolean): { known: number, unknown: number } {
  const attempts: StreamAttempt[] = []
  let held = ''
  const counts = { known: 0, unknown: 0 }
  for (const [index, { stepsBack, forwarded, receivedShare, heldShare, isBeginKnown, hasEnded }] of drawn.entries()) {
    const attemptId = String.fromCharCode(STREAM.charCodeAt(0) + index)
    const received = Math.floor(forwarded * receivedShare)
    const kept = isHeldWhole ? forwarded : Math.floor(forwarded * heldShare)
    if (index === 0) {
      attempts.push(createAttempt(attemptId, attemptId.repeat(kept), { isEnded: hasEnded && kept === forwarded }))
      held = attemptId.repeat(received)
      continue
    }
    const lastEvent = Math.max(1, held.length - stepsBack)
    if (held.length === 0) return counts
    const outcome = resolveEarlierEvents(attempts, String(lastEvent))
    counts[outcome.type]++
    if (outcome.type === 'unknown') {
      attempts.push(createAttempt(attemptId, '', { resumedAfter: String(lastEvent) }))
      continue
    }
    held = held.slice(0, lastEvent)
    const earlier = Buffer.from(outcome.output).toString().replaceAll('\n', '')
    assert.is(earlier, held)
    const isKnown = isHeldWhole || isBeginKnown
    attempts.push(createAttempt(attemptId, isKnown ? held + attemptId.repeat(kept) : '', { resumedAfter: String(lastEvent), ancestors: isKnown ? outcome.ancestors : [STREAM], isEnded: hasEnded && isKnown && kept === forwarded && forwarded > 0 }))
    held += attemptId.repeat(received)
  }
  return counts
}

const drawnAttempts = fc.array(fc.record({
  stepsBack: fc.nat(1),
  forwarded: fc.nat(6),
  receivedShare: fc.constantFrom(0, 0.5, 1, 1),
  heldShare: fc.constantFrom(0, 0.5, 1, 1),
  isBeginKnown: fc.boolean(),
  hasEnded: fc.boolean()
}), { minLength: 2, maxLength: 6 })

// Guards against a turn that is retained with events of an attempt that its caller does not hold.
test('whatever attempts ran on and whatever their holders lack, only the events of the caller count', () => {
  fc.assert(fc.property(drawnAttempts, drawn => { playAttempts(drawn, false) }), { numRuns: RUNS })
})

/** Of the streams that callers take up, at least this share must go on. */
const MIN_KNOWN_SHARE = 0.5

test('more streams go on than the rule demands where holders have what was forwarded', () => {
  const total = { known: 0, unknown: 0 }
  fc.assert(fc.property(drawnAttempts, drawn => {
    const { known, unknown } = playAttempts(drawn, true)
    total.known += known
    total.unknown += unknown
  }), { numRuns: RUNS, seed: 1 })
  assert.ok(total.known > MIN_KNOWN_SHARE * (total.known + total.unknown), JSON.stringify(total))
})

test.run()
