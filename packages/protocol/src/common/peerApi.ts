/** The HTTP interface between nodes: the tRPC router for messages, and the format of forwarded requests and their replies. */
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { CallerReply, CallerRequest, PeerEnvelope } from '@trefoilshunt/core'

/** Context of each tRPC call, created by the server. */
export interface PeerContext {
  /** False if the sender did not send the shared secret; its messages are then dropped. */
  isTrusted: boolean
  onMessages: (envelopes: PeerEnvelope[]) => void
}

const senderSchema = z.object({ node: z.string(), incarnation: z.string(), address: z.string(), peerAddress: z.string(), zone: z.string() })

/** Checks the envelope of a message. The body is not checked beyond its `type`, because the sender knows the shared secret. */
export const peerEnvelopeSchema = z.object({
  from: senderSchema,
  to: z.string(),
  messageId: z.int(),
  replyTo: z.int().optional(),
  body: z.looseObject({ type: z.string() })
}) as unknown as z.ZodType<PeerEnvelope, PeerEnvelope>

const trpc = initTRPC.context<PeerContext>().create()

/** The procedures that a node offers to its peers. */
export const peerRouter = trpc.router({
  /** Receives messages from one peer; `isTaken` is false if they were dropped because the sender is not trusted. */
  deliver: trpc.procedure
    .input(z.object({ envelopes: z.array(peerEnvelopeSchema).max(1_000) }))
    .mutation(({ input, ctx }) => {
      if (ctx.isTrusted) ctx.onMessages(input.envelopes)
      return { isTaken: ctx.isTrusted }
    })
})
/** Type of the router, for the tRPC client. */
export type PeerRouter = typeof peerRouter

/** HTTP path for forwarded requests. */
export const FORWARD_PATH = '/forward'
/** Header with the secret that all nodes share. */
export const PEER_SECRET_HEADER = 'x-peer-secret'

/** Body of a forwarded request. */
export interface ForwardBody {
  request: CallerRequest
  /** Number of times the request has been forwarded, this time included. */
  hops: number
}

/** Formats a reply as one line of the answer to a forwarded request. */
export function toReplyLine (reply: CallerReply): string {
  return `${JSON.stringify(reply)}\n`
}

/** Parses the answer to a forwarded request. Lines that are not JSON or have no `type` are dropped. */
export class ReplyLineReader {
  private _pending = ''

  /** Adds received text and returns the replies of the lines that it completes. */
  push (text: string): CallerReply[] {
    const lines = (this._pending + text).split('\n')
    this._pending = lines.pop() ?? ''
    return lines.flatMap(line => parseReply(line))
  }
}

function parseReply (line: string): CallerReply[] {
  try {
    const reply = JSON.parse(line) as CallerReply
    return typeof reply?.type === 'string' ? [reply] : []
  } catch {
    return []
  }
}
