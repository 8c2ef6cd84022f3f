/** Bytes of workers' answers that a node holds for all its requests. */

/** A part of what a node's process may take, beside what its calls read and write at a time. */
const MAX_HELD_BYTES = 32 * 1024 * 1024

/**
 * Shared by all requests of a node. Each one limits what it holds itself; together they hold less when many do.
 *
 * @example
 * heldBytes.change(chunk.length)
 * if (heldBytes.isExceeded) pause()
 */
export class HeldBytes {
  private _byteCount = 0

  constructor (private readonly _maxBytes = MAX_HELD_BYTES) {}

  get byteCount (): number {
    return this._byteCount
  }

  /** True while no request should hold more. */
  get isExceeded (): boolean {
    return this._byteCount > this._maxBytes
  }

  /** To be called with the bytes that a request holds in addition, or no longer. */
  change (bytes: number): void {
    this._byteCount += bytes
  }
}
