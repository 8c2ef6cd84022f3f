/** Time and chance as the stand-ins see them, real or virtual. */
import type { IDisposable } from '@trefoilshunt/core'

/** What a stand-in needs of the program that hosts it. */
export interface IStandinHost {
  nowMs (): number
  after (delayMs: number, action: () => void): IDisposable
}
