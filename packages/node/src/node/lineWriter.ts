/** Writes log lines to standard output without ever waiting for its reader. */
import { TokenBucket } from '@trefoilshunt/core'
import { steadyNowMs } from './steadyClock.js'

export interface LineWriterOptions {
  /** Lines per second on average; more are dropped and counted. */
  linesPerSecond: number
  /** Lines that may come at once. */
  burst: number
  /** Bytes that may wait for the reader. */
  maxPendingBytes: number
}

/** A reader that is slower than this loses lines, not requests. */
const DEFAULTS: LineWriterOptions = { linesPerSecond: 500, burst: 2_000, maxPendingBytes: 1024 * 1024 }

interface LineStream {
  readonly writableLength: number
  write (text: string): boolean
}

/**
 * @example
 * const writer = new LineWriter(process.stdout)
 * writer.write('event=started\n')
 */
export class LineWriter {
  private readonly _bucket: TokenBucket
  private readonly _options: LineWriterOptions
  private _dropped = 0

  constructor (private readonly _stream: LineStream, options: Partial<LineWriterOptions> = {}) {
    this._options = { ...DEFAULTS, ...options }
    this._bucket = new TokenBucket({ ratePerSecond: this._options.linesPerSecond, burst: this._options.burst })
  }

  /** Lines dropped so far and not yet reported. */
  get dropped (): number {
    return this._dropped
  }

  write (line: string): void {
    if (this._stream.writableLength > this._options.maxPendingBytes || !this._bucket.tryTake(steadyNowMs())) {
      this._dropped++
      return
    }
    if (this._dropped > 0) {
      this._stream.write(`level=warn event=logLinesDropped lines=${this._dropped}\n`)
      this._dropped = 0
    }
    this._stream.write(line)
  }
}

/** Standard output as a stream that doesn't block on a full pipe. */
export function openStandardOutput (): LineStream {
  const { _handle: handle } = process.stdout as unknown as { _handle?: { setBlocking?: (isBlocking: boolean) => void } }
  handle?.setBlocking?.(false)
  // A reader that has gone away must not end the process.
  process.stdout.on('error', () => {})
  return process.stdout
}
