/** Port for the requests of callers, their replies and their forwarding to other nodes. */
import { inject, injectable } from 'tsyringe'
import { type CallerReply, type CallerRequest, Reason } from './callerMessages.js'
import { IEffects } from './effectQueue.js'
import type { NodeRef } from './node.js'

/** A request that waits for its reply. Every request gets exactly one final reply, unless its caller disconnects before. */
export interface CallerExchange<T extends CallerRequest = CallerRequest> {
  readonly requestId: string
  readonly request: T
  /** Number of nodes that have forwarded the request. */
  readonly hops: number
}

export type CallerRequestOf<K extends CallerRequest['type']> = Extract<CallerRequest, { type: K }>
type Handler = (exchange: CallerExchange) => void

/** A forward that ended without a reply. `wasSent` is false only when no byte reached the other node. */
export interface ForwardFailure { wasSent: boolean }

interface OpenForward {
  node: string
  onFailure: (failure: ForwardFailure) => void
}

/** Passes requests to the plug-ins that handle them and sends their replies. */
export interface ICallers {
  /** Sets the handler of one type of request, in place of a previous one. */
  handle<K extends CallerRequest['type']> (type: K, handler: (exchange: CallerExchange<CallerRequestOf<K>>) => void): void
  /** Sends a reply. A `chunk` leaves the exchange open; any other reply ends it. Has no effect on an ended exchange. */
  reply (requestId: string, reply: CallerReply): void
  /** Forwards the request to another node and passes that node's replies on. */
  forward (exchange: CallerExchange, to: NodeRef, onFailure: (failure: ForwardFailure) => void): void
  /** Cancels every forward to a node and reports each as failed with `wasSent: true`, because the node may have received it. */
  abandonForwards (node: string): void
  /** Passes an open request to its handler again, after its program has moved. */
  dispatchAgain (exchange: CallerExchange): void
  /** Number of requests that have no final reply yet. */
  readonly openCount: number
  /** Calls `listener` if the caller disconnects before the final reply. A second listener replaces the first. */
  onCallerDisconnected (requestId: string, listener: () => void): void
}
export const ICallers = Symbol('ICallers')

@injectable()
export class CallerPort implements ICallers {
  private readonly _handlers = new Map<string, Handler>()
  private readonly _openExchanges = new Map<string, CallerExchange>()
  private readonly _forwards = new Map<string, OpenForward>()
  private readonly _disconnectListeners = new Map<string, () => void>()

  constructor (@inject(IEffects) private readonly _effects: IEffects) {}

  get openCount (): number {
    return this._openExchanges.size
  }

  handle<K extends CallerRequest['type']> (type: K, handler: (exchange: CallerExchange<CallerRequestOf<K>>) => void): void {
    this._handlers.set(type, handler as Handler)
  }

  reply (requestId: string, reply: CallerReply): void {
    if (!this._openExchanges.has(requestId)) return
    this._effects.emit({ type: 'reply', requestId, reply })
    if (reply.type !== 'chunk') this._removeExchange(requestId)
  }

  forward (exchange: CallerExchange, to: NodeRef, onFailure: (failure: ForwardFailure) => void): void {
    if (!this._openExchanges.has(exchange.requestId)) return
    this._forwards.set(exchange.requestId, { node: to.node, onFailure })
    const { requestId, request, hops } = exchange
    this._effects.emit({ type: 'forward', requestId, to, request, hops: hops + 1 })
  }

  abandonForwards (node: string): void {
    for (const [requestId, forward] of [...this._forwards]) {
      if (forward.node !== node) continue
      this._effects.emit({ type: 'cancelForward', requestId })
      this.handleForwardFailed(requestId, { wasSent: true })
    }
  }

  dispatchAgain (exchange: CallerExchange): void {
    if (this._openExchanges.has(exchange.requestId)) this._handlers.get(exchange.request.type)?.(exchange)
  }

  onCallerDisconnected (requestId: string, listener: () => void): void {
    this._disconnectListeners.set(requestId, listener)
  }

  /** Starts an exchange for a request that the host reports. */
  handleRequest (exchange: CallerExchange): void {
    this._openExchanges.set(exchange.requestId, exchange)
    const handler = this._handlers.get(exchange.request.type)
    // A node of another version may forward a request of a type that this version lacks.
    if (handler === undefined) this.reply(exchange.requestId, { type: 'refused', reason: Reason.Invalid, detail: `this node does not support requests of type ${exchange.request.type}` })
    else handler(exchange)
  }

  /** Ends an exchange without a reply. */
  handleCallerDisconnected (requestId: string): void {
    if (!this._openExchanges.has(requestId)) return
    const listener = this._disconnectListeners.get(requestId)
    this._removeExchange(requestId)
    listener?.()
  }

  handleForwardReply (requestId: string, reply: CallerReply): void {
    if (!this._forwards.has(requestId)) return
    this.reply(requestId, reply)
  }

  handleForwardFailed (requestId: string, failure: ForwardFailure): void {
    const forward = this._forwards.get(requestId)
    this._forwards.delete(requestId)
    if (this._openExchanges.has(requestId)) forward?.onFailure(failure)
  }

  private _removeExchange (requestId: string): void {
    this._openExchanges.delete(requestId)
    this._forwards.delete(requestId)
    this._disconnectListeners.delete(requestId)
  }
}
