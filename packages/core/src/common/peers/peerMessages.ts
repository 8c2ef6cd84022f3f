/** Messages between nodes. The transport may lose, delay or repeat them; none of them decides ownership. */
import type { ConfigurationDocument } from '../configuration/document.js'
import type { NodeRef } from '../kernel/node.js'
import type { ProgramState } from '../programs/programState.js'

/** Sender of a message, with what a receiver needs to answer it. */
export interface PeerSender extends NodeRef {
  peerAddress: string
  zone: string
}

/** A message with its correlation. `replyTo` names the `messageId` that it answers. */
export interface PeerEnvelope {
  from: PeerSender
  to: string
  messageId: number
  replyTo?: number
  body: PeerMessage
}

/** What nodes tell each other at every probe. */
export interface NodeDigest {
  isDraining: boolean
  environment: string
  revision: number
  /** Offset up to which the sender has read the control stream. */
  controlOffset: number
  /** Names of nodes that the sender cannot reach. */
  suspects: string[]
}

export interface Probe { type: 'probe', digest: NodeDigest }
export interface ProbeReply { type: 'probeReply', digest: NodeDigest }

/** Asks the lead of a worker what a new program would meet there. */
export interface PlacementEstimateRequest {
  type: 'offerRequest'
  worker: string
  rank: string
  customer: string
  kind: string
}
export interface PlacementEstimate {
  type: 'offer'
  worker: string
  /** False when the asked node does not lead the worker or the worker is gone. */
  isUsable: boolean
  isAdmitted: boolean
  expectedWaitMs: number
  /** Share of the worker's slots that programs in progress need. */
  load: number
  retryAfterMs: number
}

/** What a lead must know to order a step in its queue. */
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
  /** Latest time at which a grant is of use. */
  deadlineMs: number
  /** Number of completed steps of the program. */
  attainedSteps: number
  promptTokens: number
  /** True when the request was in flight at a crash. */
  isSuspect: boolean
  /** True when the step already runs; told to a node that has just become lead. */
  isHeld: boolean
}
export interface SlotGrant { type: 'slotGrant', ticket: string }
export interface SlotRefusal { type: 'slotRefusal', ticket: string, reason: 'notLead' | 'workerGone' | 'deadline' | 'overloaded', retryAfterMs: number }
/** Ends a ticket, granted or waiting. */
export interface SlotRelease {
  type: 'slotRelease'
  worker: string
  ticket: string
  report?: SlotReport
}
/** What one model call showed. */
export interface SlotReport {
  isSuccess: boolean
  serviceMs: number
  firstTokenMs: number
  /** Mean time between tokens. */
  tokenGapMs: number
  promptTokens: number
  cachedTokens: number
}

/** Tells a lead that a program no longer uses its worker. */
export interface ProgramLeftNotice {
  type: 'residentNotice'
  worker: string
  programId: string
}

/** Asks a lead how busy its workers of a pool are. */
export interface DemandRequest { type: 'demandRequest', pool: string }
/** Calls that run or wait at a worker, and programs refused there lately. */
export interface WorkerDemand { worker: string, demand: number }
export interface DemandAnswer { type: 'demandAnswer', workers: WorkerDemand[] }

/** Asks whether programs that hold engine memory are still open at their home. */
export interface HeldQuery { type: 'heldQuery', programIds: string[] }
export interface HeldAnswer { type: 'heldAnswer', gone: string[] }

export interface ConfigurationRequest { type: 'configurationRequest' }
export interface ConfigurationCopy {
  type: 'configurationCopy'
  environments: Array<{ environment: string, revision: number, offset: number, document: ConfigurationDocument }>
}

/** Offers programs of a stopping node to their next home. */
export interface HandoverOffer { type: 'handoverOffer', journal: string, programs: ProgramState[] }
export interface HandoverAnswer { type: 'handoverAnswer', acceptedProgramIds: string[] }
/** The journal of the old home names the new one: it may serve now. */
export interface HandoverDone { type: 'handoverDone', journal: string, programIds: string[] }

export type PeerMessage = Probe | ProbeReply | PlacementEstimateRequest | PlacementEstimate | SlotRequest | SlotGrant | SlotRefusal | SlotRelease |
  ProgramLeftNotice | DemandRequest | DemandAnswer | HeldQuery | HeldAnswer | ConfigurationRequest | ConfigurationCopy | HandoverOffer | HandoverAnswer | HandoverDone

export type PeerMessageOf<K extends PeerMessage['type']> = Extract<PeerMessage, { type: K }>
