/** This node's own links to the workers: makes calls over them, notices when they are lost, and probes them until they are back. */
import { type CutOffChange, type Event, type IRandom, type IWorkerRegistry, type LogFields, type ProbeResult, type WorkerProbe, WorkerPaths, type WorkerRegistration } from '@trefoilshunt/core'
import type { CallFailure, IOpenWorkerCall, IWorkerCallListener, IWorkerClient, WorkerCall } from '../../../common/routed/workerClient.js'
import { steadyNowMs } from '../../steadyClock.js'
import { DirectCall } from './directCall.js'

const CHECK_PERIOD_MS = 50
/** Longer than a connection takes between regions. */
const PROBE_TIMEOUT_MS = 200
/** Time limit of a probe whose result is not urgent. */
const SINGLE_PROBE_TIMEOUT_MS = 300

export interface WorkerLinksOptions {
  client: IWorkerClient
  registry: IWorkerRegistry
  random: IRandom
  /** True if a peer reaches the workers. */
  hasRelay: () => boolean
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const links = new WorkerLinks({ client, registry, random, hasRelay, write })
 * if (links.mayCall(worker)) links.call(call, listener)
 */
export class WorkerLinks {
  onMisbehaved: IWorkerClient['onMisbehaved'] = () => {}
  private readonly _paths: WorkerPaths
  private readonly _calls = new Set<DirectCall>()
  /** Runs while there is a call, or a reason to probe. */
  private _timer: NodeJS.Timeout | undefined
  private _isClosed = false
  private _failedConnections = 0

  constructor (private readonly _options: WorkerLinksOptions) {
    this._paths = new WorkerPaths(_options.random)
    this._paths.onDidChange(change => this._handleChange(change))
    _options.client.onMisbehaved = (workerId, detail) => this.onMisbehaved(workerId, detail)
  }

  /** Fires after the calls over lost links have ended. */
  get onDidChange (): Event<CutOffChange> {
    return this._paths.onDidChange
  }

  /** True while this node reaches no worker. */
  get isCutOff (): boolean {
    return this._paths.isCutOff
  }

  /** Time for which calls have waited and no worker has sent anything. */
  get silenceMs (): number {
    return this._paths.contact.silenceMs(steadyNowMs())
  }

  /** Calls in progress whose answers are read. */
  get waitingCalls (): number {
    return this._paths.contact.waitCount
  }

  /** Calls so far that found no connection to their worker. */
  get failedConnections (): number {
    return this._failedConnections
  }

  /** False if a call to the worker would find no connection. */
  mayCall ({ workerId, address }: Pick<WorkerRegistration, 'workerId' | 'address'>): boolean {
    return this._paths.mayConnect(workerId) || (!this.isCutOff && this._options.client.hasIdleConnection(address))
  }

  /** Calls a worker. Ends the call early if this node is cut off meanwhile, unless it was sent and can't be repeated. */
  call (call: WorkerCall, listener: IWorkerCallListener): IOpenWorkerCall {
    const directCall = new DirectCall({
      call,
      listener,
      contact: this._paths.contact,
      onHeard: () => this._paths.recordHeard(steadyNowMs()),
      onEnded: failure => {
        this._calls.delete(directCall)
        if (failure !== undefined) this._recordFailure(call, failure)
      }
    })
    this._calls.add(directCall)
    this._startChecks()
    directCall.start(this._options.client)
    return directCall
  }

  /** Connects to a worker over this node's links. */
  async probe ({ address }: Pick<WorkerRegistration, 'address'>): Promise<ProbeResult> {
    return await this._options.client.probe(address, SINGLE_PROBE_TIMEOUT_MS)
  }

  hasIdleConnection (address: string): boolean {
    return this._options.client.hasIdleConnection(address)
  }

  /** Ends the calls that wait for a connection to a worker that takes no new requests or is gone; those that were sent go on. */
  removeWorker ({ workerId, address }: WorkerRegistration): void {
    this._paths.removeWorker(workerId)
    for (const call of [...this._calls]) {
      if (call.workerId === workerId) call.handleWorkerLost()
    }
    this._options.client.closeConnections(address)
  }

  async close (): Promise<void> {
    this._isClosed = true
    this._stopChecks()
    await this._options.client.close()
  }

  private _recordFailure ({ workerId, address, requestId }: WorkerCall, failure: CallFailure): void {
    if (failure.type !== 'notSent' || failure.cause !== undefined) return
    this._failedConnections++
    this._options.write('workerConnectionFailed', { requestId, worker: workerId, address, detail: failure.detail, silenceMs: Math.round(this.silenceMs) })
    this._paths.recordConnectFailure(workerId, steadyNowMs())
    this._startChecks()
  }

  private _startChecks (): void {
    if (!this._isClosed) this._timer ??= setInterval(() => { void this._probe() }, CHECK_PERIOD_MS)
  }

  private _stopChecks (): void {
    clearInterval(this._timer)
    this._timer = undefined
  }

  private async _probe (): Promise<void> {
    const { client, registry, write } = this._options
    if (this._calls.size === 0 && !this._paths.needsProbes) {
      this._stopChecks()
      return
    }
    const workers = this._paths.beginRound(() => registry.allWorkers(steadyNowMs()), steadyNowMs())
    if (workers.length === 0) return
    const { silenceMs } = this
    const probes = await Promise.all(workers.map(async ({ workerId, address }): Promise<WorkerProbe> => ({ workerId, result: await client.probe(address, PROBE_TIMEOUT_MS) })))
    write('workersProbed', { workers: probes.map(({ workerId }) => workerId).join(), results: probes.map(({ result }) => result).join(), silenceMs: Math.round(silenceMs), calls: this.waitingCalls, isCutOff: this.isCutOff })
    this._paths.endRound(probes, this._options.hasRelay(), steadyNowMs())
  }

  private _handleChange ({ isCutOff, silenceMs }: CutOffChange): void {
    this._options.write(isCutOff ? 'workersCutOff' : 'workersReached', { silenceMs: Math.round(silenceMs), calls: this._calls.size })
    if (!isCutOff) return
    // Whatever a worker closes meanwhile is noticed only when the links are back, and would then break a request.
    this._options.client.closeConnections()
    for (const call of [...this._calls]) call.handleCutOff()
  }
}
