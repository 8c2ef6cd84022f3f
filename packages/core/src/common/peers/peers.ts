/** Requests and replies between nodes, over messages that the host sends and receives. */
import { inject, injectable } from 'tsyringe'
import { Emitter, type Event } from '../kernel/emitter.js'
import { IEffects } from '../kernel/effectQueue.js'
import type { IDisposable } from '../kernel/lifecycle.js'
import { NodeIdentity } from '../kernel/node.js'
import { ITimers } from '../kernel/timers.js'
import type { PeerEnvelope, PeerMessage, PeerMessageOf, PeerSender } from './peerMessages.js'

/** Receiver of a message. */
export interface PeerTarget {
  node: string
  peerAddress: string
}

/** Outcome of a request. `isUnreachable`: true when the message could not be delivered, false after the timeout. */
export type PeerAnswer<T extends PeerMessage = PeerMessage> =
  | { type: 'answered', body: T, from: PeerSender }
  | { type: 'failed', isUnreachable: boolean }

type MessageHandler = (body: PeerMessage, from: PeerSender, respond: (body: PeerMessage) => void) => void
interface PendingRequest {
  node: string
  timeout: IDisposable
  onAnswer: (answer: PeerAnswer) => void
}

/** Sends messages to other nodes. Any message may be lost, so the loss of each must be safe. */
export interface IPeers {
  /** Fires with the sender of every message addressed to this node. */
  readonly onDidReceive: Event<PeerSender>
  /** Fires with the name of the receiver when a message could not be delivered. */
  readonly onDidFailDelivery: Event<string>
  /** Sends a message without waiting for an answer. */
  send (target: PeerTarget, body: PeerMessage): void
  /** Sends a message; `onAnswer` is called exactly once, with the answer, a failed delivery or the timeout. */
  request (target: PeerTarget, body: PeerMessage, timeoutMs: number, onAnswer: (answer: PeerAnswer) => void): void
  /** Sets the handler of requests of one message type; it replaces an earlier one. */
  handle<K extends PeerMessage['type']> (type: K, handler: (body: PeerMessageOf<K>, from: PeerSender, respond: (body: PeerMessage) => void) => void): void
}
export const IPeers = Symbol('IPeers')

@injectable()
export class Peers implements IPeers {
  private readonly _didReceive = new Emitter<PeerSender>()
  private readonly _didFailDelivery = new Emitter<string>()
  private readonly _handlers = new Map<string, MessageHandler>()
  private readonly _pending = new Map<number, PendingRequest>()

  readonly onDidReceive = this._didReceive.event
  readonly onDidFailDelivery = this._didFailDelivery.event

  constructor (
    @inject(IEffects) private readonly _effects: IEffects,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(NodeIdentity) private readonly _identity: NodeIdentity
  ) {}

  send (target: PeerTarget, body: PeerMessage): void {
    this._post(target, body, this._effects.nextId())
  }

  request (target: PeerTarget, body: PeerMessage, timeoutMs: number, onAnswer: (answer: PeerAnswer) => void): void {
    const messageId = this._effects.nextId()
    const timeout = this._timers.after(timeoutMs, () => this._resolveRequest(messageId, { type: 'failed', isUnreachable: false }))
    this._pending.set(messageId, { node: target.node, timeout, onAnswer })
    this._post(target, body, messageId)
  }

  handle<K extends PeerMessage['type']> (type: K, handler: (body: PeerMessageOf<K>, from: PeerSender, respond: (body: PeerMessage) => void) => void): void {
    this._handlers.set(type, handler as MessageHandler)
  }

  /** Passes a message that the host received to its request or handler; ignores messages addressed to other nodes. */
  handleMessage (envelope: PeerEnvelope): void {
    if (envelope.to !== this._identity.node) return
    this._didReceive.fire(envelope.from)
    if (envelope.replyTo !== undefined) {
      this._resolveRequest(envelope.replyTo, { type: 'answered', body: envelope.body, from: envelope.from })
      return
    }
    const respond = (body: PeerMessage) => this._post(envelope.from, body, this._effects.nextId(), envelope.messageId)
    this._handlers.get(envelope.body.type)?.(envelope.body, envelope.from, respond)
  }

  /** Ends the request whose message the host could not deliver. */
  handleDeliveryFailure (node: string, messageId: number): void {
    this._didFailDelivery.fire(node)
    this._resolveRequest(messageId, { type: 'failed', isUnreachable: true })
  }

  private _sender (): PeerSender {
    const { node, incarnation, address, peerAddress, zone } = this._identity
    return { node, incarnation, address, peerAddress, zone }
  }

  private _resolveRequest (messageId: number, answer: PeerAnswer): void {
    const pending = this._pending.get(messageId)
    if (pending === undefined) return
    this._pending.delete(messageId)
    pending.timeout.dispose()
    pending.onAnswer(answer)
  }

  private _post (target: PeerTarget, body: PeerMessage, messageId: number, replyTo?: number): void {
    const envelope: PeerEnvelope = { from: this._sender(), to: target.node, messageId, replyTo, body }
    this._effects.emit({ type: 'sendPeer', address: target.peerAddress, node: target.node, messageId, envelope })
  }
}
