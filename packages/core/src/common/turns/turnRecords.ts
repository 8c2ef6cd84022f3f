/** Encodes and decodes the records of turns and accounts. Each has its own key, and the log keeps the newest value of a key. */
import { Packr } from 'msgpackr'
import { digestText } from '../base/digest.js'
import type { ProgramAccount } from './tokenLedger.js'
import type { RetainedTurn } from './turnTree.js'

/** A record of a keyed topic. A record without a value removes its key. */
export interface KeyedRecord {
  key: string
  value?: Uint8Array
}

/** Longer ids are replaced by their digest in keys, because keys have at most 255 bytes. */
const MAX_ID_CHARACTERS = 100
/** Space reserved in a record for its key and the fields other than the part's bytes. */
const RECORD_OVERHEAD_BYTES = 512
/** Upper bound on the bytes of an encoded turn beside its ids, input and output. */
const TURN_OVERHEAD_BYTES = 64
const MAX_BYTES_PER_CHARACTER = 3

/** Parts of one turn; more than those of the largest output that is retained. */
const MAX_PARTS = 10_000

const ACCOUNT_PREFIX = 'p/'

/** Field of an account's record that earlier builds require and don't use. */
const UNUSED_TIME_MS = 0

const packr = new Packr({ useRecords: false, mapsAsObjects: true })

/** A record that was read from the log. `turnId` may be shortened, as by `shortenId`. */
export type DecodedRecord =
  | { type: 'account', programId: string, account: ProgramAccount }
  | { type: 'turnPart', turnId: string, index: number, count: number, bytes: Uint8Array }

/** The record of a program's account. */
export function encodeAccount (programId: string, account: ProgramAccount): KeyedRecord {
  const { usedTokens, openTurns, allowedTokens, budgetTokens } = account
  const value = packr.pack({ p: programId, u: usedTokens, o: [...openTurns], a: allowedTokens, b: budgetTokens, w: UNUSED_TIME_MS })
  return { key: accountKey(programId), value }
}

/** The records of a turn: one, or several parts when the turn is larger than `maxRecordBytes`. */
export function encodeTurn (turn: RetainedTurn, maxRecordBytes: number): KeyedRecord[] {
  const { turnId, programId, previousTurnId, input, output, keepMs, worker } = turn
  const bytes = packr.pack([turnId, programId, previousTurnId ?? null, input, output, keepMs, worker ?? null])
  const maxPartBytes = maxRecordBytes - RECORD_OVERHEAD_BYTES
  const count = Math.max(1, Math.ceil(bytes.length / maxPartBytes))
  return Array.from({ length: count }, (_, index) => ({
    key: turnKey(turnId, index),
    value: packr.pack({ t: shortenId(turnId), i: index, n: count, b: bytes.subarray(index * maxPartBytes, (index + 1) * maxPartBytes) })
  }))
}

/** The record that removes a program's account. */
export function encodeAccountRemoval (programId: string): KeyedRecord {
  return { key: accountKey(programId) }
}

/** The records that remove parts of a turn. `turnId` may be shortened. */
export function encodePartRemovals (turnId: string, indexes: readonly number[]): KeyedRecord[] {
  return indexes.map(index => ({ key: turnKey(turnId, index) }))
}

/** The records that remove a turn; `maxRecordBytes` as when it was encoded. */
export function encodeTurnRemoval (turn: RetainedTurn, maxRecordBytes: number): KeyedRecord[] {
  const bytes = turn.input.length + turn.output.length + TURN_OVERHEAD_BYTES + [turn.turnId, turn.programId, turn.previousTurnId ?? '', turn.worker ?? ''].reduce((total, id) => total + MAX_BYTES_PER_CHARACTER * id.length, 0)
  const count = Math.max(1, Math.ceil(bytes / (maxRecordBytes - RECORD_OVERHEAD_BYTES)))
  return encodePartRemovals(turn.turnId, Array.from({ length: count }, (_, index) => index))
}

/** Decodes a record; undefined when its bytes are damaged. */
export function decodeRecord (value: Uint8Array): DecodedRecord | undefined {
  try {
    const fields = packr.unpack(value) as Record<string, unknown>
    if (typeof fields.p === 'string') {
      const { p: programId, u: usedTokens, o: openTurns, a: allowedTokens, b: budgetTokens } = fields
      if (!isAmount(usedTokens) || !isAmount(allowedTokens) || !isAmount(budgetTokens) || !isOpenTurnList(openTurns)) return undefined
      return { type: 'account', programId, account: { usedTokens, openTurns: new Map(openTurns), allowedTokens, budgetTokens } }
    }
    const { t: turnId, i: index, n: count, b: bytes } = fields
    if (typeof turnId !== 'string' || !(bytes instanceof Uint8Array)) return undefined
    if (!isAmount(index) || !isAmount(count) || !Number.isInteger(index) || !Number.isInteger(count) || index >= count || count > MAX_PARTS) return undefined
    return { type: 'turnPart', turnId, index, count, bytes }
  } catch {
    return undefined
  }
}

/** Decodes a turn from the joined bytes of its parts; undefined when they are damaged. */
export function decodeTurn (bytes: Uint8Array): RetainedTurn | undefined {
  try {
    const [turnId, programId, previousTurnId, input, output, keepMs, worker] = packr.unpack(bytes) as [string, string, string | null, Uint8Array, Uint8Array, number, string | null]
    if (!(input instanceof Uint8Array) || !(output instanceof Uint8Array)) return undefined
    return { turnId, programId, previousTurnId: previousTurnId ?? undefined, input, output, keepMs, worker: worker ?? undefined }
  } catch {
    return undefined
  }
}

/** True for the keys of accounts, which sort before those of turns. */
export function isAccountKey (key: string): boolean {
  return key.startsWith(ACCOUNT_PREFIX)
}

function accountKey (programId: string): string {
  return `${ACCOUNT_PREFIX}${shortenId(programId)}`
}

function turnKey (turnId: string, index: number): string {
  return `t/${shortenId(turnId)}/${index}`
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

function isOpenTurnList (value: unknown): value is Array<[requestId: string, tokens: number]> {
  return Array.isArray(value) && value.every(entry => Array.isArray(entry) && typeof entry[0] === 'string' && isAmount(entry[1]))
}

/** The id itself, or its digest when it is long or has characters other than printable ASCII. A shortened id stays as it is. */
export function shortenId (id: string): string {
  return id.length <= MAX_ID_CHARACTERS && /^[\x21-\x7e]*$/.test(id) ? id : digestText(id)
}
