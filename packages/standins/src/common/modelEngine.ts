/** A model engine: continuous batching, prefix cache in limited memory, priorities, crashes on request. */
import { type BackendEvent, type CacheEvent, type ChatMessage, type EngineRequest, type EngineStatus, hash32, type IDisposable, toDisposable } from '@trefoilshunt/core'
import { answerLength, answerToken, isPoison, tokensOf } from './answers.js'
import { CacheEventLog } from './cacheEventLog.js'
import { PrefixCache } from './prefixCache.js'
import type { WeightStore } from './weightStore.js'
import type { IStandinHost } from './standinHost.js'

export interface ModelEngineOptions {
  name: string
  model: string
  /** Sequences decoded at once. */
  maxBatch: number
  /** Time of one decoding step with an empty batch. */
  stepBaseMs: number
  /** Time that each sequence adds to a step. */
  stepPerSequenceMs: number
  prefillMsPerToken: number
  /** Prompt tokens computed in one step at the most. */
  prefillTokensPerStep: number
  kvTokensCapacity: number
  /** Age of a load report when it is read. */
  reportLagMs: number
  /** Age of a cache event when it can be read. */
  eventLagMs: number
  /** One of so many cache events is lost. */
  eventLossEvery: number
  /** Tokens sent in one chunk of a stream. */
  chunkTokens: number
  checksFencing: boolean
  /** Where models are loaded from; loading takes no time without one. */
  weights?: WeightStore
  modelBytes: number
  /** Most tokens that any engine has held for each program; shared by the engines of a model, for measurements. */
  heldBefore: Map<string, number>
}

const DEFAULTS: Omit<ModelEngineOptions, 'name' | 'model' | 'heldBefore'> = {
  maxBatch: 32,
  stepBaseMs: 16,
  stepPerSequenceMs: 1.5,
  prefillMsPerToken: 0.25,
  prefillTokensPerStep: 512,
  kvTokensCapacity: 400_000,
  reportLagMs: 500,
  eventLagMs: 1_000,
  eventLossEvery: 10,
  chunkTokens: 8,
  checksFencing: true,
  modelBytes: 10_000_000_000
}

interface Sequence {
  request: EngineRequest
  listener: (event: BackendEvent) => void
  promptTokens: number
  cachedTokens: number
  prefillLeft: number
  promptHash: number
  /** Index of the next token of the whole answer. */
  position: number
  length: number
  generated: number
  firstTokenAtMs: number
  pendingText: string
  pendingTokens: number
}

/** Figures that checkers and experiments read. */
export interface EngineCounters {
  /** Tokens generated, by program. */
  generatedBySession: Map<string, number>
  prefillTokens: number
  cachedTokens: number
  /** Prompt tokens computed although some engine had held them for the same program. */
  recomputedTokens: number
  generatedTokens: number
  /** Tokens generated for requests with a raised priority. */
  urgentTokens: number
  startedCalls: number
  /** Mean time between tokens of each finished call. */
  tokenGapsMs: number[]
  crashes: number
  loads: number
  lastStartMs: number
}

/**
 * One worker of a model.
 *
 * @example
 * const engine = new ModelEngine({ name: 'tailor-1', model: 'tailor-models' }, host)
 */
export class ModelEngine {
  readonly options: ModelEngineOptions
  readonly cache = new PrefixCache()
  readonly counters: EngineCounters = { generatedBySession: new Map(), prefillTokens: 0, cachedTokens: 0, recomputedTokens: 0, generatedTokens: 0, urgentTokens: 0, startedCalls: 0, tokenGapsMs: [], crashes: 0, loads: 0, lastStartMs: 0 }
  private readonly _active = new Set<Sequence>()
  private _queue: Sequence[] = []
  private _step: IDisposable | undefined
  private _isDown = false
  private _isLeaving = false
  private _reports: Array<{ atMs: number, status: EngineStatus }> = []
  private _highestFencingNumber = -1
  private _model: string
  private _slowFactor = 1
  private readonly _events: CacheEventLog

  constructor (options: Partial<ModelEngineOptions> & Pick<ModelEngineOptions, 'name' | 'model'>, private readonly _host: IStandinHost) {
    this.options = { ...DEFAULTS, heldBefore: new Map(), ...options }
    this._model = options.model
    this._events = new CacheEventLog({ lagMs: this.options.eventLagMs, lossEvery: this.options.eventLossEvery }, _host)
    this.cache.onDidEvict = session => this._events.publish('evicted', session)
  }

  get isDown (): boolean {
    return this._isDown
  }

  get activeCount (): number {
    return this._active.size
  }

  get queuedCount (): number {
    return this._queue.length
  }

