/** The HTTP server for callers and operators. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { App } from '@tinyhttp/app'
import type { z } from 'zod'
import type { CallerReply, CallerRequest } from '@trefoilshunt/core'
import { applyBodySchema, type HttpReply, openBodySchema, promoteBodySchema, stepBodySchema, toChunkEvent, toHttpReply, toOpenRequest, toOutcomeEvents, toStepRequest } from '@trefoilshunt/protocol'
import type { Settings } from '../common/settings.js'
import { ConnectionGuard } from './connectionGuard.js'
import { resolvePrincipal } from './credentials.js'
import { readBody } from './readBody.js'

const DEFAULT_AUDIT_LIMIT = 100
const MAX_AUDIT_LIMIT = 500
const MAX_PROGRAM_ID_CHARACTERS = 128
const SOCKET_IDLE_MS = 60_000
/** Requests of one connection that may be open at a time; those that follow wait unread. */
const MAX_OPEN_REQUESTS = 64
/** A caller for whom more of a stream is buffered reads too slowly; its connection is closed. */
const MAX_UNREAD_BYTES = 1024 * 1024

/** Dependencies of the caller server. */
export interface CallerServerOptions {
  settings: Settings
  /** Passes a request to the kernel; returns the function to call when the caller disconnects before the final reply. */
  onRequest: (request: CallerRequest, reply: (reply: CallerReply) => void) => () => void
  /** Result of `/readyz`. */
  isReady: () => boolean
  /** Text of `/metrics`, in the Prometheus format. */
  renderMetrics: () => string
  /** Called with each answered request; requests that are rejected before they reach the kernel are not counted. */
  onAnswered: (route: string, status: number, durationMs: number) => void
}

/** A request whose credentials have been checked. */
interface RequestContext {
  request: IncomingMessage
  response: ServerResponse
  /** Name of the customer or operator whose key was sent. */
  principal: string
  params: Record<string, string>
  query: URLSearchParams
}

type Route = (context: RequestContext) => Promise<void> | void

/**
 * Creates the HTTP server of the caller API. The caller of this function starts it with `listen`. Keys of customers open the program
 * paths and keys of operators the `/v1/admin` paths; health, readiness and metrics need no key.
 */
export function createCallerServer (options: CallerServerOptions): Server {
  const { settings } = options
  const app = new App({ noMatchHandler: (_request, response) => sendError(response, 404, 'no such path') })
  const handlers = new CallerRoutes(options)
  app.get('/healthz', (_request, response) => sendText(response, 200, 'ok\n'))
  app.get('/readyz', (_request, response) => sendText(response, options.isReady() ? 200 : 503, options.isReady() ? 'ready\n' : 'not ready\n'))
  app.get('/metrics', (_request, response) => sendText(response, 200, options.renderMetrics()))
  const forCustomers = (route: Route) => requireCredential(settings.credentials.customers, route)
  const forOperators = (route: Route) => requireCredential(settings.credentials.operators, route)
  app.get('/v1/addresses', forCustomers(context => handlers.addresses(context)))
  app.post('/v1/programs', forCustomers(async context => await handlers.open(context)))
  app.get('/v1/programs/:id', forCustomers(context => handlers.program(context)))
  app.delete('/v1/programs/:id', forCustomers(context => handlers.close(context)))
  app.post('/v1/programs/:id/steps', forCustomers(async context => await handlers.step(context)))
  app.post('/v1/programs/:id/steps/:step/cancel', forCustomers(context => handlers.cancel(context)))
  app.get('/v1/admin/configuration', forOperators(context => handlers.configuration(context)))
  app.post('/v1/admin/configuration/:environment', forOperators(async context => await handlers.apply(context)))
  app.post('/v1/admin/promotions', forOperators(async context => await handlers.promote(context)))
  app.get('/v1/admin/audit', forOperators(context => handlers.audit(context)))
  app.get('/v1/admin/programs', forOperators(context => handlers.programs(context)))
  const server = createServer({ maxHeaderSize: settings.limits.headerBytes, keepAliveTimeout: SOCKET_IDLE_MS })
  const guard = new ConnectionGuard({ server, maxOpenRequests: MAX_OPEN_REQUESTS, readTimeoutMs: () => SOCKET_IDLE_MS })
  server.on('request', (request, response) => {
    guard.begin(request, response, () => ({
      start: () => { void app.handler(request as never, response as never) },
      drop: () => sendError(response, 503, 'too many open requests on one connection')
    }))
  })
  server.maxConnections = settings.limits.connections
  server.headersTimeout = settings.limits.requestReadMs
  server.requestTimeout = 0
  return server
}

