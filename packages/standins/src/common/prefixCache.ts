/** Key-value cache of one engine, in tokens by program. */

interface CacheEntry {
  tokens: number
  retainUntilMs: number
}

/** Evicts the least recently stored programs first, and those whose retention has ended before all others. */
export class PrefixCache {
  private readonly _entries = new Map<string, CacheEntry>()
  /** Called for every program that is evicted for lack of memory. */
  onDidEvict: (session: string) => void = () => {}
  private _tokens = 0

  /** Tokens of all programs. */
  get tokens (): number {
    return this._tokens
  }

  /** Cached tokens of a program, 0 if there are none. */
  tokensOf (session: string): number {
    return this._entries.get(session)?.tokens ?? 0
  }

  sessions (): Array<{ session: string, tokens: number }> {
    return [...this._entries].map(([session, entry]) => ({ session, tokens: entry.tokens }))
  }

  /** Replaces the cache of a program. */
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

  /** Evicts programs until at least `tokens` tokens are freed or the cache is empty. */
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
