/** Stand-in for a plain worker whose answers have no length and end with their channel; some of them are reset on the way. */
import { createServer } from 'node:net'

const HEARTBEAT_MS = 1_200

export class ResettingWorker {
  /** The Attempt-Ids of answers that were reset before their end. */
  reset = new Set()
  _requests = 0
  _server = createServer({ noDelay: true }, socket => this._accept(socket))

  /** Every `resetEvery`th answer is reset; none if it is 0. */
  constructor ({ id, service, log, body, resetEvery }) {
    Object.assign(this, { id, service, log, body, resetEvery, born: Date.now() })
  }

  async start (host) {
    await new Promise(resolve => { this._server.listen(0, host, resolve) })
    this.address = `${host}:${this._server.address().port}`
    this._register()
    this._timer = setInterval(() => this._register(), HEARTBEAT_MS)
  }

  async stop () {
    clearInterval(this._timer)
    await new Promise(resolve => { this._server.close(resolve) })
  }

  _register () {
    this.log.put('keyed.servers', this.id, { service: this.service, addr: this.address, zone: 'a', version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, call_seq: 0, born: this.born })
  }

  /** One request a channel. GET requests have no body. */
  _accept (socket) {
    let received = ''
    socket.on('error', () => {})
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      if (received.includes('\r\n\r\n')) this._answer(socket, received)
    })
  }

  _answer (socket, request) {
    const headerOf = name => request.match(new RegExp(`^${name}: (.*?)\r$`, 'im'))?.[1]
    const attemptId = headerOf('attempt-id')
    if (headerOf('expect-instance') !== this.id) {
      socket.end(`HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${attemptId}\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
      return
    }
    const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nServer-Seal: seal.${this.id}\r\nConnection: close\r\n\r\n`
    if (this.resetEvery === 0 || ++this._requests % this.resetEvery !== 0) {
      socket.end(head + this.body)
      return
    }
    this.reset.add(attemptId)
    socket.write(head + this.body.slice(0, this.body.length / 2), () => socket.resetAndDestroy())
  }
}
