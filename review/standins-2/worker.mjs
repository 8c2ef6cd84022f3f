/** Stand-in of a sound worker: registers itself in the log and answers requests whole, streams as events. */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_200

/** Runs each request for `workMs`; a stream has `events` events in that time, after the time that its prompt takes. */
export class Worker {
  /** Requests that it began to run, with the bytes of their bodies. */
  runs = []
  _life = 0

  constructor ({ log, id, service, host, port, zone, slots = 12, workMs = 30, events = 4, version = '1', promptTokensPerMs }) {
    Object.assign(this, { log, id, service, zone, slots, workMs, events, version, promptTokensPerMs, address: `${host}:${port}`, born: Date.now(), state: 'ready' })
    this._server = createServer((request, response) => { void this._handle(request, response) })
    this._server.keepAliveTimeout = 30_000
  }

  async listen () {
    const [host, port] = this.address.split(':')
    await new Promise((resolve, reject) => this._server.once('error', reject).listen(Number(port), host, resolve))
    this._register()
    this._timer = setInterval(() => this._register(), HEARTBEAT_MS)
  }

  close () {
    clearInterval(this._timer)
    this._server.closeAllConnections()
    this._server.close()
  }

  /** Ends at once, as by a kill, and starts again after `downMs` under the same id and address, with another version of its software. */
  async restartAs (version, downMs) {
    clearInterval(this._timer)
    const closed = new Promise(resolve => this._server.close(resolve))
    this._server.closeAllConnections()
    this._life++
    await Promise.all([closed, pause(downMs)])
    Object.assign(this, { version, born: Date.now() })
    await this.listen()
  }

  _register () {
    const { service, address: addr, zone, version, slots, state, born } = this
    this.log.put('keyed.servers', this.id, { service, addr, zone, version, slots, state, cold_left_ms: 0, call_seq: 0, born })
  }

  async _handle (request, response) {
    let bytes = 0
    for await (const chunk of request) bytes += chunk.length
    const id = request.headers['attempt-id']
    if (request.headers['expect-instance'] !== this.id) {
      response.writeHead(421, { 'instance-id': this.id, 'attempt-id': id }).end()
      return
    }
    const life = this._life
    this.runs.push({ id, path: request.url, bytes, version: this.version, resumes: request.headers.resumes, lastEventId: request.headers['last-event-id'], atMs: Math.round(performance.now()) })
    const headers = { 'attempt-id': id, 'server-seal': `seal.${this.id}` }
    if (request.headers['token-usage'] === undefined) {
      await pause(this.workMs)
      response.writeHead(200, headers).end(`answer to ${id}`)
      return
    }
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    const { version } = this
    if (this.promptTokensPerMs !== undefined) await pause(Number(request.headers['token-usage'].split(',')[0]) / this.promptTokensPerMs)
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= this.events; event++) {
      await pause(this.workMs / this.events)
      if (life !== this._life || response.destroyed) return
      response.write(`id: ${event}\ndata: piece ${event} of version ${version}\n\n`)
    }
    response.end()
  }
}

export async function pause (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}
