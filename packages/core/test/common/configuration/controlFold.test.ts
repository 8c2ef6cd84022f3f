import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type ControlRecord, type ControlState, createControlState, findEnvironment, foldControlRecord, foldTruncatedLog, parseDocument, type StoredRecord } from '@trefoilshunt/core'
import { HARROW_DOCUMENT, PLECIONKA_DOCUMENT } from '@trefoilshunt/testing'

function change (id: string, baseRevision: number, document: unknown = HARROW_DOCUMENT, environment = 'production'): ControlRecord {
  return { id, type: 'configurationChanged', environment, baseRevision, document, by: 'operator', atMs: 0 }
}

function fold (records: ControlRecord[], state = createControlState(), firstOffset = 0): ControlState {
  records.forEach((record, index) => foldControlRecord(state, { offset: firstOffset + index, record }))
  return state
}

test('of two racing changes exactly one is accepted', () => {
  const state = fold([change('a', 0), change('b', 1), change('c', 1)])
  assert.is(findEnvironment(state, 'production')?.revision, 2)
  assert.equal(state.audit.map(entry => entry.outcome), ['accepted', 'accepted', 'refused'])
  assert.match(state.audit[2].detail, 'revision 2 is in force')
})

test('a record that landed twice counts once', () => {
  const state = fold([change('a', 0), change('a', 0), change('b', 1)])
  assert.is(findEnvironment(state, 'production')?.revision, 2)
  assert.is(state.audit.length, 2)
})

test('a promotion copies the named trial revision', () => {
  const promotion: ControlRecord = { id: 'p', type: 'configurationPromoted', from: 'trial', revision: 1, to: 'production', baseRevision: 0, by: 'operator', atMs: 0 }
  const state = fold([change('a', 0, HARROW_DOCUMENT, 'trial'), change('b', 1, PLECIONKA_DOCUMENT, 'trial'), promotion])
  assert.equal(findEnvironment(state, 'production')?.document, HARROW_DOCUMENT)
  assert.is(findEnvironment(state, 'production')?.revision, 1)
})

test('a promotion of an unknown revision or onto a changed environment is refused', () => {
  const promotion = (id: string, revision: number, baseRevision: number): ControlRecord => ({ id, type: 'configurationPromoted', from: 'trial', revision, to: 'production', baseRevision, by: 'operator', atMs: 0 })
  const state = fold([change('a', 0, HARROW_DOCUMENT, 'trial'), promotion('p', 7, 0), promotion('q', 1, 3)])
  assert.is(findEnvironment(state, 'production'), undefined)
  assert.equal(state.audit.slice(1).map(entry => entry.outcome), ['refused', 'refused'])
})

test('a snapshot with an older revision changes nothing', () => {
  const old = fold([change('a', 0)])
  const state = fold([change('a', 0), change('b', 1, PLECIONKA_DOCUMENT)])
  foldControlRecord(state, { offset: 2, record: { id: 's', type: 'controlSnapshot', state: old, by: 'regina-1', atMs: 0 } })
  assert.is(findEnvironment(state, 'production')?.revision, 2)
  assert.equal(findEnvironment(state, 'production')?.document, PLECIONKA_DOCUMENT)
})

test('a node that starts behind expired records gets the same configuration from a snapshot', () => {
  const all: Array<StoredRecord<ControlRecord>> = [change('a', 0), change('b', 1, PLECIONKA_DOCUMENT)].map((record, offset) => ({ offset, record }))
  const state = fold(all.map(stored => stored.record))
  const snapshot: ControlRecord = { id: 's', type: 'controlSnapshot', state: JSON.parse(JSON.stringify(state)) as ControlState, by: 'regina-1', atMs: 0 }
  // The change at offset 2 lands between the state that the snapshot holds and the snapshot's own place.
  const rest: Array<StoredRecord<ControlRecord>> = [{ offset: 2, record: change('c', 2) }, { offset: 3, record: snapshot }, { offset: 4, record: change('d', 3) }]
  for (const stored of rest) foldControlRecord(state, stored)
  const late = foldTruncatedLog(rest)
  assert.is(findEnvironment(late, 'production')?.revision, 4)
  assert.equal(findEnvironment(late, 'production')?.document, findEnvironment(state, 'production')?.document)
})

test('a document with wrong references is refused with the path of each problem', () => {
  const broken = { ...HARROW_DOCUMENT, workKinds: [{ ...HARROW_DOCUMENT.workKinds[0], models: ['nowhere'] }] }
  const problems = parseDocument(broken).swap().unsafeCoerce()
  assert.equal(problems[0].path, ['workKinds', 0, 'models', 0])
})

test.run()
