/** Collects bytes that arrive in pieces of any size. */

/** Smaller pieces are copied, because each one held would cost an object of its own. */
const MIN_PIECE_BYTES = 4 * 1024
const BLOCK_BYTES = 16 * 1024
/** What an array of bytes takes beside them in Node.js 20, in the heap and outside of it. */
const OBJECT_BYTES = 256

/**
 * Holds the bytes in blocks, so that their cost in memory does not depend on the sizes of the pieces.
 *
 * @example
 * collector.add(chunk)
 * const body = collector.concat()
 */
export class ByteCollector {
  private _blocks: Uint8Array[] = []
  /** A small piece that is held as it came, until another one follows. */
  private _small: Uint8Array | undefined
  private _open: Buffer | undefined
  private _openBytes = 0
  private _byteCount = 0
  private _blockBytes = 0

  /** Bytes held. */
  get byteCount (): number {
    return this._byteCount
  }

  /** Memory that they take: whole blocks, also where they are not full, and the objects that hold them. */
  get heldBytes (): number {
    return this._blockBytes + (this._small?.length ?? 0) + (this._open === undefined ? 0 : BLOCK_BYTES) + (this._blocks.length + 2) * OBJECT_BYTES
  }

  add (bytes: Uint8Array): void {
    this._byteCount += bytes.length
    if (bytes.length >= MIN_PIECE_BYTES) {
      this._closeBlock()
      this._keep(bytes)
      return
    }
    if (this._open === undefined && this._small === undefined) {
      this._small = bytes
      return
    }
    if (this._openBytes + bytes.length > BLOCK_BYTES) this._closeBlock()
    this._copy(bytes)
  }

  /** Returns the bytes in order, in as many arrays as are held, and holds none from now on. */
  drain (): Uint8Array[] {
    this._closeBlock()
    this._byteCount = 0
    this._blockBytes = 0
    return this._blocks.splice(0)
  }

  /** As `drain`, in one buffer. */
  concat (): Buffer {
    const blocks = this.drain()
    return blocks.length === 1 ? Buffer.from(blocks[0].buffer, blocks[0].byteOffset, blocks[0].byteLength) : Buffer.concat(blocks)
  }

  private _copy (bytes: Uint8Array): void {
    this._open ??= Buffer.allocUnsafeSlow(BLOCK_BYTES)
    const small = this._small
    this._small = undefined
    for (const piece of small === undefined ? [bytes] : [small, bytes]) {
      this._open.set(piece, this._openBytes)
      this._openBytes += piece.length
    }
  }

  private _closeBlock (): void {
    if (this._small !== undefined) this._keep(this._small)
    if (this._open !== undefined) this._keep(shrink(this._open.subarray(0, this._openBytes)))
    this._small = undefined
    this._open = undefined
    this._openBytes = 0
  }

  private _keep (block: Uint8Array): void {
    this._blocks.push(block)
    this._blockBytes += block.length
  }
}

/** A copy of a block that is mostly empty. */
function shrink (block: Buffer): Buffer {
  return block.length < BLOCK_BYTES / 2 ? Buffer.from(block) : block
}
