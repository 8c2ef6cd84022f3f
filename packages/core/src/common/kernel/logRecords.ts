/** Records of the log, and the outcomes of appending and reading them. */

/** A record of a log stream. Its `id` is unique, so a repeated append of the record can be recognized. */
export interface LogRecord {
  id: string
  type: string
}

/** A record with its offset in the stream. */
export interface StoredRecord<T extends LogRecord = LogRecord> {
  offset: number
  record: T
}

/**
 * Outcome of an append.
 * `appended`: the records are stored; `firstOffset` is absent when the service does not report it.
 * `failed`: the records are certainly not stored. `ambiguous`: they may be stored already or later.
 */
export type AppendOutcome =
  | { type: 'appended', firstOffset?: number }
  | { type: 'failed', detail: string }
  | { type: 'ambiguous', detail: string }

/** Records from the requested offset on. `firstOffset` is larger than the requested offset when older records have expired. */
export type ReadOutcome =
  | { type: 'read', records: StoredRecord[], firstOffset: number, endOffset: number }
  | { type: 'failed', detail: string }
