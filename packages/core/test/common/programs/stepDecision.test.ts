/** Tests of the decision how a step request is handled. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { addTurn, createLiveProgram, decideStep, digestValue, digestWithUnknown, historyDigestOf, type IJournalEpoch, type LiveProgram, type ProgramState, type StepCall, type StepRequest } from '@trefoilshunt/core'
import { HARROW_DOCUMENT } from '@trefoilshunt/testing'

const CALL: StepCall = { type: 'model', messages: [{ role: 'user', content: 'hello' }], maxTokens: 5 }
const DEPOSIT: StepCall = { type: 'service', service: 'shop-ledger', path: '/deposits', body: {}, isRepeatable: false }
const MAX_WAITING = 2

function createProgram (turns: number): LiveProgram {
  const state: ProgramState = {
    programId: 'regina-1.a.1',
    customer: 'riders',
    kind: 'fitting',
    rank: 'urgent',
    openKey: 'k',
    root: 'regina-1.a.1',
    depth: 0,
    budget: HARROW_DOCUMENT.workKinds[0].budget,
    openedAtMs: 0,
    dueAtMs: 60_000,
    turns: [],
    spent: { tokens: 0, steps: 0, toolCalls: 0 },
    reservedTokens: 0,
    workers: []
  }
  const program = createLiveProgram(state, {} as IJournalEpoch, 0)
  for (let step = 1; step <= turns; step++) {
    addTurn(state, { step, key: `k${step}`, call: CALL, callDigest: digestValue(CALL), result: { type: 'model', text: `answer ${step}`, promptTokens: 1, completionTokens: 1, cachedTokens: 0 } })
  }
  return program
}

function request (program: LiveProgram, step: number, overrides: Partial<StepRequest> = {}): StepRequest {
  return {
    type: 'step',
    customer: 'riders',
    programId: program.state.programId,
    step,
    key: `k${step}`,
    historyDigest: historyDigestOf(program.state),
    call: CALL,
    isResend: false,
    isStreamed: false,
    timeoutMs: 1_000,
    ...overrides
  }
}

function decide (program: LiveProgram, stepRequest: StepRequest) {
  return decideStep(program, stepRequest, digestValue(stepRequest.call), MAX_WAITING)
}

test('the next step with the right digest starts', () => {
  const program = createProgram(2)
  assert.is(decide(program, request(program, 3)).type, 'start')
})

test('a completed step is replayed for the same key and body only', () => {
  const program = createProgram(2)
  assert.is(decide(program, request(program, 1)).type, 'replay')
  assert.equal(decide(program, request(program, 1, { key: 'other' })).type, 'refuse')
  assert.equal(decide(program, request(program, 1, { call: DEPOSIT })).type, 'refuse')
})

test('a step with another history is refused', () => {
  const program = createProgram(2)
  const decision = decide(program, request(program, 3, { historyDigest: '0'.repeat(32) }))
  assert.is(decision.type === 'refuse' && decision.reason, 'historyMismatch')
})

test('a running step is joined, a later one waits, too many are refused', () => {
  const program = createProgram(0)
  program.running = { step: 1, key: 'k1', callDigest: digestValue(CALL), startedAtMs: 0, listeners: new Map(), text: '', tokens: 0 }
  assert.is(decide(program, request(program, 1)).type, 'join')
  assert.is(decide(program, request(program, 1, { key: 'other' })).type, 'refuse')
  assert.is(decide(program, request(program, 2)).type, 'wait')
  program.waiting.set(2, {} as never)
  program.waiting.set(3, {} as never)
  assert.is(decide(program, request(program, 4)).type, 'refuse')
})

test('missing turns are taken from a copy whose digests match; other copies are refused', () => {
  const whole = createProgram(4)
  const known = createProgram(2)
  const copy = whole.state.turns.map(({ step, key, call, result }) => ({ step, key, call, result }))
  const decideWithHistory = (history: typeof copy | undefined) => decide(known, request(whole, 5, { history }))
  assert.is(decideWithHistory(undefined).type, 'historyNeeded')
  const supplied = decideWithHistory(copy)
  assert.is(supplied.type === 'resupply' && supplied.missing.length, 2)
  const forged = copy.map((turn, index) => index === 3 ? { ...turn, result: { ...turn.result, text: 'forged' } as typeof turn.result } : turn)
  assert.is(decideWithHistory(forged).type, 'refuse')
  const foreign = copy.map((turn, index) => index === 0 ? { ...turn, key: 'k1', result: { ...turn.result, text: 'foreign' } as typeof turn.result } : turn)
  assert.is(decideWithHistory(foreign).type, 'refuse')
})

test('with an open intent only its own step or a step that accepts the unknown result continues', () => {
  const program = createProgram(1)
  const intent = { step: 2, key: 'k2', attempt: 1, call: DEPOSIT, callDigest: digestValue(DEPOSIT) }
  program.state.openClaim = intent
  assert.is(decide(program, request(program, 2, { call: DEPOSIT })).type, 'resolveIntent')
  assert.is(decide(program, request(program, 2, { call: CALL })).type, 'refuse')
  assert.is(decide(program, request(program, 3, { historyDigest: digestWithUnknown(program.state, intent) })).type, 'recordUnknown')
  assert.is(decide(program, request(program, 3)).type, 'historyNeeded')
})

test('a program in a handover starts no step', () => {
  const program = createProgram(0)
  program.isInHandover = true
  assert.is(decide(program, request(program, 1)).type, 'wait')
})

test('a closed program replays recorded steps and starts none', () => {
  const program = createProgram(1)
  program.state.closedReason = 'closed by the caller'
  assert.is(decide(program, request(program, 1)).type, 'replay')
  assert.is(decide(program, request(program, 2)).type, 'refuse')
})

test.run()
