/** Records of the `control` stream, which every node reads, and the state folded from them. */
import type { LogRecord } from '../kernel/logRecords.js'
import type { NodeRef } from '../kernel/node.js'

export const CONTROL_STREAM = 'control'

/** A new document for an environment; refused unless `baseRevision` is the environment's current revision. */
export interface ConfigurationChanged extends LogRecord {
  type: 'configurationChanged'
  environment: string
  baseRevision: number
  document: unknown
  /** The operator. */
  by: string
  atMs: number
}

/** Makes a revision of one environment the new document of another; refused unless `baseRevision` is the current revision of `to`. */
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

/** The folded state, published before the records that it was folded from expire. */
export interface ControlSnapshot extends LogRecord {
  type: 'controlSnapshot'
  state: ControlState
  /** Name of the publishing node. */
  by: string
  atMs: number
}

/** A run of the daemon has started; its journal may hold programs from now on. */
export interface NodeStarted extends LogRecord { type: 'nodeStarted', node: NodeRef, zone: string, atMs: number }
/** The node has handed over every program, so its journal needs no takeover. */
export interface NodeEnded extends LogRecord { type: 'nodeEnded', node: NodeRef, atMs: number }
/** Every program of a journal has a new owner. */
export interface JournalTakenOver extends LogRecord { type: 'journalAdopted', journal: string, by: NodeRef, programCount: number, atMs: number }
/** A request was in flight when a worker crashed. After crashes of two different workers every node refuses the request. */
export interface RequestSuspected extends LogRecord { type: 'requestSuspected', fingerprint: string, worker: string, by: string, atMs: number }
/** A suspect request was completed without a crash. */
export interface RequestCleared extends LogRecord { type: 'requestCleared', fingerprint: string, by: string, atMs: number }
/** Assigns a model to a worker, by the worker's coordinator or by the node that balances the pool. The record's offset is the fencing number. */
export interface EngineOrdered extends LogRecord { type: 'engineOrdered', worker: string, model: string, by: NodeRef, atMs: number }

export type ControlRecord = ConfigurationChanged | ConfigurationPromoted | ControlSnapshot | NodeStarted | NodeEnded |
  JournalTakenOver | RequestSuspected | RequestCleared | EngineOrdered

/** The configuration of one environment. */
export interface EnvironmentState {
  environment: string
  revision: number
  /** Offset of the record that set the revision. */
  offset: number
  document: unknown
  /** The last revisions, which a promotion can name; oldest first. */
  recent: Array<{ revision: number, document: unknown }>
}

/** One line of the audit trail that operators can read. */
export interface AuditEntry {
  /** Offset of the record in the `control` stream. */
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
  /** Requests that were in flight when workers crashed, with the names of these workers. */
  suspects: Array<{ fingerprint: string, workers: string[] }>
  /** The last order for each worker. */
  engineOrders: Array<{ worker: string, fencingNumber: number, model: string, by: NodeRef, atMs: number }>
  audit: AuditEntry[]
  /** Ids of recent records, by which a record that was appended twice is ignored. */
  recentIds: string[]
}
