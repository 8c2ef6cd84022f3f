/** Messages between the nodes that serve routed requests. Sent as MessagePack, because they carry prompts and answers as bytes. */
import { type CachedPart, type GrantRequest, hash32, type KeyedRecord, type PlacementEnd, type PlacementRequest, type ProbeResult, type QuotaGrant, type QuotaHandover, type QuotaTake, type WorkerNotice, type RetainedTurn, type SuspectTurnEnd, type SuspectTurnReply, type TurnEnd } from '@trefoilshunt/core'
import type { StreamAttempt } from './earlierEvents.js'
import type { CallFailure, WorkerAnswerHead, WorkerCall } from './workerClient.js'

/** How a node can be reached. */
export interface NodeAddress {
  node: string
  /** Differs for each start of the daemon; a later one compares as larger. */
  incarnation: string
  /** `host:port` for peers. */
  peerAddress: string
  /** `host:port` for callers. */
  callerAddress: string
  zone: string
}

/** The document that a node has, and the time since it was known to be the newest one. */
export type DocumentAge = [version: number, ageMs: number]

/** A crash of a worker that a node observed, with the request that was at the worker. */
export interface ObservedCrash {
  /** Identifies the request; equal for repeated requests. */
  fingerprint: string
  /** The worker's id and start time. */
  worker: string
  /** Time since the crash, by the sender's clock. */
  agoMs: number
  /** Time since the request was sent to the worker; absent from nodes that don't tell. */
  sentAgoMs?: number
}

/** All crashes that the sender knows of, and the fingerprints of the quarantined requests. */
export interface CrashReport {
  crashes: ObservedCrash[]
  quarantined: string[]
}

/** A request at a worker: its id in the sender's reports, the fingerprint, `hash32` of the worker's id and start, and the time since it was sent. */
export type ReportedRequest = [id: number, fingerprint: Uint8Array, workerHash: number, agoMs: number]

/** Requests of the sender that workers may run, and the ids of those that have ended. */
export interface RequestReport {
  from: string
  incarnation: string
  /** True if the report holds all requests, and earlier ones no longer count. */
  isReset: boolean
  sent: ReportedRequest[]
  ended: number[]
}

/** Sent to every peer periodically, and early after a change that affects callers. */
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
  /** False while the sender is cut off from all workers; absent from nodes that relay no calls. */
  reachesWorkers?: boolean
  /** Processor cores of the sender; nodes with more of them coordinate placements and serve more callers. */
  cores: number
  /** Share of the last second in which the sender was busy, 0 to 1. */
  busyShare: number
  /** Time since the last response of the log to the sender. */
  logSilenceMs: number
  /** The sender's requests in flight by worker. */
  load: Record<string, number>
  /** Crashes of workers that the sender observed in the last minute, and those of quarantined requests while a peer learns of them from statuses only; absent if there were none. */
  crashes?: ObservedCrash[]
  /** True if the sender learns of crashes and quarantines from the log; absent from nodes of earlier builds. */
  readsCrashRecords?: boolean
  /** True if the sender takes reports of open requests and grants turns of suspect ones; absent from nodes of earlier builds. */
  takesRequestReports?: boolean
  /** True if the sender keeps the events of streams for peers; absent from nodes of earlier builds. */
  holdsStreamOutputs?: boolean
  /** Service shards with rate limits whose slots the sender assigns; absent if there are none. */
  rateLimitedShards?: string[]
  /** What the workers say that the sender coordinates, rate limits and that they leave; absent if there is nothing. */
  rateLimits?: WorkerNotice[]
}

/** The workers that began a stream; it goes on only at workers of the same service and software version. */
export interface StreamOrigin {
  service: string
  softwareVersion: string
}

/** The beginning of a stream at the sender. */
export interface StreamBeginning extends StreamOrigin {
  /** Id of the caller's attempt that brought the first event. */
  requestId: string
  /** Time since the beginning. */
  agoMs: number
}

/** What a node knows of the software versions of a service. */
export const VersionKnowledge = {
  /** There has been a single version for longer than a stream lasts. */
  Single: 'single',
  /** There are several, or were a short time ago. */
  Several: 'several',
  /** The node has not read the list of workers for long enough, or can't read it at the moment. */
  Unknown: 'unknown'
} as const
export type VersionKnowledge = typeof VersionKnowledge[keyof typeof VersionKnowledge]

/** A reply to a grant request. */
export type GrantReply =
  /** The turn may be sent to a worker; `recorded` follows once the reservation is in the log. */
  | { type: 'granted', chain: Uint8Array[], cached: CachedPart[], isRecorded: boolean }
  | { type: 'recorded' }
  | { type: 'spent' }
  | { type: 'noSuchTurn' }
  /** Nothing was decided: another node owns the partition, or its state is uncertain. */
  | { type: 'unavailable', detail: string }

/** A reply to the report of a turn's end. */
export type EndReply =
  | { type: 'ended' }
  | { type: 'unavailable', detail: string }

/** A part of the workers of a service, whose slots one node assigns. */
export interface ServiceShard {
  service: string
  /** From 0 to `count` - 1; `count` is the number of parts. */
  index: number
  count: number
}

/** The shard, out of `count`, of a worker or a program. */
export function shardIndexOf (id: string, count: number): number {
  return count === 1 ? 0 : hash32(id) % count
}

/** Identifies a shard. */
export function shardKeyOf ({ service, index, count }: ServiceShard): string {
  return `${service}/${index}/${count}`
}

/** Replies to a request for a slot; `queued` is followed by another reply. */
export type PlaceReply =
  | { type: 'placed', workerId: string }
  | { type: 'queued' }
  /** `reason` is absent where requests are ordered by rank. */
  | { type: 'refused', retryAfterMs: number, reason?: string }

