/** Bytes that are appended in pieces and read as a whole or from an offset. */

const MIN_CAPACITY_BYTES = 256

/**
 * Holds at most twice as many bytes as were appended, whatever the sizes of the pieces.
 *
 * @example
 * buffer.append(chunk)
 * const rest = buffer.from(sentBytes)
 */
export class GrowingBuffer {
  private _bytes = Buffer.alloc(0)
  private _byteCount = 0

  /** Bytes appended so far. */
  get byteCount (): number {
    return this._byteCount
  }

  /** Bytes of memory held. */
  get capacityBytes (): number {
    return this._bytes.length
  }

  append (bytes: Uint8Array): void {
    const byteCount = this._byteCount + bytes.length
    if (byteCount > this._bytes.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, byteCount, 2 * this._byteCount))
      this._bytes.copy(grown, 0, 0, this._byteCount)
      this._bytes = grown
    }
    this._bytes.set(bytes, this._byteCount)
    this._byteCount = byteCount
  }

  /** The bytes after an offset; not a copy. */
  from (offset: number): Buffer {
    return this._bytes.subarray(offset, this._byteCount)
  }
}
