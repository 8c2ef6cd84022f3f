/** Ejects workers that fail again and again, for a while. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { CoreSettings } from '../kernel/settings.js'
import { IMembership } from '../membership/membership.js'

const FAILURES_TO_EJECT = 3

interface Health {
  failuresInRow: number
  ejectedUntilMs: number
  ejections: number
}

/** Knows which workers should get no work for now. */
export interface IOutliers {
  recordSuccess (worker: string): void
  recordFailure (worker: string): void
  /** True while a worker is ejected. Never more than the configured share of a back end is. */
  isEjected (worker: string): boolean
}
export const IOutliers = Symbol('IOutliers')

@injectable()
export class Outliers implements IOutliers {
  private readonly _health = new Map<string, Health>()

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
    const health = this._health.get(worker) ?? { failuresInRow: 0, ejectedUntilMs: 0, ejections: 0 }
    health.failuresInRow++
    this._health.set(worker, health)
    if (health.failuresInRow < FAILURES_TO_EJECT || this.isEjected(worker) || !this._mayEject(worker)) return
    health.ejections++
    health.ejectedUntilMs = this._clock.nowMs() + this._settings.ejectionMs * health.ejections
    this._logger.warn('workerEjected', { worker, untilMs: health.ejectedUntilMs })
  }

  isEjected (worker: string): boolean {
    return (this._health.get(worker)?.ejectedUntilMs ?? 0) > this._clock.nowMs()
  }

  private _mayEject (worker: string): boolean {
    const backend = this._membership.findWorker(worker)?.backend
    if (backend === undefined) return false
    const workers = this._membership.workers(backend)
    const ejected = workers.filter(candidate => this.isEjected(candidate.worker)).length
    return ejected + 1 <= Math.max(1, Math.floor(workers.length * this._settings.maxEjectedShare))
  }
}
