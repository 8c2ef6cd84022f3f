/** Calls workers over this node's own links or, where these are lost, through peers. */
import { ProbeResult, type WorkerRegistration } from '@trefoilshunt/core'
import { CallEndCause, type CallFailure, type IOpenWorkerCall, type IWorkerCallListener, type WorkerCall } from '../../../common/routed/workerClient.js'
import { steadyNowMs } from '../../steadyClock.js'
import type { RelayClient } from './relayClient.js'
import type { WorkerLinks } from './workerLinks.js'

/** A call that found no connection is relayed only if it failed faster than this; after a time-out another worker is the better choice. */
const FAST_FAILURE_MS = 300
const MIN_DEADLINE_MS = 1

/** What calls to workers need; the rest of a worker client is the concern of the links. */
export interface IWorkerCaller {
  /** False if this node is cut off from all workers and no peer reaches them. */
  readonly isAvailable: boolean
  call (call: WorkerCall, listener: IWorkerCallListener): IOpenWorkerCall
  /** True when a call to the address needs no new connection of this node. */
  hasIdleConnection (address: string): boolean
}

/**
 * @example
 * const workers = new WorkerGateway(links, relays)
 * workers.call(call, listener)
 */
export class WorkerGateway implements IWorkerCaller {
  constructor (private readonly _links: WorkerLinks, private readonly _relays: RelayClient) {}

  get isAvailable (): boolean {
    return !this._links.isCutOff || this._relays.isAvailable
  }

  call (call: WorkerCall, listener: IWorkerCallListener): IOpenWorkerCall {
    const gatewayCall = new GatewayCall(call, listener, this._links, this._relays)
    gatewayCall.start()
    return gatewayCall
  }

  /** Connects to a worker. `Refused` only if a peer that reaches the workers is refused too: otherwise this node's links may have failed. */
  async probe (worker: WorkerRegistration): Promise<ProbeResult> {
    // Without a peer to ask, a node that is cut off can't tell a crashed worker from its own links.
    const own = this._links.isCutOff ? ProbeResult.Silent : await this._links.probe(worker)
    const isUncertain = own === ProbeResult.Refused || this._links.isCutOff
    return isUncertain ? await this._relays.probe(worker.workerId) ?? own : own
  }

  hasIdleConnection (address: string): boolean {
    return this._links.isCutOff || this._links.hasIdleConnection(address)
  }
}

/** One call, relayed from the start or after it found no connection. */
class GatewayCall implements IOpenWorkerCall {
  private readonly _startedMs = steadyNowMs()
  private _open: IOpenWorkerCall | undefined
  private _isAborted = false
  private _isPaused = false

  constructor (
    private readonly _call: WorkerCall,
    private readonly _listener: IWorkerCallListener,
    private readonly _links: WorkerLinks,
    private readonly _relays: RelayClient
  ) {}

  get isSent (): boolean {
    return this._open?.isSent ?? false
  }

  start (): void {
    if (this._links.isCutOff || (!this._links.mayCall(this._call) && this._relays.isAvailable)) {
      this._relay()
      return
    }
    const { onHead, onData, onEnd } = bindListener(this._listener)
    this._open = this._links.call(this._call, { onHead, onData, onEnd, onFailed: failure => this._onDirectFailed(failure) })
  }

  abort (): void {
    this._isAborted = true
    this._open?.abort()
  }

  pause (): void {
    this._isPaused = true
    this._open?.pause()
  }

  resume (): void {
    this._isPaused = false
    this._open?.resume()
  }

  private _onDirectFailed (failure: CallFailure): void {
    if (this._isAborted) return
    const isFast = steadyNowMs() - this._startedMs < FAST_FAILURE_MS
    const isOwnFault = failure.type === 'notSent' && (failure.cause === CallEndCause.CutOff || (failure.cause === undefined && isFast))
    if (isOwnFault && this._relays.isAvailable) this._relay()
    else this._listener.onFailed(failure)
  }

  private _relay (): void {
    const deadlineMs = Math.max(MIN_DEADLINE_MS, Math.floor(this._call.deadlineMs - (steadyNowMs() - this._startedMs)))
    this._open = this._relays.call({ ...this._call, deadlineMs }, this._listener)
    if (this._isPaused) this._open.pause()
  }
}

function bindListener (listener: IWorkerCallListener): Pick<IWorkerCallListener, 'onHead' | 'onData' | 'onEnd'> {
  return { onHead: head => listener.onHead(head), onData: bytes => listener.onData(bytes), onEnd: () => listener.onEnd() }
}
