/** Checks records of the `control` stream: every node skips the same damaged ones. */
import { z } from 'zod'
import type { ControlRecord } from './controlRecords.js'

const nodeRef = z.object({ node: z.string(), incarnation: z.string(), address: z.string() })
const base = { id: z.string(), atMs: z.number() }
const revision = z.int().nonnegative()

const stateSchema = z.looseObject({
  nextOffset: z.int().nonnegative(),
  environments: z.array(z.looseObject({ environment: z.string(), revision, offset: z.int(), recent: z.array(z.looseObject({ revision })) })),
  journals: z.array(z.object({ journal: z.string(), node: nodeRef, startedAtMs: z.number() })),
  suspects: z.array(z.object({ fingerprint: z.string(), workers: z.array(z.string()) })),
  engineOrders: z.array(z.looseObject({ worker: z.string(), fencingNumber: z.number(), model: z.string(), by: nodeRef, atMs: z.number() })),
  audit: z.array(z.looseObject({ offset: z.number(), action: z.string() })),
  recentIds: z.array(z.string())
})

const controlRecordSchema = z.discriminatedUnion('type', [
  z.looseObject({ ...base, type: z.literal('configurationChanged'), environment: z.string(), baseRevision: revision, by: z.string() }),
  z.looseObject({ ...base, type: z.literal('configurationPromoted'), from: z.string(), revision, to: z.string(), baseRevision: revision, by: z.string() }),
  z.looseObject({ ...base, type: z.literal('controlSnapshot'), state: stateSchema, by: z.string() }),
  z.looseObject({ ...base, type: z.literal('nodeStarted'), node: nodeRef, zone: z.string() }),
  z.looseObject({ ...base, type: z.literal('nodeEnded'), node: nodeRef }),
  z.looseObject({ ...base, type: z.literal('journalAdopted'), journal: z.string(), by: nodeRef, programCount: z.number() }),
  z.looseObject({ ...base, type: z.literal('requestSuspected'), fingerprint: z.string(), worker: z.string(), by: z.string() }),
  z.looseObject({ ...base, type: z.literal('requestCleared'), fingerprint: z.string(), by: z.string() }),
  z.looseObject({ ...base, type: z.literal('engineOrdered'), worker: z.string(), model: z.string(), by: nodeRef })
])

/** True for a whole record of a known type. */
export function isControlRecord (record: unknown): record is ControlRecord {
  return controlRecordSchema.safeParse(record).success
}
