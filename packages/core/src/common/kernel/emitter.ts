/** Typed events between the plug-ins of one node. */
import { type IDisposable, toDisposable } from './lifecycle.js'

/** Adds a listener; disposing the result removes it. */
export type Event<T> = (listener: (value: T) => void) => IDisposable

/**
 * The firing side of an event.
 *
 * @example
 * const emitter = new Emitter<number>()
 * emitter.event(value => total += value)
 * emitter.fire(3)
 */
export class Emitter<T> implements IDisposable {
  private readonly _listeners = new Set<(value: T) => void>()

  readonly event: Event<T> = listener => {
    this._listeners.add(listener)
    return toDisposable(() => this._listeners.delete(listener))
  }

  /** Calls every listener in the order of subscription. */
  fire (value: T): void {
    for (const listener of [...this._listeners]) listener(value)
  }

  dispose (): void {
    this._listeners.clear()
  }
}
