/** Messages between the nodes' routed parts. Sent as MessagePack, since they carry prompts and answers as bytes. */
import type { CachedPart, GrantRequest, KeyedRecord, RetainedTurn, TurnEnd } from '@trefoilshunt/core'

/** How a node can be reached. */
export interface NodeAddress {
  node: string
  /** Differs for each start of the daemon. */
  incarnation: string
  /** `host:port` for peers. */
  peerAddress: string
  /** `host:port` for callers. */
  callerAddress: string
  zone: string
}

/** A crash of a worker that a node saw, with the request that the worker ran. */
export interface ObservedCrash {
  /** Equal for a request that comes again. */
  fingerprint: string
  /** The worker's id and start. */
  worker: string
  agoMs: number
}

/** Sent to every peer periodically, and at once when something in it matters to callers. */
export interface NodeStatus {
  type: 'status'
  from: NodeAddress
  /** Longest time until the sender's next status. */
  periodMs: number
  isReady: boolean
  isDraining: boolean
  /** Partitions that the node owns and serves, with the epoch of each. */
  owned: Array<[partition: number, epoch: number]>
  documentVersion: number
  /** Time since the log answered this node. */
  logSilenceMs: number
  /** Own requests in flight by worker. */
  load: Record<string, number>
  /** Crashes of workers that the sender saw lately. */
  crashes?: ObservedCrash[]
  /** Peers that the sender knows; absent when the receiver was told before. */
  peers?: NodeAddress[]
}

/** An answer to a grant request. */
export type GrantReply =
  /** The turn may be sent to a worker; `recorded` follows once the reservation is in the log. */
  | { type: 'granted', chain: Uint8Array[], cached: CachedPart[], isRecorded: boolean }
  | { type: 'recorded' }
  | { type: 'spent' }
  | { type: 'noSuchTurn' }
  /** Nothing was decided: the partition is elsewhere, or its state isn't certain. */
  | { type: 'unavailable', detail: string }

export type EndReply =
  | { type: 'ended' }
  | { type: 'unavailable', detail: string }

export type PeerRequest =
  | { type: 'grant', partition: number, request: GrantRequest, isKept: boolean }
  | { type: 'end', partition: number, end: TurnEnd }
  /** Looks a turn up in every partition that the peer owns. */
  | { type: 'findChain', turnId: string }
  /** What the peer knows of a topic that the asker can't read. */
  | { type: 'topic', topic: string }

export type PeerReply =
  | GrantReply
  | EndReply
  | { type: 'chain', chain?: RetainedTurn[], partitions: number[] }
  | { type: 'topicContent', records?: KeyedRecord[] }
