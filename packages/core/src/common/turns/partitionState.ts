/** What the owner of a partition holds in memory: turns and token accounts, rebuilt from the records of the log. */
import { type CachedPart, PromptCache, type PromptPart } from './promptCache.js'
import { committedTokens, type ProgramAccount, TokenLedger, TokenReservation } from './tokenLedger.js'
import { decodeRecord, decodeTurn, encodeAccount, encodeTurn, type KeyedRecord, removeAccount, removeTurn } from './turnRecords.js'
import { type RetainedTurn, TurnTree } from './turnTree.js'

/** Accounts without a change for this long belong to programs that are gone. */
const ACCOUNT_KEEP_MS = 300_000

/** What an entry node asks of the owner before it runs a turn. */
export interface GrantRequest {
  programId: string
  requestId: string
  previousTurnId?: string
  prompt: PromptPart[]
  /** Absent when the program has no budget. */
  budgetTokens?: number
  maxTokens: number
}

export type GrantDecision =
  /** `records` must be in the log before the caller gets a token. */
  | { type: 'granted', chain: RetainedTurn[], records: KeyedRecord[], cached: CachedPart[] }
  | { type: 'spent' }
  | { type: 'noSuchTurn' }

/** How a turn ended, as the entry node that ran it reports. */
export interface TurnEnd {
  programId: string
  requestId: string
  usedTokens: number
  /** Absent when no worker ran the turn. */
  worker?: string
  /** The prompt as the worker holds it now, with what it generated. */
  prompt: PromptPart[]
  /** Present when the answer is whole and the route keeps turns. */
  turn?: RetainedTurn
}

export interface PartitionStateOptions {
  maxRecordBytes: number
}

/**
 * Folds the records of one partition and decides on turns. Pure: times come in with each call.
 *
 * @example
 * const decision = state.grant(request, nowMs)
 * if (decision.type === 'granted') append(decision.records)
 */
export class PartitionState {
  private readonly _turns = new TurnTree()
  private readonly _ledger = new TokenLedger()
  private readonly _changedAtMs = new Map<string, number>()
  private readonly _promptCache = new PromptCache()
  private readonly _parts = new Map<string, Array<Uint8Array | undefined>>()

  constructor (private readonly _options: PartitionStateOptions) {}

  get turnCount (): number {
    return this._turns.size
  }

  get turnBytes (): number {
    return this._turns.bytes
  }

  get programCount (): number {
    return this._ledger.size
  }

  /** Takes a record that was read back; false when it is damaged. */
  fold (value: Uint8Array, nowMs: number): boolean {
    const record = decodeRecord(value)
    if (record === undefined) return false
    if (record.type === 'account') {
      this._restoreAccount(record.programId, record.account, nowMs)
      return true
    }
    const parts = this._parts.get(record.turnId) ?? new Array<Uint8Array | undefined>(record.count).fill(undefined)
    parts[record.index] = record.bytes
    this._parts.set(record.turnId, parts)
    if (parts.some(part => part === undefined)) return true
    this._parts.delete(record.turnId)
    const turn = decodeTurn(parts.length === 1 ? parts[0] as Uint8Array : concat(parts as Uint8Array[]))
    if (turn !== undefined) this._turns.add(turn, nowMs)
    return turn !== undefined
  }

  /** Tokens that a program has used and reserved. */
  committedOf (programId: string): number {
    const account = this._ledger.find(programId)
    return account === undefined ? 0 : committedTokens(account)
  }

  /** True when granting the turn needs no record. */
  isCovered ({ programId, requestId, budgetTokens, maxTokens }: GrantRequest): boolean {
    return budgetTokens === undefined || this._ledger.isCovered({ programId, requestId, budgetTokens, maxTokens })
  }

  /** Decides whether a turn may run, and reserves its tokens. */
  grant (request: GrantRequest, nowMs: number): GrantDecision {
    const { programId, requestId, previousTurnId, prompt, budgetTokens, maxTokens } = request
    const chain = previousTurnId === undefined ? [] : this._turns.chainOf(previousTurnId)
    if (chain === undefined) return { type: 'noSuchTurn' }
    let records: KeyedRecord[] = []
    if (budgetTokens !== undefined) {
      const reservation = this._ledger.reserve({ programId, requestId, budgetTokens, maxTokens })
      if (reservation === TokenReservation.Spent) return { type: 'spent' }
      if (reservation === TokenReservation.Extended) records = this._accountRecords(programId, nowMs)
    }
    return { type: 'granted', chain, records, cached: this._promptCache.find(prompt) }
  }

  /** Takes in the end of a turn and returns what has to be recorded. */
  end (end: TurnEnd, nowMs: number): KeyedRecord[] {
    const records: KeyedRecord[] = []
    if (end.turn !== undefined && !this._turns.has(end.turn.turnId)) {
      this._turns.add(end.turn, nowMs)
      records.push(...encodeTurn(end.turn, this._options.maxRecordBytes))
    }
    if (end.worker !== undefined) this._promptCache.recordPrompt(end.worker, end.prompt)
    if (this._ledger.settle(end.programId, end.requestId, end.usedTokens)) {
      // Nobody waits for the record of a turn that isn't kept, so nothing may rest on it.
      if (end.turn !== undefined) this._ledger.allowAhead(end.programId)
      records.push(...this._accountRecords(end.programId, nowMs))
    }
    return records
  }

  /** Makes the accounts exact for the next owner. */
  seal (nowMs: number): KeyedRecord[] {
    return this._ledger.seal().flatMap(programId => this._accountRecords(programId, nowMs))
  }

  /** Takes turns of another partition that a program here continues. */
  importTurns (chain: readonly RetainedTurn[], nowMs: number): KeyedRecord[] {
    const missing = chain.filter(turn => !this._turns.has(turn.turnId))
    for (const turn of missing) this._turns.add(turn, nowMs)
    return missing.flatMap(turn => encodeTurn(turn, this._options.maxRecordBytes))
  }

  chainOf (turnId: string): RetainedTurn[] | undefined {
    return this._turns.chainOf(turnId)
  }

  /** Forgets what is past its time and returns the records that remove it. */
  expire (nowMs: number): KeyedRecord[] {
    const records = this._turns.expire(nowMs).flatMap(turn => removeTurn(turn, this._options.maxRecordBytes))
    for (const [programId, changedAtMs] of this._changedAtMs) {
      if (nowMs - changedAtMs < ACCOUNT_KEEP_MS) continue
      this._changedAtMs.delete(programId)
      this._ledger.drop(programId)
      records.push(removeAccount(programId))
    }
    return records
  }

  private _restoreAccount (programId: string, account: ProgramAccount, nowMs: number): void {
    this._ledger.restore(programId, account)
    this._changedAtMs.set(programId, nowMs)
  }

  private _accountRecords (programId: string, nowMs: number): KeyedRecord[] {
    const account = this._ledger.find(programId)
    if (account === undefined) return []
    this._changedAtMs.set(programId, nowMs)
    return [encodeAccount(programId, account, nowMs)]
  }
}

function concat (parts: Uint8Array[]): Uint8Array {
  const joined = new Uint8Array(parts.reduce((total, part) => total + part.length, 0))
  let offset = 0
  for (const part of parts) {
    joined.set(part, offset)
    offset += part.length
  }
  return joined
}
