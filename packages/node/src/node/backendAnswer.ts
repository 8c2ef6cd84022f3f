/** Fetches answers of backend servers as text, within limits of size; `signal` limits the time. */
import { REQUEST_ID_HEADER } from '@trefoilshunt/protocol'
import type { Dispatcher } from 'undici'
import { AnswerDrain } from './answerDrain.js'
import { type CallContext, dispatchBounded, LimitExceededError } from './boundedClient.js'

/** Largest text of an answer that is not passed on as it arrives. */
const MAX_TEXT_BYTES = 8 * 1024 * 1024
const JSON_HEADERS = { 'content-type': 'application/json' }
const OK_STATUS = 200

export interface BackendAnswer {
  status: number
  headers: Record<string, string | string[]>
  /** The body; empty if it was passed to `onText`, or for an error status of which it was too large. */
  text: string
  /** False if the answer may repeat one to an earlier request: it names no request and isn't the first on its connection. */
  isAttributed: boolean
}

export interface FetchOptions {
  origin: string
  method: Dispatcher.HttpMethod
  path: string
  headers?: Record<string, string>
  body?: string
  signal: AbortSignal
  /** Gets the body of an answer with status 200 as it arrives. What it throws fails the call. */
  onText?: (text: string) => void
  /** True once the rest of the body is not needed. It is then received within narrow limits. */
  isComplete?: () => boolean
}

/** Requests are told apart on one connection, so that ids need to be unique within the process only. */
let lastRequestId = 0

/**
 * Rejects if the connection fails, a limit is exceeded before the answer is complete, or `signal` is aborted.
 *
 * @example
 * const { status, text } = await fetchAnswer(agent, { origin, method: 'GET', path: '/status', signal })
 */
export async function fetchAnswer (dispatcher: Dispatcher, options: FetchOptions): Promise<BackendAnswer> {
  const { origin, method, path, headers, body, signal } = options
  signal.throwIfAborted()
  const requestId = String(++lastRequestId)
  return await new Promise((resolve, reject) => {
    const handler = new AnswerHandler(options, requestId, resolve, reject)
    signal.addEventListener('abort', () => handler.abort(new Error('aborted')), { once: true })
    dispatchBounded(dispatcher, { origin, method, path, headers: { ...JSON_HEADERS, ...headers, [REQUEST_ID_HEADER]: requestId }, body }, handler)
  })
}

class AnswerHandler implements Dispatcher.DispatchHandler {
  private readonly _decoder = new TextDecoder()
  private readonly _answer: BackendAnswer = { status: 0, headers: {}, text: '', isAttributed: false }
  private _controller: Dispatcher.DispatchController | undefined
  private _textBytes = 0
  private _abortReason: Error | undefined
  private _drain: AnswerDrain | undefined
  private _isFirstOnConnection = false

  constructor (
    private readonly _options: FetchOptions,
    private readonly _requestId: string,
    private readonly _resolve: (answer: BackendAnswer) => void,
    private readonly _reject: (error: Error) => void
  ) {}

  abort (reason: Error): void {
    this._abortReason = reason
    this._controller?.abort(reason)
  }

  onRequestStart (controller: Dispatcher.DispatchController, { isFirstOnConnection }: CallContext): void {
    this._controller = controller
    this._isFirstOnConnection = isFirstOnConnection
    if (this._abortReason !== undefined) controller.abort(this._abortReason)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[]>): void {
    const answeredId = headers[REQUEST_ID_HEADER]
    if (answeredId !== undefined && answeredId !== this._requestId) {
      controller.abort(new Error('an answer to another request'))
      return
    }
    this._answer.isAttributed = answeredId !== undefined || this._isFirstOnConnection
    this._answer.status = status
    this._answer.headers = headers
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this._drain !== undefined) {
      this._drain.add(chunk.length)
      return
    }
    const { onText, isComplete } = this._options
    const text = this._decoder.decode(chunk, { stream: true })
    if (onText !== undefined && this._answer.status === OK_STATUS) {
      onText(text)
      if (isComplete?.() === true) this._finishEarly(controller)
      return
    }
    this._textBytes += chunk.length
    this._answer.text += text
    if (this._textBytes <= MAX_TEXT_BYTES) return
    this._answer.text = ''
    // The status of an error is the answer; the rest of its body is not needed.
    if (this._answer.status >= 400) this._finishEarly(controller)
    else controller.abort(new LimitExceededError('the answer is too large'))
  }

  onResponseEnd (): void {
    this._drain?.end()
    this._resolve(this._answer)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    this._drain?.end()
    this._reject(error)
  }

  private _finishEarly (controller: Dispatcher.DispatchController): void {
    this._drain = new AnswerDrain(controller)
    this._resolve(this._answer)
  }
}