/** The handlers of all paths that need a key; each turns the HTTP request into a request to the kernel. */
class CallerRoutes {
  constructor (private readonly _options: CallerServerOptions) {}

  addresses (context: RequestContext): void {
    this._submit(context, 'addresses', { type: 'addresses', zone: context.query.get('zone') ?? undefined })
  }

  async open (context: RequestContext): Promise<void> {
    const body = await this._readJson(context, openBodySchema)
    if (body === undefined) return
    this._submit(context, 'open', toOpenRequest(body, context.principal))
  }

  async step (context: RequestContext): Promise<void> {
    const body = await this._readJson(context, stepBodySchema)
    if (body === undefined) return
    const request = toStepRequest(body, context.principal, context.params.id)
    if (request.isStreamed) this._submitStream(context, request)
    else this._submit(context, 'step', request)
  }

  cancel (context: RequestContext): void {
    const step = Number(context.params.step)
    if (!Number.isInteger(step) || step < 1) sendError(context.response, 400, 'the step must be a positive integer')
    else this._submit(context, 'cancel', { type: 'cancel', customer: context.principal, programId: context.params.id, step })
  }

  close (context: RequestContext): void {
    this._submit(context, 'close', { type: 'close', customer: context.principal, programId: context.params.id })
  }

  program (context: RequestContext): void {
    this._submit(context, 'program', { type: 'program', customer: context.principal, programId: context.params.id, withHistory: context.query.get('history') === 'true' })
  }

  configuration (context: RequestContext): void {
    this._submit(context, 'configuration', { type: 'configuration', environment: context.query.get('environment') ?? undefined })
  }

  async apply (context: RequestContext): Promise<void> {
    const body = await this._readJson(context, applyBodySchema)
    if (body === undefined) return
    this._submit(context, 'apply', { type: 'apply', environment: context.params.environment, baseRevision: body.baseRevision, document: body.document, by: context.principal })
  }

  async promote (context: RequestContext): Promise<void> {
    const body = await this._readJson(context, promoteBodySchema)
    if (body === undefined) return
    this._submit(context, 'promote', { type: 'promote', ...body, by: context.principal })
  }

  audit (context: RequestContext): void {
    const limit = Number(context.query.get('limit') ?? DEFAULT_AUDIT_LIMIT)
    const isValid = Number.isInteger(limit) && limit > 0 && limit <= MAX_AUDIT_LIMIT
    if (isValid) this._submit(context, 'audit', { type: 'audit', limit })
    else sendError(context.response, 400, `limit must be an integer from 1 to ${MAX_AUDIT_LIMIT}`)
  }

  programs (context: RequestContext): void {
    this._submit(context, 'programs', { type: 'programs' })
  }

  /** Passes a request to the kernel and sends its final reply as one JSON answer. */
  private _submit ({ response }: RequestContext, route: string, request: CallerRequest): void {
    const startedAtMs = performance.now()
    let isOver = false
    const onCallerDisconnected = this._options.onRequest(request, reply => {
      if (reply.type === 'chunk') return
      isOver = true
      const answer = toHttpReply(reply)
      this._options.onAnswered(route, answer.status, performance.now() - startedAtMs)
      sendReply(response, answer)
    })
    response.on('close', () => {
      if (!isOver) onCallerDisconnected()
    })
  }

