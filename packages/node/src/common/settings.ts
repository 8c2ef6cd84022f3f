/** The schema of the daemon's settings file. */
import { z } from 'zod'

const portSchema = z.int().min(0).max(65_535)
const httpUrlSchema = z.url({ protocol: /^http$/ })
const sha256HexSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in 64 hexadecimal digits')

const credentialSchema = z.strictObject({
  /** Name of the customer or operator that the key belongs to. */
  name: z.string().min(1),
  /** SHA-256 of the bearer key in hexadecimal digits; the key itself is not in the file. */
  keySha256: sha256HexSchema
})

/** Checks the settings file and fills in its defaults; unknown keys are rejected. */
export const settingsSchema = z.strictObject({
  /** Name of this entry VM, the same as in the VM list. */
  node: z.string().regex(/^[a-z0-9-]+$/, 'must be lower-case letters, digits and hyphens'),
  availabilityZone: z.string().min(1),
  environment: z.enum(['trial', 'production']),
  /** Host that both servers listen on, and that callers and peers connect to. */
  host: z.string().min(1),
  callerPort: portSchema,
  peerPort: portSchema,
  platform: z.strictObject({
    logServiceUrl: httpUrlSchema,
    vmListUrl: httpUrlSchema,
    vmListPeriodMs: z.int().positive().default(2_000),
    /** Timeout of each request to the log service and of each read of the VM list. */
    logTimeoutMs: z.int().positive().default(2_000)
  }),
  credentials: z.strictObject({
    customers: z.array(credentialSchema).min(1),
    operators: z.array(credentialSchema).min(1),
    /** File with the secret that all nodes share. The node needs the secret itself and not its SHA-256, because it sends it to its peers. */
    peerSecretFile: z.string().min(1).optional(),
    /** The shared secret itself; if set, `peerSecretFile` is ignored. */
    peerSecret: z.string().min(16).optional()
  }),
  limits: z.strictObject({
    /** Maximum size of a request body. */
    bodyBytes: z.int().positive().default(2_000_000),
    /** Maximum size of the headers of a request. */
    headerBytes: z.int().positive().default(16_384),
    /** Maximum number of open connections of callers. */
    connections: z.int().positive().default(4_096),
    /** Maximum time for the headers of a request to arrive, and again for its body. */
    requestReadMs: z.int().positive().default(10_000)
  }).prefault({}),
  /** Overrides of the core's settings, keyed by the field names of `CoreSettings`. */
  core: z.record(z.string(), z.union([z.number(), z.string()])).default({}),
  logLevel: z.enum(['info', 'warn', 'error', 'silent']).default('info')
})

/** The checked settings of one daemon. */
export type Settings = z.output<typeof settingsSchema>
