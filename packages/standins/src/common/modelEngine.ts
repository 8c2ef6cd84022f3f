/** Stand-in for a model engine: continuous batching, a prefix cache in limited memory, priorities, and crashes on request. */
import { type BackendEvent, type CacheEvent, type ChatMessage, type EngineRequest, type EngineStatus, hash32, type IDisposable, toDisposable } from '@trefoilshunt/core'
import { answerToken, countTokens, isPoison, requestedAnswerTokens } from './answers.js'
import { CacheEventLog } from './cacheEventLog.js'
import { PrefixCache } from './prefixCache.js'
import type { WeightStore } from './weightStore.js'
import type { IStandinHost } from './standinHost.js'

/** Speed, capacity and behaviour of an engine. */
export interface ModelEngineOptions {
  name: string
  model: string
  /** Sequences decoded at once. */
  maxBatch: number
  /** Time of a decoding step, without what its sequences add. */
  stepBaseMs: number
  /** Time that each sequence adds to a step. */
  stepPerSequenceMs: number
  prefillMsPerToken: number
  /** Most prompt tokens that are computed in one step. */
  prefillTokensPerStep: number
  /** Tokens that the prefix cache and the active sequences can hold together. */
  kvTokensCapacity: number
  /** Minimum age of the load report that `status` returns, once there is one so old. */
  reportLagMs: number
  /** Age from which a cache event can be read. */
  eventLagMs: number
  /** Every cache event whose sequence number is a multiple of this is lost. */
  eventLossEvery: number
  /** Tokens in one chunk of a stream; the first and the last chunk may have fewer. */
  chunkTokens: number
  /** Refuses orders to load a model whose fencing number is lower than the highest one seen. */
  checksFencing: boolean
  /** Store that models are loaded from; loading takes no time without one. */
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

/** A request that waits or is being processed. */
interface Sequence {
  request: EngineRequest
  listener: (event: BackendEvent) => void
  promptTokens: number
  cachedTokens: number
  /** Prompt tokens that remain to be computed. */
  prefillLeft: number
  promptHash: number
  /** Index of the next token in the whole answer, a part of which may be in the request already. */
  nextTokenIndex: number
  /** Generation ends before the token with this index. */
  endTokenIndex: number
  /** Tokens generated for this request. */
  generated: number
  firstTokenAtMs: number
  pendingText: string
  pendingTokens: number
}

/** Counters that checkers and experiments read. */
export interface EngineCounters {
  /** Tokens generated, by program. */
  generatedBySession: Map<string, number>
  prefillTokens: number
  cachedTokens: number
  /** Prompt tokens computed although an engine of the model had held them before for the same program. */
  recomputedTokens: number
  generatedTokens: number
  /** Tokens generated for requests with a raised priority. */
  urgentTokens: number
  startedCalls: number
  /** Mean time between tokens of each finished call with at least two. */
  tokenGapsMs: number[]
  crashes: number
  /** Orders to load a model that were accepted. */
  loads: number
  /** Time at which the last call began to be processed; 0 before the first. */
  lastStartMs: number
}

/**
 * One worker of a model. The calls in its batch advance together: a step computes a part of their prompts and one token of each call whose prompt is
 * complete. A call waits behind those of the same or a higher priority.
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
  private _stepTimer: IDisposable | undefined
  private _isDown = false
  private _isLeaving = false
  private _statusReports: Array<{ atMs: number, status: EngineStatus }> = []
  private _highestFencingNumber = -1
  private _model: string
  private _slowFactor = 1
  private readonly _cacheEventLog: CacheEventLog

  constructor (options: Partial<ModelEngineOptions> & Pick<ModelEngineOptions, 'name' | 'model'>, private readonly _host: IStandinHost) {
    this.options = { ...DEFAULTS, heldBefore: new Map(), ...options }
    this._model = options.model
    this._cacheEventLog = new CacheEventLog({ lagMs: this.options.eventLagMs, lossEvery: this.options.eventLossEvery }, _host)
    this.cache.onDidEvict = session => this._cacheEventLog.publish('evicted', session)
  }

  get isDown (): boolean {
    return this._isDown
  }

  /** Calls in the batch. */
  get activeCount (): number {
    return this._active.size
  }

