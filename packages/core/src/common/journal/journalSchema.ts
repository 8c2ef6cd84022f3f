/** Validates records read from journals. */
import { z } from 'zod'
import type { LogRecord } from '../kernel/logRecords.js'
import type { JournalRecord } from './journalRecords.js'

const nodeRef = z.object({ node: z.string(), incarnation: z.string(), address: z.string() })
const call = z.discriminatedUnion('type', [
  z.looseObject({ type: z.literal('model'), messages: z.array(z.object({ role: z.string(), content: z.string() })), maxTokens: z.number() }),
  z.looseObject({ type: z.literal('service'), service: z.string(), path: z.string(), isRepeatable: z.boolean() })
])
const result = z.discriminatedUnion('type', [
  z.looseObject({ type: z.literal('model'), text: z.string(), promptTokens: z.number(), completionTokens: z.number(), cachedTokens: z.number() }),
  z.looseObject({ type: z.literal('service'), status: z.number() }),
  z.looseObject({ type: z.literal('unknown') })
])
const turn = z.looseObject({ step: z.int().positive(), key: z.string(), call, callDigest: z.string(), result, historyDigest: z.string() })
const program = z.looseObject({
  programId: z.string(),
  customer: z.string(),
  kind: z.string(),
  rank: z.string(),
  root: z.string(),
  depth: z.number(),
  budget: z.object({ tokens: z.number(), steps: z.number(), toolCalls: z.number(), wallTimeMs: z.number(), depth: z.number() }),
  openedAtMs: z.number(),
  dueAtMs: z.number(),
  turns: z.array(turn),
  spent: z.object({ tokens: z.number(), steps: z.number(), toolCalls: z.number() }),
  reservedTokens: z.number(),
  workers: z.array(z.object({ model: z.string(), worker: z.string() }))
})
const recordFields = { id: z.string() }
const stepFields = { programId: z.string(), step: z.int().positive() }

const journalRecordSchema = z.discriminatedUnion('type', [
  z.looseObject({ ...recordFields, type: z.literal('programSnapshot'), program }),
  z.looseObject({ ...recordFields, ...stepFields, type: z.literal('turnCompleted'), key: z.string(), call, callDigest: z.string(), result, spentTokens: z.number(), reservedTokens: z.number() }),
  z.looseObject({ ...recordFields, ...stepFields, type: z.literal('stepClaimed'), key: z.string(), call, callDigest: z.string(), attempt: z.number() }),
  z.looseObject({ ...recordFields, ...stepFields, type: z.literal('claimWithdrawn'), attempt: z.number() }),
  z.looseObject({ ...recordFields, type: z.literal('tokensReserved'), programId: z.string(), tokens: z.number() }),
  z.looseObject({ ...recordFields, type: z.literal('programClosed'), programId: z.string(), reason: z.string() }),
  z.looseObject({ ...recordFields, type: z.literal('fenced'), by: nodeRef }),
  z.looseObject({ ...recordFields, type: z.literal('adopted'), programIds: z.array(z.string()), to: nodeRef })
])

/**
 * True for a record of a known type that has all required fields.
 *
 * @example
 * isJournalRecord({ id: 'x', type: 'fenced' }) // false: `by` is missing
 */
export function isJournalRecord (record: unknown): record is JournalRecord & LogRecord {
  return journalRecordSchema.safeParse(record).success
}
