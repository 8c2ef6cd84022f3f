/** Stand-in for a model worker: streams events, and notes what it ran. */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_200
const pause = async ms => await new Promise(resolve => { setTimeout(resolve, ms) })

export class WorkerStandIn {
  /** Runs in the order in which they began. */
  runs = []
  running = 0
  _server = createServer((request, response) => { this._handle(request, response).catch(() => response.destroy()) })

  /** A request's header `x-events` and `x-gap-ms` say how long its stream is. */
  constructor ({ id, service, log, slots, eventTokens }) {
    Object.assign(this, { id, service, log, slots, eventTokens, born: Date.now(), callSequence: 0 })
    this._server.keepAliveTimeout = 30_000
  }

  async start (host) {
    await new Promise(resolve => { this._server.listen(0, host, resolve) })
    this.address = `${host}:${this._server.address().port}`
    this._register()
    this._timer = setInterval(() => this._register(), HEARTBEAT_MS)
  }

  async stop () {
    clearInterval(this._timer)
    this._server.closeAllConnections()
    await new Promise(resolve => { this._server.close(resolve) })
  }

  _register () {
    this.log.put('keyed.servers', this.id, { service: this.service, addr: this.address, zone: 'a', version: 'v1', slots: this.slots, state: 'ready', cold_left_ms: 0, call_seq: this.callSequence++, born: this.born })
  }

  async _handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const { headers } = request
    const attemptId = headers['attempt-id']
    if (headers['expect-instance'] !== this.id) {
      response.writeHead(421, { 'attempt-id': attemptId ?? '', 'instance-id': this.id }).end()
      return
    }
    if (attemptId === undefined || this.running >= this.slots) {
      response.writeHead(attemptId === undefined ? 400 : 503, { 'attempt-id': attemptId ?? '', 'not-run': '1' }).end()
      return
    }
    const run = { attemptId, body: Buffer.concat(chunks), isWhole: false }
    this.runs.push(run)
    this.running++
    try {
      response.writeHead(200, { 'attempt-id': attemptId, 'server-seal': `seal.${this.id}`, 'content-type': 'text/event-stream' })
      const events = Number(headers['x-events'] ?? 3)
      for (let event = 1 + Number(headers['last-event-id'] ?? 0); event <= events && !response.destroyed; event++) {
        response.write(`id: ${event}\ndata: piece ${event} \n\n`)
        await pause(Number(headers['x-gap-ms'] ?? 10))
      }
      response.end()
      run.isWhole = !response.destroyed
    } finally {
      this.running--
    }
  }
}
