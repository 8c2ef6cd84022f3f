/** The platform's VM list, which lags behind reality. */
import { type VmEntry, VmState } from '@trefoilshunt/core'
import type { IStandinHost } from './standinHost.js'

export class VmList {
  private readonly _entries = new Map<string, VmEntry>()
  private _published: VmEntry[] = []

  /** @param _lagMs time until a change shows in the list. */
  constructor (private readonly _lagMs: number, private readonly _host: IStandinHost) {}

  /** The list as a reader gets it. */
  read (): VmEntry[] {
    return this._published
  }

  put (entry: VmEntry): void {
    this._entries.set(entry.name, entry)
    this._publishLater()
  }

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