  /** Calls that wait for a place in the batch. */
  get queuedCount (): number {
    return this._queue.length
  }

  /** Starts a completion. Chunks and one final event go to the listener; disposing the result cancels the call and keeps what it has cached. */
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

  /** The newest report of an earlier or this call that is at least `reportLagMs` old, or the oldest one while none is. */
  status (): EngineStatus {
    const nowMs = this._host.nowMs()
    this._statusReports.push({ atMs: nowMs, status: this._currentStatus() })
    while (this._statusReports.length > 1 && this._statusReports[1].atMs <= nowMs - this.options.reportLagMs) this._statusReports.shift()
    return this._statusReports[0].status
  }

  /** Cache events from a sequence number on that can be read by now. */
  cacheEvents (fromSequence: number): CacheEvent[] {
    return this._cacheEventLog.read(fromSequence)
  }

  /** Cached tokens of each program now; for checkers. */
  heldSessions (): Array<{ session: string, tokens: number }> {
    return this.cache.sessions()
  }

  /** Drops the cache of a program, without a cache event. */
  release (session: string): void {
    this.cache.release(session)
  }

  /** Size of a program's cache for another engine to import, in tokens. */
  exportCache (session: string): number {
    return this.cache.tokensOf(session)
  }

  /** Stores the cache of a program from another engine and evicts others if there is not enough capacity. */
  importCache (session: string, tokens: number): void {
    this._freeCapacity(tokens)
    this.cache.store(session, tokens, this._host.nowMs())
  }

  /** Loads a model and drops the cache. False, without effect, when the engine checks fencing and has seen a higher fencing number. */
  load (model: string, fencingNumber: number): boolean {
    if (this.options.checksFencing && fencingNumber < this._highestFencingNumber) return false
    this._highestFencingNumber = Math.max(this._highestFencingNumber, fencingNumber)
    this.counters.loads++
    this._model = ''
    this.cache.clear()
    const onLoaded = () => { this._model = model }
    if (this.options.weights === undefined) onLoaded()
    else this.options.weights.load(this.options.modelBytes, onLoaded)
    return true
  }

  /** The loaded model; empty while one is being loaded. */
  get model (): string {
    return this._model
  }

  /** Refuses new calls from now on; the calls in progress continue. */
  setLeaving (): void {
    this._isLeaving = true
  }

  /** Multiplies the time of every step by `factor`. */
  setSlow (factor: number): void {
    this._slowFactor = factor
  }

  /** Fails every call, drops the cache and refuses calls until `restart`. */
  crash (): void {
    const interrupted = [...this._active, ...this._queue]
    this._active.clear()
    this._queue = []
    this._stepTimer?.dispose()
    this._stepTimer = undefined
    this._isDown = true
    this.counters.crashes++
    this.cache.clear()
    this._statusReports = []
    for (const sequence of interrupted) {
      sequence.listener({ type: 'failed', isUntouched: false, isConnectionLost: true, isLeaving: false, detail: 'connection reset' })
    }
  }

  restart (): void {
    this._isDown = false
  }

  private _createSequence (request: EngineRequest, listener: (event: BackendEvent) => void): Sequence {
    const prompt = lastPrompt(request.messages)
    const last = request.messages.at(-1)
    const nextTokenIndex = last?.role === 'assistant' ? countTokens(last.content) : 0
    const promptTokens = request.messages.reduce((sum, message) => sum + countTokens(message.content), 0)
    return {
      request,
      listener,
      promptTokens,
      cachedTokens: 0,
      prefillLeft: promptTokens,
      promptHash: hash32(prompt),
      nextTokenIndex,
      endTokenIndex: Math.min(requestedAnswerTokens(prompt), nextTokenIndex + request.maxTokens),
      generated: 0,
      firstTokenAtMs: 0,
      pendingText: '',
      pendingTokens: 0
    }
  }

  private _cancel (sequence: Sequence): void {
    this._queue = this._queue.filter(other => other !== sequence)
    if (this._active.delete(sequence)) this._storeInCache(sequence)
  }

