/** Tells the peers about this node: at once what matters to callers, the rest periodically. */
import type { NodeStatus } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh } from './peerMesh.js'
import { statusPeriodMs, STATUS_CHECK_MS } from './statusPeriod.js'

export interface StatusBroadcastOptions {
  mesh: PeerMesh
  directory: NodeDirectory
  compose: () => Omit<NodeStatus, 'periodMs' | 'peers'>
}

/**
 * @example
 * const broadcast = new StatusBroadcast({ mesh, directory, compose })
 * broadcast.start()
 * broadcast.send() // after a change that peers must learn at once
 */
export class StatusBroadcast {
  private _timer: NodeJS.Timeout | undefined
  private _isStopped = false
  private _sentAtMs = Number.NEGATIVE_INFINITY
  private _sentDigest = ''

  constructor (private readonly _options: StatusBroadcastOptions) {}

  start (): void {
    this._timer = setInterval(() => this._keep(), STATUS_CHECK_MS)
  }

  stop (): void {
    this._isStopped = true
    clearInterval(this._timer)
  }

  send (): void {
    if (this._isStopped) return
    const { mesh, directory, compose } = this._options
    const status = { ...compose(), periodMs: this._periodMs }
    const peers = directory.alive.map(({ from }) => from)
    mesh.sendStatus({ status, peers, peersVersion: peers.map(({ incarnation }) => incarnation).join() })
    this._sentAtMs = steadyNowMs()
    this._sentDigest = digestOf(status)
  }

  private get _periodMs (): number {
    return statusPeriodMs(this._options.directory.size)
  }

  private _keep (): void {
    this._options.mesh.redial()
    // A timer fires a little early or late: half a check decides which one is nearest.
    const isDue = steadyNowMs() - this._sentAtMs > this._periodMs - STATUS_CHECK_MS / 2
    if (isDue || digestOf(this._options.compose()) !== this._sentDigest) this.send()
  }
}

/** What peers must learn at once. */
function digestOf ({ isReady, isDraining, documentVersion, owned }: ReturnType<StatusBroadcastOptions['compose']>): string {
  return [isReady, isDraining, documentVersion, ...owned.flat()].join()
}
