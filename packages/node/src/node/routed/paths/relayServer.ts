/** Calls workers for peers that don't reach them. */
import { type AnswerNotice, type IRouteTable, type IWorkerRegistry, type LogFields, ProbeResult, type WorkerRegistration } from '@trefoilshunt/core'
import type { PeerRequest, RelayedWorkerCall } from '../../../common/routed/routedPeerMessages.js'
import { CallEndCause, type CallFailure, type IOpenWorkerCall, type IWorkerCallListener, type WorkerAnswerHead } from '../../../common/routed/workerClient.js'
import type { PeerRequester, PeerResponder } from '../peerMesh.js'
import type { WorkerNoticeReporter } from '../workerNoticeReporter.js'
import { connectionShareOf } from './connectionShare.js'
import type { WorkerLinks } from './workerLinks.js'

/** Calls for peers at the same time; with `MAX_UNREAD_BYTES` each, a bound on the memory that they take. */
const MAX_CALLS = 512
/** Bytes of an answer that are sent to the peer before it has passed them on. */
const MAX_UNREAD_BYTES = 64 * 1024
/** A call is ended this long after its deadline, in case the peer was lost without a sign. */
const EXPIRY_GRACE_MS = 500

const WORKER_UNKNOWN: CallFailure = { type: 'notSent', detail: 'the worker is not known here', cause: CallEndCause.CutOff }

export interface RelayServerOptions {
  links: WorkerLinks
  registry: IWorkerRegistry
  routes: IRouteTable
  /** Number of nodes among which the connections to a worker are divided. */
  nodeCount: () => number
  noticeReporter: WorkerNoticeReporter
  /** Counts a call as open, so that a stop waits for it, until the returned function is called. */
  beginRequest: () => () => void
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * if (relayServer.handle(request, respond, requester)) return
 */
export class RelayServer {
  private readonly _calls = new Map<string, ServedCall>()

  constructor (private readonly _options: RelayServerOptions) {}

  /** Calls for peers in progress. */
  get openCount (): number {
    return this._calls.size
  }

  /** Handles a request of a peer; false if it is another kind of request. */
  handle (request: PeerRequest, respond: PeerResponder, requester: PeerRequester): boolean {
    switch (request.type) {
      case 'relay':
        this._serve(request.relayId, request.call, respond, requester)
        return true
      case 'probeWorker':
        void this._probe(request.workerId, respond)
        return true
      case 'relayRead':
        this._calls.get(request.relayId)?.recordRead(request.bytes)
        return true
      case 'relayCancel':
        this._calls.get(request.relayId)?.cancel()
        return true
      default: return false
    }
  }

  /** Why no call to the worker is made from here; undefined if one is. */
  private _refusalOf (worker: WorkerRegistration | undefined): CallFailure | undefined {
    if (worker === undefined) return WORKER_UNKNOWN
    if (worker.isDraining) return { type: 'notSent', detail: 'the worker takes no new requests', cause: CallEndCause.WorkerLost }
    if (this._calls.size >= MAX_CALLS) return { type: 'notSent', detail: 'too many calls for peers', cause: CallEndCause.CutOff }
    if (!this._options.links.mayCall(worker)) return { type: 'notSent', detail: 'the worker is not reached from here either' }
  }

  private async _probe (workerId: string, respond: PeerResponder): Promise<void> {
    const worker = this._options.registry.find(workerId)
    // A node that is cut off can't tell a crashed worker from its own links.
    const isKnown = worker !== undefined && !this._options.links.isCutOff
    respond({ type: 'workerProbed', result: isKnown ? await this._options.links.probe(worker) : ProbeResult.Silent }, true)
  }

  private _serve (relayId: string, call: RelayedWorkerCall, respond: PeerResponder, requester: PeerRequester): void {
    const { links, registry, routes, nodeCount, noticeReporter, beginRequest, write } = this._options
    const worker = registry.find(call.workerId)
    const refusal = this._refusalOf(worker)
    if (worker === undefined || refusal !== undefined) {
      write('relayRefused', { requestId: call.requestId, worker: call.workerId, detail: refusal?.detail })
      respond({ type: 'relayFailed', failure: refusal ?? WORKER_UNKNOWN }, true)
      return
    }
    const endRequest = beginRequest()
    const served = new ServedCall(respond, {
      onNotice: (notice, isRefusal) => isRefusal ? noticeReporter.observeRefusal(worker, notice) : noticeReporter.observe(worker, notice),
      onEnded: () => {
        this._calls.delete(relayId)
        closing.dispose()
        clearTimeout(timer)
        endRequest()
      }
    })
    const closing = requester.onDidClose(() => served.cancel())
    const timer = setTimeout(() => served.cancel(), call.deadlineMs + EXPIRY_GRACE_MS)
    this._calls.set(relayId, served)
    served.open = links.call({ ...call, address: worker.address, maxConnections: connectionShareOf(routes.findService(worker.service), nodeCount()) }, served)
  }
}

interface ServedCallOptions {
  /** Called with what the worker says of itself. */
  onNotice: (notice: AnswerNotice, isRefusal: boolean) => void
  /** Called once. */
  onEnded: () => void
}

/** One call for a peer. */
class ServedCall implements IWorkerCallListener {
  open: IOpenWorkerCall | undefined
  private _unreadBytes = 0
  private _isEnded = false

  constructor (private readonly _respond: PeerResponder, private readonly _options: ServedCallOptions) {}

  onHead (head: WorkerAnswerHead): void {
    this._options.onNotice(head.notice, false)
    this._respond({ type: 'relayHead', head }, false)
  }

  onData (bytes: Uint8Array): void {
    this._unreadBytes += bytes.length
    this._respond({ type: 'relayData', bytes }, false)
    if (this._unreadBytes > MAX_UNREAD_BYTES) this.open?.pause()
  }

  onEnd (): void {
    this._end()
    this._respond({ type: 'relayEnd' }, true)
  }

  onFailed (failure: CallFailure): void {
    if (failure.type === 'refused' && !failure.isMisdirected) this._options.onNotice(failure.notice, true)
    this._end()
    this._respond({ type: 'relayFailed', failure }, true)
  }

  recordRead (bytes: number): void {
    const wasFull = this._unreadBytes > MAX_UNREAD_BYTES
    this._unreadBytes -= bytes
    if (wasFull && this._unreadBytes <= MAX_UNREAD_BYTES) this.open?.resume()
  }

  cancel (): void {
    if (this._isEnded) return
    this.open?.abort()
    this.onFailed({ type: 'broken', detail: 'cancelled' })
  }

  private _end (): void {
    if (this._isEnded) return
    this._isEnded = true
    this._options.onEnded()
  }
}
