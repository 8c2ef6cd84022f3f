/** Limits the requests that a caller sends on one connection without waiting for their answers. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

const MAX_OPEN_REQUESTS = 64

/**
 * A connection with more open requests is closed: Node.js hands over each request that it has parsed, and doesn't stop reading
 * because of those that are not answered yet.
 *
 * @example
 * const limit = new PipelineLimit(callerAddress => log(callerAddress))
 * createServer((request, response) => { if (limit.accept(request, response)) handle(request, response) })
 */
export class PipelineLimit {
  private readonly _openRequests = new WeakMap<Socket, number>()

  /** `onExceeded` is called once for each connection that is closed. */
  constructor (private readonly _onExceeded: (callerAddress: string) => void) {}

  /** False if the request must be ignored, because its connection is closed. */
  accept ({ socket }: IncomingMessage, response: ServerResponse): boolean {
    if (socket.destroyed) return false
    const openCount = this._openRequests.get(socket) ?? 0
    if (openCount >= MAX_OPEN_REQUESTS) {
      this._onExceeded(socket.remoteAddress ?? '')
      socket.destroy()
      return false
    }
    this._openRequests.set(socket, openCount + 1)
    response.once('close', () => this._openRequests.set(socket, (this._openRequests.get(socket) ?? 1) - 1))
    return true
  }
}
