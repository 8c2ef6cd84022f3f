/** Limits what the clients of an HTTP server may take of the process: connections, open requests and answers that they don't read. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionBudget } from '@trefoilshunt/core'
import { ConnectionReader, type ParsedRequest } from './connectionReader.js'
import { steadyNowMs } from './steadyClock.js'

const SWEEP_MS = 500
/** While memory is short, a client that reads nothing of its answers for this long is cut off. */
const SHORT_OF_MEMORY_READ_MS = 2_000
/** Within this time an idle client is not in the way of others. */
const DEFAULT_READ_TIMEOUT_MS = 15_000

/** Which limit a client has met. */
export const ClientLimit = {
  Connections: 'connections',
  OpenRequests: 'openRequests',
  UnreadAnswers: 'unreadAnswers',
  Memory: 'memory',
  BodyTime: 'bodyTime',
  BodyBytes: 'bodyBytes',
  HeadBytes: 'headBytes'
} as const
export type ClientLimit = typeof ClientLimit[keyof typeof ClientLimit]

/** Called when a client has met a limit; `heldCount` is what it holds: connections, requests or bytes. */
export type ClientLimitListener = (address: string, limit: ClientLimit, heldCount: number) => void

export interface ConnectionGuardOptions {
  server: Server
  maxConnections?: number
  /** Requests of one connection that may be open at a time; the others wait unread. */
  maxOpenRequests?: number
  /** A client that reads nothing of its answers for this long is cut off. */
  readTimeoutMs?: () => number
  isShortOfMemory?: () => boolean
  onLimit?: ClientLimitListener
}

interface GuardedConnection {
  address: string
  reader: ConnectionReader
  /** Bytes that the kernel has taken, when they last changed, and when that was. */
  takenBytes: number
  takenAtMs: number
}

/**
 * To be created before the server listens.
 *
 * @example
 * const guard = new ConnectionGuard({ server, maxConnections: 1_000 })
 * server.on('request', (request, response) => guard.begin(request, response, () => ({ start: () => response.end(), drop: () => refuse(response) })))
 */
export class ConnectionGuard {
  private readonly _connections = new Map<Socket, GuardedConnection>()
  private readonly _budget: ConnectionBudget<Socket>

  constructor (private readonly _options: ConnectionGuardOptions) {
    const { server, maxConnections } = _options
    this._budget = new ConnectionBudget({ maxConnections, isIdle: socket => this._connections.get(socket)?.reader.openCount === 0 })
    server.on('connection', socket => this._accept(socket))
    const timer = setInterval(() => this._sweep(), SWEEP_MS)
    timer.unref()
    server.on('close', () => clearInterval(timer))
  }

  get connectionCount (): number {
    return this._budget.count
  }

  /** Counts a request as open until its answer is complete; see `ConnectionReader.begin`. Does nothing if its connection is closed. */
  begin ({ socket }: IncomingMessage, response: ServerResponse, toRequest: (reader: ConnectionReader) => ParsedRequest): void {
    const reader = this._connections.get(socket)?.reader
    reader?.begin(response, toRequest(reader))
  }

  private _accept (socket: Socket): void {
    const address = socket.remoteAddress ?? ''
    const { isAdmitted, evicted } = this._budget.open(address, socket)
    if (!isAdmitted) {
      this._options.onLimit?.(address, ClientLimit.Connections, this._budget.countOf(address))
      socket.destroy()
      return
    }
    if (evicted !== undefined) {
      const evictedAddress = this._connections.get(evicted)?.address ?? ''
      this._options.onLimit?.(evictedAddress, ClientLimit.Connections, this._budget.countOf(evictedAddress))
      evicted.destroy()
    }
    const reader = new ConnectionReader(socket, this._options.maxOpenRequests ?? Number.POSITIVE_INFINITY, () => this._options.onLimit?.(address, ClientLimit.OpenRequests, reader.openCount))
    this._connections.set(socket, { address, reader, takenBytes: 0, takenAtMs: steadyNowMs() })
    socket.on('close', () => {
      this._connections.delete(socket)
      this._budget.close(address, socket)
    })
  }

  private _sweep (): void {
    const nowMs = steadyNowMs()
    const timeoutMs = this._options.isShortOfMemory?.() === true ? SHORT_OF_MEMORY_READ_MS : this._options.readTimeoutMs?.() ?? DEFAULT_READ_TIMEOUT_MS
    for (const [socket, connection] of this._connections) {
      const takenBytes = socket.bytesWritten - socket.writableLength
      if (takenBytes !== connection.takenBytes || socket.writableLength === 0) {
        connection.takenBytes = takenBytes
        connection.takenAtMs = nowMs
      } else if (nowMs - connection.takenAtMs >= timeoutMs) {
        this._options.onLimit?.(connection.address, ClientLimit.UnreadAnswers, socket.writableLength)
        socket.destroy()
      }
    }
  }
}
