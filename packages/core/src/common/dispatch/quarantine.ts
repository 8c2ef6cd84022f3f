/** Quarantines requests that crash the workers that run them, across all nodes. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { NodeIdentity } from '../kernel/node.js'
import { IConfiguration } from '../configuration/configuration.js'
import { SuspectRequests } from './suspectRequests.js'

const PUBLISH_TIMEOUT_MS = 60_000
/** After one crash any request that was in flight may be the cause; a second crash with the same request identifies it. */
const CRASHES_TO_QUARANTINE = 2

/** Records requests that were in flight when a worker crashed. All nodes share these records through the control stream. */
export interface IQuarantine {
  /** Records, here and in the control stream, that the connection to a worker broke while it ran the request. */
  recordCrash (fingerprint: string, worker: string): void
  /** Clears the suspicion against a request that a worker has served. A request in quarantine stays there. */
  recordRequestSuccess (fingerprint: string): void
  /** True for 10 minutes after this node recorded the first crash: the request may be its cause or may have been in flight by coincidence. */
  isSuspect (fingerprint: string): boolean
  /** Workers that crashed while they ran the request. */
  crashedWorkers (fingerprint: string): Iterable<string>
  /** True after crashes of two different workers: no worker gets the request again. */
  isQuarantined (fingerprint: string): boolean
}
export const IQuarantine = Symbol('IQuarantine')

@injectable()
export class Quarantine implements IQuarantine {
  private readonly _suspectRequests = new SuspectRequests({ crashesToQuarantine: CRASHES_TO_QUARANTINE })

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  /** Applies the crash records of all nodes from the control stream. */
  start (): void {
    this._configuration.onDidFold(({ record }) => {
      if (record.type === 'requestSuspected') this._addCrash(record.fingerprint, record.worker)
      if (record.type === 'requestCleared') this._suspectRequests.clear(record.fingerprint)
      if (record.type === 'controlSnapshot') {
        for (const suspect of record.state.suspects) {
          for (const worker of suspect.workers) this._addCrash(suspect.fingerprint, worker)
        }
      }
    })
  }

  recordCrash (fingerprint: string, worker: string): void {
    this._addCrash(fingerprint, worker)
    const record = { type: 'requestSuspected', fingerprint, worker, by: this._identity.node, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => {})
  }

  recordRequestSuccess (fingerprint: string): void {
    if (!this._suspectRequests.clear(fingerprint)) return
    const record = { type: 'requestCleared', fingerprint, by: this._identity.node, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => {})
  }

  isSuspect (fingerprint: string): boolean {
    return this._suspectRequests.isSuspect(fingerprint, this._clock.nowMs())
  }

  crashedWorkers (fingerprint: string): Iterable<string> {
    return this._suspectRequests.crashedWorkers(fingerprint)
  }

  isQuarantined (fingerprint: string): boolean {
    return this._suspectRequests.isQuarantined(fingerprint)
  }

  private _addCrash (fingerprint: string, worker: string): void {
    if (!this._suspectRequests.addCrash(fingerprint, { worker, crashedAtMs: this._clock.nowMs() })) return
    this._logger.warn('requestQuarantined', { fingerprint, workers: [...this._suspectRequests.crashedWorkers(fingerprint)].join(',') })
  }
}
