/** Sends this node's status to its peers: periodically, and soon after a change that affects callers. */
import type { NodeStatus } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh } from './peerMesh.js'
import { statusPeriodMs, STATUS_CHECK_MS } from './statusPeriod.js'

export interface StatusBroadcastOptions {
  mesh: PeerMesh
  directory: NodeDirectory
  /** Creates the current status. */
  compose: () => Omit<NodeStatus, 'periodMs'>
}

/**
 * Also reconnects to peers.
 *
 * @example
 * const broadcast = new StatusBroadcast({ mesh, directory, compose })
 * broadcast.start()
 * broadcast.send() // after a change that peers must receive at once
 */
export class StatusBroadcast {
  private _timer: NodeJS.Timeout | undefined
  private _isStopped = false
  private _lastSentAtMs = Number.NEGATIVE_INFINITY
  private _lastSentDigest = ''

  constructor (private readonly _options: StatusBroadcastOptions) {}

  start (): void {
    this._timer = setInterval(() => this._sendIfDue(), STATUS_CHECK_MS)
  }

  stop (): void {
    this._isStopped = true
    clearInterval(this._timer)
  }

  /** Sends the status at once; does nothing after `stop`. */
  send (): void {
    if (this._isStopped) return
    const { mesh, compose } = this._options
    const status = { ...compose(), periodMs: this._periodMs }
    mesh.sendStatus(status)
    this._lastSentAtMs = steadyNowMs()
    this._lastSentDigest = digestOf(status)
  }

  private get _periodMs (): number {
    return statusPeriodMs(this._options.directory.size)
  }

  private _sendIfDue (): void {
    this._options.mesh.redial()
    // The check whose time is nearest to the end of the period sends: timers fire a little early or late.
    const isDue = steadyNowMs() - this._lastSentAtMs > this._periodMs - STATUS_CHECK_MS / 2
    if (isDue || digestOf(this._options.compose()) !== this._lastSentDigest) this.send()
  }
}

/** Digest of the fields whose changes are sent at the next check: peers act on them for callers or for workers. */
function digestOf ({ isReady, isDraining, reachesWorkers, documentVersion, owned, rateLimitedShards = [], rateLimits = [] }: ReturnType<StatusBroadcastOptions['compose']>): string {
  const notices = rateLimits.flatMap(({ workerId, startedAtMs, limitPerS, isLeaving }) => [workerId, startedAtMs, limitPerS, isLeaving])
  return [isReady, isDraining, reachesWorkers, documentVersion, ...owned.flat(), ...rateLimitedShards, ...notices].join()
}
