/** Interface to the log service: keyed topics with partitions, fenced producers and member groups. */
import type { KeyedRecord } from '@trefoilshunt/core'

/** Appends records to one partition. */
export interface AppendRequest {
  topic: string
  partition: number
  records: readonly KeyedRecord[]
  /** Absent for topics with several writers, whose appends are neither fenced nor recognised as repeats. */
  producer?: ProducerPosition
  timeoutMs: number
}

/** Identifies an append, so that the log refuses earlier owners and recognises a repeated append. */
export interface ProducerPosition {
  producer: string
  /** Appends with a lower epoch than the highest one so far are refused. */
  epoch: number
  /** One more than that of the previous append of this epoch; absent for an append without records, which raises or checks the epoch. */
  sequence?: number
}

/** Outcome of an append. */
export type AppendResult =
  /** `endOffset` is the offset after the last record of the partition. */
  | { type: 'appended', endOffset: number }
  /** Not appended: another append had a higher epoch. */
  | { type: 'fenced' }
  /** Not appended: the log expects the sequence number `expected`. */
  | { type: 'outOfSequence', expected: number }
  /** Certainly not appended. */
  | { type: 'refused', detail: string }
  /** Certainly not appended, and the log will never accept the call, for example because it is too large. */
  | { type: 'rejected', detail: string }
  /** May have been appended already, or may still be. */
  | { type: 'unknown', detail: string }

/** Reads the records of a partition from an offset on. */
export interface ReadRequest {
  topic: string
  partition: number
  fromOffset: number
  /** How long the log may hold the read while there is no record. */
  waitMs: number
  timeoutMs: number
}

/** Outcome of a read. */
export type ReadResult =
  /** `endOffset` is the offset after the last record of the partition; an answer of limited size may not reach it. */
  | { type: 'read', records: KeyedRecord[], nextOffset: number, endOffset?: number }
  /** The log no longer holds the record at the requested offset; its oldest one is at `firstOffset`. */
  | { type: 'truncated', firstOffset: number }
  | { type: 'failed', detail: string }

/** Reads one page of the newest records. */
export interface NewestRequest {
  topic: string
  partition: number
  /** The last key of the previous page; absent for the first page. */
  afterKey?: string
  timeoutMs: number
}

/** One page of the newest records. `endOffset` is the offset after the last record of the partition when the page was read. */
export type NewestResult =
  | { type: 'page', records: KeyedRecord[], hasMore: boolean, endOffset: number }
  | { type: 'failed', detail: string }

/** Joins a member group, or renews a membership. */
export interface JoinRequest {
  group: string
  member: string
  /** Topic whose partitions the group assigns to its members. */
  topic: string
  /** The membership expires this long after the last join. */
  ttlMs: number
  /** Generation of the last answer; 0 before the first. */
  generation: number
  timeoutMs: number
}

/** Outcome of a join. `generation` grows with each new assignment of partitions; `partitions` are those of this member. */
export type JoinResult =
  | { type: 'joined', generation: number, partitions: number[] }
  | { type: 'failed', detail: string }

/** Access to the log. Callers rely on failures being reported as results: the calls never reject. */
export interface ILogClient {
  /** Appends records to a partition. */
  append (request: AppendRequest): Promise<AppendResult>
  /** Reads records from an offset on, and waits for one when there is none. */
  read (request: ReadRequest): Promise<ReadResult>
  /** Reads the newest record of each key in the order of the keys, a page at a time. */
  readNewest (request: NewestRequest): Promise<NewestResult>
  /** Joins a group, or renews the membership. */
  join (request: JoinRequest): Promise<JoinResult>
  /** Leaves a group. False when the call failed, got no answer in time or was rejected by the log; it may still have been executed. */
  leave (group: string, member: string, timeoutMs: number): Promise<boolean>
  /** Closes the connections. */
  close (): Promise<void>
}
