import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { createJournalState, digestValue, foldJournalRecord, type JournalRecord, type JournalState, type ProgramState, type StepCall } from '@trefoilshunt/core'
import { HARROW_DOCUMENT } from '@trefoilshunt/testing'

const PROGRAM = 'regina-1.a.1'
const DEPOSIT: StepCall = { type: 'service', service: 's', path: '/', body: {}, isRepeatable: false }
const NODE_A = { node: 'brandon-1', incarnation: 'a2', address: '' }
const NODE_B = { node: 'saskatoon-1', incarnation: 'a3', address: '' }
let lastId = 0

function createSnapshot (): JournalRecord {
  const program: ProgramState = { programId: PROGRAM, customer: 'riders', kind: 'fitting', rank: 'urgent', openKey: '', root: PROGRAM, depth: 0, budget: HARROW_DOCUMENT.workKinds[0].budget, openedAtMs: 0, dueAtMs: 0, turns: [], spent: { tokens: 0, steps: 0, toolCalls: 0 }, reservedTokens: 0, workers: [] }
  return { id: `i${++lastId}`, type: 'programSnapshot', program }
}

const createIntent = (step: number, key = `k${step}`): JournalRecord => ({ id: `i${++lastId}`, type: 'stepClaimed', programId: PROGRAM, step, key, call: DEPOSIT, callDigest: digestValue(DEPOSIT), attempt: 1 })
const createTurn = (step: number, key = `k${step}`): JournalRecord => ({ id: `i${++lastId}`, type: 'turnCompleted', programId: PROGRAM, step, key, call: DEPOSIT, callDigest: digestValue(DEPOSIT), result: { type: 'service', status: 200, body: {} }, spentTokens: 0, reservedTokens: 100 })
const createFence = (): JournalRecord => ({ id: `i${++lastId}`, type: 'fenced', by: NODE_A })
const createTransfer = (to: typeof NODE_A): JournalRecord => ({ id: `i${++lastId}`, type: 'adopted', programIds: [PROGRAM], to })

function fold (records: JournalRecord[]): JournalState {
  const state = createJournalState()
  records.forEach((record, offset) => foldJournalRecord(state, { offset, record }))
  return state
}

test('intents and turns after the fence are ignored', () => {
  const state = fold([createSnapshot(), createTurn(1), createFence(), createIntent(2), createTurn(2)])
  assert.is(state.programs.get(PROGRAM)?.turns.length, 1)
  assert.is(state.programs.get(PROGRAM)?.openClaim, undefined)
})

test('a turn after the fence counts only as the result of an intent before it', () => {
  const withIntent = fold([createSnapshot(), createIntent(1), createFence()])
  assert.is(withIntent.programs.get(PROGRAM)?.openClaim?.step, 1)
  const withTurn = fold([createSnapshot(), createIntent(1), createFence(), createTurn(1)])
  assert.is(withTurn.programs.get(PROGRAM)?.turns.length, 1)
  const withOtherKey = fold([createSnapshot(), createIntent(1), createFence(), createTurn(1, 'another key')])
  assert.is(withOtherKey.programs.get(PROGRAM)?.turns.length, 0)
})

test('the first ownership transfer of a program counts', () => {
  const state = fold([createSnapshot(), createFence(), createTransfer(NODE_A), createTransfer(NODE_B)])
  assert.equal(state.newOwners.get(PROGRAM), NODE_A)
})

test('a withdrawn intent no longer blocks its step', () => {
  const state = fold([createSnapshot(), createIntent(1), { id: 'w', type: 'claimWithdrawn', programId: PROGRAM, step: 1, attempt: 1 }])
  assert.is(state.programs.get(PROGRAM)?.openClaim, undefined)
})

test('duplicates of records that arrive later change nothing', () => {
  const records = [createSnapshot(), createIntent(1), createTurn(1), createIntent(2), createTurn(2)]
  const expected = fold(records)
  fc.assert(fc.property(fc.array(fc.nat(records.length - 1), { maxLength: 8 }), duplicateIndexes => {
    // The duplicates come after all originals, in any order.
    const state = fold([...records, ...duplicateIndexes.map(index => records[index])])
    assert.equal(state.programs.get(PROGRAM), expected.programs.get(PROGRAM))
  }), { numRuns: 100, seed: 1 })
})

test('tokens reserved after a turn stay reserved until the next turn', () => {
  const state = fold([createSnapshot(), createTurn(1), { id: 'r', type: 'tokensReserved', programId: PROGRAM, tokens: 700 }])
  assert.is(state.programs.get(PROGRAM)?.reservedTokens, 700)
})

test.run()
