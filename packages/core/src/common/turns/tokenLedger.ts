/** Token accounts of programs: tokens used, reserved by running turns, and allowed before the next record. */

/** Token account of one program. */
export interface ProgramAccount {
  /** Tokens of turns that have ended. */
  usedTokens: number
  /** Reserved tokens, the maximum of each turn whose end is not known, by request id. */
  openTurns: Map<string, number>
  /** Total that the newest record of the account allows: used and reserved tokens, and an allowance for further turns. */
  allowedTokens: number
  /** Budget that the program's newest turn stated. */
  budgetTokens: number
}

/** A turn that needs a reservation. */
export interface ReserveOptions {
  programId: string
  requestId: string
  /** The most tokens that all turns of the program may generate. */
  budgetTokens: number
  /** The most tokens that this turn generates. */
  maxTokens: number
}

/** Result of a reservation. */
export const TokenReservation = {
  /** The budget does not cover the turn's maximum in addition to the used and reserved tokens. */
  Spent: 'spent',
  /** The newest record of the account covers the turn. */
  Covered: 'covered',
  /** The account has to be recorded before the caller gets a token. */
  Extended: 'extended'
} as const
export type TokenReservation = typeof TokenReservation[keyof typeof TokenReservation]

/** Key in `openTurns` for tokens that an earlier owner had allowed and that may have been used. */
const UNKNOWN_USE_ID = ''
/**
 * Share of the remaining budget that a record allows in advance. Most turns then need no record of their own, and programs
 * continue while the log is down. The whole allowance counts as used if the owner crashes. Programs need about half of their
 * budgets.
 */
const ALLOWANCE_SHARE = 0.5

/**
 * Accounts of the programs of one partition. A turn reserves its maximum before it runs; its end replaces the reservation by
 * the tokens that the caller was given. A record allows more than is reserved, and after a takeover all of it counts as used.
 * The total therefore never exceeds the budget, even when nodes crash.
 *
 * @example
 * const ledger = new TokenLedger()
 * if (ledger.reserve({ programId, requestId, budgetTokens: 4_000, maxTokens: 500 }) !== TokenReservation.Spent) run()
 */
export class TokenLedger {
  private readonly _accounts = new Map<string, ProgramAccount>()

  /** Number of accounts. */
  get size (): number {
    return this._accounts.size
  }

  /** The account of a program; undefined when it has none. */
  find (programId: string): ProgramAccount | undefined {
    return this._accounts.get(programId)
  }

  /** Turns of the program whose end is not known. */
  openTurnCountOf (programId: string): number {
    return this._accounts.get(programId)?.openTurns.size ?? 0
  }

  /** True while the end of a turn of the program is not known. */
  hasOpenTurns (programId: string): boolean {
    return [...this._accounts.get(programId)?.openTurns.keys() ?? []].some(requestId => requestId !== UNKNOWN_USE_ID)
  }

  /** Reserves the maximum of a turn. A repeated request keeps its first reservation. */
  reserve ({ programId, requestId, budgetTokens, maxTokens }: ReserveOptions): TokenReservation {
    const account = this._accounts.get(programId) ?? { usedTokens: 0, openTurns: new Map<string, number>(), allowedTokens: 0, budgetTokens }
    if (account.openTurns.has(requestId)) return TokenReservation.Covered
    const committed = committedTokens(account) + maxTokens
    if (committed > budgetTokens) return TokenReservation.Spent
    account.openTurns.set(requestId, maxTokens)
    account.budgetTokens = budgetTokens
    this._accounts.set(programId, account)
    if (committed <= account.allowedTokens) return TokenReservation.Covered
    this.extendAllowance(programId)
    return TokenReservation.Extended
  }

  /** True when the newest record covers the turn, which then needs no record of its own. */
  isCovered ({ programId, requestId, maxTokens }: ReserveOptions): boolean {
    const account = this._accounts.get(programId)
    if (account === undefined) return false
    return account.openTurns.has(requestId) || committedTokens(account) + maxTokens <= account.allowedTokens
  }

  /** Replaces a reservation by the tokens used; false when the turn has none, as after a repeated report. */
  reconcile (programId: string, requestId: string, usedTokens: number): boolean {
    const account = this._accounts.get(programId)
    if (account === undefined || requestId === UNKNOWN_USE_ID || !account.openTurns.delete(requestId)) return false
    account.usedTokens += usedTokens
    return true
  }

  /** Allows tokens for further turns. The account has to be recorded before they are used. */
  extendAllowance (programId: string): void {
    const account = this._accounts.get(programId)
    if (account === undefined) return
    const committed = committedTokens(account)
    const remainingTokens = Math.max(0, account.budgetTokens - committed)
    account.allowedTokens = committed + Math.floor(ALLOWANCE_SHARE * remainingTokens)
  }

  /** The newest record of the account is not in the log: the next turn needs one again. */
  withdrawRecord (programId: string): void {
    const account = this._accounts.get(programId)
    if (account !== undefined) account.allowedTokens = 0
  }

  /** Withdraws the unused allowance of every account; returns the programs whose accounts have to be recorded. */
  withdrawAllowances (): string[] {
    const changedPrograms: string[] = []
    for (const [programId, account] of this._accounts) {
      const committed = committedTokens(account)
      if (account.allowedTokens <= committed) continue
      account.allowedTokens = committed
      changedPrograms.push(programId)
    }
    return changedPrograms
  }

  /** Sets an account that an earlier owner recorded. Its unused allowance becomes a reservation that never ends. */
  restore (programId: string, account: ProgramAccount): void {
    const unusedAllowance = account.allowedTokens - committedTokens(account)
    if (unusedAllowance > 0) account.openTurns.set(UNKNOWN_USE_ID, (account.openTurns.get(UNKNOWN_USE_ID) ?? 0) + unusedAllowance)
    this._accounts.set(programId, account)
  }

  remove (programId: string): void {
    this._accounts.delete(programId)
  }
}

/** Tokens that the account's program has used and reserved. */
export function committedTokens (account: ProgramAccount): number {
  let total = account.usedTokens
  for (const tokens of account.openTurns.values()) total += tokens
  return total
}
