/** A plain service: some of its calls may not be repeated. It counts executions, so that checkers see repetitions. */
import type { BackendEvent, IDisposable, ServiceResult } from '@trefoilshunt/core'
import { toDisposable } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

export interface ToolServiceOptions {
  name: string
  latencyMs: number
  /** Answers a repeated idempotency key with the first answer. */
  checksIdempotencyKeys: boolean
}

/** State that all workers of one service share, as they would share a database. */
export interface ToolDatabase {
  /** Executions by the `checkId` of the body. */
  executions: Map<string, number>
  /** Executions in order. */
  log: Array<{ checkId: string, programId: string, atMs: number, worker: string }>
  answers: Map<string, ServiceResult>
}

export function createToolDatabase (): ToolDatabase {
  return { executions: new Map(), log: [], answers: new Map() }
}

/** Body that the stand-in understands; anything else is executed under an empty `checkId`. */
interface ToolBody {
  checkId?: string
  programId?: string
}

export interface ToolCall {
  path: string
  body: unknown
  idempotencyKey?: string
}

export class ToolService {
  readonly options: ToolServiceOptions
  private readonly _open = new Set<(event: BackendEvent) => void>()
  private _isDown = false
  private _isLeaving = false
  private _hangs = 0
  private _dropAnswers = 0
  lastStartMs = 0

  constructor (options: Partial<ToolServiceOptions> & Pick<ToolServiceOptions, 'name'>, readonly database: ToolDatabase, private readonly _host: IStandinHost) {
    this.options = { latencyMs: 40, checksIdempotencyKeys: false, ...options }
  }

  get isDown (): boolean {
    return this._isDown
  }

  /** Executes a call after its latency. Cancelling only stops listening: the effect happens. */
  call (call: ToolCall, listener: (event: BackendEvent) => void): IDisposable {
    if (this._isDown || this._isLeaving) {
      listener({ type: 'failed', isUntouched: true, isConnectionLost: false, isLeaving: this._isLeaving, detail: this._isDown ? 'connection refused' : 'the service is leaving' })
      return toDisposable(() => {})
    }
    this.lastStartMs = this._host.nowMs()
    this._open.add(listener)
    const isHung = this._hangs > 0
    if (isHung) this._hangs--
    else this._host.after(this.options.latencyMs, () => this._execute(call, listener))
    return toDisposable(() => this._open.delete(listener))
  }

  /** The recorded answer of a key, if the service keeps keys. */
  lookup (idempotencyKey: string): ServiceResult | undefined {
    return this.options.checksIdempotencyKeys ? this.database.answers.get(idempotencyKey) : undefined
  }

  /** The next calls hang: they are neither executed nor answered. */
  hangNext (count: number): void {
    this._hangs += count
  }

  /** The next calls are executed, but their connection breaks before the answer. */
  dropAnswers (count: number): void {
    this._dropAnswers += count
  }

  setLeaving (): void {
    this._isLeaving = true
  }

  crash (): void {
    this._isDown = true
    const lost = [...this._open]
    this._open.clear()
    for (const listener of lost) listener({ type: 'failed', isUntouched: false, isConnectionLost: true, isLeaving: false, detail: 'connection reset' })
  }

  restart (): void {
    this._isDown = false
  }

  private _execute (call: ToolCall, listener: (event: BackendEvent) => void): void {
    if (this._isDown) return
    const result = this._resultOf(call)
    if (!this._open.delete(listener)) return
    if (this._dropAnswers > 0) {
      this._dropAnswers--
      listener({ type: 'failed', isUntouched: false, isConnectionLost: true, isLeaving: false, detail: 'connection reset' })
      return
    }
    listener({ type: 'serviceDone', result })
  }

  private _resultOf (call: ToolCall): ServiceResult {
    const key = this.options.checksIdempotencyKeys ? call.idempotencyKey : undefined
    const known = key === undefined ? undefined : this.database.answers.get(key)
    if (known !== undefined) return known
    const { checkId = '', programId = '' } = (call.body ?? {}) as ToolBody
    const count = (this.database.executions.get(checkId) ?? 0) + 1
    this.database.executions.set(checkId, count)
    this.database.log.push({ checkId, programId, atMs: this._host.nowMs(), worker: this.options.name })
    const result: ServiceResult = { type: 'service', status: 200, body: { checkId, execution: count } }
    if (key !== undefined) this.database.answers.set(key, result)
    return result
  }
}
