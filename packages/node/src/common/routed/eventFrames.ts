/** Splits the bytes of an event stream into complete events. */

const LINE_FEED = 10
/** Longest end of an event that may have arrived in part: a line feed, a carriage return and a line feed. */
const MAX_FRAME_END_BYTES = 3

/** One event with data. */
export interface StreamEvent {
  id?: string
  data: string
  /** Offset of the event's end in the bytes of its batch. */
  endOffset: number
}

/** What has become complete at once. */
export interface EventBatch {
  /** Events and frames without data, such as comments and blank lines, as they came. */
  bytes: Buffer
  /** The events with data, in order. */
  events: StreamEvent[]
}

/**
 * Accepts chunks of any size. Text is decoded as Latin-1, so that data keeps its bytes.
 *
 * @example
 * const { bytes, events } = splitter.push(chunk)
 */
export class EventFrameSplitter {
  private _pending: Buffer = Buffer.alloc(0)
  /** Bytes of `_pending` in which no event ends. */
  private _searchedBytes = 0

  /** Bytes after the last complete event. */
  get rest (): Buffer {
    return this._pending
  }

  /** Adds bytes and returns what is now complete. */
  push (bytes: Uint8Array): EventBatch {
    const pending = this._pending.length === 0 ? Buffer.from(bytes) : Buffer.concat([this._pending, bytes])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findFrameEnd(pending, this._searchedBytes); end >= 0; end = findFrameEnd(pending, start)) {
      const event = parseFrame(pending, start, end)
      if (event !== undefined) events.push(event)
      start = end
    }
    this._pending = pending.subarray(start)
    this._searchedBytes = Math.max(0, this._pending.length - MAX_FRAME_END_BYTES + 1)
    return { bytes: pending.subarray(0, start), events }
  }
}

/** Offset after the blank line that ends the event, or -1. */
function findFrameEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.indexOf(LINE_FEED, start); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
    if (bytes[index + 1] === LINE_FEED) return index + 2
    if (bytes[index + 1] === 13 && bytes[index + 2] === LINE_FEED) return index + 3
  }
  return -1
}

/** The event in a frame; undefined for a frame without data. */
function parseFrame (bytes: Buffer, start: number, end: number): StreamEvent | undefined {
  let id: string | undefined
  const data: string[] = []
  for (const line of bytes.toString('latin1', start, end).split(/\r?\n/)) {
    const colon = line.indexOf(':')
    if (colon <= 0) continue
    const value = line.slice(colon + 1).replace(/^ /, '')
    const field = line.slice(0, colon)
    if (field === 'id') id = value
    if (field === 'data') data.push(value)
  }
  return data.length === 0 ? undefined : { id, data: data.join('\n'), endOffset: end }
}
