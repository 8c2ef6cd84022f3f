/** Serves the stand-ins for the log service and the VM list over HTTP. */
import type { LogRecord } from '@trefoilshunt/core'
import { appendBodySchema, VM_LIST_PATH } from '@trefoilshunt/protocol'
import { type AppendFault, LogService, type LogServiceOptions } from '../common/logService.js'
import { VmList } from '../common/vmList.js'
import { realHost } from './realHost.js'
import { sendJson, type StandinRequest, StandinServer } from './standinServer.js'

/** Records of a read without `limit`. */
const DEFAULT_READ_LIMIT = 500

/**
 * The log and the VM list with their server. `POST /faults` takes `fault`: `down`, `up`, `slow` with `delayMs`, or the value of an `AppendFault` with
 * `count`.
 */
export class PlatformServer {
  readonly log: LogService
  readonly vmList: VmList
  readonly server = new StandinServer()

  constructor (options: { log?: Partial<LogServiceOptions>, vmListLagMs?: number } = {}) {
    this.log = new LogService(options.log ?? {}, realHost)
    this.vmList = new VmList(options.vmListLagMs ?? 500, realHost)
    this.server.get(VM_LIST_PATH, ({ response }) => sendJson(response, 200, { entries: this.vmList.read() }))
    this.server.post('/streams/:stream/records', call => realHost.after(this.log.delayMs, () => this._append(call)))
    this.server.get('/streams/:stream/records', call => realHost.after(this.log.delayMs, () => this._read(call)))
    this.server.post('/faults', call => this._applyFault(call))
  }

  private _append ({ params, body, response }: StandinRequest): void {
    const checked = appendBodySchema.safeParse(body)
    if (!checked.success) {
      sendJson(response, 400, { error: checked.error.message })
      return
    }
    const outcome = this.log.append(decodeURIComponent(params.stream), checked.data.records as LogRecord[])
    if (outcome.type === 'appended') sendJson(response, 200, { firstOffset: outcome.firstOffset })
    else if (outcome.type === 'failed') sendJson(response, this.log.isDown ? 503 : 429, { error: outcome.detail })
    else response.destroy()
  }

  private _read ({ params, query, response }: StandinRequest): void {
    const outcome = this.log.read(decodeURIComponent(params.stream), Number(query.get('from') ?? 0), Number(query.get('limit') ?? DEFAULT_READ_LIMIT))
    if (outcome.type === 'read') sendJson(response, 200, outcome)
    else sendJson(response, 503, { error: outcome.detail })
  }

  private _applyFault ({ body, response }: StandinRequest): void {
    const { fault, count = 1, delayMs = 0 } = body as { fault: string, count?: number, delayMs?: number }
    if (fault === 'down') this.log.setDown(true)
    else if (fault === 'up') this.log.setDown(false)
    else if (fault === 'slow') this.log.setDelay(delayMs)
    else this.log.addFaults(fault as AppendFault, count)
    sendJson(response, 200, {})
  }
}
