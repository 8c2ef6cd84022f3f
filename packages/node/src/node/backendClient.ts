/** HTTP client for model engines and tool services. */
import { Agent } from 'undici'
import type { BackendEvent, BackendRequest, EngineRequest, ServiceRequest } from '@trefoilshunt/core'
import { cacheEventsSchema, ENGINE_PATHS, engineChunkSchema, engineStatusSchema, EventStreamReader, IDEMPOTENCY_HEADER, LEAVING_HEADER, NOT_RUN_HEADER, SERVICE_LOOKUP_PATH, toEngineBody } from '@trefoilshunt/protocol'
import { type BackendAnswer, fetchAnswer } from './backendAnswer.js'
import { BoundedClient, createBoundedPool, LimitExceededError } from './boundedClient.js'
import { classifyError } from './httpErrors.js'

const CONNECTIONS_PER_WORKER = 64
const CONNECT_TIMEOUT_MS = 1_500
const KEEP_ALIVE_MS = 4_000
/** Estimates the tokens of a chunk for which the engine sends no count. */
const CHARACTERS_PER_TOKEN = 4

type Listener = (event: BackendEvent) => void
type Failure = Extract<BackendEvent, { type: 'failed' }>

/** A call in progress. */
export interface OpenCall {
  /** Closes the connection; the listener gets no further event. */
  abort (): void
}

/** Sends the core's requests to backend servers and reports the answers as `BackendEvent`s. */
export class BackendClient {
  private readonly _agent = new Agent({
    factory: origin => createBoundedPool(origin, { connections: CONNECTIONS_PER_WORKER, connectTimeoutMs: CONNECT_TIMEOUT_MS, keepAliveTimeoutMs: KEEP_ALIVE_MS })
  })

  /**
   * Starts a call to `address` (host:port). The listener gets any number of `chunk` events and one final event, which is `failed`
   * after `timeoutMs` or on any error. It gets nothing more once the call is aborted.
   */
  call (address: string, backendRequest: BackendRequest, timeoutMs: number, listener: Listener): OpenCall {
    const controller = new AbortController()
    let isOver = false
    const emit: Listener = event => {
      if (isOver) return
      if (event.type !== 'chunk') {
        isOver = true
        clearTimeout(timer)
      }
      listener(event)
    }
    const timer = setTimeout(() => {
      emit(toFailure({ detail: 'timed out' }))
      controller.abort()
    }, Math.min(timeoutMs, 2 ** 31 - 1))
    void this._run(`http://${address}`, backendRequest, controller.signal, emit).catch((error: unknown) => emit(toFailure(classifyError(error))))
    return {
      abort: () => {
        isOver = true
        clearTimeout(timer)
        controller.abort()
      }
    }
  }

  /** Closes the pooled connections; calls that use them fail. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _run (baseUrl: string, backendRequest: BackendRequest, signal: AbortSignal, emit: Listener): Promise<void> {
    switch (backendRequest.type) {
      case 'model': return await this._runModel(baseUrl, backendRequest, signal, emit)
      case 'service': return await this._runService(baseUrl, backendRequest, signal, emit)
      case 'lookup': return await this._lookup(baseUrl, backendRequest.idempotencyKey, signal, emit)
      case 'status': return await this._readStatus(baseUrl, signal, emit)
      case 'cacheEvents': return await this._readCacheEvents(baseUrl, backendRequest.fromSequence, signal, emit)
      case 'release': return await this._post(baseUrl, ENGINE_PATHS.release, { session: backendRequest.session }, signal, emit)
      case 'transfer': return await this._post(baseUrl, ENGINE_PATHS.importCache, { session: backendRequest.session, from: backendRequest.fromAddress }, signal, emit)
      case 'load': return await this._post(baseUrl, ENGINE_PATHS.load, { model: backendRequest.model, fencing_number: backendRequest.fencingNumber }, signal, emit)
    }
  }

  private async _runModel (baseUrl: string, engineRequest: EngineRequest, signal: AbortSignal, emit: Listener): Promise<void> {
    const stream = new CompletionStream(emit)
    const answer = await fetchAnswer(this._agent, {
      origin: baseUrl,
      method: 'POST',
      path: ENGINE_PATHS.completions,
      body: JSON.stringify(toEngineBody(engineRequest)),
      signal,
      onText: text => { stream.push(text) },
      isComplete: () => stream.isDone
    })
    if (answer.status !== 200) emit(toRefusal(answer))
    else stream.end()
  }

  /**
   * Opens a new connection for each call. A kept-alive connection may break while the request is written, and the client could
   * not determine whether the service received it.
   */
  private async _runService (baseUrl: string, serviceRequest: ServiceRequest, signal: AbortSignal, emit: Listener): Promise<void> {
    const client = new BoundedClient(baseUrl, { connectTimeoutMs: CONNECT_TIMEOUT_MS, keepAliveTimeoutMs: KEEP_ALIVE_MS })
    try {
      const headers = serviceRequest.idempotencyKey === undefined ? undefined : { [IDEMPOTENCY_HEADER]: serviceRequest.idempotencyKey }
      const answer = await fetchAnswer(client, { origin: baseUrl, method: 'POST', path: serviceRequest.path, headers, body: JSON.stringify(serviceRequest.body ?? null), signal })
      if (answer.headers[NOT_RUN_HEADER] === 'true') emit(toRefusal(answer))
      else emit({ type: 'serviceDone', result: { type: 'service', status: answer.status, body: parseBody(answer.text) } })
    } finally {
      void client.destroy()
    }
  }

