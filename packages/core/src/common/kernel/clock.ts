/** The clock of the core, which the host sets with every event. */

/** Provides the time of the event that is being handled. */
export interface IClock {
  /** Milliseconds since the Unix epoch (real hosts) or since the run began (virtual hosts). */
  nowMs (): number
}
export const IClock = Symbol('IClock')

/** The clock of a kernel. It advances only when the host passes in an event. */
export class KernelClock implements IClock {
  private _nowMs = 0

  nowMs (): number {
    return this._nowMs
  }

  /** Moves the clock forward. An earlier time, from a host clock that was set back, has no effect. */
  advanceTo (nowMs: number): void {
    this._nowMs = Math.max(this._nowMs, nowMs)
  }
}
