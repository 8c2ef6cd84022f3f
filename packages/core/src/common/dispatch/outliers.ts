/** Outlier ejection: excludes workers from new work for a time after consecutive failures. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { CoreSettings } from '../kernel/settings.js'
import { IMembership } from '../membership/membership.js'

/** Consecutive failures that eject a worker. */
const FAILURES_TO_EJECT = 3

interface WorkerHealth {
  consecutiveFailures: number
  /** End of the newest ejection, by `IClock`; 0 before the first. */
  ejectedUntilMs: number
  ejectionCount: number
}

/** Tracks failures of workers and ejects those that fail several times in a row. */
export interface IOutliers {
  /** Forgets earlier failures of the worker and ends its ejection. */
  recordSuccess (worker: string): void
  /** Counts a failure. Each further ejection without a success in between is longer by `ejectionMs`. */
  recordFailure (worker: string): void
  /** True while a worker is ejected. At most the share `maxEjectedShare` of a back end's workers, and at least one, may be. */
  isEjected (worker: string): boolean
}
export const IOutliers = Symbol('IOutliers')

@injectable()
export class Outliers implements IOutliers {
  private readonly _health = new Map<string, WorkerHealth>()

  constructor (
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  recordSuccess (worker: string): void {
    this._health.delete(worker)
  }

  recordFailure (worker: string): void {
    const health = this._health.get(worker) ?? { consecutiveFailures: 0, ejectedUntilMs: 0, ejectionCount: 0 }
    health.consecutiveFailures++
    this._health.set(worker, health)
    if (health.consecutiveFailures < FAILURES_TO_EJECT || this.isEjected(worker) || !this._mayEject(worker)) return
    health.ejectionCount++
    health.ejectedUntilMs = this._clock.nowMs() + this._settings.ejectionMs * health.ejectionCount
    this._logger.warn('workerEjected', { worker, untilMs: health.ejectedUntilMs })
  }

  isEjected (worker: string): boolean {
    return (this._health.get(worker)?.ejectedUntilMs ?? 0) > this._clock.nowMs()
  }

  private _mayEject (worker: string): boolean {
    const backend = this._membership.findWorker(worker)?.backend
    if (backend === undefined) return false
    const workers = this._membership.workers(backend)
    const ejectedCount = workers.filter(candidate => this.isEjected(candidate.worker)).length
    return ejectedCount + 1 <= Math.max(1, Math.floor(workers.length * this._settings.maxEjectedShare))
  }
}
