/** Request and reply between nodes over host messages. */
import { inject, injectable } from 'tsyringe'
import { Emitter, type Event } from '../kernel/emitter.js'
import { IEffects } from '../kernel/effectQueue.js'
import type { IDisposable } from '../kernel/lifecycle.js'
import { NodeIdentity } from '../kernel/node.js'
import { ITimers } from '../kernel/timers.js'
import type { PeerEnvelope, PeerMessage, PeerMessageOf, PeerSender } from './peerMessages.js'

/** Where a message goes. */
export interface PeerTarget {
  node: string
  peerAddress: string
}

export type PeerAnswer<T extends PeerMessage = PeerMessage> =
  | { type: 'answered', body: T, from: PeerSender }
  | { type: 'failed', isUnreachable: boolean }

type Handler = (body: PeerMessage, from: PeerSender, respond: (body: PeerMessage) => void) => void
interface PendingRequest {
  node: string
  timeout: IDisposable
  onAnswer: (answer: PeerAnswer) => void
}

/** Talks to other nodes. Losing any message must be safe. */
export interface IPeers {
  /** Fires for every message that shows its sender alive. */
  readonly onDidHear: Event<PeerSender>
  /** Fires when a message could not be delivered. */
  readonly onDidFail: Event<string>
  /** Sends a message without waiting for an answer. */
  send (target: PeerTarget, body: PeerMessage): void
  /** Sends a message and reports its answer, a failed delivery or the timeout, exactly once. */
  request (target: PeerTarget, body: PeerMessage, timeoutMs: number, onAnswer: (answer: PeerAnswer) => void): void
  /** Sets the handler of one type of message. */
  handle<K extends PeerMessage['type']> (type: K, handler: (body: PeerMessageOf<K>, from: PeerSender, respond: (body: PeerMessage) => void) => void): void
}
export const IPeers = Symbol('IPeers')

@injectable()
export class Peers implements IPeers {
  private readonly _didHear = new Emitter<PeerSender>()
  private readonly _didFail = new Emitter<string>()
  private readonly _handlers = new Map<string, Handler>()
  private readonly _pending = new Map<number, PendingRequest>()

  readonly onDidHear = this._didHear.event
  readonly onDidFail = this._didFail.event

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
    const timeout = this._timers.after(timeoutMs, () => this._settle(messageId, { type: 'failed', isUnreachable: false }))
    this._pending.set(messageId, { node: target.node, timeout, onAnswer })
    this._post(target, body, messageId)
  }

  handle<K extends PeerMessage['type']> (type: K, handler: (body: PeerMessageOf<K>, from: PeerSender, respond: (body: PeerMessage) => void) => void): void {
    this._handlers.set(type, handler as Handler)
  }

  /** Delivers a message that the host received. */
  handleMessage (envelope: PeerEnvelope): void {
    if (envelope.to !== this._identity.node) return
    this._didHear.fire(envelope.from)
    if (envelope.replyTo !== undefined) {
      this._settle(envelope.replyTo, { type: 'answered', body: envelope.body, from: envelope.from })
      return
    }
    const respond = (body: PeerMessage) => this._post(envelope.from, body, this._effects.nextId(), envelope.messageId)
    this._handlers.get(envelope.body.type)?.(envelope.body, envelope.from, respond)
  }

  /** Notes that the host could not deliver a message. */
  handleFailed (node: string, messageId: number): void {
    this._didFail.fire(node)
    this._settle(messageId, { type: 'failed', isUnreachable: true })
  }

  private _sender (): PeerSender {
    const { node, incarnation, address, peerAddress, zone } = this._identity
    return { node, incarnation, address, peerAddress, zone }
  }

  private _settle (messageId: number, answer: PeerAnswer): void {
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
