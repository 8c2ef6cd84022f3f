/** A delay that can be ended before its time. */

/**
 * One wait at a time.
 *
 * @example
 * await joinDelay.wait(1_000) // elsewhere: joinDelay.end()
 */
export class InterruptibleDelay {
  private _end: (() => void) | undefined

  /** Resolves after `delayMs`, or at the next `end`. */
  async wait (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, delayMs)
      this._end = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    this._end = undefined
  }

  /** Ends the wait in progress, if there is one. */
  end (): void {
    this._end?.()
  }
}
