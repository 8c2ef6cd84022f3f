/** Has a request that may crash workers run at one worker at a time, whichever nodes it comes to. */

/** The end of a worker becomes known within this time, so that a crash counts before the next turn. */
const UNANSWERED_PAUSE_MS = 1_000
/** Suggested wait while another turn is open. */
const BUSY_RETRY_AFTER_MS = 500
/** The oldest one is forgotten when there are more. */
const MAX_REQUESTS = 10_000

interface TurnState {
  /** Absent during the pause after a turn. */
  turnId?: string
  /** End of the open turn's time, or of the pause. */
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
 * turns.begin({ fingerprint: 'f', turnId: 'a' }, { durationMs: 1_000, nowMs }) // 0: the request may be sent to a worker
 * turns.begin({ fingerprint: 'f', turnId: 'b' }, { durationMs: 1_000, nowMs }) // 500: it is at a worker; time after which to ask again
 * turns.end({ fingerprint: 'f', turnId: 'a' }, { isAnswered: true, nowMs })
 */
export class SuspectTurns {
  private readonly _states = new Map<string, TurnState>()

  /** Number of requests with an open turn or a pause. */
  get size (): number {
    return this._states.size
  }

  /** Begins a turn of at most `durationMs`. Returns 0, or the time after which to ask again if none can begin now. */
  begin ({ fingerprint, turnId }: SuspectTurn, { durationMs, nowMs }: { durationMs: number, nowMs: number }): number {
    this._removeExpired(nowMs)
    const state = this._states.get(fingerprint)
    if (state !== undefined && state.turnId !== turnId) return state.turnId === undefined ? state.untilMs - nowMs : BUSY_RETRY_AFTER_MS
    // A turn of which nothing is heard any more has brought no answer.
    this._states.set(fingerprint, { turnId, untilMs: nowMs + durationMs + UNANSWERED_PAUSE_MS })
    if (this._states.size > MAX_REQUESTS) this._states.delete(this._states.keys().next().value as string)
    return 0
  }

  /** Ends a turn; the next one can begin at once if the worker answered or did not get the request. Does nothing for a turn that is not open. */
  end ({ fingerprint, turnId }: SuspectTurn, { isAnswered, nowMs }: { isAnswered: boolean, nowMs: number }): void {
    if (this._states.get(fingerprint)?.turnId !== turnId) return
    if (isAnswered) this._states.delete(fingerprint)
    else this._states.set(fingerprint, { untilMs: nowMs + UNANSWERED_PAUSE_MS })
  }

  private _removeExpired (nowMs: number): void {
    for (const [fingerprint, { untilMs }] of this._states) {
      if (untilMs <= nowMs) this._states.delete(fingerprint)
    }
  }
}
