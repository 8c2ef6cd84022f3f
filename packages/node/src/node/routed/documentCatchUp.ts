/** Fetches a newer document from a peer when the log has not brought it in time. */
import type { IRandom } from '@trefoilshunt/core'
import { delay } from '../steadyClock.js'

/** Time for the log to bring a version that a peer has; also the pause between two tries. */
const GRACE_MS = 300
/** Peers that are remembered as having a newer version. */
const MAX_CANDIDATES = 16

export interface DocumentCatchUpOptions {
  /** Version of the document in force at this node. */
  currentVersion: () => number
  /** Requests the document from a peer and applies it if it is newer. */
  fetch: (peer: string) => Promise<void>
  random: IRandom
}

/**
 * Every peer tells of a new version within a moment. A document may have thousands of routes, so one peer is asked at a time.
 *
 * @example
 * const catchUp = new DocumentCatchUp({ currentVersion, fetch, random })
 * catchUp.handlePeerVersion('regina-2', 12)
 */
export class DocumentCatchUp {
  private readonly _candidates = new Map<string, number>()
  private _isRunning = false

  constructor (private readonly _options: DocumentCatchUpOptions) {}

  /** True if a peer has told of a newer version than the one in force here. */
  get isBehind (): boolean {
    this._dropOutdated()
    return this._candidates.size > 0
  }

  /** To be called with the version that a peer has in force. */
  handlePeerVersion (peer: string, version: number): void {
    if (version <= this._options.currentVersion()) return
    if (this._candidates.size < MAX_CANDIDATES || this._candidates.has(peer)) this._candidates.set(peer, version)
    if (!this._isRunning) void this._run()
  }

  private async _run (): Promise<void> {
    this._isRunning = true
    await delay(GRACE_MS)
    while (this.isBehind) {
      const peers = [...this._candidates.keys()]
      const peer = peers[this._options.random.nextInt(peers.length)]
      await this._options.fetch(peer)
      // The next status of a peer that still has a newer version makes it a candidate again.
      this._candidates.delete(peer)
      if (this.isBehind) await delay(GRACE_MS)
    }
    this._isRunning = false
  }

  private _dropOutdated (): void {
    const currentVersion = this._options.currentVersion()
    for (const [peer, version] of this._candidates) {
      if (version <= currentVersion) this._candidates.delete(peer)
    }
  }
}
