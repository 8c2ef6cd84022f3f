/** Effects, which the kernel requests from its host, and the requests that are sent to back ends. */
import type { CallerReply, CallerRequest, ChatMessage } from './callerMessages.js'
import type { PeerEnvelope } from '../peers/peerMessages.js'
import type { LogRecord } from './logRecords.js'
import type { NodeRef } from './node.js'

/** A model call in the form that an engine gets, with the whole conversation. */
export interface EngineRequest {
  type: 'model'
  model: string
  messages: ChatMessage[]
  maxTokens: number
  /** The engine serves larger numbers first. */
  priority: number
  /** Key of the cache that the engine keeps for the program. */
  session: string
  /** Time for which the engine should keep the cache after the call, in milliseconds. */
  retainMs: number
}

export interface ServiceRequest {
  type: 'service'
  path: string
  body: unknown
  /** Present for back ends that check idempotency keys. */
  idempotencyKey?: string
}

/** Looks up the outcome of a call at a service that stores idempotency keys. */
export interface ServiceLookup { type: 'lookup', idempotencyKey: string }
/** Reads the load report of an engine. */
export interface StatusRequest { type: 'status' }
/** Reads the cache events of an engine from a sequence number on. Events arrive late and some are missing. */
export interface CacheEventsRequest { type: 'cacheEvents', fromSequence: number }
/** Deletes the cache of a program from an engine. */
export interface ReleaseRequest { type: 'release', session: string }
/** Makes an engine copy the cache of a program from the engine at `fromAddress`. */
export interface TransferRequest { type: 'transfer', session: string, fromAddress: string }
/** Orders an engine to load a model. An engine that checks fencing numbers refuses one below the highest that it has received. */
export interface LoadOrder { type: 'load', model: string, fencingNumber: number }

export type BackendRequest = EngineRequest | ServiceRequest | ServiceLookup | StatusRequest | CacheEventsRequest | ReleaseRequest | TransferRequest | LoadOrder

export const LogLevel = { Info: 'info', Warn: 'warn', Error: 'error' } as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Fields of one structured log line. */
export type LogFields = Record<string, string | number | boolean | undefined>

/** An operation that the host performs for the kernel. */
export type Effect =
  | { type: 'setTimer', timerId: number, delayMs: number }
  | { type: 'cancelTimer', timerId: number }
  | { type: 'appendLog', operationId: number, stream: string, records: LogRecord[] }
  | { type: 'readLog', operationId: number, stream: string, fromOffset: number, limit: number }
  | { type: 'sendPeer', address: string, node: string, messageId: number, envelope: PeerEnvelope }
  | { type: 'callBackend', callId: number, address: string, worker: string, request: BackendRequest, timeoutMs: number }
  | { type: 'cancelBackend', callId: number }
  | { type: 'reply', requestId: string, reply: CallerReply }
  | { type: 'forward', requestId: string, to: NodeRef, request: CallerRequest, hops: number }
  /** Stops waiting for the node that a request was forwarded to. */
  | { type: 'cancelForward', requestId: string }
  | { type: 'log', level: LogLevel, event: string, fields: LogFields }
  | { type: 'exit' }
