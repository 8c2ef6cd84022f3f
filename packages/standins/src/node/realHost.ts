/** The real clock, for stand-ins that run as servers. */
import { toDisposable } from '@trefoilshunt/core'
import type { IStandinHost } from '../common/standinHost.js'

/** Uses the time and the timers of the process. */
export const realHost: IStandinHost = {
  nowMs: () => Date.now(),
  after: (delayMs, action) => {
    const timer = setTimeout(action, delayMs)
    return toDisposable(() => clearTimeout(timer))
  }
}
