/** HTTP clients that limit the bytes which a backend server may send on a connection, in answers and besides them. */
import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher, Pool } from 'undici'
import { ByteCollector } from './byteCollector.js'

/** Bytes without the end of a head, a part of a body or the end of an answer: endless heads, chunk extensions, blank lines between answers. */
const MAX_BYTES_WITHOUT_PROGRESS = 256 * 1024
/** Informational heads (status 1xx) before the head of one answer. */
const MAX_INFORMATIONAL_HEADS = 16
const FIRST_FINAL_STATUS = 200
/** Bytes of one answer with its heads. */
const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024 * 1024

/** A server sent more than a limit allows, and its connection was closed. */
export class LimitExceededError extends Error {
  readonly code = 'LIMIT_EXCEEDED'
}

/** The connection ended before the answer did. */
export class ConnectionLostError extends Error {
  readonly code = 'CONNECTION_LOST'
}

export interface BoundedPoolOptions {
  /** Most connections of the pool. */
  connections: number
  connectTimeoutMs: number
  keepAliveTimeoutMs: number
  /** Subtracted from the keep-alive timeout that the server states. */
  keepAliveMarginMs?: number
  /** Largest answer, its heads included; a larger one breaks its connection. */
  maxAnswerBytes?: number
  /** Called when a connection is closed because it received too many bytes while no request was in progress on it. */
  onStrayBytes?: (detail: string) => void
}

/**
 * A pool of connections to one server, each with a `BoundedClient`. Calls have no timeout of their own.
 *
 * @example
 * const pool = createBoundedPool('http://127.0.0.1:8000', { connections: 8, connectTimeoutMs: 600, keepAliveTimeoutMs: 4_000 })
 * pool.dispatch({ method: 'GET', path: '/' }, handler)
 */
export function createBoundedPool (origin: string | URL, options: BoundedPoolOptions): Pool {
  return new Pool(origin, { connections: options.connections, factory: poolOrigin => new BoundedClient(poolOrigin, options) })
}

/** A client with one connection at a time. A connection that exceeds a limit is closed, and the call in progress on it fails. */
export class BoundedClient extends Client {
  private readonly _guard: ConnectionGuard

  constructor (origin: URL | string, { connectTimeoutMs, keepAliveTimeoutMs, keepAliveMarginMs, maxAnswerBytes = DEFAULT_MAX_ANSWER_BYTES, onStrayBytes }: Omit<BoundedPoolOptions, 'connections'>) {
    const guard = new ConnectionGuard(maxAnswerBytes, onStrayBytes)
    const connect = buildConnector({ timeout: connectTimeoutMs })
    super(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: keepAliveTimeoutMs,
      keepAliveTimeoutThreshold: keepAliveMarginMs,
      connect: (connectOptions, callback) => connect(connectOptions, (...result) => {
        if (result[0] === null) guard.watch(result[1])
        callback(...result)
      })
    })
    this._guard = guard
  }

  override dispatch (options: BoundedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    options[onGuard]?.(this._guard)
    return super.dispatch(options, handler)
  }
}

/** Passes the guard of the connection that serves a request to the request's handler. */
const onGuard = Symbol('onGuard')
type BoundedDispatchOptions = Dispatcher.DispatchOptions & { [onGuard]?: (guard: ConnectionGuard) => void }

/**
 * Sends a request through a `BoundedClient`, a pool of `createBoundedPool`, or an agent of such pools. The handler gets no informational heads.
 *
 * @example
 * dispatchBounded(pool, { method: 'GET', path: '/' }, handler)
 */
export function dispatchBounded (dispatcher: Dispatcher, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
  const guardedHandler = new GuardedHandler(handler)
  const boundedOptions: BoundedDispatchOptions = { ...options, [onGuard]: guard => guardedHandler.attach(guard) }
  dispatcher.dispatch(boundedOptions, guardedHandler)
}

/** What the handlers of `dispatchBounded` get as the context of `onRequestStart`. */
export interface CallContext {
  /** True until an answer has arrived on the connection. */
  isFirstOnConnection: boolean
}

/** Counts the bytes that the current connection of a client has received since the last progress of an answer. */
class ConnectionGuard {
  private _socket: Socket | undefined
  private _progressAtBytes = 0
  private _answerAtBytes = 0
  private _isInCall = false
  private _hasAnswered = false
  /** True once the current connection was reset and Node.js reported an orderly end. */
  private _isReset = false

  constructor (private readonly _maxAnswerBytes: number, private readonly _onStrayBytes?: (detail: string) => void) {}

