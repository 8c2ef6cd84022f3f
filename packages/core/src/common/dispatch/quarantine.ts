/** Finds requests that crash the workers that run them. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { NodeIdentity } from '../kernel/node.js'
import { IConfiguration } from '../configuration/configuration.js'

const PUBLISH_TIMEOUT_MS = 60_000
/** Time after which a suspicion without a second crash is forgotten. */
const SUSPICION_MS = 600_000
/** Crashes of different workers that prove a request guilty. */
const CRASHES_TO_QUARANTINE = 2
const MAX_SUSPECTS = 10_000

interface Suspicion {
  workers: Set<string>
  sinceMs: number
}

/** Remembers requests that were in flight when a worker crashed. All nodes share the knowledge through the control stream. */
export interface IQuarantine {
  /** Notes that the connection to a worker broke while it ran the request. */
  noteCrash (fingerprint: string, worker: string): void
  noteSuccess (fingerprint: string): void
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
  private readonly _suspicions = new Map<string, Suspicion>()
  private readonly _quarantined = new Set<string>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._configuration.onDidFold(({ record }) => {
      if (record.type === 'requestSuspected') this._add(record.fingerprint, record.worker)
      if (record.type === 'requestCleared') this._suspicions.delete(record.fingerprint)
      if (record.type === 'controlSnapshot') {
        for (const suspect of record.state.suspects) {
          for (const worker of suspect.workers) this._add(suspect.fingerprint, worker)
        }
      }
    })
  }

  noteCrash (fingerprint: string, worker: string): void {
    this._add(fingerprint, worker)
    const record = { type: 'requestSuspected', fingerprint, worker, by: this._identity.node, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => {})
  }

  noteSuccess (fingerprint: string): void {
    if (!this._suspicions.delete(fingerprint)) return
    const record = { type: 'requestCleared', fingerprint, by: this._identity.node, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, PUBLISH_TIMEOUT_MS, () => {})
  }

  isSuspect (fingerprint: string): boolean {
    const suspicion = this._suspicions.get(fingerprint)
    return suspicion !== undefined && this._clock.nowMs() - suspicion.sinceMs < SUSPICION_MS
  }

  crashedWorkers (fingerprint: string): Iterable<string> {
    return this._suspicions.get(fingerprint)?.workers ?? []
  }

  isQuarantined (fingerprint: string): boolean {
    return this._quarantined.has(fingerprint)
  }

  private _add (fingerprint: string, worker: string): void {
    const suspicion = this._suspicions.get(fingerprint) ?? { workers: new Set<string>(), sinceMs: this._clock.nowMs() }
    suspicion.workers.add(worker)
    this._suspicions.set(fingerprint, suspicion)
    if (this._suspicions.size > MAX_SUSPECTS) this._suspicions.delete(this._suspicions.keys().next().value as string)
    if (suspicion.workers.size < CRASHES_TO_QUARANTINE || this._quarantined.has(fingerprint)) return
    this._quarantined.add(fingerprint)
    this._logger.warn('requestQuarantined', { fingerprint, workers: [...suspicion.workers].join(',') })
  }
}
