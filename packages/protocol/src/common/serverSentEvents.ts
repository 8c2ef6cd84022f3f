/** An incremental parser of server-sent event streams. */

/** One event; its data lines are joined by line feeds. */
export interface ServerSentEvent {
  /** `message` if the stream names no event type. */
  event: string
  data: string
}

/** An incomplete line longer than this is discarded, which limits the memory that a server can take. */
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

  /** Adds the next part of the stream and returns the events that it completes. */
  push (text: string): ServerSentEvent[] {
    const events: ServerSentEvent[] = []
    const lines = (this._pending + text).split(/\r\n|\n|\r/)
    this._pending = lines.pop() ?? ''
    if (this._pending.length > MAX_PENDING_CHARACTERS) this._pending = ''
    for (const line of lines) this._parseLine(line, events)
    return events
  }

  private _parseLine (line: string, events: ServerSentEvent[]): void {
    if (line === '') {
      if (this._dataLines.length > 0) events.push({ event: this._eventName === '' ? 'message' : this._eventName, data: this._dataLines.join('\n') })
      this._eventName = ''
      this._dataLines = []
      return
    }
    const colon = line.indexOf(':')
    const field = colon < 0 ? line : line.slice(0, colon)
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '')
    if (field === 'event') this._eventName = value
    if (field === 'data') this._dataLines.push(value)
  }
}
