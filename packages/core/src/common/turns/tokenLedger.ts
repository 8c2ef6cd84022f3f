/** Tokens that programs have used and reserved. */

/** What one program has spent of its budget. */
export interface ProgramAccount {
  usedTokens: number
  /** Most tokens of each turn whose end isn't known, by request id. */
  openTurns: Map<string, number>
}

export interface ReserveOptions {
  programId: string
  requestId: string
  /** The most tokens that all turns of the program may generate. */
  budgetTokens: number
  /** The most tokens that this turn generates. */
  maxTokens: number
}

/**
 * Accounts of the programs of one partition. A turn reserves its maximum before it runs and settles what its caller was
 * given, so the sum never passes the budget, whatever happens to the nodes in between.
 *
 * @example
 * const ledger = new TokenLedger()
 * if (ledger.reserve({ programId, requestId, budgetTokens: 4_000, maxTokens: 500 })) run()
 */
export class TokenLedger {
  private readonly _accounts = new Map<string, ProgramAccount>()

  get size (): number {
    return this._accounts.size
  }

  find (programId: string): ProgramAccount | undefined {
    return this._accounts.get(programId)
  }

  /** False when the budget doesn't hold the turn at its maximum beside all open ones. */
  reserve ({ programId, requestId, budgetTokens, maxTokens }: ReserveOptions): boolean {
    const account = this._accounts.get(programId) ?? { usedTokens: 0, openTurns: new Map<string, number>() }
    if (!account.openTurns.has(requestId)) {
      if (account.usedTokens + sum(account.openTurns.values()) + maxTokens > budgetTokens) return false
      account.openTurns.set(requestId, maxTokens)
    }
    this._accounts.set(programId, account)
    return true
  }

  /** Replaces a reservation by what was used; false when the turn had none, as after a repeated report. */
  settle (programId: string, requestId: string, usedTokens: number): boolean {
    const account = this._accounts.get(programId)
    if (account === undefined || !account.openTurns.delete(requestId)) return false
    account.usedTokens += usedTokens
    return true
  }

  /** Puts an account in place as it was recorded. */
  restore (programId: string, account: ProgramAccount): void {
    this._accounts.set(programId, account)
  }

  drop (programId: string): void {
    this._accounts.delete(programId)
  }
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}
