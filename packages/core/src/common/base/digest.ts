/** Digests of request bodies and of program histories. */
import { sha256 } from '@noble/hashes/sha2.js'
import { bytesToHex, utf8ToBytes } from '@noble/hashes/utils.js'

const DIGEST_HEX_LENGTH = 32

/** Serializes a JSON value with sorted keys, so that equal values have equal text. */
export function toCanonicalJson (value: unknown): string {
  if (value === null || typeof value !== 'object') return JSON.stringify(value) ?? 'null'
  if (Array.isArray(value)) return `[${value.map(toCanonicalJson).join(',')}]`
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, field]) => `${JSON.stringify(name)}:${toCanonicalJson(field)}`)
  return `{${fields.join(',')}}`
}

/** The first 128 bits of SHA-256 over `text`, in hexadecimal. */
export function digestText (text: string): string {
  return bytesToHex(sha256(utf8ToBytes(text))).slice(0, DIGEST_HEX_LENGTH)
}

/** Digest of a JSON value, independent of the order of its fields. */
export function digestValue (value: unknown): string {
  return digestText(toCanonicalJson(value))
}

/**
 * Extends the digest chain of a history by one turn.
 *
 * @example
 * const first = chainDigest(initialDigest('regina-2.a1.7'), 1, callDigest, answerDigest)
 */
export function chainDigest (previous: string, step: number, callDigest: string, answerDigest: string): string {
  return digestText(`${previous}|${step}|${callDigest}|${answerDigest}`)
}

/** The digest of a program that has no turn yet. */
export function initialDigest (programId: string): string {
  return digestText(programId)
}
