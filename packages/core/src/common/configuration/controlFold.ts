/** The deterministic fold of the `control` stream: the same records give the same state at every node. */
import type { StoredRecord } from '../kernel/logRecords.js'
import { journalOf } from '../journal/journalRecords.js'
import type { AuditEntry, ConfigurationChanged, ConfigurationPromoted, ControlRecord, ControlState, EnvironmentState } from './controlRecords.js'
import { parseDocument } from './document.js'

const AUDIT_ENTRIES_KEPT = 500
const RECENT_IDS_KEPT = 2_000
const REVISIONS_KEPT = 20
const SUSPECTS_KEPT = 2_000

/** The state before the first record. */
export function createControlState (): ControlState {
  return { nextOffset: 0, environments: [], journals: [], suspects: [], engineOrders: [], audit: [], recentIds: [] }
}

/**
 * Applies one record to the state, in place. Records that were applied before are ignored, by offset and by id.
 *
 * @returns the audit entry of the record; undefined for an ignored record and for one that is not audited.
 */
export function foldControlRecord (state: ControlState, stored: StoredRecord<ControlRecord>): AuditEntry | undefined {
  const { offset, record } = stored
  if (offset < state.nextOffset) return undefined
  state.nextOffset = offset + 1
  if (state.recentIds.includes(record.id)) return undefined
  appendBounded(state.recentIds, record.id, RECENT_IDS_KEPT)
  const entry = applyRecord(state, offset, record)
  if (entry !== undefined) appendBounded(state.audit, entry, AUDIT_ENTRIES_KEPT)
  return entry
}

/**
 * Returns the state after records whose predecessors have expired. It starts from the first snapshot that holds the effect
 * of every expired record. Without such a snapshot the records are folded onto an empty state.
 */
export function foldTruncatedLog (records: Array<StoredRecord<ControlRecord>>): ControlState {
  const firstOffset = records[0]?.offset ?? 0
  const snapshots = records.flatMap(({ record }) => record.type === 'controlSnapshot' ? [record.state] : [])
  const base = snapshots.find(snapshot => snapshot.nextOffset >= firstOffset)
  const state = base === undefined ? createControlState() : cloneJson(base)
  for (const stored of records) foldControlRecord(state, stored)
  return state
}

/** Skips a damaged record and adds an entry to the audit trail. */
export function skipDamagedRecord (state: ControlState, offset: number, atMs: number): void {
  state.nextOffset = offset + 1
  appendBounded(state.audit, { offset, atMs, action: 'recordSkipped', by: '', subject: 'control', outcome: 'noted', detail: 'the record is damaged or of an unknown type' }, AUDIT_ENTRIES_KEPT)
}

/** Returns the configuration of an environment, or undefined before its first revision. */
export function findEnvironment (state: ControlState, environment: string): EnvironmentState | undefined {
  return state.environments.find(candidate => candidate.environment === environment)
}

function applyRecord (state: ControlState, offset: number, record: ControlRecord): AuditEntry | undefined {
  const createEntry = (action: string, by: string, subject: string, detail = '', outcome: AuditEntry['outcome'] = 'noted'): AuditEntry =>
    ({ offset, atMs: record.atMs, action, by, subject, outcome, detail })
  switch (record.type) {
    case 'configurationChanged': return applyChange(state, offset, record)
    case 'configurationPromoted': return applyPromotion(state, offset, record)
    case 'controlSnapshot':
      mergeSnapshot(state, record.state)
      return undefined
    case 'nodeStarted':
      state.journals.push({ journal: journalOf(record.node), node: record.node, startedAtMs: record.atMs })
      return createEntry('nodeStarted', record.node.node, journalOf(record.node))
    case 'nodeEnded':
      removeJournal(state, journalOf(record.node))
      return createEntry('nodeEnded', record.node.node, journalOf(record.node))
    case 'journalAdopted':
      removeJournal(state, record.journal)
      return createEntry('journalAdopted', record.by.node, record.journal, `programs=${record.programCount}`)
    case 'requestSuspected':
      return applySuspicion(state, record.fingerprint, record.worker) ? createEntry('requestQuarantined', record.by, record.fingerprint) : undefined
    case 'requestCleared':
      state.suspects = state.suspects.filter(suspect => suspect.fingerprint !== record.fingerprint)
      return undefined
    case 'engineOrdered':
      state.engineOrders = state.engineOrders.filter(order => order.worker !== record.worker)
      state.engineOrders.push({ worker: record.worker, fencingNumber: offset, model: record.model, by: record.by, atMs: record.atMs })
      return createEntry('engineOrdered', record.by.node, record.worker, `model=${record.model}`)
  }
}

