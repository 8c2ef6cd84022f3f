/** Stand-in for the platform's weight store, which serves model weights at a limited rate. */
import type { IStandinHost } from './standinHost.js'

/** Serves one load at a time. */
export class WeightStore {
  private _freeAtMs = 0

  constructor (private readonly _bytesPerSecond: number, private readonly _host: IStandinHost) {}

  /** Calls `onLoaded` when `bytes` have been read; a load waits for those requested before it. */
  load (bytes: number, onLoaded: () => void): void {
    const startMs = Math.max(this._freeAtMs, this._host.nowMs())
    this._freeAtMs = startMs + bytes / this._bytesPerSecond * 1000
    this._host.after(this._freeAtMs - this._host.nowMs(), onLoaded)
  }
}
