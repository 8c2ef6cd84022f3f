/** HTTP client for messages and forwarded requests to other nodes. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Agent, request } from 'undici'
import type { CallerReply, CallerRequest, PeerEnvelope } from '@trefoilshunt/core'
import { FORWARD_PATH, type ForwardBody, PEER_SECRET_HEADER, type PeerRouter, ReplyLineReader } from '@trefoilshunt/protocol'
import { classifyError } from './httpErrors.js'

const DELIVER_TIMEOUT_MS = 1_000
const CONNECT_TIMEOUT_MS = 500
const CONNECTIONS_PER_PEER = 32
/** Must not exceed the number of messages that `deliver` accepts. */
const MAX_ENVELOPES_PER_DELIVERY = 500

/** Dependencies of a peer client. */
export interface PeerClientOptions {
  /** The secret that all nodes share; sent in a header of each request. */
  secret: string
  /** Called for each message of a failed delivery; it may have arrived if the delivery timed out. */
  onFailed: (envelope: PeerEnvelope, address: string) => void
}

/** Messages to one peer. */
interface Outbox {
  client: TRPCClient<PeerRouter>
  pending: PeerEnvelope[]
  isSending: boolean
}

/** Sends messages in order, with one delivery at a time for each peer. Messages that are queued during a delivery are sent together in the next one. */
export class PeerClient {
  private readonly _outboxes = new Map<string, Outbox>()
  private readonly _agent = new Agent({ connections: CONNECTIONS_PER_PEER, connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })

  constructor (private readonly _options: PeerClientOptions) {}

  /** Queues a message for the peer at `address` (host:port). A failure is reported through `onFailed`. */
  send (address: string, envelope: PeerEnvelope): void {
    const outbox = this._resolveOutbox(address)
    outbox.pending.push(envelope)
    if (!outbox.isSending) void this._sendPending(address, outbox)
  }

  /**
   * Forwards a caller's request to another node and passes on each of its replies. If the connection ends without a final reply,
   * `onFailed` is called; `wasSent` is false only if the other node cannot have started the request.
   */
  async forward (address: string, callerRequest: CallerRequest, hops: number, signal: AbortSignal, onReply: (reply: CallerReply) => void, onFailed: (wasSent: boolean) => void): Promise<void> {
    let isAnswered = false
    try {
      const body: ForwardBody = { request: callerRequest, hops }
      const response = await request(`http://${address}${FORWARD_PATH}`, {
        method: 'POST', headers: { 'content-type': 'application/json', [PEER_SECRET_HEADER]: this._options.secret }, body: JSON.stringify(body), dispatcher: this._agent, signal
      })
      if (response.statusCode !== 200) {
        await response.body.dump()
        onFailed(false)
        return
      }
      const reader = new ReplyLineReader()
      const decoder = new TextDecoder()
      for await (const bytes of response.body) {
        for (const reply of reader.push(decoder.decode(bytes as Uint8Array, { stream: true }))) {
          isAnswered = reply.type !== 'chunk'
          onReply(reply)
        }
      }
      if (!isAnswered) onFailed(true)
    } catch (error) {
      if (!isAnswered) onFailed(!classifyError(error).isUntouched)
    }
  }

  /** Closes all connections; deliveries and forwarded requests in progress fail. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private _resolveOutbox (address: string): Outbox {
    let outbox = this._outboxes.get(address)
    if (outbox === undefined) {
      const link = httpLink({ url: `http://${address}`, headers: { [PEER_SECRET_HEADER]: this._options.secret }, fetch: async (url, options) => await this._fetch(String(url), options as RequestInit) })
      outbox = { client: createTRPCClient<PeerRouter>({ links: [link] }), pending: [], isSending: false }
      this._outboxes.set(address, outbox)
    }
    return outbox
  }

  private async _fetch (url: string, options: RequestInit): Promise<Response> {
    const { statusCode, body } = await request(url, {
      method: options.method as 'POST',
      headers: options.headers as Record<string, string>,
      body: options.body as string,
      dispatcher: this._agent,
      signal: AbortSignal.timeout(DELIVER_TIMEOUT_MS)
    })
    return new Response(await body.text(), { status: statusCode })
  }

  private async _sendPending (address: string, outbox: Outbox): Promise<void> {
    outbox.isSending = true
    while (outbox.pending.length > 0) {
      const envelopes = outbox.pending.splice(0, MAX_ENVELOPES_PER_DELIVERY)
      try {
        await outbox.client.deliver.mutate({ envelopes })
      } catch {
        for (const envelope of envelopes) this._options.onFailed(envelope, address)
      }
    }
    outbox.isSending = false
  }
}
