/** Tests of the budget that the programs of a tree share. */
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

test('running steps of sub-agents count against the budget', () => {
  const root = createRoot({ steps: 2 })
  assert.is(problemOf(root, MODEL), undefined)
  assert.is(problemOf(root, MODEL), undefined)
  assert.is(problemOf(root, MODEL), 'steps')
})

test('running tool calls count against the budget', () => {
  const root = createRoot({ toolCalls: 1 })
  assert.is(problemOf(root, TOOL), undefined)
  assert.is(problemOf(root, TOOL), 'toolCalls')
})

test('a step with an unknown outcome counts until it is recorded', () => {
  const root = createRoot({ steps: 2 })
  assert.ok(reserveBudget(root, MODEL, 0, 1).isRight())
  assert.ok(reserveBudget(root, MODEL, 0, 1).isLeft())
})

test('maxTokens is lowered to the remaining budget, and the step is refused when nothing remains', () => {
  const root = createRoot({ tokens: 100 })
  const first = reserveBudget(root, MODEL, 0).unsafeCoerce()
  assert.is(first.maxTokens, 50)
  assert.is(reserveBudget(root, MODEL, 0).unsafeCoerce().maxTokens, 30)
  assert.is(problemOf(root, MODEL), 'tokens')
})

test('tokens that a step reserved and did not use are available again', () => {
  const root = createRoot({ tokens: 100 })
  const reservation = reserveBudget(root, MODEL, 0).unsafeCoerce()
  recordSpending(root, MODEL, 15)
  releaseReservation(root, reservation)
  assert.is(tokensLeft(root), 85)
  assert.equal(root.outstanding, { tokens: 0, steps: 0, toolCalls: 0 })
})

test('a step is refused once the wall time is used up', () => {
  assert.is(problemOf(createRoot({ wallTimeMs: 1_000 }), MODEL, 1_000), 'wallTimeMs')
})

test.run()