  /** Starts a completion. Chunks and one final event go to the listener. */
  call (request: EngineRequest, listener: (event: BackendEvent) => void): IDisposable {
    if (this._isDown) {
      listener({ type: 'failed', isUntouched: true, isConnectionLost: false, isLeaving: false, detail: 'connection refused' })
      return toDisposable(() => {})
    }
    if (this._isLeaving) {
      listener({ type: 'failed', isUntouched: true, isConnectionLost: false, isLeaving: true, detail: 'the engine is leaving' })
      return toDisposable(() => {})
    }
    if (request.model !== this._model) {
      listener({ type: 'failed', isUntouched: true, isConnectionLost: false, isLeaving: false, detail: `the model ${request.model} is not loaded` })
      return toDisposable(() => {})
    }
    const sequence = this._createSequence(request, listener)
    const index = this._queue.findIndex(other => other.request.priority < request.priority)
    this._queue.splice(index < 0 ? this._queue.length : index, 0, sequence)
    this._schedule()
    return toDisposable(() => this._cancel(sequence))
  }

  /** A load report, old by the report lag. */
  status (): EngineStatus {
    const nowMs = this._host.nowMs()
    this._reports.push({ atMs: nowMs, status: this._currentStatus() })
    while (this._reports.length > 1 && this._reports[1].atMs <= nowMs - this.options.reportLagMs) this._reports.shift()
    return this._reports[0].status
  }

  /** Cache events from a sequence on that can be seen by now. */
  cacheEvents (fromSequence: number): CacheEvent[] {
    return this._events.read(fromSequence)
  }

  /** What the engine holds now; for checkers. */
  heldSessions (): Array<{ session: string, tokens: number }> {
    return this.cache.sessions()
  }

  release (session: string): void {
    this.cache.release(session)
  }

  /** Exported cache of a program, in tokens. */
  exportCache (session: string): number {
    return this.cache.tokensOf(session)
  }

  importCache (session: string, tokens: number): void {
    this._makeRoom(tokens)
    this.cache.store(session, tokens, this._host.nowMs())
  }

  /** Takes an order to load a model; false when its fencing number is older than one seen and the engine checks. */
  load (model: string, fencingNumber: number): boolean {
    if (this.options.checksFencing && fencingNumber < this._highestFencingNumber) return false
    this._highestFencingNumber = Math.max(this._highestFencingNumber, fencingNumber)
    this.counters.loads++
    this._model = ''
    this.cache.clear()
    const finish = () => { this._model = model }
    if (this.options.weights === undefined) finish()
    else this.options.weights.load(this.options.modelBytes, finish)
    return true
  }

  get model (): string {
    return this._model
  }

  setLeaving (): void {
    this._isLeaving = true
  }

  setSlow (factor: number): void {
    this._slowFactor = factor
  }

  /** Drops every connection and the cache. */
  crash (): void {
    const lost = [...this._active, ...this._queue]
    this._active.clear()
    this._queue = []
    this._step?.dispose()
    this._step = undefined
    this._isDown = true
    this.counters.crashes++
    this.cache.clear()
    this._reports = []
    for (const sequence of lost) {
      sequence.listener({ type: 'failed', isUntouched: false, isConnectionLost: true, isLeaving: false, detail: 'connection reset' })
    }
  }

  restart (): void {
    this._isDown = false
  }

  private _createSequence (request: EngineRequest, listener: (event: BackendEvent) => void): Sequence {
    const prompt = lastPrompt(request.messages)
    const last = request.messages.at(-1)
    const position = last?.role === 'assistant' ? tokensOf(last.content) : 0
    const promptTokens = request.messages.reduce((sum, message) => sum + tokensOf(message.content), 0)
    return {
      request,
      listener,
      promptTokens,
      cachedTokens: 0,
      prefillLeft: promptTokens,
      promptHash: hash32(prompt),
      position,
      length: Math.min(answerLength(prompt), position + request.maxTokens),
      generated: 0,
      firstTokenAtMs: 0,
      pendingText: '',
      pendingTokens: 0
    }
  }

  private _cancel (sequence: Sequence): void {
    this._queue = this._queue.filter(other => other !== sequence)
    if (this._active.delete(sequence)) this._keepCache(sequence)
  }

  private _schedule (): void {
    if (this._step !== undefined || this._isDown) return
    this._fillBatch()
    if (this._active.size === 0) return
    this._step = this._host.after(this._stepMs(), () => {
      this._step = undefined
      this._runStep()
      this._schedule()
    })
  }

  private _fillBatch (): void {
    while (this._queue.length > 0 && this._active.size < this.options.maxBatch) {
      const sequence = this._queue[0]
      if (!this._hasRoom(sequence)) return
      this._queue.shift()
      this._start(sequence)
    }
  }

  private _hasRoom (sequence: Sequence): boolean {
    const needed = sequence.promptTokens + sequence.request.maxTokens
    return this._active.size === 0 || this._activeTokens() + needed <= this.options.kvTokensCapacity
  }

