/** Passes what arrives on a connection to Node.js's HTTP parser in pieces, and stops while its requests must wait unread. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { steadyNowMs } from './steadyClock.js'

/**
 * Node.js parses whole reads of up to 64 KB, which hold over a thousand requests, and the objects of each request take some KB. What one piece holds
 * beyond the limit on open requests waits.
 */
const PIECE_BYTES = 4 * 1024
/**
 * Time for one connection in each turn of the event loop; the other connections, and the timers that close them, wait meanwhile. A body in chunks of one byte
 * takes about 30 ms for each 64 KB, and requests that are answered at once take more.
 */
const MAX_TURN_MS = 1
/** Requests that wait unread for this long, while none before them is answered, never run. Ordinary answers of plain workers take less. */
const MAX_UNREAD_MS = 750
/** Time for the caller to receive the last answer. Closing a connection with unread bytes makes the kernel reset it, and an answer on its way may be lost. */
const LINGER_MS = 500

/** A request that was parsed. Exactly one of the functions is called, unless its connection is closed before. */
export interface ParsedRequest {
  start: () => void
  drop: () => void
}

/**
 * One for each connection of an `http.Server`, created in its event `connection`. Requests beyond the limit wait unread, in the buffers of the kernel,
 * until earlier ones are answered.
 *
 * @example
 * server.on('connection', socket => readers.set(socket, new ConnectionReader(socket, 64)))
 */
export class ConnectionReader {
  /** Requests that were begun, those of the queue included. */
  private _openCount = 0
  private readonly _queue: Array<{ response: ServerResponse, request: ParsedRequest }> = []
  private _last: ServerResponse | undefined
  private _holdCount = 0
  private _rest: Buffer | undefined
  private _isFeeding = false
  /** True until the next tick or, once the time of the current turn is used up, the next turn of the event loop. */
  private _isYielding = false
  /** When the time of this connection in the current turn of the event loop is used up; absent while it has done nothing in it. */
  private _turnEndMs: number | undefined
  private _isClosing = false
  private _stuckTimer: NodeJS.Timeout | undefined
  private readonly _parse: Array<(chunk: Buffer) => void>

  /**
   * `onDropped` is called when requests beyond the limit have waited too long. They never run; those that are open are answered, and the connection is closed
   * after the last answer.
   */
  constructor (private readonly _socket: Socket, private readonly _maxOpenRequests: number, private readonly _onDropped: () => void = () => {}) {
    this._parse = _socket.listeners('data') as Array<(chunk: Buffer) => void>
    _socket.removeAllListeners('data')
    // A listener for data makes Node.js pass on what it reads in place of parsing it by itself.
    _socket.on('data', (chunk: Buffer) => this._receive(chunk))
    // Node.js resumes a connection whenever the caller has read what was written.
    _socket.on('resume', () => {
      if (this.isHeld) _socket.pause()
    })
    _socket.on('close', () => clearTimeout(this._stuckTimer))
  }

  /** Requests whose answers are not complete. */
  get openCount (): number {
    return this._openCount
  }

  /** True while nothing more is parsed. */
  get isHeld (): boolean {
    return this._isClosing || this._isYielding || this._holdCount > 0 || this._openCount >= this._maxOpenRequests
  }

  /** True if no later request of the connection was parsed. */
  isLast (response: ServerResponse): boolean {
    return this._last === response
  }

  /**
   * Counts a request until its answer is complete or its connection is closed. `start` is called at once or, beyond the limit, when enough earlier requests
   * have been answered; `drop` in place of it if it has waited too long.
   */
  begin (response: ServerResponse, request: ParsedRequest): void {
    this._openCount++
    this._last = response
    if (this._openCount > this._maxOpenRequests) this._queue.push({ response, request })
    else request.start()
    if (this.isHeld) this._socket.pause()
    response.once('close', () => {
      this._openCount--
      this._startQueued()
      clearTimeout(this._stuckTimer)
      this._stuckTimer = undefined
      this._continue()
      this._watch()
      if (this._isClosing && this._openCount === 0) this._socket.destroySoon()
    })
  }

  /** Stops parsing until the returned function is called. */
  hold (): () => void {
    this._holdCount++
    this._socket.pause()
    let isHolding = true
    return () => {
      if (!isHolding) return
      isHolding = false
      this._holdCount--
      this._continue()
    }
  }

  /** Parses nothing from now on and closes the connection after its last answer. */
  closeAfterAnswer (): void {
    if (this._isClosing) return
    this._isClosing = true
    this._rest = undefined
    const socket = this._socket
    socket.pause()
    // Node.js calls this after an answer with `Connection: close`, and would close the connection at once.
    socket.destroySoon = () => {
      socket.end()
      setTimeout(() => socket.destroy(), LINGER_MS).unref()
    }
  }

  private _receive (chunk: Buffer): void {
    if (this._isClosing) return
    this._rest = this._rest === undefined ? chunk : Buffer.concat([this._rest, chunk])
    this._feed()
    this._watch()
  }

  private _startQueued (): void {
    for (;;) {
      const queuedCount = this._queue.length
      // Responses of a closed connection are closed one after the other.
      if (queuedCount === 0 || this._socket.destroyed || this._openCount - queuedCount >= this._maxOpenRequests) return
      if (this._isTurnOver()) return this._yield(setImmediate)
      const next = this._queue.shift()
      if (next?.response.closed === false) next.request.start()
    }
  }

  private _watch (): void {
    if (this._stuckTimer !== undefined || this._isClosing || (this._rest === undefined && this._queue.length === 0) || this._openCount < this._maxOpenRequests) return
    this._stuckTimer = setTimeout(() => {
      this._onDropped()
      this.closeAfterAnswer()
      for (const { request } of this._queue.splice(0)) request.drop()
    }, MAX_UNREAD_MS)
  }

  /** Starts the turn if this is the first call in it. */
  private _isTurnOver (): boolean {
    if (this._turnEndMs !== undefined) return steadyNowMs() >= this._turnEndMs
    this._turnEndMs = steadyNowMs() + MAX_TURN_MS
    setImmediate(() => { this._turnEndMs = undefined })
    return false
  }

  private _continue (): void {
    if (this.isHeld || this._socket.destroyed) return
    this._feed()
    this._watch()
    if (!this.isHeld) this._socket.resume()
  }

  private _yield (schedule: (resume: () => void) => void): void {
    if (this._isYielding) return
    this._isYielding = true
    this._socket.pause()
    schedule(() => {
      this._isYielding = false
      this._startQueued()
      this._continue()
    })
  }

  private _feed (): void {
    if (this._isFeeding) return
    this._isFeeding = true
    try {
      while (this._rest !== undefined && !this.isHeld && !this._socket.destroyed) {
        if (this._isTurnOver()) return this._yield(setImmediate)
        const piece = this._rest.subarray(0, PIECE_BYTES)
        this._rest = piece.length === this._rest.length ? undefined : this._rest.subarray(PIECE_BYTES)
        const openCount = this._openCount
        for (const parse of this._parse) parse.call(this._socket, piece)
        if (this._rest === undefined) return
        // The body of a new request is passed on from the next tick; Node.js would keep the objects of all its chunks until then.
        if (this._openCount > openCount) this._yield(process.nextTick)
      }
    } finally {
      this._isFeeding = false
    }
  }
}
