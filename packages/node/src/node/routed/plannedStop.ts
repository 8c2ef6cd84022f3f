/** Lets the requests of a node end before its planned stop does. */
import { steadyNowMs } from '../steadyClock.js'

/** A stopping node accepts requests whatever their length for this long, because callers use an old list of addresses for that time. */
export const MIN_DRAIN_MS = 3_000

/** A request in progress. */
export interface IStoppableCall {
  /** Ends the request now: as not run, or with an answer that promises nothing. */
  endForStop (): void
}

/**
 * @example
 * if (!plannedStop.mayAccept(expiresAtMs)) refuse()
 * const unregister = plannedStop.register(call)
 */
export class PlannedStop {
  private readonly _calls = new Set<IStoppableCall>()
  private _startedAtMs: number | undefined
  private _endsAtMs = Number.POSITIVE_INFINITY

  /** True from the signal to stop on. */
  get hasBegun (): boolean {
    return this._startedAtMs !== undefined
  }

  /** Must be called once; `endsAtMs` is the steady time at which the last requests are ended. */
  begin (endsAtMs: number): void {
    this._startedAtMs = steadyNowMs()
    this._endsAtMs = endsAtMs
  }

  /** False for a request that may still be open at the end of the stop. */
  mayAccept (expiresAtMs: number): boolean {
    return this._startedAtMs === undefined || steadyNowMs() - this._startedAtMs < MIN_DRAIN_MS || expiresAtMs < this._endsAtMs
  }

  /** Registers a request in progress until the returned function is called. */
  register (call: IStoppableCall): () => void {
    this._calls.add(call)
    return () => this._calls.delete(call)
  }

  /** Ends all requests in progress; returns their number. */
  endCalls (): number {
    const calls = [...this._calls]
    for (const call of calls) call.endForStop()
    return calls.length
  }
}