  /** Sends each chunk as a server-sent event when it arrives; a request that ends without any chunk gets one JSON answer. */
  private _submitStream ({ response }: RequestContext, request: CallerRequest): void {
    const startedAtMs = performance.now()
    let isOver = false
    const onCallerDisconnected = this._options.onRequest(request, reply => {
      if (reply.type === 'chunk') {
        if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
        response.write(toChunkEvent(reply.text, reply.tokens))
        if (response.writableLength > MAX_UNREAD_BYTES) response.destroy()
        return
      }
      isOver = true
      const answer = toHttpReply(reply)
      this._options.onAnswered('stream', answer.status, performance.now() - startedAtMs)
      if (response.headersSent) response.end(toOutcomeEvents(reply))
      else sendReply(response, answer)
    })
    response.on('close', () => {
      if (!isOver) onCallerDisconnected()
    })
  }

  /** Reads and checks a JSON body. If it is not acceptable, sends the error answer and returns undefined. */
  private async _readJson<S extends z.ZodType> ({ request, response }: RequestContext, schema: S): Promise<z.output<S> | undefined> {
    const { limits } = this._options.settings
    const body = await readBody(request, limits.bodyBytes, limits.requestReadMs)
    if (body.type !== 'read') {
      rejectBody(response, body.type)
      return undefined
    }
    const value = parseJson(body.text)
    if (value === undefined) {
      sendError(response, 400, 'the body is not valid JSON')
      return undefined
    }
    const checked = schema.safeParse(value)
    if (checked.success) return checked.data
    const problems = checked.error.issues.map(issue => ({ path: issue.path.join('.'), message: issue.message }))
    send(response, 422, { outcome: 'notRun', reason: 'invalid', detail: 'the body does not have the expected fields', problems })
    return undefined
  }
}

/** Wraps a route so that it runs only with a valid key; otherwise answers 401, or 404 for a program id that is too long. */
function requireCredential (credentials: Settings['credentials']['customers'], route: Route) {
  return async (request: { headers: IncomingMessage['headers'], params: Record<string, string>, url: string }, response: unknown): Promise<void> => {
    const principal = resolvePrincipal(credentials, request.headers.authorization)
    const serverResponse = response as ServerResponse
    if (principal === undefined) {
      serverResponse.setHeader('www-authenticate', 'Bearer')
      sendError(serverResponse, 401, 'a valid bearer key is required')
      return
    }
    if ((request.params.id ?? '').length > MAX_PROGRAM_ID_CHARACTERS) {
      sendError(serverResponse, 404, 'no such program')
      return
    }
    const query = new URL(request.url, 'http://localhost').searchParams
    await route({ request: request as unknown as IncomingMessage, response: serverResponse, principal, params: request.params, query })
  }
}

/** Answers a body that could not be read, and closes the connection because unread bytes may follow. An aborted request gets no answer. */
function rejectBody (response: ServerResponse, problem: 'tooLarge' | 'tooSlow' | 'aborted'): void {
  response.setHeader('connection', 'close')
  if (problem === 'tooLarge') sendError(response, 413, 'the body is too large')
  else if (problem === 'tooSlow') sendError(response, 408, 'the body did not arrive in time')
}

/** Returns undefined for text that is not JSON. */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function sendReply (response: ServerResponse, reply: HttpReply): void {
  if (reply.retryAfterMs !== undefined) response.setHeader('retry-after', Math.ceil(reply.retryAfterMs / 1000))
  send(response, reply.status, reply.body)
}

function sendError (response: ServerResponse, status: number, detail: string): void {
  send(response, status, { outcome: 'notRun', reason: 'invalid', detail })
}

/** Sends a JSON answer, unless an answer has begun or the connection is closed. */
function send (response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function sendText (response: unknown, status: number, text: string): void {
  (response as ServerResponse).writeHead(status, { 'content-type': 'text/plain; charset=utf-8' }).end(text)
}
