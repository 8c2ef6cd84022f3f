/** The clock of the stand-ins, real or virtual. */
import type { IDisposable } from '@trefoilshunt/core'

/** What a stand-in needs from the program that runs it. */
export interface IStandinHost {
  nowMs (): number
  /** Runs an action after a delay; disposing the result cancels it. */
  after (delayMs: number, action: () => void): IDisposable
}
