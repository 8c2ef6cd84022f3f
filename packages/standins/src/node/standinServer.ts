/** The HTTP server that all stand-ins use. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { App } from '@tinyhttp/app'
import { REQUEST_ID_HEADER } from '@trefoilshunt/protocol'

/** A larger body is treated as an empty one. */
const MAX_BODY_BYTES = 64_000_000

/** A request whose body has been read. */
export interface StandinRequest {
  params: Record<string, string>
  query: URLSearchParams
  headers: IncomingMessage['headers']
  /** The parsed JSON; undefined when the body is empty or is not JSON. */
  body: unknown
  response: ServerResponse
}

/** Handles the requests of one path. */
export type StandinRoute = (request: StandinRequest) => void

/** An HTTP server on loopback. */
export class StandinServer {
  private readonly _app = new App({ settings: { networkExtensions: false } })
  private readonly _server: Server

  constructor () {
    this._server = createServer((request, response) => { void this._app.handler(request as never, response as never) })
  }

  get (path: string, route: StandinRoute): void {
    this._app.get(path, toRequestHandler(route) as never)
  }

  post (path: string, route: StandinRoute): void {
    this._app.post(path, toRequestHandler(route) as never)
  }

  /** `host:port`; empty until `listen` has ended. */
  get address (): string {
    const address = this._server.address()
    return typeof address === 'object' && address !== null ? `127.0.0.1:${address.port}` : ''
  }

  /** Starts the server on a port, or on a free one for 0. */
  async listen (port = 0): Promise<void> {
    await new Promise<void>(resolve => this._server.listen(port, '127.0.0.1', resolve))
  }

  /** Closes every connection at once, as a crash does; the server goes on listening. */
  dropConnections (): void {
    this._server.closeAllConnections()
  }

  /** Stops listening and closes every connection. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this._server.close(() => resolve())
      this._server.closeAllConnections()
    })
  }
}

/** Sends a JSON response; does nothing if a response has begun or the connection is closed. */
export function sendJson (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  if (response.destroyed || response.headersSent) return
  response.writeHead(status, { 'content-type': 'application/json', ...headers }).end(JSON.stringify(body))
}

function toRequestHandler (route: StandinRoute) {
  return async (request: IncomingMessage & { params: Record<string, string> }, response: ServerResponse): Promise<void> => {
    const requestId = request.headers[REQUEST_ID_HEADER]
    if (requestId !== undefined) response.setHeader(REQUEST_ID_HEADER, requestId)
    const text = await readText(request)
    const query = new URL(request.url ?? '/', 'http://localhost').searchParams
    route({ params: request.params, query, headers: request.headers, body: text === '' ? undefined : parseJson(text), response })
  }
}

async function readText (request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  let size = 0
  for await (const part of request) {
    size += (part as Buffer).length
    if (size > MAX_BODY_BYTES) return ''
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts).toString('utf8')
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
