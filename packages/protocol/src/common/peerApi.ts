/** The tRPC router between nodes, and the stream in which a forwarded request is answered. */
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { CallerReply, CallerRequest, PeerEnvelope } from '@trefoilshunt/core'

/** What the host gives to each call. */
export interface PeerContext {
  /** False for senders that the node does not trust. */
  isTrusted: boolean
  onMessages: (envelopes: PeerEnvelope[]) => void
}

const sender = z.object({ node: z.string(), incarnation: z.string(), address: z.string(), peerAddress: z.string(), zone: z.string() })

/** Checks the frame of a message; its body comes from a node that knows the peers' secret. */
export const peerEnvelopeSchema = z.object({
  from: sender,
  to: z.string(),
  messageId: z.int(),
  replyTo: z.int().optional(),
  body: z.looseObject({ type: z.string() })
}) as unknown as z.ZodType<PeerEnvelope, PeerEnvelope>

const trpc = initTRPC.context<PeerContext>().create()

export const peerRouter = trpc.router({
  /** Takes messages from one peer. */
  deliver: trpc.procedure
    .input(z.object({ envelopes: z.array(peerEnvelopeSchema).max(1_000) }))
    .mutation(({ input, ctx }) => {
      if (ctx.isTrusted) ctx.onMessages(input.envelopes)
      return { isTaken: ctx.isTrusted }
    })
})
export type PeerRouter = typeof peerRouter

export const FORWARD_PATH = '/forward'
/** Header that carries the secret which peers share. */
export const PEER_SECRET_HEADER = 'x-peer-secret'

/** A caller's request on its way to another node. */
export interface ForwardBody {
  request: CallerRequest
  hops: number
}

/** One reply as a line of the forward stream. */
export function toReplyLine (reply: CallerReply): string {
  return `${JSON.stringify(reply)}\n`
}

/** Cuts a stream of reply lines into replies; lines that are no JSON are dropped. */
export class ReplyLineReader {
  private _pending = ''

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
