/** How old the active document may be, so that a withdrawn access key is not served for longer than the operator allows. */

/** The same moment on both clocks of a VM. */
export interface ClockReading {
  /** Stands still while the VM is suspended. */
  steadyMs: number
  /** May be set forward or back at any time. */
  wallMs: number
}

/** A time of day that fell behind the steady clock by more than this was set back, and may hide a suspension of the VM. */
const MAX_CLOCK_LAG_MS = 1_000

/**
 * Remembers the latest moment at which no newer document than the active one existed. A confirmation of a document stays valid when a newer one
 * becomes active: the newer one was published after that moment, and any still newer one later.
 *
 * @example
 * freshness.confirm(sentAt) // the time at which a read of the log was sent that found nothing newer
 * freshness.ageMs(now) < 4_750
 */
export class DocumentFreshness {
  private _confirmedAt: ClockReading | undefined

  /** The active document was the newest one at `asOf`. Confirmations may arrive in any order. */
  confirm (asOf: ClockReading, now: ClockReading): void {
    if (ageOf(asOf, now) < this.ageMs(now)) this._confirmedAt = asOf
  }

  /** Longest time for which a newer document may have existed; infinite without a valid confirmation. */
  ageMs (now: ClockReading): number {
    return this._confirmedAt === undefined ? Number.POSITIVE_INFINITY : ageOf(this._confirmedAt, now)
  }
}

/** Time since `earlier`, the larger one of both clocks; infinite if the time of day was set back since then. */
export function ageOf (earlier: ClockReading, now: ClockReading): number {
  const steadyMs = now.steadyMs - earlier.steadyMs
  const wallMs = now.wallMs - earlier.wallMs
  return wallMs < steadyMs - MAX_CLOCK_LAG_MS ? Number.POSITIVE_INFINITY : Math.max(steadyMs, wallMs)
}

/** The moment `ageMs` before `reading`. */
export function earlierBy (ageMs: number, { steadyMs, wallMs }: ClockReading): ClockReading {
  return { steadyMs: steadyMs - ageMs, wallMs: wallMs - ageMs }
}
