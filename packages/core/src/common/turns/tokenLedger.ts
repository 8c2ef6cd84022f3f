/** Tokens that programs have used, reserved, and may use before the next record. */

/** What one program has spent of its budget. */
export interface ProgramAccount {
  usedTokens: number
  /** Most tokens of each turn whose end isn't known, by request id. */
  openTurns: Map<string, number>
  /** What the newest record of the account allows: used, open, and some ahead. */
  allowedTokens: number
  /** As the program's last turn stated it. */
  budgetTokens: number
}

export interface ReserveOptions {
  programId: string
  requestId: string
  /** The most tokens that all turns of the program may generate. */
  budgetTokens: number
  /** The most tokens that this turn generates. */
  maxTokens: number
}

export const TokenReservation = {
  /** The budget doesn't hold the turn at its maximum beside all open ones. */
  Spent: 'spent',
  /** The newest record of the account covers the turn. */
  Covered: 'covered',
  /** The account has to be recorded before the caller gets a token. */
  Extended: 'extended'
} as const
export type TokenReservation = typeof TokenReservation[keyof typeof TokenReservation]

/** Open entry for tokens that an earlier owner had allowed and that may have been used. */
const UNKNOWN_USE = ''
/**
 * Part of what is left of a budget that a record allows ahead, so that most turns need no record of their own and programs
 * go on while the log is down. All of it counts as used if the owner dies; programs need about half of their budgets.
 */
const SHARE_AHEAD = 0.5

/**
 * Accounts of the programs of one partition. A turn reserves its maximum before it runs and settles what its caller was
 * given. A record allows a little more than is reserved; after a takeover all of that counts as used. So the sum never
 * passes the budget, whatever happens to the nodes in between.
 *
 * @example
 * const ledger = new TokenLedger()
 * if (ledger.reserve({ programId, requestId, budgetTokens: 4_000, maxTokens: 500 }) !== TokenReservation.Spent) run()
 */
export class TokenLedger {
  private readonly _accounts = new Map<string, ProgramAccount>()

  get size (): number {
    return this._accounts.size
  }

  find (programId: string): ProgramAccount | undefined {
    return this._accounts.get(programId)
  }

  reserve ({ programId, requestId, budgetTokens, maxTokens }: ReserveOptions): TokenReservation {
    const account = this._accounts.get(programId) ?? { usedTokens: 0, openTurns: new Map<string, number>(), allowedTokens: 0, budgetTokens }
    if (account.openTurns.has(requestId)) return TokenReservation.Covered
    const committed = committedTokens(account) + maxTokens
    if (committed > budgetTokens) return TokenReservation.Spent
    account.openTurns.set(requestId, maxTokens)
    account.budgetTokens = budgetTokens
    this._accounts.set(programId, account)
    if (committed <= account.allowedTokens) return TokenReservation.Covered
    this.allowAhead(programId)
    return TokenReservation.Extended
  }

  /** True when the newest record covers the turn, so that it needs no other. */
  isCovered ({ programId, requestId, maxTokens }: ReserveOptions): boolean {
    const account = this._accounts.get(programId)
    if (account === undefined) return false
    return account.openTurns.has(requestId) || committedTokens(account) + maxTokens <= account.allowedTokens
  }

  /** Replaces a reservation by what was used; false when the turn had none, as after a repeated report. */
  settle (programId: string, requestId: string, usedTokens: number): boolean {
    const account = this._accounts.get(programId)
    if (account === undefined || requestId === UNKNOWN_USE || !account.openTurns.delete(requestId)) return false
    account.usedTokens += usedTokens
    return true
  }

  /** Allows tokens ahead; to be recorded before they are used. */
  allowAhead (programId: string): void {
    const account = this._accounts.get(programId)
    if (account === undefined) return
    const committed = committedTokens(account)
    const left = Math.max(0, account.budgetTokens - committed)
    account.allowedTokens = committed + Math.floor(SHARE_AHEAD * left)
  }

  /** Withdraws what was allowed ahead; returns the programs whose accounts have to be recorded. */
  seal (): string[] {
    const sealed: string[] = []
    for (const [programId, account] of this._accounts) {
      const committed = committedTokens(account)
      if (account.allowedTokens <= committed) continue
      account.allowedTokens = committed
      sealed.push(programId)
    }
    return sealed
  }

  /** Puts an account in place as an earlier owner recorded it. */
  restore (programId: string, account: ProgramAccount): void {
    const ahead = account.allowedTokens - committedTokens(account)
    if (ahead > 0) account.openTurns.set(UNKNOWN_USE, (account.openTurns.get(UNKNOWN_USE) ?? 0) + ahead)
    this._accounts.set(programId, account)
  }

  drop (programId: string): void {
    this._accounts.delete(programId)
  }
}

/** Tokens used and reserved. */
export function committedTokens (account: ProgramAccount): number {
  let total = account.usedTokens
  for (const tokens of account.openTurns.values()) total += tokens
  return total
}