/** A call that a peer makes over its own links; it knows the address of the worker itself. */
export type RelayedWorkerCall = Omit<WorkerCall, 'address' | 'maxConnections'>

/** What a relayed call brings, in order; the last one is the end or the failure. */
export type RelayReply =
  | { type: 'relayHead', head: WorkerAnswerHead }
  | { type: 'relayData', bytes: Uint8Array }
  | { type: 'relayEnd' }
  | { type: 'relayFailed', failure: CallFailure }

/** Credits of an account that were not used, pairs of number and stamp, and requests that used others, pairs of program and number. */
export type QuotaReturn = [account: string, returns: number[], counts: number[]]

export type PeerRequest =
  /** Requests credits for requests of client accounts from the owner of their quotas. */
  | { type: 'quotaTake', takes: QuotaTake[] }
  /** Returns credits that were not used. Gets no reply. */
  | { type: 'quotaReturn', returns: QuotaReturn[] }
  /** Requests the quota buckets of a partition, which the sender owns under `epoch`, from its earlier owner, which stops granting. */
  | { type: 'quotaHandover', partition: number, epoch: number }
  /** Requests a call to a worker that the sender doesn't reach. `relayId` is unique among all nodes. */
  | { type: 'relay', relayId: string, call: RelayedWorkerCall }
  /** Bytes of the answer that the sender has passed on; more than a limited number of them is not sent ahead. Gets no reply. */
  | { type: 'relayRead', relayId: string, bytes: number }
  /** Requests a connection to a worker, to learn whether the sender's links or the worker failed. */
  | { type: 'probeWorker', workerId: string }
  /** Ends a relayed call. Gets no reply. */
  | { type: 'relayCancel', relayId: string }
  /** Requests a slot of a worker from the coordinator. */
  | { type: 'place', shard: ServiceShard, from: string, request: PlacementRequest }
  /** Returns a slot, or withdraws the request for one. Gets no reply. */
  | { type: 'release', shard: ServiceShard, placementId: string, end: PlacementEnd }
  /** Tells a node that has just started what workers have said. Gets no reply. */
  | { type: 'notices', reports: WorkerNotice[] }
  /** Tells a node that has just started, or was out of reach, which requests have crashed workers. Gets no reply. */
  | { type: 'crashReport', report: CrashReport }
  /** Reports requests that are at workers. Gets no reply. */
  | { type: 'requestsOpen' } & RequestReport
  /** Requests a turn of a suspect request, which may be sent to one worker at a time. */
  | { type: 'beginSuspect', fingerprint: string, turnId: string, durationMs: number }
  /** Ends a turn. Gets no reply. */
  | { type: 'endSuspect', fingerprint: string, turnId: string, end: SuspectTurnEnd }
  /** Reports what a worker says to its coordinator. Gets no reply. */
  | { type: 'rateLimit', report: WorkerNotice }
  /** Requests a turn from the owner of the program's partition; `isKept` if the turn will be retained. */
  | { type: 'grant', partition: number, request: GrantRequest, isKept: boolean }
  /** Reports the end of a turn. */
  | { type: 'end', partition: number, end: TurnEnd }
  /** Beginnings of streams that the sender may not survive to tell. Gets no reply. */
  | { type: 'streamsBegun', streams: StreamBeginning[] }
  /** Requests the origin of a stream that the sender does not know, and what the peer knows of the versions of a service. */
  | { type: 'findStreamOrigin', requestId: string | undefined, service: string }
  /** Events of a stream that the sender forwards, from an offset among those that the caller holds after it. Gets no reply. */
  | { type: 'streamOutput', streamId: string, attemptId: string, resumedAfter?: string, ancestors: string[], offset: number, bytes: Uint8Array, isEnded: boolean }
  /** Requests what earlier attempts of a caller forwarded of a stream; the peer remembers the new attempt. */
  | { type: 'findStreamOutput', streamId: string, attemptId: string, lastEventId: string }
  /** Looks a turn up in every partition that the peer owns. */
  | { type: 'findChain', turnId: string }
  /** Requests the newest records of a topic that the sender can't read, or of which the peer has newer ones. `knownDigest` is that of the sender's content. */
  | { type: 'topic', topic: string, knownDigest?: string }
  /** Requests the addresses of all nodes that the peer knows. */
  | { type: 'nodes' }

export type PeerReply =
  | RelayReply
  /** A decision for each of the request's entries; null where the peer can't decide. */
  | { type: 'quotaGrants', grants: Array<QuotaGrant | null> }
  /** Null if the peer has no buckets of the partition. */
  | { type: 'quotaHandedOver', handover: QuotaHandover | null }
  /** The live nodes that the peer knows, itself included. */
  | { type: 'nodeList', nodes: NodeAddress[] }
  | { type: 'workerProbed', result: ProbeResult }
  | { type: 'suspectTurn', turn: SuspectTurnReply }
  | GrantReply
  | EndReply
  | PlaceReply
  /** `origin` is absent if the peer does not know it. `version` is that of the service's workers if the node sees a single one. */
  | { type: 'streamOrigin', origin?: StreamOrigin, versions: VersionKnowledge, version?: string }
  /** What the peer knows of the attempts at a stream. */
  | { type: 'streamAttempts', attempts: StreamAttempt[] }
  /** `chain` is absent if the turn was not found; `partitions` are those that were searched by their confirmed owner. */
  | { type: 'chain', chain?: RetainedTurn[], partitions: number[] }
  /** `records` is absent if the peer has not read the topic, sends it to others at the moment, or has the content that the sender knows (`isUnchanged`). */
  | { type: 'topicContent', records?: KeyedRecord[], isUnchanged?: boolean }
