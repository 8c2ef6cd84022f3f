/** Schemas of the HTTP bodies of the caller API, and their conversion to and from the core's requests and replies. */
import { z } from 'zod'
import { type CallerReply, type ChatMessage, type Done, type ModelCall, type NotRun, type OpenRequest, Reason, type StepCall, type StepRequest, type StepResult, type Turn, type Unknown } from '@trefoilshunt/core'

const MAX_NAME_CHARACTERS = 128
const MAX_KEY_CHARACTERS = 256
const MAX_MESSAGES = 64
const MAX_MESSAGE_CHARACTERS = 400_000
const MAX_OUTPUT_TOKENS = 100_000
const MAX_TIMEOUT_MS = 3_600_000
const DEFAULT_TIMEOUT_MS = 60_000
const DEFAULT_MAX_TOKENS = 1_024
const MAX_HISTORY_TURNS = 1_000

const nameSchema = z.string().min(1).max(MAX_NAME_CHARACTERS)
const keySchema = z.string().min(1).max(MAX_KEY_CHARACTERS)
const digestSchema = z.string().regex(/^[0-9a-f]{32}$/, 'must be 32 hexadecimal digits')

const messageSchema = z.strictObject({
  role: z.enum(['system', 'user', 'assistant', 'tool']),
  content: z.string().max(MAX_MESSAGE_CHARACTERS)
})

/** A model call in the format of the chat completions API. */
const chatSchema = z.strictObject({
  model: nameSchema.optional(),
  messages: z.array(messageSchema).min(1).max(MAX_MESSAGES),
  max_tokens: z.int().min(1).max(MAX_OUTPUT_TOKENS).default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false)
})

const serviceSchema = z.strictObject({
  name: nameSchema,
  path: z.string().startsWith('/').max(2_048),
  body: z.unknown().optional(),
  /** True only if the call may be executed more than once without harm. */
  repeatable: z.boolean().default(false)
})

const usageSchema = z.strictObject({
  prompt_tokens: z.int().nonnegative(),
  completion_tokens: z.int().nonnegative(),
  cached_tokens: z.int().nonnegative()
})

/** One finished step of a program's history. Does not check that one of `chat` and `service` is present. */
const turnSchema = z.strictObject({
  step: z.int().positive(),
  key: keySchema,
  chat: chatSchema.optional(),
  service: serviceSchema.optional(),
  answer: z.discriminatedUnion('type', [
    z.strictObject({ type: z.literal('model'), text: z.string(), usage: usageSchema }),
    z.strictObject({ type: z.literal('service'), status: z.int(), body: z.unknown() }),
    z.strictObject({ type: z.literal('unknown') })
  ])
})

/** Body of `POST /v1/programs`. */
export const openBodySchema = z.strictObject({
  kind: nameSchema,
  key: keySchema,
  parent: z.string().max(MAX_NAME_CHARACTERS).optional(),
  parentCopy: z.strictObject({ kind: nameSchema, history: z.array(turnSchema).max(MAX_HISTORY_TURNS), historyDigest: digestSchema }).optional(),
  targetMs: z.int().positive().max(MAX_TIMEOUT_MS * 24).optional()
})

/** Body of `POST /v1/programs/:id/steps`. */
export const stepBodySchema = z.strictObject({
  step: z.int().positive(),
  key: keySchema,
  historyDigest: digestSchema,
  chat: chatSchema.optional(),
  service: serviceSchema.optional(),
  resend: z.boolean().default(false),
  timeoutMs: z.int().positive().max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
  kind: nameSchema.optional(),
  history: z.array(turnSchema).max(MAX_HISTORY_TURNS).optional()
}).refine(body => (body.chat === undefined) !== (body.service === undefined), { message: 'exactly one of "chat" and "service" is required' })

/** Body of `POST /v1/admin/configuration/:environment`. */
export const applyBodySchema = z.strictObject({
  baseRevision: z.int().nonnegative(),
  document: z.unknown()
})

/** Body of `POST /v1/admin/promotions`. */
export const promoteBodySchema = z.strictObject({
  from: nameSchema,
  to: nameSchema,
  revision: z.int().positive(),
  baseRevision: z.int().nonnegative()
})

/** A checked body of `POST /v1/programs`. */
export type OpenBody = z.infer<typeof openBodySchema>
/** Body of `POST /v1/programs/:id/steps` as a client sends it; fields with a default may be absent. */
export type StepBody = z.input<typeof stepBodySchema>
type CheckedStepBody = z.output<typeof stepBodySchema>

