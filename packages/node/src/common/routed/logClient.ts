/** The log service as routed requests use it: keyed topics with partitions, fenced producers and member groups. */
import type { KeyedRecord } from '@trefoilshunt/core'

export interface AppendRequest {
  topic: string
  partition: number
  records: readonly KeyedRecord[]
  /** Absent for topics with many writers. */
  producer?: ProducerPosition
  timeoutMs: number
}

/** Identifies an append, so that the log refuses old owners and recognises a repeat. */
export interface ProducerPosition {
  producer: string
  epoch: number
  /** Follows the one of the append before; absent to raise the epoch only. */
  sequence?: number
}

export type AppendResult =
  | { type: 'appended', endOffset: number }
  /** Somebody appended with a higher epoch. */
  | { type: 'fenced' }
  | { type: 'outOfSequence', expected: number }
  /** Certainly not appended. */
  | { type: 'refused', detail: string }
  /** May have been appended, or may be later. */
  | { type: 'unknown', detail: string }

export interface ReadRequest {
  topic: string
  partition: number
  fromOffset: number
  /** How long the log may wait for a record. */
  waitMs: number
  timeoutMs: number
}

export type ReadResult =
  | { type: 'read', records: KeyedRecord[], nextOffset: number }
  /** The records from the asked offset on are gone. */
  | { type: 'truncated', firstOffset: number }
  | { type: 'failed', detail: string }

export interface NewestRequest {
  topic: string
  partition: number
  /** Continues after this key. */
  afterKey?: string
  timeoutMs: number
}

export type NewestResult =
  | { type: 'page', records: KeyedRecord[], hasMore: boolean, endOffset: number }
  | { type: 'failed', detail: string }

export interface JoinRequest {
  group: string
  member: string
  topic: string
  ttlMs: number
  /** Generation of the last answer; 0 at first. */
  generation: number
  timeoutMs: number
}

export type JoinResult =
  | { type: 'joined', generation: number, partitions: number[] }
  | { type: 'failed', detail: string }

export interface ILogClient {
  append (request: AppendRequest): Promise<AppendResult>
  read (request: ReadRequest): Promise<ReadResult>
  /** The newest record of each key, a page at a time. */
  readNewest (request: NewestRequest): Promise<NewestResult>
  /** Joins a group or stays in it. */
  join (request: JoinRequest): Promise<JoinResult>
  /** False when the log gave no answer. */
  leave (group: string, member: string, timeoutMs: number): Promise<boolean>
  close (): Promise<void>
}
