/** The HTTP server for messages and forwarded requests from other nodes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { CallerReply, CallerRequest, PeerEnvelope } from '@trefoilshunt/core'
import { FORWARD_PATH, type ForwardBody, PEER_SECRET_HEADER, peerRouter, toReplyLine } from '@trefoilshunt/protocol'
import { isSameSecret } from './credentials.js'
import { readBody } from './readBody.js'

const MAX_PEER_BODY_BYTES = 64_000_000

/** Dependencies of the peer server. */
export interface PeerServerOptions {
  /** The secret that all nodes share; requests without it are not processed. */
  secret: string
  onMessages: (envelopes: PeerEnvelope[]) => void
  /** Handles a forwarded request; returns the function to call when the other node disconnects before the final reply. */
  onForward: (request: CallerRequest, hops: number, reply: (reply: CallerReply) => void) => () => void
}

/** Creates the server; the caller of this function starts it with `listen`. */
export function createPeerServer (options: PeerServerOptions): Server {
  const trpcHandler = createHTTPHandler({
    router: peerRouter,
    maxBodySize: MAX_PEER_BODY_BYTES,
    createContext: ({ req }) => ({ isTrusted: isTrusted(req, options.secret), onMessages: options.onMessages })
  })
  return createServer((request, response) => {
    if (request.url === FORWARD_PATH) void handleForward(request, response, options)
    else trpcHandler(request, response)
  })
}

function isTrusted (request: IncomingMessage, secret: string): boolean {
  const presentedSecret = request.headers[PEER_SECRET_HEADER]
  return typeof presentedSecret === 'string' && isSameSecret(presentedSecret, secret)
}

/**
 * Streams the replies to a forwarded request as lines of JSON. Answers 403 without the secret or with an unreadable body.
 * The headers are sent at once, before the first reply.
 */
async function handleForward (request: IncomingMessage, response: ServerResponse, options: PeerServerOptions): Promise<void> {
  const body = isTrusted(request, options.secret) ? await readBody(request, MAX_PEER_BODY_BYTES) : undefined
  const parsed = body?.type === 'read' ? parseForwardBody(body.text) : undefined
  if (parsed === undefined) {
    response.writeHead(403).end()
    return
  }
  response.writeHead(200, { 'content-type': 'application/x-ndjson' })
  response.flushHeaders()
  let isOver = false
  const onPeerDisconnected = options.onForward(parsed.request, parsed.hops, reply => {
    if (isOver) return
    response.write(toReplyLine(reply))
    if (reply.type === 'chunk') return
    isOver = true
    response.end()
  })
  response.on('close', () => {
    if (!isOver) onPeerDisconnected()
  })
}

function parseForwardBody (text: string): ForwardBody | undefined {
  try {
    const body = JSON.parse(text) as Partial<ForwardBody>
    const isValid = typeof body.request?.type === 'string' && Number.isInteger(body.hops)
    return isValid ? body as ForwardBody : undefined
  } catch {
    return undefined
  }
}
