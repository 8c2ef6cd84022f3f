/** How busy the event loop of this process is. */
import { performance, type EventLoopUtilization } from 'node:perf_hooks'
import { steadyNowMs } from './steadyClock.js'

const WINDOW_MS = 1_000

/**
 * @example
 * const utilization = new LoopUtilization()
 * utilization.read() // 0.12: busy for 12 % of the last second
 */
export class LoopUtilization {
  private _windowStart: EventLoopUtilization = performance.eventLoopUtilization()
  private _windowStartedAtMs = steadyNowMs()
  private _share = 0

  /** Share of the latest whole second or longer window, 0 to 1; 0 in the first second. */
  read (): number {
    const nowMs = steadyNowMs()
    if (nowMs - this._windowStartedAtMs >= WINDOW_MS) {
      const current = performance.eventLoopUtilization()
      this._share = performance.eventLoopUtilization(current, this._windowStart).utilization
      this._windowStart = current
      this._windowStartedAtMs = nowMs
    }
    return this._share
  }
}
