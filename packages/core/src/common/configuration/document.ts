/** The configuration document that operators edit and promote, one for each environment. */
import { type Either, Left, Right } from 'purify-ts'
import { z } from 'zod'

export const Rank = { Urgent: 'urgent', Other: 'other' } as const
export type Rank = typeof Rank[keyof typeof Rank]

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')
const positiveInt = z.int().positive()
const share = z.number().min(0).max(1)

const budgetSchema = z.strictObject({
  tokens: positiveInt,
  steps: positiveInt,
  toolCalls: z.int().nonnegative(),
  wallTimeMs: positiveInt,
  depth: z.int().nonnegative().default(2)
})

const workKindSchema = z.strictObject({
  name,
  rank: z.enum([Rank.Urgent, Rank.Other]),
  /** Latency that whole programs should stay under. */
  targetMs: positiveInt,
  /** Worth of a program that meets its target, in the customer's units. */
  worth: z.number().positive().default(1),
  models: z.array(name).default([]),
  budget: budgetSchema
})

const rankSchema = z.strictObject({
  /** Share of each worker's slots kept for this rank while it has work, whatever the other rank brings. */
  floorShare: share
})

const customerSchema = z.strictObject({
  name,
  /** Share relative to other customers of the same rank. */
  weight: z.number().positive().default(1),
  maxOpenPrograms: positiveInt.default(10_000)
})

const backendSchema = z.strictObject({
  name,
  type: z.enum(['modelEngine', 'service']),
  /** Pool of workers that this model shares with others; the VM list names the pool as the workers' back end. */
  pool: name.optional(),
  /** Longest time that an order to an engine may be under way; engines that ignore fencing numbers are left alone for so long. */
  orderLifetimeMs: positiveInt.default(10_000),
  /** Refuses orders with a fencing number below the highest seen. */
  checksFencing: z.boolean().default(false),
  /** Answers a repeated idempotency key with the first answer, and lookups of keys. */
  checksIdempotencyKeys: z.boolean().default(false),
  timeoutMs: positiveInt.default(60_000),
  /** Requests that run at once on one worker at the most. */
  maxConcurrencyPerWorker: positiveInt.default(32)
})

export const configurationDocumentSchema = z.strictObject({
  workKinds: z.array(workKindSchema).min(1),
  ranks: z.strictObject({ urgent: rankSchema, other: rankSchema }),
  customers: z.array(customerSchema).min(1),
  backends: z.array(backendSchema).min(1),
  /** Time without a step after which an open program counts as abandoned. */
  idleTimeoutMs: positiveInt.default(600_000),
  /** Time for which a model call goes on after its caller left, so that the caller can come back. */
  abandonGraceMs: positiveInt.default(5_000)
}).superRefine(checkReferences)

export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>
export type WorkKind = ConfigurationDocument['workKinds'][number]
export type Backend = ConfigurationDocument['backends'][number]
export type Customer = ConfigurationDocument['customers'][number]

/** One thing that is wrong with a document, and the path to it. */
export interface DocumentProblem {
  path: Array<string | number>
  message: string
}

/**
 * Checks an untrusted value against the document's schema.
 *
 * @returns the document with its defaults filled in, or every problem found.
 * @example
 * parseDocument(JSON.parse(text)).map(document => document.workKinds.length)
 */
export function parseDocument (value: unknown): Either<DocumentProblem[], ConfigurationDocument> {
  const parsed = configurationDocumentSchema.safeParse(value)
  if (parsed.success) return Right(parsed.data)
  return Left(parsed.error.issues.map(issue => ({
    path: issue.path.map(part => typeof part === 'symbol' ? String(part) : part),
    message: issue.message
  })))
}

function checkReferences (document: { workKinds: WorkKind[], ranks: { urgent: { floorShare: number }, other: { floorShare: number } }, customers: Customer[], backends: Backend[] }, context: z.RefinementCtx): void {
  const report = (path: Array<string | number>, message: string) => context.addIssue({ code: 'custom', path, message })
  for (const list of ['workKinds', 'customers', 'backends'] as const) {
    const seen = new Set<string>()
    document[list].forEach((item, index) => {
      if (seen.has(item.name)) report([list, index, 'name'], `"${item.name}" is declared twice`)
      seen.add(item.name)
    })
  }
  const engines = new Set(document.backends.filter(backend => backend.type === 'modelEngine').map(backend => backend.name))
  document.workKinds.forEach((kind, index) => {
    kind.models.forEach((model, position) => {
      if (!engines.has(model)) report(['workKinds', index, 'models', position], `"${model}" is not a back end of type modelEngine`)
    })
  })
  if (document.ranks.urgent.floorShare + document.ranks.other.floorShare > 1) report(['ranks'], 'the floor shares add up to more than 1')
}
