/** Queue of the effects of the event that is being handled, and the logger that writes to it. */
import { type Effect, type LogFields, LogLevel } from './effects.js'

/** Receives the effects that plug-ins request from the host. */
export interface IEffects {
  /** Queues an effect. The host performs effects in the order of the queue. */
  emit (effect: Effect): void
  /** Returns a number that is unique within the node's run, for timers, calls and log operations. */
  nextId (): number
}
export const IEffects = Symbol('IEffects')

export class EffectQueue implements IEffects {
  private _effects: Effect[] = []
  private _lastId = 0

  emit (effect: Effect): void {
    this._effects.push(effect)
  }

  nextId (): number {
    return ++this._lastId
  }

  /** Returns the queued effects and empties the queue. */
  drain (): Effect[] {
    const effects = this._effects
    this._effects = []
    return effects
  }
}

/** Writes one log line with the name of an event and its fields. */
export interface ILogger {
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
}
export const ILogger = Symbol('ILogger')

export class EffectLogger implements ILogger {
  constructor (private readonly _effects: IEffects) {}

  info (event: string, fields: LogFields = {}): void {
    this._effects.emit({ type: 'log', level: LogLevel.Info, event, fields })
  }

  warn (event: string, fields: LogFields = {}): void {
    this._effects.emit({ type: 'log', level: LogLevel.Warn, event, fields })
  }
}