/** Converts a checked body to the core's request. */
export function toOpenRequest (body: OpenBody, customer: string): OpenRequest {
  const { kind, key, parent, targetMs, parentCopy } = body
  const copy = parentCopy === undefined ? undefined : { ...parentCopy, history: parentCopy.history.map(toTurn) }
  return { type: 'open', customer, kind, key, parent, targetMs, parentCopy: copy }
}

/** Converts the core's request to the body that a client sends. */
export function fromOpenRequest ({ kind, key, parent, targetMs, parentCopy }: OpenRequest): unknown {
  const copy = parentCopy === undefined ? undefined : { ...parentCopy, history: parentCopy.history.map(toTurnBody) }
  return { kind, key, parent, targetMs, parentCopy: copy }
}

/** Converts a checked body to the core's request. */
export function toStepRequest (body: CheckedStepBody, customer: string, programId: string): StepRequest {
  return {
    type: 'step',
    customer,
    programId,
    step: body.step,
    key: body.key,
    historyDigest: body.historyDigest,
    call: toCall(body),
    isResend: body.resend,
    isStreamed: body.chat?.stream === true,
    timeoutMs: body.timeoutMs,
    kind: body.kind,
    history: body.history?.map(toTurn)
  }
}

/** Converts the core's request to the body that a client sends; its timeout is rounded up and limited to the range of the schema. */
export function fromStepRequest (request: StepRequest): StepBody {
  return {
    step: request.step,
    key: request.key,
    historyDigest: request.historyDigest,
    ...fromCall(request.call, request.isStreamed),
    resend: request.isResend,
    timeoutMs: Math.max(1, Math.min(MAX_TIMEOUT_MS, Math.ceil(request.timeoutMs))),
    kind: request.kind,
    history: request.history?.map(toTurnBody)
  }
}

function toCall (body: { chat?: z.output<typeof chatSchema>, service?: z.output<typeof serviceSchema> }): StepCall {
  if (body.chat !== undefined) {
    const call: ModelCall = { type: 'model', messages: body.chat.messages, maxTokens: body.chat.max_tokens }
    return body.chat.model === undefined ? call : { ...call, model: body.chat.model }
  }
  const service = body.service as z.output<typeof serviceSchema>
  return { type: 'service', service: service.name, path: service.path, body: service.body ?? null, isRepeatable: service.repeatable }
}

function fromCall (call: StepCall, isStreamed: boolean): Pick<StepBody, 'chat' | 'service'> {
  if (call.type === 'model') return { chat: { model: call.model, messages: call.messages, max_tokens: call.maxTokens, stream: isStreamed } }
  return { service: { name: call.service, path: call.path, body: call.body, repeatable: call.isRepeatable } }
}

type TurnAnswer = z.output<typeof turnSchema>['answer']

function toResult (answer: TurnAnswer): StepResult {
  if (answer.type === 'model') {
    const { prompt_tokens: promptTokens, completion_tokens: completionTokens, cached_tokens: cachedTokens } = answer.usage
    return { type: 'model', text: answer.text, promptTokens, completionTokens, cachedTokens }
  }
  return answer
}

function fromResult (result: StepResult): TurnAnswer {
  if (result.type !== 'model') return result
  const { text, promptTokens, completionTokens, cachedTokens } = result
  return { type: 'model', text, usage: { prompt_tokens: promptTokens, completion_tokens: completionTokens, cached_tokens: cachedTokens } }
}

// Replies

/** An HTTP answer to a caller. */
export interface HttpReply {
  status: number
  /** Sent as a `retry-after` header in whole seconds; undefined when the caller need not wait. */
  retryAfterMs?: number
  body: unknown
}

const STATUS_BY_REASON: Partial<Record<Reason, number>> = {
  [Reason.Overloaded]: 429,
  [Reason.BudgetExceeded]: 403,
  [Reason.NotFound]: 404,
  [Reason.UnknownKind]: 404,
  [Reason.UnknownBackend]: 404,
  [Reason.OutOfOrder]: 409,
  [Reason.KeyReused]: 409,
  [Reason.HistoryMismatch]: 409,
  [Reason.BusyStep]: 409,
  [Reason.Closed]: 409,
  [Reason.Conflict]: 409,
  [Reason.Quarantined]: 422,
  [Reason.Invalid]: 422
}
const STATUS_NOT_RUN = 503
const STATUS_UNKNOWN = 502
const STATUS_HISTORY_NEEDED = 428

