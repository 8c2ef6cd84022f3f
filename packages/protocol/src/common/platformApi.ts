/** The wires of the platform: the log service and the VM list. */
import { z } from 'zod'
import { VmRole, VmState } from '@trefoilshunt/core'

export const logRecordSchema = z.looseObject({ id: z.string(), type: z.string() })
export const appendBodySchema = z.object({ records: z.array(logRecordSchema).min(1) })
export const appendAnswerSchema = z.object({ firstOffset: z.int().nonnegative().optional() })
export const readAnswerSchema = z.object({
  records: z.array(z.object({ offset: z.int().nonnegative(), record: z.unknown() })),
  firstOffset: z.int().nonnegative(),
  endOffset: z.int().nonnegative()
})

export const vmEntrySchema = z.object({
  name: z.string(),
  role: z.enum([VmRole.Entry, VmRole.Engine, VmRole.Service]),
  zone: z.string(),
  address: z.string(),
  peerAddress: z.string().optional(),
  backend: z.string().optional(),
  state: z.enum([VmState.Live, VmState.Leaving])
})
export const vmListSchema = z.object({ entries: z.array(vmEntrySchema) })

/** Path of a stream's records. */
export function streamPath (stream: string): string {
  return `/streams/${encodeURIComponent(stream)}/records`
}

export const VM_LIST_PATH = '/vms'