  /** Must be called before the client adds its own listeners, so that bytes are counted before they are parsed. */
  watch (socket: Socket): void {
    this._socket = socket
    this._progressAtBytes = 0
    this._answerAtBytes = 0
    this._hasAnswered = false
    this._isReset = false
    socket.on('readable', () => this._check(socket))
    socket.once('end', () => { if (socket === this._socket) this._isReset = isDisconnected(socket) })
  }

  /** True once an answer has ended on the current connection. */
  get hasAnswered (): boolean {
    return this._hasAnswered
  }

  beginAnswer (): void {
    this._isInCall = true
    this._answerAtBytes = this._receivedBytes
    this.markProgress()
  }

  endAnswer (): void {
    this._isInCall = false
    this._hasAnswered = true
    this.markProgress()
  }

  /** Why the current connection failed; undefined while it works and after an orderly end. */
  get failure (): Error | undefined {
    const socket = this._socket
    if (socket?.errored != null) return socket.errored
    if (this._isReset) return new ConnectionLostError('the connection was reset')
    return socket?.destroyed === true && !socket.readableEnded ? new ConnectionLostError('the connection was closed') : undefined
  }

  markProgress (): void {
    this._progressAtBytes = this._receivedBytes
  }

  private get _receivedBytes (): number {
    return this._socket?.bytesRead ?? 0
  }

  private _check (socket: Socket): void {
    if (socket !== this._socket) return
    const detail = socket.bytesRead - this._progressAtBytes > MAX_BYTES_WITHOUT_PROGRESS
      ? 'bytes that belong to no answer'
      : socket.bytesRead - this._answerAtBytes > this._maxAnswerBytes ? 'the answer is too large' : undefined
    if (detail === undefined) return
    if (!this._isInCall) this._onStrayBytes?.(detail)
    socket.destroy(new LimitExceededError(detail))
  }
}

/**
 * True if the connection does not exist any more. Must be called while the end of the connection is reported, and the address must not
 * have been read before: Node.js caches it.
 *
 * A reset that arrives together with the last bytes is reported as an end (libuv takes the hang-up after a partial read for one). After an
 * orderly end the connection still exists in the other direction.
 */
function isDisconnected (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

/** Reports the progress of one answer to the guard of its connection and passes everything on, except informational heads. */
class GuardedHandler implements Dispatcher.DispatchHandler {
  private _informationalHeadCount = 0
  private _guard: ConnectionGuard | undefined
  /** Parts of the body that one read has brought and that are not passed on yet. */
  private readonly _received = new ByteCollector()
  private _isFlushDue = false

  constructor (private readonly _handler: Dispatcher.DispatchHandler) {}

  attach (guard: ConnectionGuard): void {
    this._guard = guard
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    const context: CallContext = { isFirstOnConnection: this._guard?.hasAnswered !== true }
    this._guard?.beginAnswer()
    this._handler.onRequestStart?.(controller, context)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[]>, statusMessage?: string): void {
    if (status < FIRST_FINAL_STATUS) {
      if (++this._informationalHeadCount > MAX_INFORMATIONAL_HEADS) controller.abort(new LimitExceededError('informational heads without end'))
      return
    }
    this._guard?.markProgress()
    this._handler.onResponseStart?.(controller, status, headers, statusMessage)
  }

  /** Small chunks are passed on together, once all bytes of the read are parsed: each one would cost its receivers as much as a large one. */
  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._guard?.markProgress()
    this._received.add(chunk)
    if (this._isFlushDue) return
    this._isFlushDue = true
    queueMicrotask(() => {
      const failure = this._flush(controller)
      if (failure !== undefined) controller.abort(failure)
    })
  }

  /** Passes on what was received. Returns what the handler throws, which fails the call. */
  private _flush (controller: Dispatcher.DispatchController): Error | undefined {
    this._isFlushDue = false
    if (this._received.byteCount === 0) return undefined
    try {
      this._handler.onResponseData?.(controller, this._received.concat())
    } catch (error) {
      return error instanceof Error ? error : new Error(String(error))
    }
  }

  onResponseEnd (controller: Dispatcher.DispatchController, trailers: Record<string, string | string[]>): void {
    // undici takes a reset for the end of an answer that ends with its connection.
    const failure = this._flush(controller) ?? this._guard?.failure
    if (failure !== undefined) {
      this.onResponseError(controller, failure)
      return
    }
    this._guard?.endAnswer()
    this._handler.onResponseEnd?.(controller, trailers)
  }

  onResponseError (controller: Dispatcher.DispatchController, error: Error): void {
    this._flush(controller)
    this._guard?.endAnswer()
    this._handler.onResponseError?.(controller, error)
  }
}