/** Converts a final reply of the core to an HTTP answer. */
export function toHttpReply (reply: CallerReply): HttpReply {
  switch (reply.type) {
    case 'opened': return { status: 201, body: { outcome: 'opened', ...withoutType(reply) } }
    case 'done': return { status: 200, body: toDoneBody(reply) }
    case 'notRun': return { status: STATUS_BY_REASON[reply.reason] ?? STATUS_NOT_RUN, retryAfterMs: reply.retryAfterMs, body: { outcome: 'notRun', ...withoutType(reply) } }
    case 'unknown': return { status: STATUS_UNKNOWN, retryAfterMs: reply.retryAfterMs, body: { outcome: 'unknown', ...withoutType(reply) } }
    case 'historyNeeded': return { status: STATUS_HISTORY_NEEDED, body: { outcome: 'historyNeeded', ...withoutType(reply) } }
    case 'refused': return { status: STATUS_BY_REASON[reply.reason] ?? STATUS_NOT_RUN, body: { outcome: 'refused', ...withoutType(reply) } }
    case 'programView': return { status: 200, body: { outcome: reply.type, ...withoutType(reply), history: reply.history?.map(toTurnBody) } }
    default: return { status: 200, body: { outcome: reply.type, ...withoutType(reply) } }
  }
}

/** Converts a body made by `toHttpReply` back to the reply; undefined if the body is not a reply. Only the presence of `outcome` is checked. */
export function fromHttpBody (body: unknown): CallerReply | undefined {
  if (typeof body !== 'object' || body === null || !('outcome' in body)) return undefined
  const { outcome, ...rest } = body as { outcome: string } & Record<string, unknown>
  if (outcome === 'done') return fromDoneBody(rest as unknown as DoneBody)
  return { type: outcome, ...rest } as unknown as CallerReply
}

interface CompletionBody {
  object: 'chat.completion'
  choices: Array<{ index: number, message: { role: 'assistant', content: string }, finish_reason: string }>
  usage: { prompt_tokens: number, completion_tokens: number, total_tokens: number, prompt_tokens_details: { cached_tokens: number } }
}
interface DoneBody extends Omit<Done, 'type' | 'result'> {
  completion?: CompletionBody
  service?: { status: number, body: unknown }
}

function toDoneBody (reply: Done): unknown {
  const { result, type, ...rest } = reply
  if (result.type === 'service') return { outcome: type, ...rest, service: { status: result.status, body: result.body } }
  const { promptTokens, completionTokens, cachedTokens, text } = result
  const completion: CompletionBody = {
    object: 'chat.completion',
    choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
      prompt_tokens_details: { cached_tokens: cachedTokens }
    }
  }
  return { outcome: type, ...rest, completion }
}

function fromDoneBody ({ completion, service, ...rest }: DoneBody): Done {
  if (completion === undefined) return { type: 'done', ...rest, result: { type: 'service', status: service?.status ?? 0, body: service?.body } }
  const { usage, choices } = completion
  return {
    type: 'done',
    ...rest,
    result: {
      type: 'model',
      text: choices[0].message.content,
      promptTokens: usage.prompt_tokens,
      completionTokens: usage.completion_tokens,
      cachedTokens: usage.prompt_tokens_details.cached_tokens
    }
  }
}

function toTurn (turn: z.output<typeof turnSchema>): Turn {
  return { step: turn.step, key: turn.key, call: toCall(turn), result: toResult(turn.answer) }
}

function toTurnBody (turn: Turn): z.input<typeof turnSchema> {
  return { step: turn.step, key: turn.key, ...fromCall(turn.call, false), answer: fromResult(turn.result) }
}

function withoutType<T extends { type: string }> ({ type, ...rest }: T): Omit<T, 'type'> {
  return rest
}

// Streaming

/** The server-sent event for one chunk of an answer, in the format of a chat-completions chunk. */
export function toChunkEvent (text: string, tokens: number): string {
  const chunk = { object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content: text } }], tokens }
  return `data: ${JSON.stringify(chunk)}\n\n`
}

/** The server-sent events that end a stream: the outcome, then `[DONE]`. */
export function toOutcomeEvents (reply: CallerReply): string {
  return `event: outcome\ndata: ${JSON.stringify(toHttpReply(reply).body)}\n\ndata: [DONE]\n\n`
}

export type { ChatMessage, NotRun, Unknown }
