/** Finds requests that crash the workers that run them. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { NodeIdentity } from '../kernel/node.js'
import { IConfiguration } from '../configuration/configuration.js'
import { SuspectRequests } from './suspectRequests.js'

const PUBLISH_TIMEOUT_MS = 60_000
/** Two connections that break under the same request; which of the requests beside it is guilty, only a second crash tells. */
const CRASHES_TO_QUARANTINE = 2

/** Remembers requests that were in flight when a worker crashed. All nodes share the knowledge through the control stream. */
export interface IQuarantine {
  /** Notes that the connection to a worker broke while it ran the request. */
  recordCrash (fingerprint: string, worker: string): void
  recordRequestSuccess (fingerprint: string): void
  /** True after one crash: the request may be the cause, or may have been beside it. */
  isSuspect (fingerprint: string): boolean
  /** Workers that crashed while they ran the request. */
  crashedWorkers (fingerprint: string): Iterable<string>
  /** True after two crashes: no worker gets the request again. */
  isQuarantined (fingerprint: string): boolean
}
export const IQuarantine = Symbol('IQuarantine')

@injectable()
export class Quarantine implements IQuarantine {
  private readonly _suspicions = new SuspectRequests({ crashesToQuarantine: CRASHES_TO_QUARANTINE })

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._configuration.onDidFold(({ record }) => {
      if (record.type === 'requestSuspected') this._add(record.fingerprint, record.worker)
      if (record.type === 'requestCleared') this._suspicions.clear(record.fingerprint)
      if (record.type === 'controlSnapshot') {
        for (const suspect of record.state.suspects) {
          for (const worker of suspect.workers) this._add(suspect.fingerprint, worker)
        }
      }
    })
  }

  recordCrash (fingerprint: string, worker: string): void {
    this._add(fingerprint, worker)
    const record = { type: 'requestSuspected', fingerprint, worker, by: this._identity.node, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => {})
  }

  recordRequestSuccess (fingerprint: string): void {
    if (!this._suspicions.clear(fingerprint)) return
    const record = { type: 'requestCleared', fingerprint, by: this._identity.node, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => {})
  }

  isSuspect (fingerprint: string): boolean {
    return this._suspicions.isSuspect(fingerprint, this._clock.nowMs())
  }

  crashedWorkers (fingerprint: string): Iterable<string> {
    return this._suspicions.crashedWorkers(fingerprint)
  }

  isQuarantined (fingerprint: string): boolean {
    return this._suspicions.isQuarantined(fingerprint)
  }

  private _add (fingerprint: string, worker: string): void {
    if (!this._suspicions.add(fingerprint, worker, this._clock.nowMs())) return
    this._logger.warn('requestQuarantined', { fingerprint, workers: [...this._suspicions.crashedWorkers(fingerprint)].join(',') })
  }
}
