/** An incremental parser of server-sent event streams. */

/** One event; its data lines are joined by line feeds. */
export interface ServerSentEvent {
  /** `message` if the stream names no event type. */
  event: string
  data: string
}

/** An incomplete event longer than this is discarded, which limits the memory that a server can take. */
const MAX_PENDING_CHARACTERS = 4_000_000

/**
 * Parses a stream of text into events. The text may be split at any place except between CR and LF: an event with several CRLF lines
 * is then cut into two. Never throws.
 *
 * @example
 * const reader = new EventStreamReader()
 * for (const event of reader.push(chunk)) handle(event)
 */
export class EventStreamReader {
  private _pending = ''
  private _eventName = ''
  private _dataLines: string[] = []
  private _dataCharacters = 0
  private _isOverlong = false

  /** True once an event was discarded because it was too long. */
  get isOverlong (): boolean {
    return this._isOverlong
  }

  /** Adds the next part of the stream and returns the events that it completes. */
  push (text: string): ServerSentEvent[] {
    const events: ServerSentEvent[] = []
    const lines = (this._pending + text).split(/\r\n|\n|\r/)
    this._pending = lines.pop() ?? ''
    for (const line of lines) this._parseLine(line, events)
    if (this._pending.length + this._dataCharacters > MAX_PENDING_CHARACTERS) this._discard()
    return events
  }

  private _parseLine (line: string, events: ServerSentEvent[]): void {
    if (line === '') {
      if (this._dataLines.length > 0) events.push({ event: this._eventName === '' ? 'message' : this._eventName, data: this._dataLines.join('\n') })
      this._eventName = ''
      this._dataLines = []
      this._dataCharacters = 0
      return
    }
    const colon = line.indexOf(':')
    const field = colon < 0 ? line : line.slice(0, colon)
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '')
    if (field === 'event') this._eventName = value
    if (field !== 'data') return
    this._dataLines.push(value)
    this._dataCharacters += value.length + 1
  }

  private _discard (): void {
    this._isOverlong = true
    this._pending = ''
    this._dataLines = []
    this._dataCharacters = 0
  }
}
