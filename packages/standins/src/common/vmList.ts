/** Stand-in for the platform's VM list, which shows changes after a delay. */
import { type VmEntry, VmState } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

/** The list of VMs by name. */
export class VmList {
  private readonly _entries = new Map<string, VmEntry>()
  private _published: VmEntry[] = []

  /** @param _lagMs time until a change becomes visible in the list. */
  constructor (private readonly _lagMs: number, private readonly _host: IStandinHost) {}

  /** The published list, without the changes that are not visible yet. */
  read (): VmEntry[] {
    return this._published
  }

  /** Adds a VM, or replaces the entry of the same name. */
  put (entry: VmEntry): void {
    this._entries.set(entry.name, entry)
    this._publishLater()
  }

  /** Marks a VM as leaving; does nothing if the name is unknown. */
  setLeaving (name: string): void {
    const entry = this._entries.get(name)
    if (entry !== undefined) this.put({ ...entry, state: VmState.Leaving })
  }

  remove (name: string): void {
    this._entries.delete(name)
    this._publishLater()
  }

  /** Makes every change visible at once. */
  publishNow (): void {
    this._published = [...this._entries.values()]
  }

  private _publishLater (): void {
    const snapshot = [...this._entries.values()]
    this._host.after(this._lagMs, () => { this._published = snapshot })
  }
}
