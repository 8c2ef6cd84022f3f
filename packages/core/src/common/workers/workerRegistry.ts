/** Registry of the workers that have registered themselves in the log. */
import { inject, injectable } from 'tsyringe'
import { Emitter, type Event } from '../kernel/emitter.js'
import { IWorkerNotices, type NoticeChange, WorkerNotices } from './workerNotices.js'

/** Registration that a worker writes about itself. */
export interface WorkerRegistration {
  workerId: string
  service: string
  /** `host:port`. */
  address: string
  zone: string
  /** Version of the worker's software, not of the weights that it serves. */
  softwareVersion: string
  slots: number
  /** True if it takes no new work, because its entry or an answer of it says so. */
  isDraining: boolean
  /** Start of the worker in Unix time; another start under the same id means a restarted worker that has lost its state. */
  startedAtMs: number
  /** Remaining time for which the worker is slow after its start. */
  coldLeftMs: number
}

/** Entries that expired while the log was unavailable may be registered again for this long after its return. */
const LAPSE_GRACE_MS = 2_000
/** A worker whose address was answered by another worker is tried again after this, because its registration may still be right. */
const MISDIRECTED_RETRY_MS = 10_000
/** Software versions whose last worker has left are remembered for this long; longer than a stream lasts over all tries of its caller. */
const VERSION_MEMORY_MS = 20_000

interface Entry {
  registration: WorkerRegistration
  /** Set when the entry was removed at a time at which it may have expired only because the log was unavailable. */
  removedAtMs?: number
  /** Set when another worker answered at the address. */
  misdirectedAtMs?: number
}

/** Tracks the registered workers and which of them may get new work. */
export interface IWorkerRegistry {
  /** Fires with the previous registration of a worker that was removed, is draining, has said that it leaves, or has restarted. */
  readonly onDidLoseWorker: Event<WorkerRegistration>
  /** Stores a registration; undefined removes it, or only marks it as removed while it may be registered again. */
  update (workerId: string, registration: WorkerRegistration | undefined, nowMs: number): void
  /** Replaces all entries by a complete listing; entries that it lacks are handled as removed. */
  replaceAll (registrations: readonly WorkerRegistration[], nowMs: number): void
  /** Keeps entries that are removed from now on in use until the grace time after `handleLogRegained` has passed. */
  handleLogLost (): void
  /** Starts the grace time, unless the log was available before. */
  handleLogRegained (nowMs: number): void
  /** Excludes a worker from new work because another worker answered at its address, until it restarts or moves, or for `MISDIRECTED_RETRY_MS`. */
  markMisdirected (workerId: string, nowMs: number): void
  /** Workers of a service that may get new work. Also removes entries whose grace time has passed. */
  workersOf (service: string, nowMs: number): WorkerRegistration[]
  /** The same for all services. */
  allWorkers (nowMs: number): WorkerRegistration[]
  /** Software versions of the service's workers, registered now or within `VERSION_MEMORY_MS`, draining ones included. */
  softwareVersionsOf (service: string, nowMs: number): string[]
  /** Last registration of a worker, whether or not it may get new work; undefined when there is none. */
  find (workerId: string): WorkerRegistration | undefined
}
export const IWorkerRegistry = Symbol('IWorkerRegistry')

/**
 * Keeps the registrations in memory. A worker that says in its answers that it leaves counts as draining, whatever its entry says: the entry may be old.
 *
 * @example
 * registry.update('i-7f3a', registration, nowMs)
 * registry.workersOf('orders', nowMs)
 */
@injectable()
export class WorkerRegistry implements IWorkerRegistry {
  private readonly _entries = new Map<string, Entry>()
  /** By service, the time at which a worker of a software version last left. */
  private readonly _leftVersions = new Map<string, Map<string, number>>()
  private readonly _onDidLoseWorker = new Emitter<WorkerRegistration>()
  private _isLogLost = false
  private _regainedAtMs = Number.NEGATIVE_INFINITY

  readonly onDidLoseWorker = this._onDidLoseWorker.event

  constructor (@inject(IWorkerNotices) private readonly _notices: IWorkerNotices = new WorkerNotices()) {
    this._notices.onDidChange(change => this._handleNotice(change))
  }

