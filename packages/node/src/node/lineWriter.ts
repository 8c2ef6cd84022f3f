/** Writes log lines to a stream without waiting for its reader; lines beyond the limits are dropped. */
import { TokenBucket } from '@trefoilshunt/core'
import { steadyNowMs } from './steadyClock.js'

/** Limits of a `LineWriter`. */
export interface LineWriterOptions {
  /** Average number of lines per second; lines beyond it are dropped and counted. */
  linesPerSecond: number
  /** Number of lines that may be written at once after a quiet time. */
  burst: number
  /** Bytes in the stream's buffer above which lines are dropped. */
  maxPendingBytes: number
}

/** With a slow reader, lines are dropped and requests are not delayed. */
const DEFAULT_OPTIONS: LineWriterOptions = { linesPerSecond: 500, burst: 2_000, maxPendingBytes: 1024 * 1024 }

interface LineStream {
  readonly writableLength: number
  write (text: string): boolean
}

/**
 * Writes lines within limits of rate and buffer size. The number of dropped lines is reported before the next line that is written.
 *
 * @example
 * const writer = new LineWriter(process.stdout)
 * writer.write('event=started\n')
 */
export class LineWriter {
  private readonly _rateLimiter: TokenBucket
  private readonly _options: LineWriterOptions
  private _dropped = 0

  constructor (private readonly _stream: LineStream, options: Partial<LineWriterOptions> = {}) {
    this._options = { ...DEFAULT_OPTIONS, ...options }
    this._rateLimiter = new TokenBucket({ ratePerSecond: this._options.linesPerSecond, burst: this._options.burst })
  }

  /** Number of dropped lines that have not been reported yet. */
  get dropped (): number {
    return this._dropped
  }

  /** Writes a line, which ends with a line break, or drops it. */
  write (line: string): void {
    if (this._stream.writableLength > this._options.maxPendingBytes || !this._rateLimiter.tryTake(steadyNowMs())) {
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

/** Standard output, set to non-blocking: a full pipe does not block the process. */
export function openStandardOutput (): LineStream {
  const { _handle: handle } = process.stdout as unknown as { _handle?: { setBlocking?: (isBlocking: boolean) => void } }
  handle?.setBlocking?.(false)
  // A reader that closes the pipe causes an error event, which would end the process if it were not handled.
  process.stdout.on('error', () => {})
  return process.stdout
}
