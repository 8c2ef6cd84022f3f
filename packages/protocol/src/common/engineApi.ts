/** The HTTP interfaces of model engines and tool services: schemas, paths and headers. */
import { z } from 'zod'
import type { EngineRequest, EngineStatus } from '@trefoilshunt/core'

/** Body of a chat-completions request, extended by a priority and by the session whose cache is used and retained. */
export const engineRequestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.enum(['system', 'user', 'assistant', 'tool']), content: z.string() })),
  max_tokens: z.int().positive(),
  stream: z.literal(true),
  priority: z.number(),
  cache: z.object({ session: z.string(), retain_ms: z.number() })
})
export type EngineBody = z.infer<typeof engineRequestSchema>

/** One chunk of a completion stream; the last one carries the usage. */
export const engineChunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }), finish_reason: z.string().nullish() })).default([]),
  /** Number of tokens in this chunk; if absent, the reader estimates it from the length of the text. */
  tokens: z.int().nonnegative().optional(),
  usage: z.object({
    prompt_tokens: z.int().nonnegative(),
    completion_tokens: z.int().nonnegative(),
    prompt_tokens_details: z.object({ cached_tokens: z.int().nonnegative() }).optional()
  }).nullish()
})
export type EngineChunk = z.infer<typeof engineChunkSchema>

/** Load of an engine and the sessions in its cache. */
export const engineStatusSchema: z.ZodType<EngineStatus> = z.object({
  model: z.string(),
  activeRequests: z.int().nonnegative(),
  queuedRequests: z.int().nonnegative(),
  kvTokensUsed: z.number().nonnegative(),
  kvTokensCapacity: z.number().nonnegative(),
  heldSessions: z.array(z.object({ session: z.string(), tokens: z.number() }))
})

/** Changes of an engine's cache, numbered by `sequence`. */
export const cacheEventsSchema = z.object({
  events: z.array(z.object({ sequence: z.int().nonnegative(), kind: z.enum(['stored', 'evicted']), session: z.string() }))
})

/** HTTP paths of a model engine. */
export const ENGINE_PATHS = {
  completions: '/v1/chat/completions',
  status: '/v1/status',
  events: '/v1/cache/events',
  release: '/v1/cache/release',
  exportCache: '/v1/cache/export',
  importCache: '/v1/cache/import',
  load: '/v1/models/load'
} as const

/** Header of an answer, `true` if the back end has not run the request. */
export const NOT_RUN_HEADER = 'x-not-run'
/**
 * Header of a request with its id, which back ends return in their answer. Without it, `NOT_RUN_HEADER` counts only in the first
 * answer on a connection: a later one may repeat an earlier refusal.
 */
export const REQUEST_ID_HEADER = 'x-request-id'
/** Header of an answer, `true` if the back end is being removed and accepts no new work. */
export const LEAVING_HEADER = 'x-leaving'
/** Path of a service, followed by an idempotency key, that returns the result of the call with this key. */
export const SERVICE_LOOKUP_PATH = '/calls/'
/** Header of a call to a service, with which the service recognizes a repeated call. */
export const IDEMPOTENCY_HEADER = 'idempotency-key'

/** Converts the core's request to the body that is sent to an engine. */
export function toEngineBody (request: EngineRequest): EngineBody {
  return {
    model: request.model,
    messages: request.messages,
    max_tokens: request.maxTokens,
    stream: true,
    priority: request.priority,
    cache: { session: request.session, retain_ms: request.retainMs }
  }
}

/** Converts a checked body to the core's request. */
export function fromEngineBody (body: EngineBody): EngineRequest {
  return {
    type: 'model',
    model: body.model,
    messages: body.messages,
    maxTokens: body.max_tokens,
    priority: body.priority,
    session: body.cache.session,
    retainMs: body.cache.retain_ms
  }
}
