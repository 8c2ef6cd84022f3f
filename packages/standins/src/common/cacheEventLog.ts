/** The cache events that an engine publishes, with a delay and with gaps. */
import type { CacheEvent } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

/** Older events are dropped. */
const MAX_EVENTS = 1_000

/** Delay and gaps of the events. */
export interface CacheEventLogOptions {
  /** Age from which an event can be read. */
  lagMs: number
  /** Every event whose sequence number is a multiple of this is lost. */
  lossEvery: number
}

/** Numbers events from 1; a lost event leaves a gap in the numbers. */
export class CacheEventLog {
  private readonly _events: Array<{ atMs: number, event: CacheEvent }> = []
  private _lastSequence = 0

  constructor (private readonly _options: CacheEventLogOptions, private readonly _host: IStandinHost) {}

  /** Events from a sequence number on that are old enough to be read. */
  read (fromSequence: number): CacheEvent[] {
    const untilMs = this._host.nowMs() - this._options.lagMs
    return this._events.filter(({ atMs, event }) => atMs <= untilMs && event.sequence >= fromSequence).map(({ event }) => event)
  }

  publish (kind: CacheEvent['kind'], session: string): void {
    this._lastSequence++
    const isLost = this._lastSequence % this._options.lossEvery === 0
    if (!isLost) this._events.push({ atMs: this._host.nowMs(), event: { sequence: this._lastSequence, kind, session } })
    if (this._events.length > MAX_EVENTS) this._events.shift()
  }
}
