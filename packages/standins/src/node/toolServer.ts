/** Serves the tool service stand-in over HTTP. */
import { IDEMPOTENCY_HEADER, LEAVING_HEADER, NOT_RUN_HEADER, SERVICE_LOOKUP_PATH } from '@trefoilshunt/protocol'
import { type ToolDatabase, ToolService, type ToolServiceOptions } from '../common/toolService.js'
import { realHost } from './realHost.js'
import { sendJson, type StandinRequest, StandinServer } from './standinServer.js'

/** One worker of a service with its server. `POST /faults` takes `fault`: `crash`, `restart`, `leaving`, or `hang` and `dropAnswers` with `count`. */
export class ToolServer {
  readonly service: ToolService
  readonly server = new StandinServer()

  constructor (options: Partial<ToolServiceOptions> & Pick<ToolServiceOptions, 'name'>, database: ToolDatabase) {
    this.service = new ToolService(options, database, realHost)
    this.server.get(`${SERVICE_LOOKUP_PATH}:key`, ({ params, response }) => {
      const result = this.service.lookup(decodeURIComponent(params.key))
      sendJson(response, result === undefined ? 404 : 200, result === undefined ? {} : { status: result.status, body: result.body })
    })
    this.server.post('/faults', call => this._applyFault(call))
    for (const path of ['/orders', '/bookings', '/deposits', '/catalogue']) this.server.post(path, call => this._execute(path, call))
  }

  private _execute (path: string, { body, headers, response }: StandinRequest): void {
    const key = headers[IDEMPOTENCY_HEADER]
    this.service.call({ path, body, idempotencyKey: typeof key === 'string' ? key : undefined }, event => {
      if (event.type === 'serviceDone') sendJson(response, event.result.status, event.result.body)
      else if (event.type === 'failed' && event.isUntouched) sendJson(response, 503, {}, { [NOT_RUN_HEADER]: 'true', [LEAVING_HEADER]: String(event.isLeaving) })
      else if (event.type === 'failed') response.destroy()
    })
  }

  private _applyFault ({ body, response }: StandinRequest): void {
    const { fault, count = 1 } = body as { fault: string, count?: number }
    if (fault === 'crash') this.service.crash()
    else if (fault === 'restart') this.service.restart()
    else if (fault === 'leaving') this.service.setLeaving()
    else if (fault === 'hang') this.service.hangNext(count)
    else if (fault === 'dropAnswers') this.service.dropAnswers(count)
    sendJson(response, 200, {})
  }
}
