/** In-memory state of one partition at its owner: turns and token accounts, rebuilt from the records of the log. */
import { type CachedPart, PromptCacheIndex, type PromptPart } from './promptCacheIndex.js'
import { committedTokens, type ProgramAccount, TokenLedger, TokenReservation } from './tokenLedger.js'
import { decodeRecord, decodeTurn, encodeAccount, encodeAccountRemoval, encodePartRemovals, encodeTurn, encodeTurnRemoval, type KeyedRecord, shortenId } from './turnRecords.js'
import { type RetainedTurn, TurnTree } from './turnTree.js'

/** An account that has not changed for this long is removed; its program is taken to have ended. */
const ACCOUNT_RETENTION_MS = 300_000
/** The same for an account with a turn whose end is not known. */
const OPEN_ACCOUNT_RETENTION_MS = 3_600_000
/** Parts of a turn whose other parts don't come are removed: the owner that recorded them was lost before the last one. */
const INCOMPLETE_TURN_RETENTION_MS = 60_000
/** Turns of one program whose end is not known. An account with more of them could exceed the largest record. */
const MAX_OPEN_TURNS = 1_000

/** Request of an entry node to the partition owner for permission to run a turn. */
export interface GrantRequest {
  programId: string
  requestId: string
  /** The turn to continue; absent for a turn without history. */
  previousTurnId?: string
  prompt: PromptPart[]
  /** Absent when the program has no budget. */
  budgetTokens?: number
  /** The most tokens that the turn may generate. */
  maxTokens: number
  /** Time after which the turn has ended, counted from the decision; absent from nodes of earlier builds. */
  timeLeftMs?: number
}

/** Decision on a turn. */
export type GrantDecision =
  /**
   * The turn may run. `chain` are the turns that it continues, oldest first; `cached` the parts of its prompt that a worker
   * probably has in its cache. `records` must be in the log before the caller gets a token.
   */
  | { type: 'granted', chain: RetainedTurn[], records: KeyedRecord[], cached: CachedPart[] }
  /** The budget does not cover the turn. */
  | { type: 'spent' }
  /** Too many turns of the program are open. */
  | { type: 'tooManyTurns' }
  /** The previous turn, or one before it, is not held. */
  | { type: 'noSuchTurn' }

/** Report of the entry node on a turn that has ended. */
export interface TurnEnd {
  programId: string
  requestId: string
  /** Tokens that the caller was given. */
  usedTokens: number
  /** Absent when no worker ran the turn. */
  worker?: string
  /** The prompt that the worker now has in its cache, with the generated text. */
  prompt: PromptPart[]
  /** Present when the answer is complete and the route retains turns. */
  turn?: RetainedTurn
}

interface IncompleteTurn {
  /** Undefined for parts that are not read yet. */
  parts: Array<Uint8Array | undefined>
  changedAtMs: number
}

export interface PartitionStateOptions {
  /** Largest record that the log accepts; larger turns are split. */
  maxRecordBytes: number
  /** Time for which turns are retained beyond their `keepMs`. */
  retentionMarginMs?: number
}

/**
 * Applies the records of one partition and decides on its turns. It has no clock and no I/O: the caller passes the
 * milliseconds of a clock that is never set, and appends the returned records to the log.
 *
 * @example
 * const decision = state.grant(request, nowMs)
 * if (decision.type === 'granted') append(decision.records)
 */
export class PartitionState {
  private readonly _turns = new TurnTree()
  private readonly _ledger = new TokenLedger()
  private readonly _accountChangedAtMs = new Map<string, number>()
  private readonly _promptCache = new PromptCacheIndex()
  /** Turns of which some parts are not read yet, by shortened turn id. */
  private readonly _incompleteTurns = new Map<string, IncompleteTurn>()
  private readonly _retentionMarginMs: number

  constructor (private readonly _options: PartitionStateOptions) {
    this._retentionMarginMs = _options.retentionMarginMs ?? 0
  }

  get turnCount (): number {
    return this._turns.size
  }

  /** Bytes of inputs and outputs of all turns held. */
  get turnBytes (): number {
    return this._turns.bytes
  }

  /** Programs that have a token account. */
  get programCount (): number {
    return this._ledger.size
  }

