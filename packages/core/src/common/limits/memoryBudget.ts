/** Bytes that a process holds for callers, shared among them by the address that they connect from. */

/** What a holder reads at a time; a holder that may go on is expected to take this much. */
const READ_BYTES = 64 * 1024

export interface MemoryBudgetOptions {
  /** Infinite without a limit. */
  maxBytes?: number
  /** A holder that waits longer for room is evicted. */
  maxWaitMs?: number
}

/** What holds the bytes of a claim. */
export interface IMemoryHolder {
  /** True while what is held can be given up without harm, because the request has not begun to run. */
  readonly isEvictable: boolean
  /** Gives up what is held; the claim is closed by then. */
  evict (): void
  /** May take more bytes, after `take` returned false. */
  resume (): void
}

/** What one holder has taken of the budget. */
export class MemoryClaim {
  private _heldBytes = 0
  private _isClosed = false
  /** When the holder began to wait for room; undefined while it doesn't. */
  waitingSinceMs: number | undefined

  /** For `MemoryBudget.open`. */
  constructor (private readonly _budget: MemoryBudget, readonly owner: string, readonly holder: IMemoryHolder) {}

  get heldBytes (): number {
    return this._heldBytes
  }

  /** Sets what is held in total. Returns false if the holder must not take more before `resume`; what it has taken counts in any case. */
  take (heldBytes: number, nowMs: number): boolean {
    if (this._isClosed) return false
    this.set(heldBytes)
    return this._budget.makeRoom(this, nowMs)
  }

  /** As `take`, for a holder that can't wait. */
  set (heldBytes: number): void {
    if (this._isClosed) return
    const changeBytes = heldBytes - this._heldBytes
    this._heldBytes = heldBytes
    this._budget.change(this, changeBytes)
  }

  /** Nothing is held any longer; later calls do nothing. */
  close (): void {
    if (this._isClosed) return
    this.set(0)
    this._isClosed = true
    this._budget.remove(this)
  }
}

interface OwnerShare {
  heldBytes: number
  /** In order of their opening. */
  claims: Set<MemoryClaim>
}

/**
 * While more is held than the budget allows, the holder that takes more waits, and goes on when there is room. One whose owner holds less than another owner
 * doesn't wait: the newest evictable claims of the owner that holds most are evicted instead.
 *
 * @example
 * const claim = budget.open(callerAddress, holder)
 * if (!claim.take(receivedBytes, nowMs)) pause()
 * claim.close()
 */
export class MemoryBudget {
  readonly maxBytes: number
  private readonly _maxWaitMs: number
  private readonly _owners = new Map<string, OwnerShare>()
  private readonly _waiting = new Set<MemoryClaim>()
  private _heldBytes = 0

  constructor ({ maxBytes = Number.POSITIVE_INFINITY, maxWaitMs = 1_000 }: MemoryBudgetOptions = {}) {
    this.maxBytes = maxBytes
    this._maxWaitMs = maxWaitMs
  }

  get heldBytes (): number {
    return this._heldBytes
  }

  get isExceeded (): boolean {
    return this._heldBytes > this.maxBytes
  }

  /** Number of holders that wait for room. */
  get waitingCount (): number {
    return this._waiting.size
  }

  heldBytesOf (owner: string): number {
    return this._owners.get(owner)?.heldBytes ?? 0
  }

  /** A claim without bytes; it counts until it is closed. */
  open (owner: string, holder: IMemoryHolder): MemoryClaim {
    const claim = new MemoryClaim(this, owner, holder)
    let share = this._owners.get(owner)
    if (share === undefined) {
      share = { heldBytes: 0, claims: new Set() }
      this._owners.set(owner, share)
    }
    share.claims.add(claim)
    return claim
  }

  /** Evicts what has waited too long and lets others go on; to be called about once a second or more often. */
  expire (nowMs: number): void {
    for (const claim of [...this._waiting]) {
      if (nowMs - (claim.waitingSinceMs ?? nowMs) >= this._maxWaitMs) this._evict(claim)
    }
    this._resumeWaiting()
  }

  /** For `MemoryClaim`. */
  change ({ owner }: MemoryClaim, bytes: number): void {
    const share = this._owners.get(owner)
    if (share === undefined) return
    share.heldBytes += bytes
    this._heldBytes += bytes
    if (bytes < 0) this._resumeWaiting()
  }

  /** For `MemoryClaim`. */
  remove (claim: MemoryClaim): void {
    this._waiting.delete(claim)
    const share = this._owners.get(claim.owner)
    share?.claims.delete(claim)
    if (share?.claims.size === 0) this._owners.delete(claim.owner)
  }

  /** For `MemoryClaim`. */
  makeRoom (claim: MemoryClaim, nowMs: number): boolean {
    while (this.isExceeded) {
      const victim = this._findVictim(claim.owner)
      if (victim === undefined) {
        claim.waitingSinceMs ??= nowMs
        this._waiting.add(claim)
        return false
      }
      this._evict(victim)
    }
    return true
  }

  /** The newest evictable claim of the owner that holds most, if that is more than `owner` holds. */
  private _findVictim (owner: string): MemoryClaim | undefined {
    let victim: MemoryClaim | undefined
    let mostBytes = this.heldBytesOf(owner)
    for (const { heldBytes, claims } of this._owners.values()) {
      if (heldBytes <= mostBytes) continue
      const newest = [...claims].findLast(({ holder, heldBytes: claimBytes }) => holder.isEvictable && claimBytes > 0)
      if (newest === undefined) continue
      victim = newest
      mostBytes = heldBytes
    }
    return victim
  }

  private _evict (claim: MemoryClaim): void {
    claim.close()
    claim.holder.evict()
  }

  private _resumeWaiting (): void {
    if (this._waiting.size === 0) return
    let roomBytes = this.maxBytes - this._heldBytes
    for (const claim of [...this._waiting]) {
      if (roomBytes < READ_BYTES) return
      roomBytes -= READ_BYTES
      if (!this._waiting.delete(claim)) continue
      claim.waitingSinceMs = undefined
      claim.holder.resume()
    }
  }
}
