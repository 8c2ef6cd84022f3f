/** Requests of callers and the replies to them. */
import { inject, injectable } from 'tsyringe'
import { type CallerReply, type CallerRequest, Reason } from './callerMessages.js'
import { IEffects } from './effectQueue.js'
import type { NodeRef } from './node.js'

/** A request that waits for its reply. Every request gets exactly one final reply. */
export interface CallerExchange<T extends CallerRequest = CallerRequest> {
  readonly requestId: string
  readonly request: T
  /** How many nodes have forwarded the request already. */
  readonly hops: number
}

export type CallerRequestOf<K extends CallerRequest['type']> = Extract<CallerRequest, { type: K }>
type Handler = (exchange: CallerExchange) => void

/** What becomes of a forwarded request that did not come back with a reply. */
export interface ForwardFailure { wasSent: boolean }

interface OpenForward {
  node: string
  onFailure: (failure: ForwardFailure) => void
}

/** Gives plug-ins the requests they handle and carries their replies. */
export interface ICallers {
  /** Sets the handler of one type of request. */
  handle<K extends CallerRequest['type']> (type: K, handler: (exchange: CallerExchange<CallerRequestOf<K>>) => void): void
  /** Sends a reply; a `chunk` leaves the exchange open, anything else ends it. */
  reply (requestId: string, reply: CallerReply): void
  /** Hands the request to another node, which answers in this node's place. */
  forward (exchange: CallerExchange, to: NodeRef, onFailure: (failure: ForwardFailure) => void): void
  /** Gives up every forward to a node; their failure listeners are told that the request was sent. */
  abandonForwards (node: string): void
  /** Handles a request again, after its program has moved. */
  dispatchAgain (exchange: CallerExchange): void
  /** Requests that have no final reply yet. */
  readonly openCount: number
  /** Calls `listener` if the caller leaves before the final reply. */
  onGone (requestId: string, listener: () => void): void
}
export const ICallers = Symbol('ICallers')

@injectable()
export class CallerPort implements ICallers {
  private readonly _handlers = new Map<string, Handler>()
  private readonly _open = new Map<string, CallerExchange>()
  private readonly _forwards = new Map<string, OpenForward>()
  private readonly _goneListeners = new Map<string, () => void>()

  constructor (@inject(IEffects) private readonly _effects: IEffects) {}

  get openCount (): number {
    return this._open.size
  }

  handle<K extends CallerRequest['type']> (type: K, handler: (exchange: CallerExchange<CallerRequestOf<K>>) => void): void {
    this._handlers.set(type, handler as Handler)
  }

  reply (requestId: string, reply: CallerReply): void {
    if (!this._open.has(requestId)) return
    this._effects.emit({ type: 'reply', requestId, reply })
    if (reply.type !== 'chunk') this._forget(requestId)
  }

  forward (exchange: CallerExchange, to: NodeRef, onFailure: (failure: ForwardFailure) => void): void {
    if (!this._open.has(exchange.requestId)) return
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
    if (this._open.has(exchange.requestId)) this._handlers.get(exchange.request.type)?.(exchange)
  }

  onGone (requestId: string, listener: () => void): void {
    this._goneListeners.set(requestId, listener)
  }

  handleRequest (exchange: CallerExchange): void {
    this._open.set(exchange.requestId, exchange)
    const handler = this._handlers.get(exchange.request.type)
    // A node of another version may forward a request that this one does not know.
    if (handler === undefined) this.reply(exchange.requestId, { type: 'refused', reason: Reason.Invalid, detail: `this node does not know requests of type ${exchange.request.type}` })
    else handler(exchange)
  }

  handleGone (requestId: string): void {
    if (!this._open.has(requestId)) return
    const listener = this._goneListeners.get(requestId)
    this._forget(requestId)
    listener?.()
  }

  handleForwardReply (requestId: string, reply: CallerReply): void {
    if (!this._forwards.has(requestId)) return
    this.reply(requestId, reply)
  }

  handleForwardFailed (requestId: string, failure: ForwardFailure): void {
    const forward = this._forwards.get(requestId)
    this._forwards.delete(requestId)
    if (this._open.has(requestId)) forward?.onFailure(failure)
  }

  private _forget (requestId: string): void {
    this._open.delete(requestId)
    this._forwards.delete(requestId)
    this._goneListeners.delete(requestId)
  }
}
