/** How the client library reaches nodes; HTTP in real life, the virtual network in tests. */
import type { CallerReply, CallerRequest } from '@trefoilshunt/core'

export type TransportResult =
  | { type: 'reply', reply: CallerReply }
  /** `wasSent` is false only when no byte of the request left. */
  | { type: 'failed', wasSent: boolean, detail: string }

export interface SendOptions {
  timeoutMs: number
  onChunk?: (text: string, tokens: number) => void
  /** Gets a function that gives the request up; it then counts as sent and failed. */
  onAbort?: (abort: () => void) => void
}

/** Sends one request to one address. It never rejects. */
export interface ICallerTransport {
  send (address: string, request: CallerRequest, options: SendOptions): Promise<TransportResult>
}

/** Time and chance for the client, so that tests can drive it. */
export interface IClientHost {
  nowMs (): number
  sleep (ms: number): Promise<void>
  /** A number in [0, 1). */
  random (): number
}
