/** How many programs of each client account were seen and how many began, lately. */

/** Counts halve in this time, in which most programs of the users' sheets end and callers have given up on refused ones. */
const HALF_LIFE_MS = 3_000
/** Below this many programs a ratio says nothing yet. */
const MIN_ASKED = 1
/** Counts below this are forgotten. */
const NEGLIGIBLE = 0.01

interface Counts {
  asked: number
  begun: number
  atMs: number
}

/**
 * @example
 * begins.recordAsked('yard-7', 0)
 * begins.recordBegun('yard-7', 20)
 * begins.servedRatioOf('yard-7', 30) // 1
 */
export class AccountBegins {
  private readonly _counts = new Map<string, Counts>()
  private readonly _all: Counts = { asked: 0, begun: 0, atMs: 0 }

  recordAsked (account: string | undefined, nowMs: number): void {
    if (account === undefined) return
    this._resolve(account, nowMs).asked++
    decay(this._all, nowMs).asked++
  }

  recordBegun (account: string | undefined, nowMs: number): void {
    if (account === undefined) return
    this._resolve(account, nowMs).begun++
    decay(this._all, nowMs).begun++
  }

  /** Share of the account's programs that began, relative to that of all accounts; 1 if too few were seen. */
  servedRatioOf (account: string, nowMs: number): number {
    const counts = this._counts.get(account)
    if (counts === undefined) return 1
    const { asked, begun } = decay(counts, nowMs)
    const all = decay(this._all, nowMs)
    return asked < MIN_ASKED || all.begun === 0 ? 1 : (begun / asked) / (all.begun / all.asked)
  }

  removeOld (nowMs: number): void {
    for (const [account, counts] of this._counts) {
      if (decay(counts, nowMs).asked < NEGLIGIBLE) this._counts.delete(account)
    }
  }

  private _resolve (account: string, nowMs: number): Counts {
    let counts = this._counts.get(account)
    if (counts === undefined) {
      counts = { asked: 0, begun: 0, atMs: nowMs }
      this._counts.set(account, counts)
    }
    return decay(counts, nowMs)
  }
}

/** Reduces the counts to what they are worth now. */
function decay (counts: Counts, nowMs: number): Counts {
  const factor = 0.5 ** ((nowMs - counts.atMs) / HALF_LIFE_MS)
  counts.asked *= factor
  counts.begun *= factor
  counts.atMs = nowMs
  return counts
}
