/** Serves the model engine stand-in over HTTP. */
import { request } from 'undici'
import type { BackendEvent } from '@trefoilshunt/core'
import { ENGINE_PATHS, engineRequestSchema, fromEngineBody, LEAVING_HEADER, NOT_RUN_HEADER } from '@trefoilshunt/protocol'
import { ModelEngine, type ModelEngineOptions } from '../common/modelEngine.js'
import { realHost } from './realHost.js'
import { sendJson, type StandinRequest, StandinServer } from './standinServer.js'

/** One engine with its server. `POST /faults` takes `fault`: `crash`, `restart`, `leaving`, or `slow` with `factor`. */
export class EngineServer {
  readonly engine: ModelEngine
  readonly server = new StandinServer()

  constructor (options: Partial<ModelEngineOptions> & Pick<ModelEngineOptions, 'name' | 'model'>) {
    this.engine = new ModelEngine({ chunkTokens: 1, ...options }, realHost)
    this.server.post(ENGINE_PATHS.completions, call => this._complete(call))
    this.server.get(ENGINE_PATHS.status, ({ response }) => sendJson(response, this.engine.isDown ? 503 : 200, this.engine.status()))
    this.server.get(ENGINE_PATHS.events, ({ query, response }) => sendJson(response, this.engine.isDown ? 503 : 200, { events: this.engine.cacheEvents(Number(query.get('from') ?? 0)) }))
    this.server.post(ENGINE_PATHS.release, ({ body, response }) => {
      this.engine.release((body as { session: string }).session)
      sendJson(response, 200, {})
    })
    this.server.post(ENGINE_PATHS.exportCache, ({ body, response }) => sendJson(response, 200, { tokens: this.engine.exportCache((body as { session: string }).session) }))
    this.server.post(ENGINE_PATHS.importCache, call => { void this._import(call) })
    this.server.post(ENGINE_PATHS.load, ({ body, response }) => {
      const { model, fencing_number: fencingNumber } = body as { model: string, fencing_number: number }
      sendJson(response, this.engine.load(model, fencingNumber) ? 200 : 409, {})
    })
    this.server.post('/faults', call => this._applyFault(call))
  }

  private _complete ({ body, response }: StandinRequest): void {
    const checked = engineRequestSchema.safeParse(body)
    if (!checked.success) {
      sendJson(response, 400, { error: checked.error.message }, { [NOT_RUN_HEADER]: 'true' })
      return
    }
    let isStarted = false
    const call = this.engine.call(fromEngineBody(checked.data), event => {
      if (event.type === 'failed') {
        if (event.isUntouched) sendJson(response, 503, { error: event.detail }, { [NOT_RUN_HEADER]: 'true', [LEAVING_HEADER]: String(event.isLeaving) })
        else response.destroy()
        return
      }
      if (!isStarted) response.writeHead(200, { 'content-type': 'text/event-stream' })
      isStarted = true
      writeEvent(response, event)
    })
    response.on('close', () => call.dispose())
  }

  private async _import ({ body, response }: StandinRequest): Promise<void> {
    const { session, from } = body as { session: string, from: string }
    const answer = await request(`http://${from}${ENGINE_PATHS.exportCache}`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ session }) })
    const { tokens } = await answer.body.json() as { tokens: number }
    this.engine.importCache(session, tokens)
    sendJson(response, 200, { tokens })
  }

  private _applyFault ({ body, response }: StandinRequest): void {
    const { fault, factor } = body as { fault: string, factor?: number }
    if (fault === 'crash') this.engine.crash()
    else if (fault === 'restart') this.engine.restart()
    else if (fault === 'leaving') this.engine.setLeaving()
    else if (fault === 'slow') this.engine.setSlow(factor ?? 1)
    sendJson(response, 200, {})
  }
}

/** Writes a chunk or the end of a completion as server-sent events. */
function writeEvent (response: StandinRequest['response'], event: BackendEvent): void {
  if (event.type === 'chunk') {
    response.write(`data: ${JSON.stringify({ choices: [{ index: 0, delta: { content: event.text } }], tokens: event.tokens })}\n\n`)
  } else if (event.type === 'modelDone') {
    const { promptTokens, completionTokens, cachedTokens } = event.result
    const usage = { prompt_tokens: promptTokens, completion_tokens: completionTokens, prompt_tokens_details: { cached_tokens: cachedTokens } }
    response.end(`data: ${JSON.stringify({ choices: [{ index: 0, delta: {}, finish_reason: 'stop' }], usage })}\n\ndata: [DONE]\n\n`)
  }
}
