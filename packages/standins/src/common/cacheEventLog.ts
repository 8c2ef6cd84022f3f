/** The cache events that an engine publishes: late, and with gaps. */
import type { CacheEvent } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

/** Events that can still be read. */
const EVENTS_KEPT = 1_000

export interface CacheEventLogOptions {
  /** Age of an event when it can be read. */
  lagMs: number
  /** One of so many events is lost. */
  lossEvery: number
}

export class CacheEventLog {
  private readonly _events: Array<{ atMs: number, event: CacheEvent }> = []
  private _lastSequence = 0

  constructor (private readonly _options: CacheEventLogOptions, private readonly _host: IStandinHost) {}

  /** Events from a sequence on that are old enough to be seen. */
  read (fromSequence: number): CacheEvent[] {
    const untilMs = this._host.nowMs() - this._options.lagMs
    return this._events.filter(({ atMs, event }) => atMs <= untilMs && event.sequence >= fromSequence).map(({ event }) => event)
  }

  publish (kind: CacheEvent['kind'], session: string): void {
    this._lastSequence++
    const isLost = this._lastSequence % this._options.lossEvery === 0
    if (!isLost) this._events.push({ atMs: this._host.nowMs(), event: { sequence: this._lastSequence, kind, session } })
    if (this._events.length > EVENTS_KEPT) this._events.shift()
  }
}
