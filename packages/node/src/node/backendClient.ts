/** Calls model engines and services over HTTP. */
import { Agent, Client, type Dispatcher, request } from 'undici'
import type { BackendEvent, BackendRequest, EngineRequest, ServiceRequest } from '@trefoilshunt/core'
import { cacheEventsSchema, ENGINE_PATHS, engineChunkSchema, engineStatusSchema, EventStreamReader, IDEMPOTENCY_HEADER, LEAVING_HEADER, NOT_RUN_HEADER, SERVICE_LOOKUP_PATH, toEngineBody } from '@trefoilshunt/protocol'
import { describeError } from './httpErrors.js'

const CONNECTIONS_PER_WORKER = 64
const CONNECT_TIMEOUT_MS = 1_500
const KEEP_ALIVE_MS = 4_000
const JSON_HEADERS = { 'content-type': 'application/json' }
const CHARACTERS_PER_TOKEN = 4

type Listener = (event: BackendEvent) => void
type Failure = Extract<BackendEvent, { type: 'failed' }>

/** A call that can be stopped. */
export interface OpenCall {
  abort (): void
}

export class BackendClient {
  private readonly _agent = new Agent({ connections: CONNECTIONS_PER_WORKER, connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: KEEP_ALIVE_MS, headersTimeout: 0, bodyTimeout: 0 })

  /** Starts a call; the listener gets chunks and one final event, unless the call is aborted. */
  call (address: string, backendRequest: BackendRequest, timeoutMs: number, listener: Listener): OpenCall {
    const controller = new AbortController()
    let isOver = false
    const finish: Listener = event => {
      if (isOver) return
      if (event.type !== 'chunk') {
        isOver = true
        clearTimeout(timer)
      }
      listener(event)
    }
    const timer = setTimeout(() => {
      finish(toFailure({ detail: 'timed out' }))
      controller.abort()
    }, Math.min(timeoutMs, 2 ** 31 - 1))
    void this._run(`http://${address}`, backendRequest, controller.signal, finish).catch((error: unknown) => finish(toFailure(describeError(error))))
    return {
      abort: () => {
        isOver = true
        clearTimeout(timer)
        controller.abort()
      }
    }
  }

  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _run (base: string, backendRequest: BackendRequest, signal: AbortSignal, finish: Listener): Promise<void> {
    switch (backendRequest.type) {
      case 'model': return await this._runModel(base, backendRequest, signal, finish)
      case 'service': return await this._runService(base, backendRequest, signal, finish)
      case 'lookup': return await this._lookup(base, backendRequest.idempotencyKey, signal, finish)
      case 'status': return await this._readStatus(base, signal, finish)
      case 'cacheEvents': return await this._readCacheEvents(base, backendRequest.fromSequence, signal, finish)
      case 'release': return await this._post(base, ENGINE_PATHS.release, { session: backendRequest.session }, signal, finish)
      case 'transfer': return await this._post(base, ENGINE_PATHS.importCache, { session: backendRequest.session, from: backendRequest.fromAddress }, signal, finish)
      case 'load': return await this._post(base, ENGINE_PATHS.load, { model: backendRequest.model, fencing_number: backendRequest.fencingNumber }, signal, finish)
    }
  }

  private async _runModel (base: string, engineRequest: EngineRequest, signal: AbortSignal, finish: Listener): Promise<void> {
    const response = await request(`${base}${ENGINE_PATHS.completions}`, {
      method: 'POST', headers: JSON_HEADERS, body: JSON.stringify(toEngineBody(engineRequest)), signal, dispatcher: this._agent
    })
    if (response.statusCode !== 200) {
      await response.body.dump()
      finish(toRefusal(response))
      return
    }
    const stream = new CompletionStream(finish)
    const decoder = new TextDecoder()
    for await (const bytes of response.body) stream.push(decoder.decode(bytes as Uint8Array, { stream: true }))
    stream.end()
  }

  /** Uses a connection of its own: a kept one may break while the request is written, and nobody could tell. */
  private async _runService (base: string, serviceRequest: ServiceRequest, signal: AbortSignal, finish: Listener): Promise<void> {
    const client = new Client(base, { connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })
    try {
      const headers = serviceRequest.idempotencyKey === undefined ? JSON_HEADERS : { ...JSON_HEADERS, [IDEMPOTENCY_HEADER]: serviceRequest.idempotencyKey }
      const response = await client.request({ path: serviceRequest.path, method: 'POST', headers, body: JSON.stringify(serviceRequest.body ?? null), signal })
      if (response.headers[NOT_RUN_HEADER] === 'true') {
        await response.body.dump()
        finish(toRefusal(response))
        return
      }
      finish({ type: 'serviceDone', result: { type: 'service', status: response.statusCode, body: parseBody(await response.body.text()) } })
    } finally {
      void client.destroy()
    }
  }

