/** Schema of the records of the `control` stream. All nodes use the same one, so they skip the same damaged records. */
import { z } from 'zod'
import type { ControlRecord } from './controlRecords.js'

const nodeRefSchema = z.object({ node: z.string(), incarnation: z.string(), address: z.string() })
const commonFields = { id: z.string(), atMs: z.number() }
const revisionSchema = z.int().nonnegative()

const stateSchema = z.looseObject({
  nextOffset: z.int().nonnegative(),
  environments: z.array(z.looseObject({ environment: z.string(), revision: revisionSchema, offset: z.int(), recent: z.array(z.looseObject({ revision: revisionSchema })) })),
  journals: z.array(z.object({ journal: z.string(), node: nodeRefSchema, startedAtMs: z.number() })),
  suspects: z.array(z.object({ fingerprint: z.string(), workers: z.array(z.string()) })),
  engineOrders: z.array(z.looseObject({ worker: z.string(), fencingNumber: z.number(), model: z.string(), by: nodeRefSchema, atMs: z.number() })),
  audit: z.array(z.looseObject({ offset: z.number(), action: z.string() })),
  recentIds: z.array(z.string())
})

const controlRecordSchema = z.discriminatedUnion('type', [
  z.looseObject({ ...commonFields, type: z.literal('configurationChanged'), environment: z.string(), baseRevision: revisionSchema, by: z.string() }),
  z.looseObject({ ...commonFields, type: z.literal('configurationPromoted'), from: z.string(), revision: revisionSchema, to: z.string(), baseRevision: revisionSchema, by: z.string() }),
  z.looseObject({ ...commonFields, type: z.literal('controlSnapshot'), state: stateSchema, by: z.string() }),
  z.looseObject({ ...commonFields, type: z.literal('nodeStarted'), node: nodeRefSchema, zone: z.string() }),
  z.looseObject({ ...commonFields, type: z.literal('nodeEnded'), node: nodeRefSchema }),
  z.looseObject({ ...commonFields, type: z.literal('journalAdopted'), journal: z.string(), by: nodeRefSchema, programCount: z.number() }),
  z.looseObject({ ...commonFields, type: z.literal('requestSuspected'), fingerprint: z.string(), worker: z.string(), by: z.string() }),
  z.looseObject({ ...commonFields, type: z.literal('requestCleared'), fingerprint: z.string(), by: z.string() }),
  z.looseObject({ ...commonFields, type: z.literal('engineOrdered'), worker: z.string(), model: z.string(), by: nodeRefSchema })
])

/** True for a complete record of a known type. */
export function isControlRecord (record: unknown): record is ControlRecord {
  return controlRecordSchema.safeParse(record).success
}
