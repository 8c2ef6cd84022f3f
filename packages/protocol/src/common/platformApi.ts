/** The HTTP interface of the platform: schemas and paths of the log service and of the VM list. */
import { z } from 'zod'
import { VmRole, VmState } from '@trefoilshunt/core'

/** A record of a stream; fields other than `id` and `type` are kept unchecked. */
export const logRecordSchema = z.looseObject({ id: z.string(), type: z.string() })
/** Body of an append to a stream. */
export const appendBodySchema = z.object({ records: z.array(logRecordSchema).min(1) })
/** Answer to an append; `firstOffset` is absent if the log service hides offsets. */
export const appendAnswerSchema = z.object({ firstOffset: z.int().nonnegative().optional() })
/** Answer to a read: records, and the first offset and the end offset of the stream. */
export const readAnswerSchema = z.object({
  records: z.array(z.object({ offset: z.int().nonnegative(), record: z.unknown() })),
  firstOffset: z.int().nonnegative(),
  endOffset: z.int().nonnegative()
})

/** A VM of the fleet. */
export const vmEntrySchema = z.object({
  name: z.string(),
  role: z.enum([VmRole.Entry, VmRole.Engine, VmRole.Service]),
  zone: z.string(),
  address: z.string(),
  peerAddress: z.string().optional(),
  backend: z.string().optional(),
  state: z.enum([VmState.Live, VmState.Leaving])
})
/** The VM list. */
export const vmListSchema = z.object({ entries: z.array(vmEntrySchema) })

/** HTTP path for the records of a stream. */
export function streamPath (stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`
}

/** HTTP path of the VM list. */
export const VM_LIST_PATH = '/vms'
