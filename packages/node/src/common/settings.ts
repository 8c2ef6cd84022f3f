/** The settings file of the daemon. */
import { z } from 'zod'

const port = z.int().min(0).max(65_535)
const url = z.url({ protocol: /^http$/ })
const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in 64 hexadecimal digits')

const credentialSchema = z.strictObject({
  /** Customer or operator that the key belongs to. */
  name: z.string().min(1),
  /** SHA-256 of the bearer key, so that the file holds no secret. */
  keySha256: sha256Hex
})

export const settingsSchema = z.strictObject({
  /** Name of this entry VM, as the VM list has it. */
  node: z.string().regex(/^[a-z0-9-]+$/, 'must be lower-case letters, digits and hyphens'),
  availabilityZone: z.string().min(1),
  environment: z.enum(['trial', 'production']),
  /** Address that callers use. */
  host: z.string().min(1),
  callerPort: port,
  peerPort: port,
  platform: z.strictObject({
    logServiceUrl: url,
    vmListUrl: url,
    vmListPeriodMs: z.int().positive().default(2_000),
    logTimeoutMs: z.int().positive().default(2_000)
  }),
  credentials: z.strictObject({
    customers: z.array(credentialSchema).min(1),
    operators: z.array(credentialSchema).min(1),
    /** SHA-256 of the secret is not enough here: peers prove that they know the secret itself. */
    peerSecretFile: z.string().min(1).optional(),
    peerSecret: z.string().min(16).optional()
  }),
  limits: z.strictObject({
    bodyBytes: z.int().positive().default(2_000_000),
    headerBytes: z.int().positive().default(16_384),
    connections: z.int().positive().default(4_096),
    requestReadMs: z.int().positive().default(10_000)
  }).prefault({}),
  /** Overrides of the core's settings; the names are those of `CoreSettings`. */
  core: z.record(z.string(), z.union([z.number(), z.string()])).default({}),
  logLevel: z.enum(['info', 'warn', 'error', 'silent']).default('info')
})

export type Settings = z.output<typeof settingsSchema>
