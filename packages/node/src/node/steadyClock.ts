/** A clock that never goes back, and a delay. */
import { performance } from 'node:perf_hooks'

/** Milliseconds since the start of the process; the time for which the machine is suspended is not counted. */
export function steadyNowMs (): number {
  return performance.now()
}

/** Resolves after `delayMs`. */
export async function delay (delayMs: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, delayMs) })
}
