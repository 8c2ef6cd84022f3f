/** Bytes of workers' answers that a node holds for all its requests. */
import { MemoryBudget, type MemoryClaim } from '@trefoilshunt/core'

/** A part of what a node's process may take, beside what its calls read and write at a time. */
const MAX_HELD_BYTES = 32 * 1024 * 1024
/** Share of the memory for callers. What is read of workers takes about as much again until it is collected. */
const MAX_MEMORY_SHARE = 0.25
/** No address of a caller. */
const ANSWERS_OWNER = 'answers'

/**
 * Shared by all requests of a node. Each one limits what it holds itself; together they hold less when many do.
 *
 * @example
 * heldBytes.change(chunk.length)
 * if (heldBytes.isExceeded) pause()
 */
export class HeldBytes {
  private _byteCount = 0
  private readonly _maxBytes: number
  private readonly _claim: MemoryClaim

  /** They count in `memory`, of which they take a quarter at most. */
  constructor (maxBytes = MAX_HELD_BYTES, private readonly _memory = new MemoryBudget()) {
    this._maxBytes = Math.min(maxBytes, _memory.maxBytes * MAX_MEMORY_SHARE)
    this._claim = _memory.open(ANSWERS_OWNER, { isEvictable: false, evict: () => {}, resume: () => {} })
  }

  get byteCount (): number {
    return this._byteCount
  }

  /** True while no request should hold more. */
  get isExceeded (): boolean {
    return this._byteCount > this._maxBytes || this._memory.isExceeded
  }

  /** To be called with the bytes that a request holds in addition, or no longer. */
  change (bytes: number): void {
    this._byteCount += bytes
    this._claim.set(this._byteCount)
  }
}
