/** Stand-in for a service with non-repeatable calls. It counts executions, which shows checkers the calls that ran twice. */
import type { BackendEvent, IDisposable, ServiceResult } from '@trefoilshunt/core'
import { toDisposable } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

/** Behaviour of one worker of a service. */
export interface ToolServiceOptions {
  name: string
  latencyMs: number
  /** Answers a repeated idempotency key with the first answer, without executing the call again. */
  checksIdempotencyKeys: boolean
}

/** State that all workers of one service share, in the place of a database. */
export interface ToolDatabase {
  /** Number of executions by the `checkId` of the body. */
  executions: Map<string, number>
  /** Executions in order. */
  executionLog: Array<{ checkId: string, programId: string, atMs: number, worker: string }>
  /** Answers by idempotency key. */
  answers: Map<string, ServiceResult>
}

/** Creates the empty state of a service. */
export function createToolDatabase (): ToolDatabase {
  return { executions: new Map(), executionLog: [], answers: new Map() }
}

/** Body that the stand-in reads; a call without these fields is counted under an empty `checkId`. */
interface ToolBody {
  checkId?: string
  programId?: string
}

/** A request to the service. */
export interface ToolCall {
  path: string
  body: unknown
  idempotencyKey?: string
}

/** One worker of a service. */
export class ToolService {
  readonly options: ToolServiceOptions
  private readonly _openListeners = new Set<(event: BackendEvent) => void>()
  private _isDown = false
  private _isLeaving = false
  private _callsToHang = 0
  private _answersToDrop = 0
  /** Time at which the last accepted call arrived; 0 before the first. */
  lastStartMs = 0

  constructor (options: Partial<ToolServiceOptions> & Pick<ToolServiceOptions, 'name'>, readonly database: ToolDatabase, private readonly _host: IStandinHost) {
    this.options = { latencyMs: 40, checksIdempotencyKeys: false, ...options }
  }

  get isDown (): boolean {
    return this._isDown
  }

  /**
   * Executes a call after its latency and sends one final event to the listener, at once if the call is refused. Disposing the result only removes
   * the listener; the call is executed all the same.
   */
  call (call: ToolCall, listener: (event: BackendEvent) => void): IDisposable {
    if (this._isDown || this._isLeaving) {
      listener({ type: 'failed', isUntouched: true, isConnectionLost: false, isLeaving: this._isLeaving, detail: this._isDown ? 'connection refused' : 'the service is leaving' })
      return toDisposable(() => {})
    }
    this.lastStartMs = this._host.nowMs()
    this._openListeners.add(listener)
    const isHung = this._callsToHang > 0
    if (isHung) this._callsToHang--
    else this._host.after(this.options.latencyMs, () => this._execute(call, listener))
    return toDisposable(() => this._openListeners.delete(listener))
  }

  /** The recorded answer of an idempotency key; undefined if there is none or the service does not check keys. */
  lookup (idempotencyKey: string): ServiceResult | undefined {
    return this.options.checksIdempotencyKeys ? this.database.answers.get(idempotencyKey) : undefined
  }

  /** Makes the next `count` calls hang: they are neither executed nor answered. */
  hangNext (count: number): void {
    this._callsToHang += count
  }

  /** Breaks the connection of the next `count` calls after they are executed and before the answer. */
  dropAnswers (count: number): void {
    this._answersToDrop += count
  }

  /** Refuses new calls from now on. */
  setLeaving (): void {
    this._isLeaving = true
  }

  /** Breaks all connections and refuses calls until `restart`. A call is not executed if its latency ends while the service is down. */
  crash (): void {
    this._isDown = true
    const interrupted = [...this._openListeners]
    this._openListeners.clear()
    for (const listener of interrupted) listener({ type: 'failed', isUntouched: false, isConnectionLost: true, isLeaving: false, detail: 'connection reset' })
  }

  restart (): void {
    this._isDown = false
  }

  private _execute (call: ToolCall, listener: (event: BackendEvent) => void): void {
    if (this._isDown) return
    const result = this._executeOrReplay(call)
    if (!this._openListeners.delete(listener)) return
    if (this._answersToDrop > 0) {
      this._answersToDrop--
      listener({ type: 'failed', isUntouched: false, isConnectionLost: true, isLeaving: false, detail: 'connection reset' })
      return
    }
    listener({ type: 'serviceDone', result })
  }

  /** Executes a call, or returns the recorded answer of its idempotency key if the service checks keys. */
  private _executeOrReplay (call: ToolCall): ServiceResult {
    const key = this.options.checksIdempotencyKeys ? call.idempotencyKey : undefined
    const recordedAnswer = key === undefined ? undefined : this.database.answers.get(key)
    if (recordedAnswer !== undefined) return recordedAnswer
    const { checkId = '', programId = '' } = (call.body ?? {}) as ToolBody
    const count = (this.database.executions.get(checkId) ?? 0) + 1
    this.database.executions.set(checkId, count)
    this.database.executionLog.push({ checkId, programId, atMs: this._host.nowMs(), worker: this.options.name })
    const result: ServiceResult = { type: 'service', status: 200, body: { checkId, execution: count } }
    if (key !== undefined) this.database.answers.set(key, result)
    return result
  }
}
