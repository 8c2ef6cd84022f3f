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

function snapshot (): JournalRecord {
  const program: ProgramState = { programId: PROGRAM, customer: 'riders', kind: 'fitting', rank: 'urgent', openKey: '', root: PROGRAM, depth: 0, budget: HARROW_DOCUMENT.workKinds[0].budget, openedAtMs: 0, dueAtMs: 0, turns: [], spent: { tokens: 0, steps: 0, toolCalls: 0 }, reservedTokens: 0, workers: [] }
  return { id: `i${++lastId}`, type: 'programSnapshot', program }
}

const claim = (step: number, key = `k${step}`): JournalRecord => ({ id: `i${++lastId}`, type: 'stepClaimed', programId: PROGRAM, step, key, call: DEPOSIT, callDigest: digestValue(DEPOSIT), attempt: 1 })
const turn = (step: number, key = `k${step}`): JournalRecord => ({ id: `i${++lastId}`, type: 'turnCompleted', programId: PROGRAM, step, key, call: DEPOSIT, callDigest: digestValue(DEPOSIT), result: { type: 'service', status: 200, body: {} }, spentTokens: 0, reservedTokens: 100 })
const fence = (): JournalRecord => ({ id: `i${++lastId}`, type: 'fenced', by: NODE_A })
const adopt = (to: typeof NODE_A): JournalRecord => ({ id: `i${++lastId}`, type: 'adopted', programIds: [PROGRAM], to })

function fold (records: JournalRecord[]): JournalState {
  const state = createJournalState()
  records.forEach((record, offset) => foldJournalRecord(state, { offset, record }))
  return state
}

test('claims and turns behind the fence are void', () => {
  const state = fold([snapshot(), turn(1), fence(), claim(2), turn(2)])
  assert.is(state.programs.get(PROGRAM)?.turns.length, 1)
  assert.is(state.programs.get(PROGRAM)?.openClaim, undefined)
})

test('a result behind the fence is evidence for a claim before it', () => {
  const open = fold([snapshot(), claim(1), fence()])
  assert.is(open.programs.get(PROGRAM)?.openClaim?.step, 1)
  const proved = fold([snapshot(), claim(1), fence(), turn(1)])
  assert.is(proved.programs.get(PROGRAM)?.turns.length, 1)
  const foreign = fold([snapshot(), claim(1), fence(), turn(1, 'another key')])
  assert.is(foreign.programs.get(PROGRAM)?.turns.length, 0)
})

test('the first adoption of a program wins', () => {
  const state = fold([snapshot(), fence(), adopt(NODE_A), adopt(NODE_B)])
  assert.equal(state.adoptions.get(PROGRAM), NODE_A)
})

test('a withdrawn claim leaves the step free', () => {
  const state = fold([snapshot(), claim(1), { id: 'w', type: 'claimWithdrawn', programId: PROGRAM, step: 1, attempt: 1 }])
  assert.is(state.programs.get(PROGRAM)?.openClaim, undefined)
})

test('records that land twice or late change nothing', () => {
  const records = [snapshot(), claim(1), turn(1), claim(2), turn(2)]
  const once = fold(records)
  fc.assert(fc.property(fc.array(fc.nat(records.length - 1), { maxLength: 8 }), again => {
    // Copies land anywhere behind the originals.
    const state = fold([...records, ...again.map(index => records[index])])
    assert.equal(state.programs.get(PROGRAM), once.programs.get(PROGRAM))
  }), { numRuns: 100, seed: 1 })
})

test('reserved tokens survive until the next turn', () => {
  const state = fold([snapshot(), turn(1), { id: 'r', type: 'tokensReserved', programId: PROGRAM, tokens: 700 }])
  assert.is(state.programs.get(PROGRAM)?.reservedTokens, 700)
})

test.run()
