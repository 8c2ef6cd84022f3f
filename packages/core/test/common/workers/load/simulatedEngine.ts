/** A model engine with continuous batching, a bounded queue and a prefix cache, in virtual time. */
import type { PromptPart } from '@trefoilshunt/core'
import type { EventQueue } from '@trefoilshunt/testing'

export interface EngineModel {
  slots: number
  queueLength: number
  kvTokens: number
  stepMs: number
  stepMsPerRequest: number
  prefillTokensPerMs: number
  /** Prompt tokens read between two tokens of the running requests. */
  chunkTokens: number
  /** Fixed time before the first token of a request. */
  setupMs: number
}

/** Figures of the users' data sheet for their grown sites. */
export const GROWN_ENGINE: EngineModel = {
  slots: 8, queueLength: 24, kvTokens: 180_762, stepMs: 1.18, stepMsPerRequest: 0.0154, prefillTokensPerMs: 471, chunkTokens: 4_096, setupMs: 11.4
}

export interface EngineRequest {
  prompt: readonly PromptPart[]
  outputTokens: number
  /** 0 is admitted first. */
  urgency: number
  onFirstToken: () => void
  onEnd: () => void
  /** The queue was full. */
  onRefused: () => void
}

interface Running {
  request: EngineRequest
  missingTokens: number
  producedTokens: number
}

export class SimulatedEngine {
  /** Prompt tokens read, and how many of them belonged to first parts, which requests share. */
  readTokens = 0
  readSharedTokens = 0
  refusedCount = 0
  private readonly _running: Running[] = []
  private readonly _queue: EngineRequest[] = []
  private readonly _cache = new Map<string, number>()
  private _isStepping = false

  constructor (private readonly _events: EventQueue, private readonly _model: EngineModel) {}

  submit (request: EngineRequest): void {
    if (this._queue.length >= this._model.queueLength) {
      this.refusedCount++
      request.onRefused()
      return
    }
    const index = this._queue.findIndex(({ urgency }) => urgency > request.urgency)
    if (index < 0) this._queue.push(request)
    else this._queue.splice(index, 0, request)
    this._start()
  }

  /** Removes a request whose caller has left. */
  cancel (request: EngineRequest): void {
    const queued = this._queue.indexOf(request)
    if (queued >= 0) this._queue.splice(queued, 1)
    const running = this._running.findIndex(entry => entry.request === request)
    if (running >= 0) this._running.splice(running, 1)
  }

  private _start (): void {
    if (this._isStepping) return
    this._isStepping = true
    this._events.after(0, () => this._step())
  }

  private _step (): void {
    this._admit()
    if (this._running.length === 0) {
      this._isStepping = false
      return
    }
    const { stepMs, stepMsPerRequest, prefillTokensPerMs, chunkTokens } = this._model
    const reading = this._running.find(({ missingTokens }) => missingTokens > 0)
    const chunk = Math.min(chunkTokens, reading?.missingTokens ?? 0)
    const decoding = this._running.filter(({ missingTokens }) => missingTokens <= 0)
    this._events.after(chunk / prefillTokensPerMs + stepMs + stepMsPerRequest * decoding.length, () => {
      if (reading !== undefined) reading.missingTokens -= chunk
      for (const entry of decoding) this._produceToken(entry)
      this._step()
    })
  }

  private _produceToken (entry: Running): void {
    const index = this._running.indexOf(entry)
    if (index < 0) return
    entry.producedTokens++
    if (entry.producedTokens === 1) entry.request.onFirstToken()
    if (entry.producedTokens < entry.request.outputTokens) return
    this._running.splice(index, 1)
    entry.request.onEnd()
  }

  private _admit (): void {
    while (this._running.length < this._model.slots && this._queue.length > 0) {
      const [request] = this._queue
      if (!this._makeRoom(request)) return
      this._queue.shift()
      const setupTokens = this._model.setupMs * this._model.prefillTokensPerMs / this._model.slots
      this._running.push({ request, missingTokens: this._read(request.prompt) + setupTokens, producedTokens: 0 })
    }
  }

  /** Counts what is not cached, from the first gap on, and caches the prompt. */
  private _read (prompt: readonly PromptPart[]): number {
    let missing = 0
    for (const [index, { id, tokens }] of prompt.entries()) {
      const cached = missing > 0 ? 0 : Math.min(tokens, this._cache.get(id) ?? 0)
      missing += tokens - cached
      if (index === 0) this.readSharedTokens += tokens - cached
      this._cache.delete(id)
      this._cache.set(id, tokens)
    }
    this.readTokens += missing
    return missing
  }

  /** Evicts the least recently used parts; false if the running requests need the memory. */
  private _makeRoom (request: EngineRequest): boolean {
    const pinned = new Set([...this._running.map(entry => entry.request), request].flatMap(({ prompt }) => prompt.map(({ id }) => id)))
    const outputTokens = [...this._running.map(entry => entry.request), request].reduce((total, entry) => total + entry.outputTokens, 0)
    let used = outputTokens
    for (const [id, tokens] of this._cache) used += request.prompt.some(part => part.id === id) ? 0 : tokens
    for (const { tokens } of request.prompt) used += tokens
    for (const [id, tokens] of this._cache) {
      if (used <= this._model.kvTokens) return true
      if (pinned.has(id)) continue
      this._cache.delete(id)
      used -= tokens
    }
    return used <= this._model.kvTokens || this._running.length === 0
  }
}
