/** Interfaces through which the client library reaches nodes and the clock: HTTP in production, a virtual network in tests. */
import type { CallerReply, CallerRequest } from '@trefoilshunt/core'

/** Result of one request: any reply of the node, or the failure to get one. */
export type TransportResult =
  | { type: 'reply', reply: CallerReply }
  /** `wasSent` is false only if no byte of the request was sent. */
  | { type: 'failed', wasSent: boolean, detail: string }

/** Options of one request. */
export interface SendOptions {
  timeoutMs: number
  /** Called with each chunk of a streamed answer and its number of tokens. */
  onChunk?: (text: string, tokens: number) => void
  /** Receives a function that aborts the request; the result is then a failure with `wasSent` true. */
  onAbort?: (abort: () => void) => void
}

/** Sends one request to one address (host:port). Never rejects. */
export interface ICallerTransport {
  send (address: string, request: CallerRequest, options: SendOptions): Promise<TransportResult>
}

/** Clock and random numbers of the client; tests replace them by virtual ones. */
export interface IClientHost {
  nowMs (): number
  sleep (ms: number): Promise<void>
  /** A number in [0, 1). */
  random (): number
}
