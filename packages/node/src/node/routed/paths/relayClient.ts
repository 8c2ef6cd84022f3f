/** Has peers call workers that this node doesn't reach. */
import { type LogFields, ProbeResult } from '@trefoilshunt/core'
import type { PeerReply, RelayedWorkerCall } from '../../../common/routed/routedPeerMessages.js'
import { CallEndCause, type CallFailure, type IOpenWorkerCall, type IWorkerCallListener, type WorkerCall } from '../../../common/routed/workerClient.js'
import type { NodeDirectory } from '../nodeDirectory.js'
import type { PeerMesh } from '../peerMesh.js'

/** Peers that are asked to make a call until one of them has sent it. */
const MAX_PEERS = 2
/** A peer ends the call itself at its deadline; its last reply arrives within this time. */
const LAST_REPLY_GRACE_MS = 1_000
const PROBE_REPLY_TIMEOUT_MS = 600
/** Bytes passed on are reported in steps of this size; a part of what a peer sends ahead. */
const READ_REPORT_BYTES = 16 * 1024

export interface RelayClientOptions {
  node: string
  /** Differs for each start of the node, so that no call is confused with one of an earlier process. */
  incarnation: string
  directory: NodeDirectory
  mesh: PeerMesh
  write: (event: string, fields: LogFields) => void
}

/**
 * This node remains responsible for the request: a peer makes a single call and passes on what the worker sends. A call whose peer
 * is lost may have run.
 *
 * @example
 * if (relays.isAvailable) relays.call(call, listener)
 */
export class RelayClient {
  private readonly _openCalls = new Map<string, number>()
  private _lastId = 0

  constructor (private readonly _options: RelayClientOptions) {}

  /** True if a connected peer reaches the workers. */
  get isAvailable (): boolean {
    return this._peers().length > 0
  }

  /** Relayed calls in progress. */
  get openCount (): number {
    return [...this._openCalls.values()].reduce((total, count) => total + count, 0)
  }

  call (call: WorkerCall, listener: IWorkerCallListener): IOpenWorkerCall {
    const { mesh, write } = this._options
    const relayedCall = new RelayedCall({
      mesh,
      call,
      listener,
      selectPeer: tried => this._selectPeer(tried),
      createId: () => `${this._options.node}/${this._options.incarnation}/${(++this._lastId).toString(36)}`,
      onBegun: peer => {
        this._count(peer, 1)
        write('callRelayed', { requestId: call.requestId, worker: call.workerId, peer })
      },
      onEnded: peer => this._count(peer, -1)
    })
    relayedCall.start()
    return relayedCall
  }

  /** What a peer finds when it connects to the worker; undefined without a peer that reaches the workers. */
  async probe (workerId: string): Promise<ProbeResult | undefined> {
    const peer = this._selectPeer(new Set())
    if (peer === undefined) return undefined
    const reply = await this._options.mesh.requestOnce(peer, { type: 'probeWorker', workerId }, PROBE_REPLY_TIMEOUT_MS)
    return reply?.type === 'workerProbed' ? reply.result : ProbeResult.Silent
  }

  private _peers (): string[] {
    return this._options.directory.relays.filter(peer => this._options.mesh.isConnected(peer))
  }

  /** The peer with the fewest relayed calls of this node. */
  private _selectPeer (tried: ReadonlySet<string>): string | undefined {
    const countOf = (peer: string): number => this._openCalls.get(peer) ?? 0
    // Each call begins at another peer, so that equal ones take turns.
    const peers = this._peers().filter(peer => !tried.has(peer))
    const first = this._lastId % Math.max(1, peers.length)
    return [...peers.slice(first), ...peers.slice(0, first)].sort((left, right) => countOf(left) - countOf(right)).at(0)
  }

  private _count (peer: string, change: 1 | -1): void {
    const count = (this._openCalls.get(peer) ?? 0) + change
    if (count === 0) this._openCalls.delete(peer)
    else this._openCalls.set(peer, count)
  }
}