  private _start (sequence: Sequence): void {
    const { session } = sequence.request
    sequence.cachedTokens = Math.min(this.cache.tokensOf(session), sequence.promptTokens)
    sequence.prefillLeft = sequence.promptTokens - sequence.cachedTokens
    this.cache.release(session)
    this._makeRoom(sequence.promptTokens + sequence.request.maxTokens)
    this._active.add(sequence)
    this.counters.startedCalls++
    this.counters.lastStartMs = this._host.nowMs()
    this.counters.prefillTokens += sequence.prefillLeft
    this.counters.cachedTokens += sequence.cachedTokens
    const heldBefore = Math.min(this.options.heldBefore.get(session) ?? 0, sequence.promptTokens)
    this.counters.recomputedTokens += Math.max(0, heldBefore - sequence.cachedTokens)
  }

  private _activeTokens (): number {
    let tokens = 0
    for (const sequence of this._active) tokens += sequence.promptTokens + sequence.request.maxTokens
    return tokens
  }

  private _makeRoom (tokens: number): void {
    const excess = this._activeTokens() + this.cache.tokens + tokens - this.options.kvTokensCapacity
    if (excess > 0) this.cache.evict(excess, this._host.nowMs())
  }

  /** Sequences share the prefill of a step in order of arrival. */
  private _prefillOfStep (): number {
    let left = this.options.prefillTokensPerStep
    for (const sequence of this._active) left -= Math.min(left, sequence.prefillLeft)
    return this.options.prefillTokensPerStep - left
  }

  private _stepMs (): number {
    const { stepBaseMs, stepPerSequenceMs, prefillMsPerToken } = this.options
    return this._slowFactor * (stepBaseMs + stepPerSequenceMs * this._active.size + prefillMsPerToken * this._prefillOfStep())
  }

  private _runStep (): void {
    let prefillLeft = this.options.prefillTokensPerStep
    for (const sequence of [...this._active]) {
      if (isPoison(sequence.request.messages)) {
        this.crash()
        return
      }
      const prefilled = Math.min(prefillLeft, sequence.prefillLeft)
      sequence.prefillLeft -= prefilled
      prefillLeft -= prefilled
      if (sequence.prefillLeft === 0) this._decode(sequence)
      if (this._isDown) return
    }
  }

  private _decode (sequence: Sequence): void {
    if (sequence.position < sequence.length) {
      sequence.pendingText += answerToken(sequence.promptHash, sequence.position)
      sequence.pendingTokens++
      sequence.position++
      sequence.generated++
      this._count(sequence.request)
    }
    const isDone = sequence.position >= sequence.length
    const isFirst = sequence.generated === 1
    if (isFirst) sequence.firstTokenAtMs = this._host.nowMs()
    if (isDone || isFirst || sequence.pendingTokens >= this.options.chunkTokens) this._sendChunk(sequence)
    if (isDone) this._finish(sequence)
  }

  private _count ({ session, priority }: EngineRequest): void {
    const { generatedBySession } = this.counters
    this.counters.generatedTokens++
    if (priority > 0) this.counters.urgentTokens++
    generatedBySession.set(session, (generatedBySession.get(session) ?? 0) + 1)
  }

  private _sendChunk (sequence: Sequence): void {
    if (sequence.pendingTokens === 0) return
    const { pendingText: text, pendingTokens: tokens } = sequence
    sequence.pendingText = ''
    sequence.pendingTokens = 0
    sequence.listener({ type: 'chunk', text, tokens })
  }

  private _finish (sequence: Sequence): void {
    this._active.delete(sequence)
    this._keepCache(sequence)
    const { promptTokens, cachedTokens, generated, firstTokenAtMs } = sequence
    if (generated > 1) this.counters.tokenGapsMs.push((this._host.nowMs() - firstTokenAtMs) / (generated - 1))
    sequence.listener({ type: 'modelDone', result: { type: 'model', text: '', promptTokens, completionTokens: generated, cachedTokens } })
  }

  private _keepCache (sequence: Sequence): void {
    const { session, retainMs } = sequence.request
    const tokens = sequence.promptTokens - sequence.prefillLeft + sequence.generated
    this.cache.store(session, tokens, this._host.nowMs() + retainMs)
    this._events.publish('stored', session)
    this.options.heldBefore.set(session, Math.max(tokens, this.options.heldBefore.get(session) ?? 0))
  }

  private _currentStatus (): EngineStatus {
    return {
      model: this._model,
      activeRequests: this._active.size,
      queuedRequests: this._queue.length,
      kvTokensUsed: this._activeTokens() + this.cache.tokens,
      kvTokensCapacity: this.options.kvTokensCapacity,
      heldSessions: this.cache.sessions()
    }
  }
}

/** The last message that is not an answer. */
function lastPrompt (messages: ChatMessage[]): string {
  return messages.findLast(message => message.role !== 'assistant')?.content ?? ''
}
