/** Port for calls to backend servers. */
import { inject, injectable } from 'tsyringe'
import { IEffects } from './effectQueue.js'
import type { BackendRequest } from './effects.js'
import type { BackendEvent } from './events.js'
import { type IDisposable, toDisposable } from './lifecycle.js'

/** A worker and its `host:port`. */
export interface BackendTarget {
  worker: string
  address: string
}

/** Sends requests to model engines and services. */
export interface IBackends {
  /**
   * Starts a call. The listener gets any number of `chunk` events and then exactly one final event.
   * Disposing the result cancels the call; no event follows then.
   */
  call (target: BackendTarget, request: BackendRequest, timeoutMs: number, listener: (event: BackendEvent) => void): IDisposable
}
export const IBackends = Symbol('IBackends')

@injectable()
export class BackendPort implements IBackends {
  private readonly _listeners = new Map<number, (event: BackendEvent) => void>()

  constructor (@inject(IEffects) private readonly _effects: IEffects) {}

  call (target: BackendTarget, request: BackendRequest, timeoutMs: number, listener: (event: BackendEvent) => void): IDisposable {
    const callId = this._effects.nextId()
    this._listeners.set(callId, listener)
    this._effects.emit({ type: 'callBackend', callId, address: target.address, worker: target.worker, request, timeoutMs })
    return toDisposable(() => {
      if (this._listeners.delete(callId)) this._effects.emit({ type: 'cancelBackend', callId })
    })
  }

  /** Passes an event of a call, as the host reports it, to the call's listener. */
  handleEvent (callId: number, event: BackendEvent): void {
    const listener = this._listeners.get(callId)
    if (event.type !== 'chunk') this._listeners.delete(callId)
    listener?.(event)
  }
}
