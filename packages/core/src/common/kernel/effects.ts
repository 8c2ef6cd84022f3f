/** Everything the kernel asks of its host. */
import type { CallerReply, CallerRequest, ChatMessage } from './callerMessages.js'
import type { PeerEnvelope } from '../peers/peerMessages.js'
import type { LogRecord } from './logRecords.js'
import type { NodeRef } from './node.js'

/** A model call as an engine gets it: the whole conversation. */
export interface EngineRequest {
  type: 'model'
  model: string
  messages: ChatMessage[]
  maxTokens: number
  /** Larger numbers are served first. */
  priority: number
  /** Key of the cache that the engine keeps for the program. */
  session: string
  /** How long the cache should survive after the call, in milliseconds. */
  retainMs: number
}

export interface ServiceRequest {
  type: 'service'
  path: string
  body: unknown
  /** Sent to back ends that honour it. */
  idempotencyKey?: string
}

/** Asks a service that keeps idempotency keys what became of a call. */
export interface ServiceLookup { type: 'lookup', idempotencyKey: string }
export interface StatusRequest { type: 'status' }
/** Reads what an engine published about its cache; events come late and some are missing. */
export interface CacheEventsRequest { type: 'cacheEvents', fromSequence: number }
export interface ReleaseRequest { type: 'release', session: string }
/** Moves the cache of a program between two engines. */
export interface TransferRequest { type: 'transfer', session: string, fromAddress: string }
/** Orders an engine to load a model; engines that check refuse a fencing number below one they have seen. */
export interface LoadOrder { type: 'load', model: string, fencingNumber: number }

export type BackendRequest = EngineRequest | ServiceRequest | ServiceLookup | StatusRequest | CacheEventsRequest | ReleaseRequest | TransferRequest | LoadOrder

export const LogLevel = { Info: 'info', Warn: 'warn', Error: 'error' } as const
export type LogLevel = typeof LogLevel[keyof typeof LogLevel]

/** Values of one structured log line. */
export type LogFields = Record<string, string | number | boolean | undefined>

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
