/** Time as the core sees it: a number that the host hands in. */

/** Reads the time of the event that is being handled. */
export interface IClock {
  /** Milliseconds since the Unix epoch (real hosts) or since the run began (virtual hosts). */
  nowMs (): number
}
export const IClock = Symbol('IClock')

/** The clock of a kernel: it advances only when the host handles an event. */
export class KernelClock implements IClock {
  private _nowMs = 0

  nowMs (): number {
    return this._nowMs
  }

  /** Moves the clock forward; a host clock that jumps back is ignored. */
  advanceTo (nowMs: number): void {
    this._nowMs = Math.max(this._nowMs, nowMs)
  }
}
