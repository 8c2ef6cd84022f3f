/** The workers that have registered themselves in the log. */
import { Emitter, type Event } from '../kernel/emitter.js'

/** What a worker says of itself. */
export interface WorkerRegistration {
  workerId: string
  service: string
  /** `host:port`. */
  address: string
  zone: string
  slots: number
  isDraining: boolean
  /** Start of the worker in Unix time; an id with another start remembers nothing. */
  startedAtMs: number
  /** How much longer the worker is slow after its start. */
  coldLeftMs: number
}

/** Entries that lapsed while the log was away may come back this long after its return. */
const LAPSE_GRACE_MS = 2_000
/** A worker that wasn't at its address is tried again after this, in case that another one had answered for it. */
const DENIED_MS = 10_000

interface Entry {
  registration: WorkerRegistration
  /** Set when the entry was removed at a time at which it may only have lapsed. */
  removedAtMs?: number
  /** Set when another worker was found at the address. */
  deniedAtMs?: number
}

export interface IWorkerRegistry {
  /** Fires the last registration of a worker that is gone, leaves or has started anew. */
  readonly onDidLoseWorker: Event<WorkerRegistration>
  /** Takes a registration; undefined when the entry was removed. */
  update (workerId: string, registration: WorkerRegistration | undefined, nowMs: number): void
  /** Replaces everything by a full listing. */
  replaceAll (registrations: readonly WorkerRegistration[], nowMs: number): void
  handleLogLost (): void
  handleLogRegained (nowMs: number): void
  /** Notes that another worker answers at a worker's address: its registration is out of date. */
  markMisdirected (workerId: string, nowMs: number): void
  /** Workers of a service that may get new work. */
  workersOf (service: string, nowMs: number): WorkerRegistration[]
  find (workerId: string): WorkerRegistration | undefined
}
export const IWorkerRegistry = Symbol('IWorkerRegistry')

/**
 * @example
 * registry.update('i-7f3a', registration, nowMs)
 * registry.workersOf('orders', nowMs)
 */
export class WorkerRegistry implements IWorkerRegistry {
  private readonly _entries = new Map<string, Entry>()
  private readonly _lost = new Emitter<WorkerRegistration>()
  private _isLogLost = false
  private _regainedAtMs = Number.NEGATIVE_INFINITY

  readonly onDidLoseWorker = this._lost.event

  update (workerId: string, registration: WorkerRegistration | undefined, nowMs: number): void {
    const known = this._entries.get(workerId)
    if (registration === undefined) {
      if (known === undefined) return
      if (this._mayHaveLapsed(nowMs)) known.removedAtMs ??= nowMs
      else this._remove(workerId)
      return
    }
    const hasRestarted = known !== undefined && known.registration.startedAtMs !== registration.startedAtMs
    const hasMoved = known !== undefined && known.registration.address !== registration.address
    this._entries.set(workerId, { registration, deniedAtMs: hasRestarted || hasMoved ? undefined : known?.deniedAtMs })
    if (known !== undefined && (registration.isDraining || hasRestarted)) this._lost.fire(known.registration)
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
    if (known !== undefined) known.deniedAtMs = nowMs
  }

  workersOf (service: string, nowMs: number): WorkerRegistration[] {
    const workers: WorkerRegistration[] = []
    for (const [workerId, { registration, removedAtMs, deniedAtMs }] of this._entries) {
      if (deniedAtMs !== undefined && nowMs - deniedAtMs < DENIED_MS) continue
      if (removedAtMs !== undefined && !this._mayHaveLapsed(nowMs)) {
        this._remove(workerId)
      } else if (registration.service === service && !registration.isDraining) {
        workers.push(registration)
      }
    }
    return workers
  }

  find (workerId: string): WorkerRegistration | undefined {
    return this._entries.get(workerId)?.registration
  }

  private _mayHaveLapsed (nowMs: number): boolean {
    return this._isLogLost || nowMs < this._regainedAtMs + LAPSE_GRACE_MS
  }

  private _remove (workerId: string): void {
    const known = this._entries.get(workerId)
    this._entries.delete(workerId)
    if (known !== undefined) this._lost.fire(known.registration)
  }
}
