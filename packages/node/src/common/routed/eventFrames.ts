/** Splits the bytes of an event stream into complete events. */

const LINE_FEED = 10
/** Longest end of an event that may have arrived in part: a line feed, a carriage return and a line feed. */
const MAX_FRAME_END_BYTES = 3

/** One event with its original bytes. */
export interface EventFrame {
  bytes: Buffer
  /** Absent when the event carries none. */
  id?: string
  /** The event's data; undefined for frames without any, such as comments. */
  data?: string
}

/**
 * Accepts chunks of any size. Text is decoded as Latin-1, so that data keeps its bytes.
 *
 * @example
 * for (const frame of splitter.push(chunk)) forward(frame.bytes)
 */
export class EventFrameSplitter {
  private _pending: Buffer = Buffer.alloc(0)
  /** Bytes of `_pending` in which no event ends. */
  private _searchedBytes = 0

  /** Bytes after the last complete event. */
  get rest (): Buffer {
    return this._pending
  }

  /** Adds bytes and returns the events that are now complete. */
  push (bytes: Uint8Array): EventFrame[] {
    this._pending = this._pending.length === 0 ? Buffer.from(bytes) : Buffer.concat([this._pending, bytes])
    const frames: EventFrame[] = []
    let start = 0
    for (let end = findFrameEnd(this._pending, this._searchedBytes); end >= 0; end = findFrameEnd(this._pending, start)) {
      frames.push(parseFrame(this._pending.subarray(start, end)))
      start = end
    }
    this._pending = this._pending.subarray(start)
    this._searchedBytes = Math.max(0, this._pending.length - MAX_FRAME_END_BYTES + 1)
    return frames
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

function parseFrame (bytes: Buffer): EventFrame {
  const frame: EventFrame = { bytes }
  const data: string[] = []
  for (const line of bytes.toString('latin1').split(/\r?\n/)) {
    const colon = line.indexOf(':')
    if (colon <= 0) continue
    const value = line.slice(colon + 1).replace(/^ /, '')
    const field = line.slice(0, colon)
    if (field === 'id') frame.id = value
    if (field === 'data') data.push(value)
  }
  if (data.length > 0) frame.data = data.join('\n')
  return frame
}
