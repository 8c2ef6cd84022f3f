/** Key-value cache of one engine, by program, in limited memory. */

interface CacheEntry {
  tokens: number
  retainUntilMs: number
}

/** Least recently used programs go first, those whose retention has ended before the others. */
export class PrefixCache {
  private readonly _entries = new Map<string, CacheEntry>()
  /** Called for every program that is evicted for lack of memory. */
  onDidEvict: (session: string) => void = () => {}
  private _tokens = 0

  get tokens (): number {
    return this._tokens
  }

  tokensOf (session: string): number {
    return this._entries.get(session)?.tokens ?? 0
  }

  sessions (): Array<{ session: string, tokens: number }> {
    return [...this._entries].map(([session, entry]) => ({ session, tokens: entry.tokens }))
  }

  store (session: string, tokens: number, retainUntilMs: number): void {
    this.release(session)
    this._entries.set(session, { tokens, retainUntilMs })
    this._tokens += tokens
  }

  release (session: string): void {
    const entry = this._entries.get(session)
    if (entry === undefined) return
    this._tokens -= entry.tokens
    this._entries.delete(session)
  }

  /** Frees at least `tokens`, if there is as much. */
  evict (tokens: number, nowMs: number): void {
    let freed = 0
    const expired = [...this._entries].filter(([, entry]) => entry.retainUntilMs < nowMs)
    for (const [session] of [...expired, ...this._entries]) {
      if (freed >= tokens) return
      freed += this.tokensOf(session)
      this.release(session)
      this.onDidEvict(session)
    }
  }

  clear (): void {
    this._entries.clear()
    this._tokens = 0
  }
}
