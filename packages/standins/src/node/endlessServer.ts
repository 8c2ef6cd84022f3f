/** A server in trouble: answers each request with bytes without end, until its caller closes the connection. */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'

const BLOCK_BYTES = 16 * 1024

/** An answer: the bytes that begin it, and those that are repeated after them. */
export interface EndlessAnswer {
  start: string
  repeated: string
}

/** A connection that a caller has opened. */
export interface EndlessConnection {
  /** Bytes sent, those in the buffers of the connection included. */
  sentBytes: number
  hasRequest: boolean
  isClosed: boolean
}

export interface EndlessServerOptions {
  /** Creates the answer to a request from its head. */
  respond: (head: string) => EndlessAnswer
  /** Period in which one byte is sent; without it, blocks are sent as fast as they are read. */
  dripMs?: number
}

/**
 * Serves on a free port of the loopback address.
 *
 * @example
 * const server = new EndlessServer({ respond: () => ({ start: 'HTTP/1.1 200 ', repeated: 'x' }) })
 * await server.listen()
 */
export class EndlessServer {
  readonly connections: EndlessConnection[] = []
  /** Requests received. */
  requestCount = 0
  private readonly _sockets = new Set<Socket>()
  private readonly _server: Server

  constructor (private readonly _options: EndlessServerOptions) {
    this._server = createServer(socket => this._accept(socket))
  }

  /** `host:port`, once it is listening. */
  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  get sentBytes (): number {
    return this.connections.reduce((total, { sentBytes }) => total + sentBytes, 0)
  }

  /** Open connections on which a request has arrived. */
  get openCount (): number {
    return this.connections.filter(({ hasRequest, isClosed }) => hasRequest && !isClosed).length
  }

  async listen (): Promise<void> {
    await new Promise<void>(resolve => { this._server.listen(0, '127.0.0.1', resolve) })
  }

  async close (): Promise<void> {
    for (const socket of this._sockets) socket.destroy()
    await new Promise<void>(resolve => { this._server.close(() => resolve()) })
  }

  private _accept (socket: Socket): void {
    this._sockets.add(socket)
    const connection: EndlessConnection = { sentBytes: 0, hasRequest: false, isClosed: false }
    this.connections.push(connection)
    let received = ''
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      const headEnd = received.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const { start, repeated } = this._options.respond(received.slice(0, headEnd + 2))
      received = ''
      connection.hasRequest = true
      this.requestCount++
      socket.write(start)
      if (this._options.dripMs === undefined) sendBlocks(socket, connection, repeated)
      else sendSlowly(socket, connection, repeated, this._options.dripMs)
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      connection.isClosed = true
      this._sockets.delete(socket)
    })
  }
}

function sendSlowly (socket: Socket, connection: EndlessConnection, repeated: string, periodMs: number): void {
  let index = 0
  const timer = setInterval(() => {
    if (connection.isClosed) {
      clearInterval(timer)
      return
    }
    connection.sentBytes++
    socket.write(repeated[index++ % repeated.length])
  }, periodMs)
}

function sendBlocks (socket: Socket, connection: EndlessConnection, repeated: string): void {
  const block = Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)))
  const send = (): void => {
    if (connection.isClosed) return
    connection.sentBytes += block.length
    if (socket.write(block)) setImmediate(send)
    else socket.once('drain', send)
  }
  send()
}