function applyChange (state: ControlState, offset: number, record: ConfigurationChanged): AuditEntry {
  const entryFields = { offset, atMs: record.atMs, action: 'configurationChanged', by: record.by, subject: record.environment }
  const current = findEnvironment(state, record.environment)?.revision ?? 0
  if (record.baseRevision !== current) {
    return { ...entryFields, outcome: 'refused', detail: `edits revision ${record.baseRevision}, but the current revision is ${current}` }
  }
  if (parseDocument(record.document).isLeft()) return { ...entryFields, outcome: 'refused', detail: 'the document is invalid' }
  setRevision(state, record.environment, current + 1, offset, record.document)
  return { ...entryFields, outcome: 'accepted', detail: `revision ${current} -> ${current + 1}` }
}

function applyPromotion (state: ControlState, offset: number, record: ConfigurationPromoted): AuditEntry {
  const entryFields = { offset, atMs: record.atMs, action: 'configurationPromoted', by: record.by, subject: `${record.from}->${record.to}` }
  const current = findEnvironment(state, record.to)?.revision ?? 0
  if (record.baseRevision !== current) {
    return { ...entryFields, outcome: 'refused', detail: `replaces revision ${record.baseRevision}, but the current revision is ${current}` }
  }
  const source = findEnvironment(state, record.from)?.recent.find(recent => recent.revision === record.revision)
  if (source === undefined) return { ...entryFields, outcome: 'refused', detail: `revision ${record.revision} of ${record.from} is unknown` }
  setRevision(state, record.to, current + 1, offset, source.document)
  return { ...entryFields, outcome: 'accepted', detail: `${record.from} revision ${record.revision} -> ${record.to} revision ${current + 1}` }
}

function setRevision (state: ControlState, environment: string, revision: number, offset: number, document: unknown): void {
  const recent = [...(findEnvironment(state, environment)?.recent ?? [])]
  appendBounded(recent, { revision, document }, REVISIONS_KEPT)
  state.environments = state.environments.filter(known => known.environment !== environment)
  state.environments.push({ environment, revision, offset, document, recent })
}

/** Copies the environments that are newer in a snapshot than in the state. A snapshot never lowers a revision. */
function mergeSnapshot (state: ControlState, snapshot: ControlState): void {
  for (const environment of snapshot.environments) {
    const known = findEnvironment(state, environment.environment)
    if (known !== undefined && known.revision >= environment.revision) continue
    state.environments = state.environments.filter(candidate => candidate.environment !== environment.environment)
    state.environments.push(cloneJson(environment))
  }
}

/** Records a crash of a worker with the request in flight. Returns true when it is the second worker for this request. */
function applySuspicion (state: ControlState, fingerprint: string, worker: string): boolean {
  const known = state.suspects.find(suspect => suspect.fingerprint === fingerprint)
  if (known === undefined) {
    appendBounded(state.suspects, { fingerprint, workers: [worker] }, SUSPECTS_KEPT)
    return false
  }
  if (known.workers.includes(worker)) return false
  known.workers.push(worker)
  return known.workers.length === 2
}

function removeJournal (state: ControlState, journal: string): void {
  state.journals = state.journals.filter(known => known.journal !== journal)
}

function cloneJson<T> (value: T): T {
  return JSON.parse(JSON.stringify(value)) as T
}

/** Appends an item and removes the oldest ones beyond `limit`. */
function appendBounded<T> (list: T[], item: T, limit: number): void {
  list.push(item)
  if (list.length > limit) list.splice(0, list.length - limit)
}
