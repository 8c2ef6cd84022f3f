/** An incremental reader of server-sent event streams. */

export interface ServerSentEvent {
  event: string
  data: string
}

const MAX_PENDING_CHARACTERS = 4_000_000

/**
 * Cuts a stream of text into events. It takes any split of the text and never throws.
 *
 * @example
 * const reader = new EventStreamReader()
 * for (const event of reader.push(chunk)) handle(event)
 */
export class EventStreamReader {
  private _pending = ''
  private _event = ''
  private _data: string[] = []

  /** Takes the next piece of the stream and returns the events that it completes. */
  push (text: string): ServerSentEvent[] {
    const events: ServerSentEvent[] = []
    const lines = (this._pending + text).split(/\r\n|\n|\r/)
    this._pending = lines.pop() ?? ''
    if (this._pending.length > MAX_PENDING_CHARACTERS) this._pending = ''
    for (const line of lines) this._takeLine(line, events)
    return events
  }

  private _takeLine (line: string, events: ServerSentEvent[]): void {
    if (line === '') {
      if (this._data.length > 0) events.push({ event: this._event === '' ? 'message' : this._event, data: this._data.join('\n') })
      this._event = ''
      this._data = []
      return
    }
    const colon = line.indexOf(':')
    const field = colon < 0 ? line : line.slice(0, colon)
    const value = colon < 0 ? '' : line.slice(colon + 1).replace(/^ /, '')
    if (field === 'event') this._event = value
    if (field === 'data') this._data.push(value)
  }
}
