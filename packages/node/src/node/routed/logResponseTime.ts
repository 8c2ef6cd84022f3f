/** How long the log takes to answer at the moment, learned from the calls of all partitions of a node. */

/** Weight of the longest recent answer once a faster one has come, so that the estimate soon falls when the log recovers. */
const DECAY_FACTOR = 0.5
/** A call is repeated after this multiple of the expected time. */
const TIMEOUT_FACTOR = 2

export interface TimeoutLimits {
  minMs: number
  maxMs: number
}

/**
 * Only answers are evidence of a slow log: a call without an answer may have been lost. The calls that follow an unanswered one double the time-out, each for
 * itself. For calls that may be repeated safely, because a time-out does not show whether a call was carried out.
 *
 * @example
 * const responseTime = new LogResponseTime()
 * responseTime.timeoutMs({ minMs: 80, maxMs: 1_500 }, 0) // 80
 * responseTime.timeoutMs({ minMs: 80, maxMs: 1_500 }, 2) // 320, after two calls without an answer
 * responseTime.recordAnswer(240)
 * responseTime.timeoutMs({ minMs: 80, maxMs: 1_500 }, 0) // 480
 */
export class LogResponseTime {
  private _expectedMs = 0

  /** A call was answered after `tookMs`. */
  recordAnswer (tookMs: number): void {
    this._expectedMs = Math.max(tookMs, this._expectedMs * DECAY_FACTOR)
  }

  /** Time-out of a call that follows `unansweredCount` calls of the same kind without an answer. */
  timeoutMs ({ minMs, maxMs }: TimeoutLimits, unansweredCount: number): number {
    return Math.min(maxMs, Math.max(minMs, this._expectedMs * TIMEOUT_FACTOR) * 2 ** unansweredCount)
  }
}