  update (workerId: string, registration: WorkerRegistration | undefined, nowMs: number): void {
    const known = this._entries.get(workerId)
    if (registration === undefined) {
      if (known === undefined) return
      if (this._mayHaveLapsed(nowMs)) known.removedAtMs ??= nowMs
      else this._remove(workerId, nowMs)
      return
    }
    const hasRestarted = known !== undefined && known.registration.startedAtMs !== registration.startedAtMs
    const hasMoved = known !== undefined && known.registration.address !== registration.address
    if (known !== undefined) this._rememberVersion(known.registration, nowMs)
    this._entries.set(workerId, { registration, misdirectedAtMs: hasRestarted || hasMoved ? undefined : known?.misdirectedAtMs })
    if (known !== undefined && (registration.isDraining || hasRestarted)) this._onDidLoseWorker.fire(known.registration)
  }

  replaceAll (registrations: readonly WorkerRegistration[], nowMs: number): void {
    const listed = new Set(registrations.map(registration => registration.workerId))
    for (const registration of registrations) this.update(registration.workerId, registration, nowMs)
    for (const workerId of [...this._entries.keys()]) {
      if (!listed.has(workerId)) this.update(workerId, undefined, nowMs)
    }
  }

  handleLogLost (): void {
    this._isLogLost = true
  }

  handleLogRegained (nowMs: number): void {
    if (this._isLogLost) this._regainedAtMs = nowMs
    this._isLogLost = false
  }

  markMisdirected (workerId: string, nowMs: number): void {
    const known = this._entries.get(workerId)
    if (known !== undefined) known.misdirectedAtMs = nowMs
  }

  workersOf (service: string, nowMs: number): WorkerRegistration[] {
    return this.allWorkers(nowMs).filter(worker => worker.service === service)
  }

  allWorkers (nowMs: number): WorkerRegistration[] {
    const workers: WorkerRegistration[] = []
    for (const [workerId, { registration, removedAtMs, misdirectedAtMs }] of this._entries) {
      if (misdirectedAtMs !== undefined && nowMs - misdirectedAtMs < MISDIRECTED_RETRY_MS) continue
      if (removedAtMs !== undefined && !this._mayHaveLapsed(nowMs)) {
        this._remove(workerId, nowMs)
      } else if (!this._isDraining(registration)) {
        workers.push(registration)
      }
    }
    return workers
  }

  softwareVersionsOf (service: string, nowMs: number): string[] {
    const versions = new Set<string>()
    for (const { registration } of this._entries.values()) {
      if (registration.service === service) versions.add(registration.softwareVersion)
    }
    for (const [version, leftAtMs] of this._leftVersions.get(service) ?? []) {
      if (nowMs - leftAtMs < VERSION_MEMORY_MS) versions.add(version)
      else this._leftVersions.get(service)?.delete(version)
    }
    return [...versions]
  }

  find (workerId: string): WorkerRegistration | undefined {
    const registration = this._entries.get(workerId)?.registration
    return registration === undefined || registration.isDraining === this._isDraining(registration) ? registration : { ...registration, isDraining: true }
  }

  private _isDraining (registration: WorkerRegistration): boolean {
    return registration.isDraining || this._notices.isLeaving(registration)
  }

  private _handleNotice ({ workerId, startedAtMs, isLeaving }: NoticeChange): void {
    const known = this._entries.get(workerId)?.registration
    if (isLeaving && known?.startedAtMs === startedAtMs) this._onDidLoseWorker.fire(known)
  }

  private _mayHaveLapsed (nowMs: number): boolean {
    return this._isLogLost || nowMs < this._regainedAtMs + LAPSE_GRACE_MS
  }

  private _remove (workerId: string, nowMs: number): void {
    const known = this._entries.get(workerId)
    if (known === undefined) return
    this._entries.delete(workerId)
    this._rememberVersion(known.registration, nowMs)
    this._onDidLoseWorker.fire(known.registration)
  }

  private _rememberVersion ({ service, softwareVersion }: WorkerRegistration, nowMs: number): void {
    const versions = this._leftVersions.get(service) ?? new Map<string, number>()
    versions.set(softwareVersion, nowMs)
    this._leftVersions.set(service, versions)
  }
}
