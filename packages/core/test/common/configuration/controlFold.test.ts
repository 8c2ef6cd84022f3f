import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type ControlRecord, type ControlState, createControlState, findEnvironment, foldControlRecord, foldTruncatedLog, parseDocument, type StoredRecord } from '@trefoilshunt/core'
import { HARROW_DOCUMENT, PLECIONKA_DOCUMENT } from '@trefoilshunt/testing'

function createChange (id: string, baseRevision: number, document: unknown = HARROW_DOCUMENT, environment = 'production'): ControlRecord {
  return { id, type: 'configurationChanged', environment, baseRevision, document, by: 'operator', atMs: 0 }
}

function foldRecords (records: ControlRecord[], state = createControlState(), firstOffset = 0): ControlState {
  records.forEach((record, index) => foldControlRecord(state, { offset: firstOffset + index, record }))
  return state
}

test('exactly one of two changes of the same revision is accepted', () => {
  const state = foldRecords([createChange('a', 0), createChange('b', 1), createChange('c', 1)])
  assert.is(findEnvironment(state, 'production')?.revision, 2)
  assert.equal(state.audit.map(entry => entry.outcome), ['accepted', 'accepted', 'refused'])
  assert.match(state.audit[2].detail, 'the current revision is 2')
})

test('a record that was appended twice is applied once', () => {
  const state = foldRecords([createChange('a', 0), createChange('a', 0), createChange('b', 1)])
  assert.is(findEnvironment(state, 'production')?.revision, 2)
  assert.is(state.audit.length, 2)
})

test('a promotion copies the named trial revision', () => {
  const promotion: ControlRecord = { id: 'p', type: 'configurationPromoted', from: 'trial', revision: 1, to: 'production', baseRevision: 0, by: 'operator', atMs: 0 }
  const state = foldRecords([createChange('a', 0, HARROW_DOCUMENT, 'trial'), createChange('b', 1, PLECIONKA_DOCUMENT, 'trial'), promotion])
  assert.equal(findEnvironment(state, 'production')?.document, HARROW_DOCUMENT)
  assert.is(findEnvironment(state, 'production')?.revision, 1)
})

test('a promotion of an unknown revision or onto a changed environment is refused', () => {
  const createPromotion = (id: string, revision: number, baseRevision: number): ControlRecord => ({ id, type: 'configurationPromoted', from: 'trial', revision, to: 'production', baseRevision, by: 'operator', atMs: 0 })
  const state = foldRecords([createChange('a', 0, HARROW_DOCUMENT, 'trial'), createPromotion('p', 7, 0), createPromotion('q', 1, 3)])
  assert.is(findEnvironment(state, 'production'), undefined)
  assert.equal(state.audit.slice(1).map(entry => entry.outcome), ['refused', 'refused'])
})

test('a snapshot with an older revision changes nothing', () => {
  const olderState = foldRecords([createChange('a', 0)])
  const state = foldRecords([createChange('a', 0), createChange('b', 1, PLECIONKA_DOCUMENT)])
  foldControlRecord(state, { offset: 2, record: { id: 's', type: 'controlSnapshot', state: olderState, by: 'regina-1', atMs: 0 } })
  assert.is(findEnvironment(state, 'production')?.revision, 2)
  assert.equal(findEnvironment(state, 'production')?.document, PLECIONKA_DOCUMENT)
})

test('a node that starts after records expired gets the same configuration from a snapshot', () => {
  const all: Array<StoredRecord<ControlRecord>> = [createChange('a', 0), createChange('b', 1, PLECIONKA_DOCUMENT)].map((record, offset) => ({ offset, record }))
  const state = foldRecords(all.map(stored => stored.record))
  const snapshot: ControlRecord = { id: 's', type: 'controlSnapshot', state: JSON.parse(JSON.stringify(state)) as ControlState, by: 'regina-1', atMs: 0 }
  // The change at offset 2 is newer than the state in the snapshot and is stored before the snapshot.
  const retained: Array<StoredRecord<ControlRecord>> = [{ offset: 2, record: createChange('c', 2) }, { offset: 3, record: snapshot }, { offset: 4, record: createChange('d', 3) }]
  for (const stored of retained) foldControlRecord(state, stored)
  const rebuilt = foldTruncatedLog(retained)
  assert.is(findEnvironment(rebuilt, 'production')?.revision, 4)
  assert.equal(findEnvironment(rebuilt, 'production')?.document, findEnvironment(state, 'production')?.document)
})

test('a document with a wrong reference is refused with the path to it', () => {
  const broken = { ...HARROW_DOCUMENT, workKinds: [{ ...HARROW_DOCUMENT.workKinds[0], models: ['nowhere'] }] }
  const problems = parseDocument(broken).swap().unsafeCoerce()
  assert.equal(problems[0].path, ['workKinds', 0, 'models', 0])
})

test.run()
