/** Messages between nodes. The transport may lose, delay or duplicate them; none of them decides ownership of programs. */
import type { ConfigurationDocument } from '../configuration/document.js'
import type { NodeRef } from '../kernel/node.js'
import type { ProgramState } from '../programs/programState.js'

/** The sender of a message, with the address for replies. */
export interface PeerSender extends NodeRef {
  peerAddress: string
  zone: string
}

/** A message with its sender and receiver. `replyTo` is the `messageId` of the request that it answers. */
export interface PeerEnvelope {
  from: PeerSender
  to: string
  messageId: number
  replyTo?: number
  body: PeerMessage
}

/** Status of a node, sent in every probe and probe reply. */
export interface NodeDigest {
  isDraining: boolean
  environment: string
  /** Revision of the newest configuration that the sender has for its environment; 0 when it has none. */
  revision: number
  /** Offset of the next record that the sender will read from the control stream. */
  controlOffset: number
  /** Names of listed nodes that the sender suspects to be unavailable, at most `probeFanout`. */
  suspects: string[]
}

export interface Probe { type: 'probe', digest: NodeDigest }
export interface ProbeReply { type: 'probeReply', digest: NodeDigest }

/** Requests from the coordinator of a worker what a new program can expect there. */
export interface PlacementEstimateRequest {
  type: 'offerRequest'
  worker: string
  rank: string
  customer: string
  kind: string
}
/** What a new program can expect at a worker; it reserves nothing. */
export interface PlacementEstimate {
  type: 'offer'
  worker: string
  /** False when the node that answers does not coordinate the worker, or the worker is leaving or removed. */
  isUsable: boolean
  /** True when the worker would admit the program now. */
  isAdmitted: boolean
  expectedWaitMs: number
  /** Slots that the active programs need on average, relative to the worker's concurrency limit for the rank; may exceed 1. */
  load: number
  /** Time after which a refused program should try again. */
  retryAfterMs: number
}

/** Requests a slot for a step, with what the coordinator needs to order its queue. */
export interface SlotRequest {
  type: 'slotRequest'
  worker: string
  ticket: string
  programId: string
  customer: string
  kind: string
  rank: string
  isFirstStep: boolean
  /** Time at which the program should be complete. */
  dueAtMs: number
  /** Time after which a grant is no longer useful; the coordinator then refuses the ticket. */
  deadlineMs: number
  /** Number of completed steps of the program. */
  attainedSteps: number
  /** Estimated length of the prompt, history included. */
  promptTokens: number
  /** True when the request was in flight on a worker when it crashed. */
  isSuspect: boolean
  /** True when the step already holds a slot; sent to the node that has become the worker's coordinator since. */
  isHeld: boolean
}
export interface SlotGrant { type: 'slotGrant', ticket: string }
/**
 * Refuses a ticket. `notLead`: the node does not coordinate the worker. `workerGone`: the worker is leaving, removed or about to
 * change its model. `deadline`: no slot was granted before `deadlineMs`.
 * No node sends `overloaded`.
 */
export interface SlotRefusal { type: 'slotRefusal', ticket: string, reason: 'notLead' | 'workerGone' | 'deadline' | 'overloaded', retryAfterMs: number }
/** Ends a ticket, whether it holds a slot or waits. */
export interface SlotRelease {
  type: 'slotRelease'
  worker: string
  ticket: string
  report?: SlotReport
}
/** Measurements of one model call. */
export interface SlotReport {
  isSuccess: boolean
  /** Time from sending the call to its end. */
  serviceMs: number
  /** Time from sending the call to its first token, or to its end when there was no token. */
  firstTokenMs: number
  /** Mean time between tokens after the first; 0 for fewer than two tokens. */
  tokenGapMs: number
  promptTokens: number
  cachedTokens: number
}

/** Notifies a coordinator that a program no longer uses its worker. */
export interface ProgramLeftNotice {
  type: 'residentNotice'
  worker: string
  programId: string
}

/** Requests the load of the workers of a pool that the receiver coordinates. */
export interface WorkerLoadRequest { type: 'demandRequest', pool: string }
/**
 * Load of a worker: `demand` is the number of running and waiting calls, plus the recent placement estimates that refused
 * admission, which decay with time.
 */
export interface WorkerLoad { worker: string, demand: number }
export interface WorkerLoadAnswer { type: 'demandAnswer', workers: WorkerLoad[] }

/** Queries which of the programs whose cache an engine holds are no longer open at the receiver, which should own them. */
export interface HeldProgramsQuery { type: 'heldQuery', programIds: string[] }
/** `gone` lists the queried programs that the answering node does not have, or has closed. */
export interface HeldProgramsAnswer { type: 'heldAnswer', gone: string[] }

/** Requests the configurations that the receiver has read; sent by a node that has none while it cannot read the log. */
export interface ConfigurationRequest { type: 'configurationRequest' }
/** For each environment the newest configuration, with its revision and its offset in the control stream. */
export interface ConfigurationCopy {
  type: 'configurationCopy'
  environments: Array<{ environment: string, revision: number, offset: number, document: ConfigurationDocument }>
}

/** Offers programs of a draining node, with their state, to their next owner. */
export interface HandoverOffer { type: 'handoverOffer', journal: string, programs: ProgramState[] }
/** Lists the programs whose snapshots are in the receiver's journal; empty when it does not accept the programs. */
export interface HandoverAnswer { type: 'handoverAnswer', acceptedProgramIds: string[] }
/** Notifies the new owner that `journal` now names it. The receiver reads the journal before it serves the programs, and echoes the message. */
export interface HandoverDone { type: 'handoverDone', journal: string, programIds: string[] }

export type PeerMessage = Probe | ProbeReply | PlacementEstimateRequest | PlacementEstimate | SlotRequest | SlotGrant | SlotRefusal | SlotRelease |
  ProgramLeftNotice | WorkerLoadRequest | WorkerLoadAnswer | HeldProgramsQuery | HeldProgramsAnswer | ConfigurationRequest | ConfigurationCopy | HandoverOffer | HandoverAnswer | HandoverDone

/** The message with a given `type`. */
export type PeerMessageOf<K extends PeerMessage['type']> = Extract<PeerMessage, { type: K }>