  /** Queries the result of an earlier call by its idempotency key; every answer without a result is reported as a failure. */
  private async _lookup (baseUrl: string, idempotencyKey: string, signal: AbortSignal, emit: Listener): Promise<void> {
    const { status, text } = await fetchAnswer(this._agent, { origin: baseUrl, method: 'GET', path: `${SERVICE_LOOKUP_PATH}${encodeURIComponent(idempotencyKey)}`, signal })
    const result = parseBody(text) as { status?: number, body?: unknown } | null
    if (status === 200 && typeof result?.status === 'number') emit({ type: 'serviceDone', result: { type: 'service', status: result.status, body: result.body } })
    else emit(toFailure({ isUntouched: true, detail: 'the service has no result for this idempotency key' }))
  }

  private async _readStatus (baseUrl: string, signal: AbortSignal, emit: Listener): Promise<void> {
    const answer = await fetchAnswer(this._agent, { origin: baseUrl, method: 'GET', path: ENGINE_PATHS.status, signal })
    const status = engineStatusSchema.safeParse(parseBody(answer.text))
    const isLeaving = answer.headers[LEAVING_HEADER] === 'true'
    if (status.success && !isLeaving) emit({ type: 'status', status: status.data })
    else emit(toFailure({ isUntouched: true, isLeaving, detail: 'no valid status report' }))
  }

  private async _readCacheEvents (baseUrl: string, fromSequence: number, signal: AbortSignal, emit: Listener): Promise<void> {
    const { text } = await fetchAnswer(this._agent, { origin: baseUrl, method: 'GET', path: `${ENGINE_PATHS.events}?from=${fromSequence}`, signal })
    const events = cacheEventsSchema.safeParse(parseBody(text))
    if (events.success) emit({ type: 'cacheEvents', events: events.data.events })
    else emit(toFailure({ isUntouched: true, detail: 'no valid list of cache events' }))
  }

  private async _post (baseUrl: string, path: string, body: unknown, signal: AbortSignal, emit: Listener): Promise<void> {
    const answer = await fetchAnswer(this._agent, { origin: baseUrl, method: 'POST', path, body: JSON.stringify(body), signal })
    if (answer.status < 300) emit({ type: 'ok' })
    else emit(toRefusal(answer))
  }
}

/** Parses the server-sent events of a chat-completions stream and emits backend events. */
class CompletionStream {
  private readonly _reader = new EventStreamReader()
  private _promptTokens = 0
  private _cachedTokens = 0
  private _completionTokens = 0
  private _isDone = false

  constructor (private readonly _emit: Listener) {}

  /** True after the `[DONE]` event; later events are ignored. */
  get isDone (): boolean {
    return this._isDone
  }

  push (text: string): void {
    for (const event of this._reader.push(text)) {
      if (!this._isDone) this._handleData(event.data)
    }
    if (this._reader.isOverlong) throw new LimitExceededError('an event without end')
  }

  /** Handles the end of the connection; without a preceding `[DONE]` event the answer is incomplete and the call has failed. */
  end (): void {
    if (!this._isDone) this._emit(toFailure({ isConnectionLost: true, detail: 'the stream ended before [DONE]' }))
  }

  private _handleData (data: string): void {
    if (data === '[DONE]') {
      this._isDone = true
      this._emit({ type: 'modelDone', result: { type: 'model', text: '', promptTokens: this._promptTokens, completionTokens: this._completionTokens, cachedTokens: this._cachedTokens } })
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
    const tokenCount = tokens ?? Math.max(1, Math.round(text.length / CHARACTERS_PER_TOKEN))
    this._completionTokens += tokenCount
    this._emit({ type: 'chunk', text, tokens: tokenCount })
  }
}

/** The failure for an error status; the headers show whether the request was run and whether the back end is leaving. */
function toRefusal ({ status, headers, isAttributed }: BackendAnswer): Failure {
  const isNotRun = isAttributed && headers[NOT_RUN_HEADER] === 'true'
  return toFailure({ isUntouched: isNotRun, isLeaving: headers[LEAVING_HEADER] === 'true', detail: `status ${status}` })
}

function toFailure (fields: Partial<Omit<Failure, 'type'>>): Failure {
  return { type: 'failed', isUntouched: false, isConnectionLost: false, isLeaving: false, detail: '', ...fields }
}

/** Parses JSON; text that is not JSON is returned as a string. */
function parseBody (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
