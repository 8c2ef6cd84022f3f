/** The transport of the client library over the HTTP caller API. */
import { Agent, request as sendRequest, type Dispatcher } from 'undici'
import type { CallerReply, CallerRequest } from '@trefoilshunt/core'
import { EventStreamReader, fromHttpBody, fromOpenRequest, fromStepRequest } from '@trefoilshunt/protocol'
import type { ICallerTransport, IClientHost, SendOptions, TransportResult } from '../common/transport.js'

const CONNECT_TIMEOUT_MS = 1_000
const CONNECTIONS_PER_NODE = 256
/** Codes of errors that occur before any byte of the request is sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL'])

/** Options of an HTTP transport. */
export interface HttpTransportOptions {
  /** Bearer key of the customer or operator. */
  key: string
}

interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE'
  path: string
  body?: unknown
}

/**
 * An `ICallerTransport` over HTTP.
 *
 * @example
 * const client = new Client({ customer: 'riders', transport: new HttpTransport({ key }), host: realClientHost, seeds: ['127.0.0.1:7300'] })
 */
export class HttpTransport implements ICallerTransport {
  private readonly _agent = new Agent({ connections: CONNECTIONS_PER_NODE, connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })

  constructor (private readonly _options: HttpTransportOptions) {}

  async send (address: string, request: CallerRequest, options: SendOptions): Promise<TransportResult> {
    const call = toHttpCall(request)
    const controller = new AbortController()
    options.onAbort?.(() => controller.abort())
    try {
      const response = await sendRequest(`http://${address}${call.path}`, {
        method: call.method,
        headers: { authorization: `Bearer ${this._options.key}`, 'content-type': 'application/json' },
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        dispatcher: this._agent,
        signal: AbortSignal.any([controller.signal, AbortSignal.timeout(Math.max(1, Math.ceil(options.timeoutMs)))])
      })
      const isStream = String(response.headers['content-type'] ?? '').startsWith('text/event-stream')
      const reply = isStream ? await readStream(response, options) : fromHttpBody(await response.body.json())
      if (reply === undefined) return { type: 'failed', wasSent: true, detail: 'the answer ended without a final reply' }
      return { type: 'reply', reply }
    } catch (error) {
      const { code, message } = error as { code?: string, message: string }
      return { type: 'failed', wasSent: !UNSENT_CODES.has(code ?? ''), detail: `${code ?? ''} ${message}`.trim() }
    }
  }

  /** Closes all connections; requests in progress fail. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}

/** The system clock and random numbers for the client library. */
export const realClientHost: IClientHost = {
  nowMs: () => Date.now(),
  sleep: async ms => await new Promise(resolve => setTimeout(resolve, ms)),
  random: () => Math.random()
}

/** Reports each chunk and returns the final reply; undefined if the stream ends without one. */
async function readStream (response: Dispatcher.ResponseData, options: SendOptions): Promise<CallerReply | undefined> {
  const reader = new EventStreamReader()
  const decoder = new TextDecoder()
  let reply: CallerReply | undefined
  for await (const bytes of response.body) {
    for (const event of reader.push(decoder.decode(bytes as Uint8Array, { stream: true }))) {
      if (event.event === 'outcome') reply = fromHttpBody(JSON.parse(event.data))
      else if (event.data !== '[DONE]') reportChunk(event.data, options)
    }
  }
  return reply
}

function reportChunk (data: string, options: SendOptions): void {
  const chunk = JSON.parse(data) as { choices: Array<{ delta: { content: string } }>, tokens: number }
  options.onChunk?.(chunk.choices[0].delta.content, chunk.tokens)
}

/** Converts a request of the core to an HTTP request. */
function toHttpCall (request: CallerRequest): HttpCall {
  switch (request.type) {
    case 'open': return { method: 'POST', path: '/v1/programs', body: fromOpenRequest(request) }
    case 'step': return { method: 'POST', path: `/v1/programs/${encodeURIComponent(request.programId)}/steps`, body: fromStepRequest(request) }
    case 'cancel': return { method: 'POST', path: `/v1/programs/${encodeURIComponent(request.programId)}/steps/${request.step}/cancel` }
    case 'close': return { method: 'DELETE', path: `/v1/programs/${encodeURIComponent(request.programId)}` }
    case 'program': return { method: 'GET', path: `/v1/programs/${encodeURIComponent(request.programId)}?history=${String(request.withHistory)}` }
    case 'addresses': return { method: 'GET', path: `/v1/addresses${request.zone === undefined ? '' : `?zone=${encodeURIComponent(request.zone)}`}` }
    case 'apply': return { method: 'POST', path: `/v1/admin/configuration/${encodeURIComponent(request.environment)}`, body: { baseRevision: request.baseRevision, document: request.document } }
    case 'promote': return { method: 'POST', path: '/v1/admin/promotions', body: { from: request.from, to: request.to, revision: request.revision, baseRevision: request.baseRevision } }
    case 'configuration': return { method: 'GET', path: `/v1/admin/configuration${request.environment === undefined ? '' : `?environment=${encodeURIComponent(request.environment)}`}` }
    case 'audit': return { method: 'GET', path: `/v1/admin/audit?limit=${request.limit}` }
    case 'programs': return { method: 'GET', path: '/v1/admin/programs' }
  }
}