  private async _lookup (base: string, idempotencyKey: string, signal: AbortSignal, finish: Listener): Promise<void> {
    const response = await request(`${base}${SERVICE_LOOKUP_PATH}${encodeURIComponent(idempotencyKey)}`, { signal, dispatcher: this._agent })
    const answer = parseBody(await response.body.text()) as { status?: number, body?: unknown } | null
    if (response.statusCode === 200 && typeof answer?.status === 'number') finish({ type: 'serviceDone', result: { type: 'service', status: answer.status, body: answer.body } })
    else finish(toFailure({ isUntouched: true, detail: 'the key is not known' }))
  }

  private async _readStatus (base: string, signal: AbortSignal, finish: Listener): Promise<void> {
    const response = await request(`${base}${ENGINE_PATHS.status}`, { signal, dispatcher: this._agent })
    const status = engineStatusSchema.safeParse(parseBody(await response.body.text()))
    const isLeaving = response.headers[LEAVING_HEADER] === 'true'
    if (status.success && !isLeaving) finish({ type: 'status', status: status.data })
    else finish(toFailure({ isUntouched: true, isLeaving, detail: 'no load report' }))
  }

  private async _readCacheEvents (base: string, fromSequence: number, signal: AbortSignal, finish: Listener): Promise<void> {
    const response = await request(`${base}${ENGINE_PATHS.events}?from=${fromSequence}`, { signal, dispatcher: this._agent })
    const answer = cacheEventsSchema.safeParse(parseBody(await response.body.text()))
    if (answer.success) finish({ type: 'cacheEvents', events: answer.data.events })
    else finish(toFailure({ isUntouched: true, detail: 'no cache events' }))
  }

  private async _post (base: string, path: string, body: unknown, signal: AbortSignal, finish: Listener): Promise<void> {
    const response = await request(`${base}${path}`, { method: 'POST', headers: JSON_HEADERS, body: JSON.stringify(body), signal, dispatcher: this._agent })
    await response.body.dump()
    if (response.statusCode < 300) finish({ type: 'ok' })
    else finish(toRefusal(response))
  }
}

/** Reads a chat-completions stream. */
class CompletionStream {
  private readonly _reader = new EventStreamReader()
  private _promptTokens = 0
  private _cachedTokens = 0
  private _tokens = 0
  private _isDone = false

  constructor (private readonly _finish: Listener) {}

  push (text: string): void {
    for (const event of this._reader.push(text)) this._take(event.data)
  }

  /** The connection has ended; without the end mark the answer is not whole. */
  end (): void {
    if (!this._isDone) this._finish(toFailure({ isConnectionLost: true, detail: 'the stream ended before its end mark' }))
  }

  private _take (data: string): void {
    if (data === '[DONE]') {
      this._isDone = true
      this._finish({ type: 'modelDone', result: { type: 'model', text: '', promptTokens: this._promptTokens, completionTokens: this._tokens, cachedTokens: this._cachedTokens } })
      return
    }
    const chunk = engineChunkSchema.safeParse(parseBody(data))
    if (!chunk.success) return
    const { usage, choices, tokens } = chunk.data
    if (usage !== undefined && usage !== null) {
      this._promptTokens = usage.prompt_tokens
      this._cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0
    }
    const text = choices.at(0)?.delta.content ?? ''
    if (text === '') return
    const count = tokens ?? Math.max(1, Math.round(text.length / CHARACTERS_PER_TOKEN))
    this._tokens += count
    this._finish({ type: 'chunk', text, tokens: count })
  }
}

function toRefusal (response: Dispatcher.ResponseData): Failure {
  const isNotRun = response.headers[NOT_RUN_HEADER] === 'true'
  return toFailure({ isUntouched: isNotRun, isLeaving: response.headers[LEAVING_HEADER] === 'true', detail: `status ${response.statusCode}` })
}

function toFailure (facts: Partial<Omit<Failure, 'type'>>): Failure {
  return { type: 'failed', isUntouched: false, isConnectionLost: false, isLeaving: false, detail: '', ...facts }
}

function parseBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
