/** The HTTP server for callers and operators. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { App } from '@tinyhttp/app'
import type { z } from 'zod'
import type { CallerReply, CallerRequest } from '@trefoilshunt/core'
import { applyBodySchema, type HttpReply, openBodySchema, promoteBodySchema, stepBodySchema, toChunkEvent, toHttpReply, toOpenRequest, toOutcomeEvents, toStepRequest } from '@trefoilshunt/protocol'
import type { Settings } from '../common/settings.js'
import { resolveOwner } from './credentials.js'
import { readBody } from './readBody.js'

const DEFAULT_AUDIT_LIMIT = 100
const MAX_AUDIT_LIMIT = 500
const MAX_PROGRAM_ID = 128
const SOCKET_IDLE_MS = 60_000

export interface CallerServerOptions {
  settings: Settings
  /** Hands a request to the kernel; returns the function to call when the caller goes away. */
  onRequest: (request: CallerRequest, reply: (reply: CallerReply) => void) => () => void
  isReady: () => boolean
  renderMetrics: () => string
  onAnswered: (route: string, status: number, durationMs: number) => void
}

/** A request whose credentials have been checked. */
interface Context {
  request: IncomingMessage
  response: ServerResponse
  owner: string
  params: Record<string, string>
  query: URLSearchParams
}

type Route = (context: Context) => Promise<void> | void

export function createCallerServer (options: CallerServerOptions): Server {
  const { settings } = options
  const app = new App({ noMatchHandler: (_request, response) => sendError(response, 404, 'no such path') })
  const handlers = new CallerRoutes(options)
  app.get('/healthz', (_request, response) => sendText(response, 200, 'ok\n'))
  app.get('/readyz', (_request, response) => sendText(response, options.isReady() ? 200 : 503, options.isReady() ? 'ready\n' : 'not ready\n'))
  app.get('/metrics', (_request, response) => sendText(response, 200, options.renderMetrics()))
  const customer = (route: Route) => withOwner(settings.credentials.customers, route)
  const operator = (route: Route) => withOwner(settings.credentials.operators, route)
  app.get('/v1/addresses', customer(context => handlers.addresses(context)))
  app.post('/v1/programs', customer(async context => await handlers.open(context)))
  app.get('/v1/programs/:id', customer(context => handlers.program(context)))
  app.delete('/v1/programs/:id', customer(context => handlers.close(context)))
  app.post('/v1/programs/:id/steps', customer(async context => await handlers.step(context)))
  app.post('/v1/programs/:id/steps/:step/cancel', customer(context => handlers.cancel(context)))
  app.get('/v1/admin/configuration', operator(context => handlers.configuration(context)))
  app.post('/v1/admin/configuration/:environment', operator(async context => await handlers.apply(context)))
  app.post('/v1/admin/promotions', operator(async context => await handlers.promote(context)))
  app.get('/v1/admin/audit', operator(context => handlers.audit(context)))
  app.get('/v1/admin/programs', operator(context => handlers.programs(context)))
  const server = createServer({ maxHeaderSize: settings.limits.headerBytes, keepAliveTimeout: SOCKET_IDLE_MS }, (request, response) => {
    void app.handler(request as never, response as never)
  })
  server.maxConnections = settings.limits.connections
  server.headersTimeout = settings.limits.requestReadMs
  server.requestTimeout = 0
  return server
}

class CallerRoutes {
  constructor (private readonly _options: CallerServerOptions) {}

  addresses (context: Context): void {
    this._submit(context, 'addresses', { type: 'addresses', zone: context.query.get('zone') ?? undefined })
  }

  async open (context: Context): Promise<void> {
    const body = await this._readJson(context, openBodySchema)
    if (body === undefined) return
    this._submit(context, 'open', toOpenRequest(body, context.owner))
  }

  async step (context: Context): Promise<void> {
    const body = await this._readJson(context, stepBodySchema)
    if (body === undefined) return
    const request = toStepRequest(body, context.owner, context.params.id)
    if (request.isStreamed) this._submitStream(context, request)
    else this._submit(context, 'step', request)
  }

  cancel (context: Context): void {
    const step = Number(context.params.step)
    if (!Number.isInteger(step) || step < 1) sendError(context.response, 400, 'the step must be a positive whole number')
    else this._submit(context, 'cancel', { type: 'cancel', customer: context.owner, programId: context.params.id, step })
  }