  private _schedule (): void {
    if (this._stepTimer !== undefined || this._isDown) return
    this._fillBatch()
    if (this._active.size === 0) return
    this._stepTimer = this._host.after(this._stepMs(), () => {
      this._stepTimer = undefined
      this._runStep()
      this._schedule()
    })
  }

  private _fillBatch (): void {
    while (this._queue.length > 0 && this._active.size < this.options.maxBatch) {
      const sequence = this._queue[0]
      if (!this._hasCapacity(sequence)) return
      this._queue.shift()
      this._start(sequence)
    }
  }

  /** Whether the sequence fits beside the active ones; one sequence alone always may start. */
  private _hasCapacity (sequence: Sequence): boolean {
    const needed = sequence.promptTokens + sequence.request.maxTokens
    return this._active.size === 0 || this._activeTokens() + needed <= this.options.kvTokensCapacity
  }

  private _start (sequence: Sequence): void {
    const { session } = sequence.request
    sequence.cachedTokens = Math.min(this.cache.tokensOf(session), sequence.promptTokens)
    sequence.prefillLeft = sequence.promptTokens - sequence.cachedTokens
    this.cache.release(session)
    this._freeCapacity(sequence.promptTokens + sequence.request.maxTokens)
    this._active.add(sequence)
    this.counters.startedCalls++
    this.counters.lastStartMs = this._host.nowMs()
    this.counters.prefillTokens += sequence.prefillLeft
    this.counters.cachedTokens += sequence.cachedTokens
    const tokensHeldBefore = Math.min(this.options.heldBefore.get(session) ?? 0, sequence.promptTokens)
    this.counters.recomputedTokens += Math.max(0, tokensHeldBefore - sequence.cachedTokens)
  }

  private _activeTokens (): number {
    let tokens = 0
    for (const sequence of this._active) tokens += sequence.promptTokens + sequence.request.maxTokens
    return tokens
  }

  private _freeCapacity (tokens: number): void {
    const excess = this._activeTokens() + this.cache.tokens + tokens - this.options.kvTokensCapacity
    if (excess > 0) this.cache.evict(excess, this._host.nowMs())
  }

  /** Prompt tokens that the next step computes; the sequences share them in order of their start. */
  private _prefillTokensOfNextStep (): number {
    let remainingTokens = this.options.prefillTokensPerStep
    for (const sequence of this._active) remainingTokens -= Math.min(remainingTokens, sequence.prefillLeft)
    return this.options.prefillTokensPerStep - remainingTokens
  }

  private _stepMs (): number {
    const { stepBaseMs, stepPerSequenceMs, prefillMsPerToken } = this.options
    return this._slowFactor * (stepBaseMs + stepPerSequenceMs * this._active.size + prefillMsPerToken * this._prefillTokensOfNextStep())
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
    if (sequence.nextTokenIndex < sequence.endTokenIndex) {
      sequence.pendingText += answerToken(sequence.promptHash, sequence.nextTokenIndex)
      sequence.pendingTokens++
      sequence.nextTokenIndex++
      sequence.generated++
      this._countToken(sequence.request)
    }
    const isDone = sequence.nextTokenIndex >= sequence.endTokenIndex
    const isFirst = sequence.generated === 1
    if (isFirst) sequence.firstTokenAtMs = this._host.nowMs()
    if (isDone || isFirst || sequence.pendingTokens >= this.options.chunkTokens) this._sendChunk(sequence)
    if (isDone) this._finish(sequence)
  }

  private _countToken ({ session, priority }: EngineRequest): void {
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
    this._storeInCache(sequence)
    const { promptTokens, cachedTokens, generated, firstTokenAtMs } = sequence
    if (generated > 1) this.counters.tokenGapsMs.push((this._host.nowMs() - firstTokenAtMs) / (generated - 1))
    sequence.listener({ type: 'modelDone', result: { type: 'model', text: '', promptTokens, completionTokens: generated, cachedTokens } })
  }

  private _storeInCache (sequence: Sequence): void {
    const { session, retainMs } = sequence.request
    const tokens = sequence.promptTokens - sequence.prefillLeft + sequence.generated
    this.cache.store(session, tokens, this._host.nowMs() + retainMs)
    this._cacheEventLog.publish('stored', session)
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
