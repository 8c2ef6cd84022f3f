/** The configuration document that operators edit and promote, with its schema. Each environment has one. */
import { type Either, Left, Right } from 'purify-ts'
import { z } from 'zod'

/** Rank of a work kind. Urgent work is served first. */
export const Rank = { Urgent: 'urgent', Other: 'other' } as const
export type Rank = typeof Rank[keyof typeof Rank]

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')
const positiveInt = z.int().positive()
const shareSchema = z.number().min(0).max(1)

const budgetSchema = z.strictObject({
  tokens: positiveInt,
  steps: positiveInt,
  toolCalls: z.int().nonnegative(),
  wallTimeMs: positiveInt,
  depth: z.int().nonnegative().default(2)
})

const workKindSchema = z.strictObject({
  name: nameSchema,
  rank: z.enum([Rank.Urgent, Rank.Other]),
  /** Target of the time from the opening of a program to its end. */
  targetMs: positiveInt,
  /** Value of a program that meets its target, in the customer's units. */
  worth: z.number().positive().default(1),
  models: z.array(nameSchema).default([]),
  budget: budgetSchema
})

const rankSchema = z.strictObject({
  /** Minimum share of each worker's slots for this rank while it has work, whatever the load of the other rank. */
  floorShare: shareSchema
})

const customerSchema = z.strictObject({
  name: nameSchema,
  /** Weight of the customer's share relative to other customers of the same rank. */
  weight: z.number().positive().default(1),
  maxOpenPrograms: positiveInt.default(10_000)
})

const backendSchema = z.strictObject({
  name: nameSchema,
  type: z.enum(['modelEngine', 'service']),
  /** Pool of workers that this model shares with others. The VM list gives the pool's name as the workers' back end. */
  pool: nameSchema.optional(),
  /** Longest time that a load order may take to reach an engine. An engine that does not check fencing numbers gets the next order only after this time. */
  orderLifetimeMs: positiveInt.default(10_000),
  /** True when the engine refuses orders with a fencing number below the highest that it has received. */
  checksFencing: z.boolean().default(false),
  /** True when the service answers a repeated idempotency key with the first answer, and answers lookups of keys. */
  checksIdempotencyKeys: z.boolean().default(false),
  timeoutMs: positiveInt.default(60_000),
  /** Maximum number of requests that run at the same time on one worker. */
  maxConcurrencyPerWorker: positiveInt.default(32)
})

/** Schema of the document, with its defaults and the checks of its references. */
export const configurationDocumentSchema = z.strictObject({
  workKinds: z.array(workKindSchema).min(1),
  ranks: z.strictObject({ urgent: rankSchema, other: rankSchema }),
  customers: z.array(customerSchema).min(1),
  backends: z.array(backendSchema).min(1),
  /** Time without a step after which an open program counts as abandoned. */
  idleTimeoutMs: positiveInt.default(600_000),
  /** Time for which a call that can be stopped goes on after its last caller disconnected, so that a caller can reconnect. */
  abandonGraceMs: positiveInt.default(5_000)
}).superRefine(checkReferences)

export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>
export type WorkKind = ConfigurationDocument['workKinds'][number]
export type Backend = ConfigurationDocument['backends'][number]
export type Customer = ConfigurationDocument['customers'][number]

/** A fault of a document, with the path to it. */
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
  const addProblem = (path: Array<string | number>, message: string) => context.addIssue({ code: 'custom', path, message })
  for (const list of ['workKinds', 'customers', 'backends'] as const) {
    const seen = new Set<string>()
    document[list].forEach((item, index) => {
      if (seen.has(item.name)) addProblem([list, index, 'name'], `"${item.name}" is declared twice`)
      seen.add(item.name)
    })
  }
  const engineNames = new Set(document.backends.filter(backend => backend.type === 'modelEngine').map(backend => backend.name))
  document.workKinds.forEach((kind, index) => {
    kind.models.forEach((model, position) => {
      if (!engineNames.has(model)) addProblem(['workKinds', index, 'models', position], `"${model}" is not a back end of type modelEngine`)
    })
  })
  if (document.ranks.urgent.floorShare + document.ranks.other.floorShare > 1) addProblem(['ranks'], 'the floor shares add up to more than 1')
}
