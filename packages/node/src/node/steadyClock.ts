/** Clocks of the process, and a delay. */
import { performance } from 'node:perf_hooks'
import type { ClockReading } from '@trefoilshunt/core'

/** Milliseconds since the start of the process; the time for which the machine is suspended is not counted. */
export function steadyNowMs (): number {
  return performance.now()
}

/** Reads the steady clock and the time of day at once. */
export function readClocks (): ClockReading {
  return { steadyMs: performance.now(), wallMs: Date.now() }
}

/** Resolves after `delayMs`. */
export async function delay (delayMs: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, delayMs) })
}
