/** Records of the `control` stream, which every node reads. */
import type { LogRecord } from '../kernel/logRecords.js'
import type { NodeRef } from '../kernel/node.js'

export const CONTROL_STREAM = 'control'

/** A new document for an environment, valid only if it edits the revision in force. */
export interface ConfigurationChanged extends LogRecord {
  type: 'configurationChanged'
  environment: string
  baseRevision: number
  document: unknown
  by: string
  atMs: number
}

/** Puts a revision of one environment in force in another. */
export interface ConfigurationPromoted extends LogRecord {
  type: 'configurationPromoted'
  from: string
  /** Revision of `from` to promote. */
  revision: number
  to: string
  baseRevision: number
  by: string
  atMs: number
}

/** The folded state, published again before the records it came from expire. */
export interface ControlSnapshot extends LogRecord {
  type: 'controlSnapshot'
  state: ControlState
  by: string
  atMs: number
}

export interface NodeStarted extends LogRecord { type: 'nodeStarted', node: NodeRef, zone: string, atMs: number }
/** The node has handed over every program: its journal needs no takeover. */
export interface NodeEnded extends LogRecord { type: 'nodeEnded', node: NodeRef, atMs: number }
/** Every program of a journal has a new home. */
export interface JournalTakenOver extends LogRecord { type: 'journalAdopted', journal: string, by: NodeRef, programCount: number, atMs: number }
/** A request was in flight when a worker crashed; after two different workers every node refuses it. */
export interface RequestSuspected extends LogRecord { type: 'requestSuspected', fingerprint: string, worker: string, by: string, atMs: number }
/** A suspected request has run to its end. */
export interface RequestCleared extends LogRecord { type: 'requestCleared', fingerprint: string, by: string, atMs: number }
/** An order to a worker by its lead; the record's offset is the fencing number. */
export interface EngineOrdered extends LogRecord { type: 'engineOrdered', worker: string, model: string, by: NodeRef, atMs: number }

export type ControlRecord = ConfigurationChanged | ConfigurationPromoted | ControlSnapshot | NodeStarted | NodeEnded |
  JournalTakenOver | RequestSuspected | RequestCleared | EngineOrdered

/** The configuration of one environment. */
export interface EnvironmentState {
  environment: string
  revision: number
  /** Offset of the record that put the revision in force. */
  offset: number
  document: unknown
  /** Last revisions, so that a promotion can name one; oldest first. */
  recent: Array<{ revision: number, document: unknown }>
}

export interface AuditEntry {
  offset: number
  atMs: number
  action: string
  by: string
  subject: string
  outcome: 'accepted' | 'refused' | 'noted'
  detail: string
}

/** Everything folded from the `control` stream. */
export interface ControlState {
  /** Offset after the last folded record. */
  nextOffset: number
  environments: EnvironmentState[]
  /** Journals that may hold programs, with the node that wrote them. */
  journals: Array<{ journal: string, node: NodeRef, startedAtMs: number }>
  /** Requests that were in flight at crashes, with the workers that crashed. */
  suspects: Array<{ fingerprint: string, workers: string[] }>
  engineOrders: Array<{ worker: string, fencingNumber: number, model: string, by: NodeRef, atMs: number }>
  audit: AuditEntry[]
  /** Ids of recent records, so that a record that landed twice counts once. */
  recentIds: string[]
}