  /** Applies a record that was read from the log; false when it is damaged. */
  applyRecord (value: Uint8Array, nowMs: number): boolean {
    const record = decodeRecord(value)
    if (record === undefined) return false
    if (record.type === 'account') {
      this._restoreAccount(record.programId, record.account, nowMs)
      return true
    }
    const { parts } = this._incompleteTurns.get(record.turnId) ?? { parts: new Array<Uint8Array | undefined>(record.count).fill(undefined) }
    if (parts.length !== record.count) return false
    parts[record.index] = record.bytes
    this._incompleteTurns.set(record.turnId, { parts, changedAtMs: nowMs })
    if (parts.some(part => part === undefined)) return true
    this._incompleteTurns.delete(record.turnId)
    const turn = decodeTurn(parts.length === 1 ? parts[0] as Uint8Array : concatBytes(parts as Uint8Array[]))
    if (turn !== undefined) this._turns.add(turn, nowMs + this._retentionMarginMs)
    return turn !== undefined
  }

  /** Tokens that a program has used and reserved; 0 for an unknown program. */
  committedTokensOf (programId: string): number {
    const account = this._ledger.find(programId)
    return account === undefined ? 0 : committedTokens(account)
  }

  /** True when the turn can be granted without a new record. */
  isCovered ({ programId, requestId, budgetTokens, maxTokens }: GrantRequest): boolean {
    return budgetTokens === undefined || this._ledger.isCovered({ programId, requestId: shortenId(requestId), budgetTokens, maxTokens })
  }

  /** Decides whether a turn may run, reserves its tokens and retains the turns that it continues. */
  grant (request: GrantRequest, nowMs: number): GrantDecision {
    const { programId, previousTurnId, prompt, budgetTokens, maxTokens } = request
    const requestId = shortenId(request.requestId)
    const chain = previousTurnId === undefined ? [] : this._turns.chainOf(previousTurnId)
    if (chain === undefined) return { type: 'noSuchTurn' }
    let records: KeyedRecord[] = []
    if (budgetTokens !== undefined) {
      if (this._ledger.openTurnCountOf(programId) >= MAX_OPEN_TURNS) return { type: 'tooManyTurns' }
      const reservation = this._ledger.reserve({ programId, requestId, budgetTokens, maxTokens })
      if (reservation === TokenReservation.Spent) return { type: 'spent' }
      if (reservation === TokenReservation.Extended) records = this.accountRecords(programId, nowMs)
    }
    this._retainChain(chain, request, nowMs)
    return { type: 'granted', chain, records, cached: this._promptCache.find(prompt) }
  }

  /** Applies the end of a turn and returns the records to append; none when nothing changes, as for a repeated report. */
  recordEnd (turnEnd: TurnEnd, nowMs: number): KeyedRecord[] {
    const records: KeyedRecord[] = []
    if (turnEnd.turn !== undefined && !this._turns.has(turnEnd.turn.turnId)) {
      this._turns.add(turnEnd.turn, nowMs + this._retentionMarginMs)
      records.push(...encodeTurn(turnEnd.turn, this._options.maxRecordBytes))
    }
    if (turnEnd.worker !== undefined) this._promptCache.recordPrompt(turnEnd.worker, turnEnd.prompt)
    if (this._ledger.reconcile(turnEnd.programId, shortenId(turnEnd.requestId), turnEnd.usedTokens)) {
      // The entry node does not wait for the record of a turn that is not retained, so that record must not allow more tokens.
      if (turnEnd.turn !== undefined) this._ledger.extendAllowance(turnEnd.programId)
      records.push(...this.accountRecords(turnEnd.programId, nowMs))
    }
    return records
  }

  /** The log doesn't accept the records of these turns: they are not held any longer. Returns the records that remove their parts. */
  forgetTurns (turns: readonly RetainedTurn[]): KeyedRecord[] {
    for (const { turnId } of turns) this._turns.remove(turnId)
    return turns.flatMap(turn => encodeTurnRemoval(turn, this._options.maxRecordBytes))
  }

  /** The newest record of the account did not reach the log: no further turn is allowed without a new one. */
  withdrawAccountRecord (programId: string): void {
    this._ledger.withdrawRecord(programId)
  }

