/** Input events, which the host reports to the kernel, and the events of calls to back ends. */
import type { CallerReply, CallerRequest, ModelResult, ServiceResult } from './callerMessages.js'
import type { PeerEnvelope } from '../peers/peerMessages.js'
import type { AppendOutcome, ReadOutcome } from './logRecords.js'
import type { VmEntry } from './node.js'

/** A load report of a model engine. It is delayed, so it describes an earlier state of the engine. */
export interface EngineStatus {
  model: string
  activeRequests: number
  queuedRequests: number
  kvTokensUsed: number
  kvTokensCapacity: number
  /** Programs for which the engine holds key-value cache. */
  heldSessions: Array<{ session: string, tokens: number }>
}

/** A change of an engine's cache. The sequence numbers have gaps where events were lost. */
export interface CacheEvent {
  sequence: number
  kind: 'stored' | 'evicted'
  session: string
}

/** An event of a call to a back end. Every event but a `chunk` ends the call. */
export type BackendEvent =
  | { type: 'chunk', text: string, tokens: number }
  | { type: 'modelDone', result: ModelResult }
  | { type: 'serviceDone', result: ServiceResult }
  | { type: 'status', status: EngineStatus }
  | { type: 'cacheEvents', events: CacheEvent[] }
  | { type: 'ok' }
  /**
   * `isUntouched` is true only when no byte of the request was written or the back end answered that it did not run it.
   * `isConnectionLost` is true when the connection broke after the request was sent. `isLeaving` is true when the worker
   * answered that it is shutting down.
   */
  | { type: 'failed', isUntouched: boolean, isConnectionLost: boolean, isLeaving: boolean, detail: string }

/** An event that the host passes to the kernel. */
export type InputEvent =
  | { type: 'started' }
  | { type: 'timerFired', timerId: number }
  | { type: 'logAppended', operationId: number, outcome: AppendOutcome }
  | { type: 'logRead', operationId: number, outcome: ReadOutcome }
  | { type: 'peerMessage', envelope: PeerEnvelope }
  /** The message could not be delivered. */
  | { type: 'peerFailed', node: string, address: string, messageId: number }
  | { type: 'callerRequest', requestId: string, request: CallerRequest, hops: number }
  /** The caller disconnected before the final reply. */
  | { type: 'callerGone', requestId: string }
  /** `wasSent` is false only when no byte reached the other node. */
  | { type: 'forwardFailed', requestId: string, wasSent: boolean }
  | { type: 'forwardReply', requestId: string, reply: CallerReply }
  | { type: 'backendEvent', callId: number, event: BackendEvent }
  | { type: 'vmListed', entries: VmEntry[] }
  | { type: 'stopRequested' }
