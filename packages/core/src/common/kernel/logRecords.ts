/** Records of the log, and what appends and reads of them come to. */

/** A record of a log stream. `id` is unique, so that duplicates can be told. */
export interface LogRecord {
  id: string
  type: string
}

/** A record with its place in the stream. */
export interface StoredRecord<T extends LogRecord = LogRecord> {
  offset: number
  record: T
}

/**
 * Fate of an append.
 * `appended`: landed; `firstOffset` is absent when the service does not say where.
 * `failed`: certainly not landed. `ambiguous`: may have landed, or may land later.
 */
export type AppendOutcome =
  | { type: 'appended', firstOffset?: number }
  | { type: 'failed', detail: string }
  | { type: 'ambiguous', detail: string }

/** Records from the asked offset on; `firstOffset` is larger than asked when older ones are gone. */
export type ReadOutcome =
  | { type: 'read', records: StoredRecord[], firstOffset: number, endOffset: number }
  | { type: 'failed', detail: string }
