import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { createControlState, createJournalState, foldControlRecord, foldIfValid, foldJournalRecord, isControlRecord, isJournalRecord, type LogRecord } from '@trefoilshunt/core'
import { Fleet, HARROW_DOCUMENT } from '@trefoilshunt/testing'

const RUNS = { numRuns: 500, seed: 3 }
const JOURNAL_TYPES = ['programSnapshot', 'turnCompleted', 'stepClaimed', 'claimWithdrawn', 'tokensReserved', 'programClosed', 'fenced', 'adopted']
const CONTROL_TYPES = ['configurationChanged', 'configurationPromoted', 'controlSnapshot', 'nodeStarted', 'nodeEnded', 'journalAdopted', 'requestSuspected', 'requestCleared', 'engineOrdered']

/** Records with a valid type and id, and with other fields missing or of the wrong type. */
function damagedRecords (types: string[]): fc.Arbitrary<LogRecord> {
  const field = fc.constantFrom('program', 'programId', 'programIds', 'step', 'key', 'call', 'result', 'by', 'to', 'node', 'state', 'environment', 'baseRevision', 'document', 'worker', 'workers', 'atMs', 'journal')
  return fc.tuple(fc.constantFrom(...types), fc.dictionary(field, fc.jsonValue(), { maxKeys: 6 })).map(([type, fields]) => ({ ...fields, id: 'x', type }))
}

test('no damaged record stops the fold of a journal', () => {
  fc.assert(fc.property(fc.array(damagedRecords(JOURNAL_TYPES), { maxLength: 5 }), records => {
    const state = createJournalState()
    records.forEach((record, offset) => foldIfValid(state, { offset, record }))
    assert.is(state.nextOffset, records.length)
  }), RUNS)
})

test('no damaged record stops the fold of the control stream', () => {
  fc.assert(fc.property(damagedRecords(CONTROL_TYPES), record => {
    if (isControlRecord(record)) foldControlRecord(createControlState(), { offset: 0, record })
  }), RUNS)
})

test('arbitrary JSON values are not accepted as records', () => {
  fc.assert(fc.property(fc.jsonValue(), value => {
    assert.not(isJournalRecord(value))
    assert.not(isControlRecord(value))
  }), RUNS)
})

test('nodes continue after damaged records of the control stream, and the audit view lists them', async () => {
  const fleet = new Fleet({ nodesPerZone: 1 })
  fleet.addEngines('tailor-models', 3)
  fleet.addServices('shop-ledger', 2)
  fleet.log.append('control', [{ id: 'bad', type: 'nodeStarted' }, null as unknown as LogRecord, { id: 'worse', type: 'nothing' }])
  fleet.startNodes()
  await fleet.runUntil(3_000)
  const applied = fleet.send('regina-1:7300', { type: 'apply', environment: 'production', baseRevision: 0, document: HARROW_DOCUMENT, by: 'operator' }, { timeoutMs: 10_000 })
  await fleet.runWhile(applied, 10_000)
  const result = await applied
  assert.is(result.type === 'reply' && result.reply.type, 'accepted')
  const audit = fleet.send('brandon-1:7300', { type: 'audit', limit: 100 }, { timeoutMs: 10_000 })
  await fleet.runWhile(audit, 20_000)
  const view = await audit
  assert.ok(view.type === 'reply' && view.reply.type === 'auditView' && view.reply.entries.filter(entry => entry.action === 'recordSkipped').length === 3)
})

test('valid records are accepted and folded', () => {
  const fence = { id: 'f', type: 'fenced', by: { node: 'n', incarnation: 'i', address: 'a' } } as LogRecord
  assert.ok(isJournalRecord(fence))
  const state = createJournalState()
  foldJournalRecord(state, { offset: 0, record: fence })
  assert.is(state.fence?.offset, 0)
})

test.run()
