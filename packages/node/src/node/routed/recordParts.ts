/** Sizes of records in appends: groups records by calls, splits records that are larger than the log accepts, and joins their parts. */
import { createHash } from 'node:crypto'
import type { KeyedRecord } from '@trefoilshunt/core'

/** Separates the key of a record from the number of a part. Keys that are split hold none. */
const PART_SEPARATOR = '\u0000'
const DIGEST_BYTES = 16
/** Upper bound on the bytes that a record adds to its key and value in an append. */
const RECORD_FRAME_BYTES = 8

/** Upper bound on the bytes that records take in an append. */
export function sizeOfRecords (records: readonly KeyedRecord[]): number {
  return records.reduce((total, { key, value }) => total + Buffer.byteLength(key) + (value?.length ?? 0) + RECORD_FRAME_BYTES, 0)
}

/**
 * The records, in order, in groups of at most `maxBytes` and `maxRecords` each; a larger record is a group of its own.
 *
 * @example
 * for (const group of groupRecords(records, { maxBytes: 2_000_000 })) await append(group)
 */
export function groupRecords (records: readonly KeyedRecord[], { maxBytes, maxRecords = Number.POSITIVE_INFINITY }: { maxBytes: number, maxRecords?: number }): KeyedRecord[][] {
  const groups: KeyedRecord[][] = []
  let groupBytes = 0
  for (const record of records) {
    const recordBytes = sizeOfRecords([record])
    const group = groups.at(-1)
    if (group === undefined || group.length >= maxRecords || groupBytes + recordBytes > maxBytes) {
      groups.push([record])
      groupBytes = recordBytes
    } else {
      group.push(record)
      groupBytes += recordBytes
    }
  }
  return groups
}

/**
 * The records that hold a value of at most `maxValueBytes` each: the record itself, or its parts, which begin with the digest of the value.
 *
 * @example
 * splitRecord({ key: 'config', value }, 200_000) // records with the keys 'config\u00000', 'config\u00001', ...
 */
export function splitRecord ({ key, value }: { key: string, value: Uint8Array }, maxValueBytes: number): Array<{ key: string, value: Uint8Array }> {
  if (value.length <= maxValueBytes) return [{ key, value }]
  const digest = digestOf(value)
  const chunkBytes = maxValueBytes - DIGEST_BYTES
  return Array.from({ length: Math.ceil(value.length / chunkBytes) }, (_, index) => ({
    key: `${key}${PART_SEPARATOR}${index}`,
    value: Buffer.concat([digest, value.subarray(index * chunkBytes, (index + 1) * chunkBytes)])
  }))
}

/** The records as they were before `splitRecord`. Values whose parts are not all there, or belong to different values, are left out. */
export function joinRecords (records: Iterable<readonly [key: string, value: Uint8Array]>): Array<KeyedRecord & { value: Uint8Array }> {
  const joined: Array<KeyedRecord & { value: Uint8Array }> = []
  const parts = new Map<string, Map<number, Uint8Array>>()
  for (const [key, value] of records) {
    const separatorIndex = key.lastIndexOf(PART_SEPARATOR)
    if (separatorIndex < 0) {
      joined.push({ key, value })
      continue
    }
    const wholeKey = key.slice(0, separatorIndex)
    const partsOfKey = parts.get(wholeKey) ?? new Map<number, Uint8Array>()
    partsOfKey.set(Number(key.slice(separatorIndex + 1)), value)
    parts.set(wholeKey, partsOfKey)
  }
  for (const [key, partsOfKey] of parts) {
    const value = joinParts(partsOfKey)
    if (value !== undefined) joined.push({ key, value })
  }
  return joined
}

function joinParts (parts: ReadonlyMap<number, Uint8Array>): Uint8Array | undefined {
  const ordered = [...parts].sort(([left], [right]) => left - right).map(([, part]) => part)
  const value = Buffer.concat(ordered.map(part => part.subarray(DIGEST_BYTES)))
  return Buffer.compare(digestOf(value), ordered[0].subarray(0, DIGEST_BYTES)) === 0 ? value : undefined
}

function digestOf (value: Uint8Array): Buffer {
  return createHash('sha256').update(value).digest().subarray(0, DIGEST_BYTES)
}
