/** Connections to nodes in virtual time: those of callers, and those of nodes that forward a caller's request. */
import type { CallerReply, CallerRequest, Effect } from '@trefoilshunt/core'
import type { EventQueue } from './eventQueue.js'
import type { VirtualLinks } from './virtualLinks.js'
import type { VirtualNode } from './virtualNode.js'

const CONNECT_FAILURE_MS = 1
/** Time after which a message over a cut link counts as undeliverable. */
const CUT_TIMEOUT_MS = 1_000
/** Time that the forwarding node waits beyond the step's own timeout. */
const FORWARD_MARGIN_MS = 1_000
const FORWARD_TIMEOUT_MS = 10_000

/** Delivers requests to nodes and their replies back. */
export class VirtualCallers {
  /** Functions that abandon a forwarded request, by forwarding node and request ID. */
  private readonly _forwards = new Map<string, () => void>()
  /** Receivers of the replies to open requests, by request ID. */
  private readonly _replies = new Map<string, (reply: CallerReply) => void>()
  private _lastRequestNumber = 0

  constructor (
    private readonly _events: EventQueue,
    private readonly _links: VirtualLinks,
    private readonly _nodes: ReadonlyMap<string, VirtualNode>
  ) {}

  /**
   * Sends a request to a node. `onReply` gets each chunk and the final reply; `onFailure` is called instead of a final reply when the
   * node cannot be reached, the connection breaks or `timeoutMs` has passed.
   * @param hops how many nodes have forwarded the request already.
   * @param delayMs one-way delay of the connection.
   * @returns a function that abandons the request; the node receives `callerGone`, and `onFailure` is called unless the request has ended.
   */
  deliver (address: string, request: CallerRequest, hops: number, delayMs: number, timeoutMs: number, onReply: (reply: CallerReply) => void, onFailure: (wasSent: boolean, detail: string) => void): () => void {
    const requestId = `q${++this._lastRequestNumber}`
    const name = address.slice(0, address.lastIndexOf(':'))
    let isOver = false
    const end = () => {
      isOver = true
      timeout.dispose()
      this._replies.delete(requestId)
      this._nodes.get(name)?.connections.delete(requestId)
    }
    const fail = (wasSent: boolean, detail: string) => {
      if (isOver) return
      end()
      onFailure(wasSent, detail)
    }
    const abort = (detail: string) => {
      this._nodes.get(name)?.handle({ type: 'callerGone', requestId })
      fail(true, detail)
    }
    const timeout = this._events.after(timeoutMs, () => abort('timed out'))
    this._events.after(delayMs, () => {
      const node = this._nodes.get(name)
      if (isOver) return
      if (node === undefined || !node.isAlive) {
        this._events.after(CONNECT_FAILURE_MS, () => fail(false, `${name} refused the connection`))
        return
      }
      node.connections.set(requestId, () => this._events.after(delayMs, () => fail(true, `the connection to ${name} broke`)))
      this._replies.set(requestId, reply => {
        this._events.after(delayMs, () => {
          if (isOver) return
          if (reply.type !== 'chunk') end()
          onReply(reply)
        })
        if (reply.type !== 'chunk') node.connections.delete(requestId)
      })
      node.handle({ type: 'callerRequest', requestId, request, hops })
    })
    return () => abort('given up')
  }

  /** Delivers a node's reply to the sender of the request; ignored when the request has ended. */
  reply (requestId: string, reply: CallerReply): void {
    this._replies.get(requestId)?.(reply)
  }

  /** Forwards a request to another node; the forwarding node receives `forwardReply` or `forwardFailed`. */
  forward (node: VirtualNode, effect: Extract<Effect, { type: 'forward' }>): void {
    const { to, request, requestId, hops } = effect
    const delayMs = this._links.delayMs(node.identity.node, to.node)
    if (this._links.isCut(node.identity.node, to.node)) {
      this._events.after(CUT_TIMEOUT_MS, () => node.handle({ type: 'forwardFailed', requestId, wasSent: false }))
      return
    }
    const timeoutMs = request.type === 'step' ? request.timeoutMs + FORWARD_MARGIN_MS : FORWARD_TIMEOUT_MS
    const key = `${node.identity.node}/${requestId}`
    const removeForward = () => this._forwards.delete(key)
    const abort = this.deliver(to.address, request, hops, delayMs, timeoutMs,
      reply => {
        if (reply.type !== 'chunk') removeForward()
        node.handle({ type: 'forwardReply', requestId, reply })
      },
      wasSent => {
        removeForward()
        node.handle({ type: 'forwardFailed', requestId, wasSent })
      })
    this._forwards.set(key, abort)
  }

  /** Abandons a forwarded request. */
  cancelForward (node: VirtualNode, requestId: string): void {
    this._forwards.get(`${node.identity.node}/${requestId}`)?.()
  }
}