  /** Retains a turn and its chain for the turn's whole `keepMs` from now on, because its answer ends only now. */
  restartRetention ({ turnId, keepMs }: RetainedTurn, nowMs: number): void {
    this._turns.retain(turnId, nowMs + keepMs + this._retentionMarginMs)
  }

  /** The record of a program's account as it is now; none without an account. */
  accountRecords (programId: string, nowMs: number): KeyedRecord[] {
    const account = this._ledger.find(programId)
    if (account === undefined) return []
    this._accountChangedAtMs.set(programId, nowMs)
    return [encodeAccount(programId, account)]
  }

  /**
   * Withdraws unused allowances and returns the accounts' records. Without them the next owner has to count each allowance as
   * used.
   */
  sealAccounts (nowMs: number): KeyedRecord[] {
    return this._ledger.withdrawAllowances().flatMap(programId => this.accountRecords(programId, nowMs))
  }

  /** Adds turns of another partition that a program of this one continues, and returns the records of those not held yet. */
  importTurns (chain: readonly RetainedTurn[], nowMs: number): KeyedRecord[] {
    const missingTurns = chain.filter(turn => !this._turns.has(turn.turnId))
    for (const turn of missingTurns) this._turns.add(turn, nowMs + this._retentionMarginMs)
    return missingTurns.flatMap(turn => encodeTurn(turn, this._options.maxRecordBytes))
  }

  /** True if the turn is held, whether or not its whole chain is. */
  holds (turnId: string): boolean {
    return this._turns.has(turnId)
  }

  /** The turns from the first to `turnId`; undefined when one of them is not held. */
  chainOf (turnId: string): RetainedTurn[] | undefined {
    return this._turns.chainOf(turnId)
  }

  /** Removes turns and accounts whose retention has ended and returns the records that remove them from the log. */
  expire (nowMs: number): KeyedRecord[] {
    const records = this._turns.expire(nowMs).flatMap(turn => encodeTurnRemoval(turn, this._options.maxRecordBytes))
    records.push(...this._expireIncompleteTurns(nowMs))
    for (const [programId, changedAtMs] of this._accountChangedAtMs) {
      const retentionMs = this._ledger.hasOpenTurns(programId) ? OPEN_ACCOUNT_RETENTION_MS : ACCOUNT_RETENTION_MS
      if (nowMs - changedAtMs < retentionMs) continue
      this._accountChangedAtMs.delete(programId)
      this._ledger.remove(programId)
      records.push(encodeAccountRemoval(programId))
    }
    return records
  }

  /** Retains the chain until the turn that continues it has ended; its end then retains the chain further. */
  private _retainChain (chain: readonly RetainedTurn[], { timeLeftMs = 0 }: GrantRequest, nowMs: number): void {
    const previousTurn = chain.at(-1)
    if (previousTurn !== undefined) this._turns.retain(previousTurn.turnId, nowMs + Math.max(previousTurn.keepMs, timeLeftMs) + this._retentionMarginMs)
  }

  private _restoreAccount (programId: string, account: ProgramAccount, nowMs: number): void {
    this._ledger.restore(programId, account)
    this._accountChangedAtMs.set(programId, nowMs)
  }

  private _expireIncompleteTurns (nowMs: number): KeyedRecord[] {
    const expired = [...this._incompleteTurns].filter(([, { changedAtMs }]) => nowMs - changedAtMs >= INCOMPLETE_TURN_RETENTION_MS)
    if (expired.length === 0) return []
    // The parts of a turn that was recorded again meanwhile have the same keys.
    const held = new Set([...this._turns.turnIds].map(shortenId))
    return expired.flatMap(([turnId, { parts }]) => {
      this._incompleteTurns.delete(turnId)
      return held.has(shortenId(turnId)) ? [] : encodePartRemovals(turnId, [...parts.keys()])
    })
  }
}

function concatBytes (parts: Uint8Array[]): Uint8Array {
  const joined = new Uint8Array(parts.reduce((total, part) => total + part.length, 0))
  let offset = 0
  for (const part of parts) {
    joined.set(part, offset)
    offset += part.length
  }
  return joined
}
