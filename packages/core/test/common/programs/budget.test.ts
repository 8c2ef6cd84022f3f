import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLiveProgram, type IJournalEpoch, type LiveProgram, releaseReservation, reserveBudget, recordSpending, type StepCall, tokensLeft } from '@trefoilshunt/core'

const MODEL: StepCall = { type: 'model', messages: [{ role: 'user', content: 'x'.repeat(40) }], maxTokens: 50 }
const TOOL: StepCall = { type: 'service', service: 's', path: '/', body: null, isRepeatable: false }

function createRoot (budget: Partial<LiveProgram['state']['budget']>): LiveProgram {
  return createLiveProgram({
    programId: 'p',
    customer: 'c',
    kind: 'k',
    rank: 'urgent',
    openKey: '',
    root: 'p',
    depth: 0,
    budget: { tokens: 1_000, steps: 10, toolCalls: 10, wallTimeMs: 60_000, depth: 1, ...budget },
    openedAtMs: 0,
    dueAtMs: 0,
    turns: [],
    spent: { tokens: 0, steps: 0, toolCalls: 0 },
    reservedTokens: 0,
    workers: []
  }, {} as IJournalEpoch, 0)
}

function problemOf (root: LiveProgram, call: StepCall, nowMs = 0): string | undefined {
  const reserved = reserveBudget(root, call, nowMs)
  return reserved.isLeft() ? (reserved.extract() as { field: string }).field : undefined
}

test('steps of sub-agents that run at once count before they end', () => {
  const root = createRoot({ steps: 2 })
  assert.is(problemOf(root, MODEL), undefined)
  assert.is(problemOf(root, MODEL), undefined)
  assert.is(problemOf(root, MODEL), 'steps')
})

test('tool calls that run at once count before they end', () => {
  const root = createRoot({ toolCalls: 1 })
  assert.is(problemOf(root, TOOL), undefined)
  assert.is(problemOf(root, TOOL), 'toolCalls')
})

test('a step of unknown fate counts until it is recorded', () => {
  const root = createRoot({ steps: 2 })
  assert.ok(reserveBudget(root, MODEL, 0, 1).isRight())
  assert.ok(reserveBudget(root, MODEL, 0, 1).isLeft())
})

test('an answer is shortened to what is left, and refused when nothing is left', () => {
  const root = createRoot({ tokens: 100 })
  const first = reserveBudget(root, MODEL, 0).unsafeCoerce()
  assert.is(first.maxTokens, 50)
  assert.is(reserveBudget(root, MODEL, 0).unsafeCoerce().maxTokens, 30)
  assert.is(problemOf(root, MODEL), 'tokens')
})

test('what a step did not use comes back', () => {
  const root = createRoot({ tokens: 100 })
  const reservation = reserveBudget(root, MODEL, 0).unsafeCoerce()
  recordSpending(root, MODEL, 15)
  releaseReservation(root, reservation)
  assert.is(tokensLeft(root), 85)
  assert.equal(root.outstanding, { tokens: 0, steps: 0, toolCalls: 0 })
})

test('wall time ends a program', () => {
  assert.is(problemOf(createRoot({ wallTimeMs: 1_000 }), MODEL, 1_000), 'wallTimeMs')
})

test.run()
