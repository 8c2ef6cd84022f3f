/** The backend servers of the VM list, and which of them may get new work. */
import { type VmEntry, VmRole, VmState } from '../kernel/node.js'

/** A backend server of the VM list. */
export interface WorkerInfo {
  worker: string
  backend: string
  zone: string
  address: string
}

/** Looks workers up by name and by backend. */
export class WorkerDirectory {
  private readonly _usable = new Map<string, WorkerInfo>()
  private readonly _listed = new Map<string, WorkerInfo>()
  private readonly _byBackend = new Map<string, WorkerInfo[]>()
  /** Workers marked as leaving, until the VM list no longer has them. */
  private readonly _leaving = new Set<string>()

  /** Replaces the VM list. */
  setList (entries: VmEntry[]): void {
    const names = new Set(entries.map(entry => entry.name))
    for (const name of this._leaving) {
      if (!names.has(name)) this._leaving.delete(name)
    }
    this._usable.clear()
    this._listed.clear()
    for (const entry of entries) this._add(entry)
    this._groupByBackend()
  }

  /** Workers of a backend that may get new work. */
  workers (backend: string): WorkerInfo[] {
    return this._byBackend.get(backend) ?? []
  }

  /** A worker that may get new work. */
  find (worker: string): WorkerInfo | undefined {
    return this._usable.get(worker)
  }

  /** A worker of the VM list, also one that is leaving. */
  findListed (worker: string): WorkerInfo | undefined {
    return this._listed.get(worker)
  }

  /** Excludes a worker from new work; false when it was marked before. */
  markLeaving (worker: string): boolean {
    if (this._leaving.has(worker)) return false
    this._leaving.add(worker)
    this._usable.delete(worker)
    this._groupByBackend()
    return true
  }

  private _add (entry: VmEntry): void {
    if (entry.role === VmRole.Entry || entry.backend === undefined) return
    const worker = { worker: entry.name, backend: entry.backend, zone: entry.zone, address: entry.address }
    this._listed.set(entry.name, worker)
    if (entry.state !== VmState.Leaving && !this._leaving.has(entry.name)) this._usable.set(entry.name, worker)
  }

  private _groupByBackend (): void {
    this._byBackend.clear()
    for (const worker of this._usable.values()) {
      const list = this._byBackend.get(worker.backend) ?? []
      list.push(worker)
      this._byBackend.set(worker.backend, list)
    }
  }
}
