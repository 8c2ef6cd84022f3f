/** Has a request that may crash workers run at one worker at a time, whichever nodes it comes to. */

/** The end of a worker becomes known within this time, so that a crash counts before the next turn. */
const UNANSWERED_PAUSE_MS = 1_000
/** All nodes learn within this time that a worker has served the request, so that it is no longer suspect. */
const SERVED_MEMORY_MS = 2_000
/** The oldest one is forgotten when there are more. */
const MAX_REQUESTS = 10_000

/** How a turn ended. */
export const SuspectTurnEnd = {
  /** A worker served the request, which therefore doesn't crash workers. */
  Served: 'served',
  /** A worker answered in another way, or didn't get the request. */
  NotHarmed: 'notHarmed',
  /** The request was sent and got no answer. */
  Unanswered: 'unanswered'
} as const
export type SuspectTurnEnd = typeof SuspectTurnEnd[keyof typeof SuspectTurnEnd]

/** Whether a turn has begun. */
export type SuspectTurnReply =
  | { type: 'begun' }
  /** Another turn is open. */
  | { type: 'open' }
  /** The latest turn brought no answer; none begins within `waitMs`. */
  | { type: 'paused', waitMs: number }

interface TurnState {
  /** Absent after a turn. */
  turnId?: string
  /** True after a turn in which a worker served the request: turns begin side by side. */
  isServed: boolean
  /** End of the open turn's time, of the pause after it, or of the memory that the request was served. */
  untilMs: number
}

/** A turn of a suspect request. */
export interface SuspectTurn {
  /** Equal for repeated requests. */
  fingerprint: string
  turnId: string
}

/**
 * All times are milliseconds of one clock.
 *
 * @example
 * const turns = new SuspectTurns()
 * turns.begin({ fingerprint: 'f', turnId: 'a' }, { durationMs: 1_000, nowMs }) // begun: the request may be sent to a worker
 * turns.begin({ fingerprint: 'f', turnId: 'b' }, { durationMs: 1_000, nowMs }) // open: it is at a worker
 * turns.end({ fingerprint: 'f', turnId: 'a' }, { end: SuspectTurnEnd.Served, nowMs })
 */
export class SuspectTurns {
  private readonly _states = new Map<string, TurnState>()

  /** Number of requests with an open turn or a pause. */
  get size (): number {
    return this._states.size
  }

  /** Begins a turn of at most `durationMs`, unless another one is open or brought no answer a moment ago. */
  begin ({ fingerprint, turnId }: SuspectTurn, { durationMs, nowMs }: { durationMs: number, nowMs: number }): SuspectTurnReply {
    this._removeExpired(nowMs)
    const state = this._states.get(fingerprint)
    if (state?.isServed === true) return { type: 'begun' }
    if (state !== undefined && state.turnId !== turnId) return state.turnId === undefined ? { type: 'paused', waitMs: state.untilMs - nowMs } : { type: 'open' }
    // A turn of which nothing is heard any more has brought no answer.
    this._states.set(fingerprint, { turnId, isServed: false, untilMs: nowMs + durationMs + UNANSWERED_PAUSE_MS })
    if (this._states.size > MAX_REQUESTS) this._states.delete(this._states.keys().next().value as string)
    return { type: 'begun' }
  }

  /** Ends a turn. Does nothing for a turn that is not open. */
  end ({ fingerprint, turnId }: SuspectTurn, { end, nowMs }: { end: SuspectTurnEnd, nowMs: number }): void {
    if (this._states.get(fingerprint)?.turnId !== turnId) return
    if (end === SuspectTurnEnd.NotHarmed) this._states.delete(fingerprint)
    else if (end === SuspectTurnEnd.Served) this._states.set(fingerprint, { isServed: true, untilMs: nowMs + SERVED_MEMORY_MS })
    else this._states.set(fingerprint, { isServed: false, untilMs: nowMs + UNANSWERED_PAUSE_MS })
  }

  private _removeExpired (nowMs: number): void {
    for (const [fingerprint, { untilMs }] of this._states) {
      if (untilMs <= nowMs) this._states.delete(fingerprint)
    }
  }
}
