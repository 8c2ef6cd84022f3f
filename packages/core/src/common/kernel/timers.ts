/** Timers, which the host runs as effects. */
import { inject, injectable } from 'tsyringe'
import { IEffects } from './effectQueue.js'
import { type IDisposable, toDisposable } from './lifecycle.js'

/** Runs functions after a delay. */
export interface ITimers {
  /** Calls `action` once after `delayMs`, rounded up to whole milliseconds, unless the result is disposed before. */
  after (delayMs: number, action: () => void): IDisposable
  /** Calls `action` every `periodMs`, first after one period, until the result is disposed. */
  every (periodMs: number, action: () => void): IDisposable
}
export const ITimers = Symbol('ITimers')

@injectable()
export class KernelTimers implements ITimers {
  private readonly _actions = new Map<number, () => void>()

  constructor (@inject(IEffects) private readonly _effects: IEffects) {}

  after (delayMs: number, action: () => void): IDisposable {
    const timerId = this._effects.nextId()
    this._actions.set(timerId, action)
    this._effects.emit({ type: 'setTimer', timerId, delayMs: Math.max(0, Math.ceil(delayMs)) })
    return toDisposable(() => {
      if (this._actions.delete(timerId)) this._effects.emit({ type: 'cancelTimer', timerId })
    })
  }

  every (periodMs: number, action: () => void): IDisposable {
    let isStopped = false
    let pendingTimer: IDisposable | undefined
    const arm = () => {
      pendingTimer = this.after(periodMs, () => {
        if (isStopped) return
        arm()
        action()
      })
    }
    arm()
    return toDisposable(() => {
      isStopped = true
      pendingTimer?.dispose()
    })
  }

  /** Runs the action of a timer that the host reports as fired. */
  handleFired (timerId: number): void {
    const action = this._actions.get(timerId)
    this._actions.delete(timerId)
    action?.()
  }
}