  close (context: Context): void {
    this._submit(context, 'close', { type: 'close', customer: context.owner, programId: context.params.id })
  }

  program (context: Context): void {
    this._submit(context, 'program', { type: 'program', customer: context.owner, programId: context.params.id, withHistory: context.query.get('history') === 'true' })
  }

  configuration (context: Context): void {
    this._submit(context, 'configuration', { type: 'configuration', environment: context.query.get('environment') ?? undefined })
  }

  async apply (context: Context): Promise<void> {
    const body = await this._readJson(context, applyBodySchema)
    if (body === undefined) return
    this._submit(context, 'apply', { type: 'apply', environment: context.params.environment, baseRevision: body.baseRevision, document: body.document, by: context.owner })
  }

  async promote (context: Context): Promise<void> {
    const body = await this._readJson(context, promoteBodySchema)
    if (body === undefined) return
    this._submit(context, 'promote', { type: 'promote', ...body, by: context.owner })
  }

  audit (context: Context): void {
    const limit = Number(context.query.get('limit') ?? DEFAULT_AUDIT_LIMIT)
    const isValid = Number.isInteger(limit) && limit > 0 && limit <= MAX_AUDIT_LIMIT
    if (isValid) this._submit(context, 'audit', { type: 'audit', limit })
    else sendError(context.response, 400, `limit must be a whole number from 1 to ${MAX_AUDIT_LIMIT}`)
  }

  programs (context: Context): void {
    this._submit(context, 'programs', { type: 'programs' })
  }

  private _submit ({ response }: Context, route: string, request: CallerRequest): void {
    const startedAtMs = performance.now()
    let isOver = false
    const onGone = this._options.onRequest(request, reply => {
      if (reply.type === 'chunk') return
      isOver = true
      const answer = toHttpReply(reply)
      this._options.onAnswered(route, answer.status, performance.now() - startedAtMs)
      sendReply(response, answer)
    })
    response.on('close', () => {
      if (!isOver) onGone()
    })
  }

  /** Streams pieces as they come; a request that ends without one gets a plain answer. */
  private _submitStream ({ response }: Context, request: CallerRequest): void {
    const startedAtMs = performance.now()
    let isOver = false
    const onGone = this._options.onRequest(request, reply => {
      if (reply.type === 'chunk') {
        if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
        response.write(toChunkEvent(reply.text, reply.tokens))
        return
      }
      isOver = true
      const answer = toHttpReply(reply)
      this._options.onAnswered('stream', answer.status, performance.now() - startedAtMs)
      if (response.headersSent) response.end(toOutcomeEvents(reply))
      else sendReply(response, answer)
    })
    response.on('close', () => {
      if (!isOver) onGone()
    })
  }

  /** Reads and checks a JSON body; answers by itself and returns undefined when it is not acceptable. */
  private async _readJson<S extends z.ZodType> ({ request, response }: Context, schema: S): Promise<z.output<S> | undefined> {
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

function withOwner (credentials: Settings['credentials']['customers'], route: Route) {
  return async (request: { headers: IncomingMessage['headers'], params: Record<string, string>, url: string }, response: unknown): Promise<void> => {
    const owner = resolveOwner(credentials, request.headers.authorization)
    const serverResponse = response as ServerResponse
    if (owner === undefined) {
      serverResponse.setHeader('www-authenticate', 'Bearer')
      sendError(serverResponse, 401, 'a valid bearer key is needed')
      return
    }
    if ((request.params.id ?? '').length > MAX_PROGRAM_ID) {
      sendError(serverResponse, 404, 'no such program')
      return
    }
    const query = new URL(request.url, 'http://localhost').searchParams
    await route({ request: request as unknown as IncomingMessage, response: serverResponse, owner, params: request.params, query })
  }
}

function rejectBody (response: ServerResponse, problem: 'tooLarge' | 'tooSlow' | 'aborted'): void {
  response.setHeader('connection', 'close')
  if (problem === 'tooLarge') sendError(response, 413, 'the body is too large')
  else if (problem === 'tooSlow') sendError(response, 408, 'the body did not arrive in time')
}

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

function send (response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function sendText (response: unknown, status: number, text: string): void {
  (response as ServerResponse).writeHead(status, { 'content-type': 'text/plain; charset=utf-8' }).end(text)
}
