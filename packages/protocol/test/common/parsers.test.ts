/** Tests parsers and conversions with generated input: none throws, and requests and replies are restored unchanged. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { z } from 'zod'
import { EventStreamReader, formatDiagnostic, fromHttpBody, fromStepRequest, parseJsonc, ReplyLineReader, stepBodySchema, toHttpReply, toReplyLine, toStepRequest } from '@trefoilshunt/protocol'
import { type Done, parseDocument, type StepRequest } from '@trefoilshunt/core'

const RUNS = { numRuns: 300, seed: 7 }
const DIGEST = 'a'.repeat(32)
const callArbitrary = fc.oneof(
  fc.record({ type: fc.constant('model' as const), messages: fc.array(fc.record({ role: fc.constantFrom('user' as const, 'tool' as const), content: fc.string() }), { minLength: 1, maxLength: 3 }), maxTokens: fc.integer({ min: 1, max: 500 }) }),
  fc.record({ type: fc.constant('service' as const), service: fc.constantFrom('shop-ledger'), path: fc.constant('/orders'), body: fc.jsonValue().map(value => JSON.parse(JSON.stringify(value)) as unknown), isRepeatable: fc.boolean() })
)

test('a problem is reported with line and column', () => {
  const problems = parseJsonc('a.jsonc', '{\n  // comment\n  "port": "x",\n}', z.strictObject({ port: z.number() })).swap().unsafeCoerce()
  assert.match(formatDiagnostic(problems[0]), /^a\.jsonc:3:11: port: /)
  const broken = parseJsonc('b.jsonc', '{\n "a": \n', z.unknown()).swap().unsafeCoerce()
  assert.is(broken[0].line, 3)
})

test('the JSONC parser never throws', () => {
  const schema = z.strictObject({ a: z.array(z.strictObject({ b: z.number() })) })
  fc.assert(fc.property(fc.string(), text => { parseJsonc('f', text, schema) }), RUNS)
  fc.assert(fc.property(fc.json(), text => { parseJsonc('f', text, schema) }), RUNS)
})

test('the document check never throws', () => {
  fc.assert(fc.property(fc.jsonValue(), value => { parseDocument(value) }), RUNS)
})

test('the step schema never throws', () => {
  fc.assert(fc.property(fc.jsonValue(), value => { stepBodySchema.safeParse(value) }), RUNS)
})

test('a step request is unchanged after conversion to HTTP and back', () => {
  fc.assert(fc.property(callArbitrary, fc.boolean(), fc.boolean(), (call, isResend, isStreamed) => {
    const request: StepRequest = { type: 'step', customer: 'riders', programId: 'p', step: 3, key: 'k', historyDigest: DIGEST, call, isResend, isStreamed: isStreamed && call.type === 'model', timeoutMs: 5_000 }
    const back = toStepRequest(stepBodySchema.parse(JSON.parse(JSON.stringify(fromStepRequest(request)))), 'riders', 'p')
    assert.equal(JSON.parse(JSON.stringify(back)), JSON.parse(JSON.stringify(request)))
  }), RUNS)
})

test('a reply is unchanged after conversion to HTTP and back', () => {
  const done: Done = { type: 'done', programId: 'p', step: 1, result: { type: 'model', text: 'hello', promptTokens: 3, completionTokens: 2, cachedTokens: 1 }, historyDigest: DIGEST, durable: true, home: { node: 'n', incarnation: 'i', address: 'a' } }
  assert.equal(fromHttpBody(JSON.parse(JSON.stringify(toHttpReply(done).body))), done)
})

test('server-sent events are the same for any split of the stream', () => {
  const stream = 'data: one\n\nevent: outcome\ndata: {"a":1}\ndata: more\n\n: comment\n\ndata: [DONE]\n\n'
  const whole = new EventStreamReader().push(stream)
  fc.assert(fc.property(fc.array(fc.nat(stream.length), { maxLength: 12 }), cuts => {
    const places = [0, ...[...cuts].sort((left, right) => left - right), stream.length]
    const reader = new EventStreamReader()
    const events = places.slice(1).flatMap((end, index) => reader.push(stream.slice(places[index], end)))
    assert.equal(events, whole)
  }), RUNS)
})

test('the stream parsers never throw', () => {
  fc.assert(fc.property(fc.array(fc.string()), pieces => {
    const events = new EventStreamReader()
    const lines = new ReplyLineReader()
    for (const piece of pieces) {
      events.push(piece)
      lines.push(piece)
    }
  }), RUNS)
})

test('replies are restored from the forward stream and damaged lines are dropped', () => {
  const reader = new ReplyLineReader()
  const line = toReplyLine({ type: 'closed', programId: 'p' })
  assert.equal(reader.push(`{broken\n${line.slice(0, 5)}`), [])
  assert.equal(reader.push(line.slice(5)), [{ type: 'closed', programId: 'p' }])
})

test.run()
