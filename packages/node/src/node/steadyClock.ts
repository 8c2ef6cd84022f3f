/** Time that only moves forward. */
import { performance } from 'node:perf_hooks'

/** Milliseconds of the steady clock; not counted while the machine is suspended. */
export function steadyNowMs (): number {
  return performance.now()
}

/** Resolves after `delayMs`. */
export async function delay (delayMs: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, delayMs) })
}
