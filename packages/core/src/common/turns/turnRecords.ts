/** Records of turns and accounts: one key each, so that the log keeps only their newest state. */
import { Packr } from 'msgpackr'
import { digestText } from '../base/digest.js'
import type { ProgramAccount } from './tokenLedger.js'
import type { RetainedTurn } from './turnTree.js'

/** A record of a keyed topic; without a value it removes its key. */
export interface KeyedRecord {
  key: string
  value?: Uint8Array
}

/** Ids longer than this are replaced by their digest; keys have at most 255 bytes. */
const MAX_ID_CHARACTERS = 100
/** Room of a record for its key and the fields around a part's bytes. */
const RECORD_OVERHEAD_BYTES = 512

const ACCOUNT_PREFIX = 'p/'

const packr = new Packr({ useRecords: false, mapsAsObjects: true })

/** A record read back. */
export type DecodedRecord =
  | { type: 'account', programId: string, account: ProgramAccount, updatedAtMs: number }
  | { type: 'turnPart', turnId: string, index: number, count: number, bytes: Uint8Array }

/** The record of a program's account. `updatedAtMs` is wall-clock time. */
export function encodeAccount (programId: string, account: ProgramAccount, updatedAtMs: number): KeyedRecord {
  const { usedTokens, openTurns, allowedTokens, budgetTokens } = account
  const value = packr.pack({ p: programId, u: usedTokens, o: [...openTurns], a: allowedTokens, b: budgetTokens, w: updatedAtMs })
  return { key: accountKey(programId), value }
}

/** The records of a turn: one, or several parts when it is larger than a record may be. */
export function encodeTurn (turn: RetainedTurn, maxRecordBytes: number): KeyedRecord[] {
  const { turnId, programId, previousTurnId, input, output, keepMs, worker } = turn
  const bytes = packr.pack([turnId, programId, previousTurnId ?? null, input, output, keepMs, worker ?? null])
  const partBytes = maxRecordBytes - RECORD_OVERHEAD_BYTES
  const count = Math.max(1, Math.ceil(bytes.length / partBytes))
  return Array.from({ length: count }, (_, index) => ({
    key: turnKey(turnId, index),
    value: packr.pack({ t: turnId, i: index, n: count, b: bytes.subarray(index * partBytes, (index + 1) * partBytes) })
  }))
}

/** The record that removes a program's account. */
export function removeAccount (programId: string): KeyedRecord {
  return { key: accountKey(programId) }
}

/** Records that remove a turn. */
export function removeTurn (turn: RetainedTurn, maxRecordBytes: number): KeyedRecord[] {
  const count = Math.max(1, Math.ceil((turn.input.length + turn.output.length + RECORD_OVERHEAD_BYTES) / (maxRecordBytes - RECORD_OVERHEAD_BYTES)))
  return Array.from({ length: count }, (_, index) => ({ key: turnKey(turn.turnId, index) }))
}

/** Reads a record; undefined when its bytes are damaged. */
export function decodeRecord (value: Uint8Array): DecodedRecord | undefined {
  try {
    const fields = packr.unpack(value) as Record<string, unknown>
    if (typeof fields.p === 'string') {
      const openTurns = new Map((fields.o as Array<[string, number]>).map(([id, tokens]) => [String(id), Number(tokens)]))
      const account = { usedTokens: Number(fields.u), openTurns, allowedTokens: Number(fields.a), budgetTokens: Number(fields.b) }
      return { type: 'account', programId: fields.p, account, updatedAtMs: Number(fields.w) }
    }
    if (typeof fields.t !== 'string' || !(fields.b instanceof Uint8Array)) return undefined
    return { type: 'turnPart', turnId: fields.t, index: Number(fields.i), count: Number(fields.n), bytes: fields.b }
  } catch {
    return undefined
  }
}

/** Reads a turn from the joined bytes of its parts; undefined when they are damaged. */
export function decodeTurn (bytes: Uint8Array): RetainedTurn | undefined {
  try {
    const [turnId, programId, previousTurnId, input, output, keepMs, worker] = packr.unpack(bytes) as [string, string, string | null, Uint8Array, Uint8Array, number, string | null]
    if (!(input instanceof Uint8Array) || !(output instanceof Uint8Array)) return undefined
    return { turnId, programId, previousTurnId: previousTurnId ?? undefined, input, output, keepMs, worker: worker ?? undefined }
  } catch {
    return undefined
  }
}

/** True for the keys of accounts; they come before those of turns in the order of keys. */
export function isAccountKey (key: string): boolean {
  return key.startsWith(ACCOUNT_PREFIX)
}

function accountKey (programId: string): string {
  return `${ACCOUNT_PREFIX}${shorten(programId)}`
}

function turnKey (turnId: string, index: number): string {
  return `t/${shorten(turnId)}/${index}`
}

function shorten (id: string): string {
  return id.length <= MAX_ID_CHARACTERS && /^[\x21-\x7e]*$/.test(id) ? id : digestText(id)
}