interface RelayedCallOptions {
  mesh: PeerMesh
  call: WorkerCall
  listener: IWorkerCallListener
  selectPeer: (tried: ReadonlySet<string>) => string | undefined
  createId: () => string
  onBegun: (peer: string) => void
  onEnded: (peer: string) => void
}

/** One call, at one peer after the other until one of them has sent it. */
class RelayedCall implements IOpenWorkerCall {
  private readonly _triedPeers = new Set<string>()
  private _peer: string | undefined
  private _relayId = ''
  private _isEnded = false
  private _isPaused = false
  /** Bytes passed on of which the peer doesn't know yet. */
  private _unreportedBytes = 0

  constructor (private readonly _options: RelayedCallOptions) {}

  /** Until a peer reports the contrary, it may have sent the request. */
  get isSent (): boolean {
    return this._peer !== undefined
  }

  start (): void {
    const peer = this._triedPeers.size < MAX_PEERS ? this._options.selectPeer(this._triedPeers) : undefined
    if (peer === undefined) {
      queueMicrotask(() => this._fail({ type: 'notSent', detail: 'no peer reaches the workers', cause: this._triedPeers.size === 0 ? CallEndCause.CutOff : undefined }))
      return
    }
    const { mesh, call: { address, maxConnections, ...call }, createId, onBegun } = this._options
    const relayId = createId()
    this._triedPeers.add(peer)
    this._peer = peer
    this._relayId = relayId
    onBegun(peer)
    const relayed: RelayedWorkerCall = call
    mesh.request(peer, { type: 'relay', relayId, call: relayed }, {
      timeoutMs: call.deadlineMs + LAST_REPLY_GRACE_MS,
      onReply: reply => { if (relayId === this._relayId) this._handleReply(reply) }
    })
  }

  abort (): void {
    if (this._isEnded) return
    if (this._peer !== undefined) this._options.mesh.notify(this._peer, { type: 'relayCancel', relayId: this._relayId })
    this._end()
  }

  pause (): void {
    this._isPaused = true
  }

  resume (): void {
    this._isPaused = false
    this._reportRead(0)
  }

  private _handleReply (reply: PeerReply | undefined): void {
    if (this._isEnded) return
    const { listener } = this._options
    switch (reply?.type) {
      case 'relayHead': return listener.onHead(reply.head)
      case 'relayData':
        this._reportRead(reply.bytes.length)
        return listener.onData(reply.bytes)
      case 'relayEnd':
        this._end()
        return listener.onEnd()
      case 'relayFailed': return this._handleFailure(reply.failure)
      default: return this._fail({ type: 'broken', detail: 'the peer that relayed the call was lost' })
    }
  }

  private _handleFailure (failure: CallFailure): void {
    if (failure.type !== 'notSent' || failure.cause === CallEndCause.WorkerLost) {
      this._fail(failure)
      return
    }
    if (this._triedPeers.size >= MAX_PEERS || this._options.selectPeer(this._triedPeers) === undefined) {
      this._fail(failure)
      return
    }
    this._releasePeer()
    this.start()
  }

  private _fail (failure: CallFailure): void {
    if (this._isEnded) return
    this._end()
    this._options.listener.onFailed(failure)
  }

  private _end (): void {
    this._isEnded = true
    this._releasePeer()
  }

  private _releasePeer (): void {
    if (this._peer !== undefined) this._options.onEnded(this._peer)
    this._peer = undefined
  }

  /** The peer sends a limited number of bytes beyond those reported here. */
  private _reportRead (bytes: number): void {
    this._unreportedBytes += bytes
    if (this._isPaused || this._isEnded || this._unreportedBytes < READ_REPORT_BYTES || this._peer === undefined) return
    this._options.mesh.notify(this._peer, { type: 'relayRead', relayId: this._relayId, bytes: this._unreportedBytes })
    this._unreportedBytes = 0
  }
}
