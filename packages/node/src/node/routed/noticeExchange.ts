/** Exchanges between the nodes what workers have said of themselves. */
import { type IWorkerNotices, type IWorkerRegistry, type LogFields, type NoticeChange, selectOwners, type WorkerNotice, type WorkerRegistration } from '@trefoilshunt/core'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh } from './peerMesh.js'

/** Nodes that tell a node which has just started. */
const TELLERS = 3

export interface NoticeExchangeOptions {
  node: string
  notices: IWorkerNotices
  registry: IWorkerRegistry
  directory: NodeDirectory
  mesh: PeerMesh
  /** True if this node tells all others what the worker says. */
  isCoordinatorOf: (worker: WorkerRegistration) => boolean
  write: (event: string, fields: LogFields) => void
}

/**
 * Statuses carry the notices of the workers that a node coordinates. As a node that has just started may be the coordinator of any of them, a few
 * others tell it what they know when they connect to it.
 *
 * @example
 * status.rateLimits = exchange.coordinated
 * exchange.tell(peer)
 */
export class NoticeExchange {
  constructor (private readonly _options: NoticeExchangeOptions) {
    _options.notices.onDidChange(change => this._logChange(change))
  }

  /** What the workers say that this node coordinates. */
  get coordinated (): WorkerNotice[] {
    return this._known.filter(({ workerId }) => {
      const worker = this._options.registry.find(workerId)
      return worker !== undefined && this._options.isCoordinatorOf(worker)
    })
  }

  /** Tells a peer to which a connection was established; does nothing at all but a few nodes. */
  tell (peer: string): void {
    const reports = this._known
    if (reports.length > 0 && this.isTellerOf(peer)) this._options.mesh.notify(peer, { type: 'notices', reports })
  }

  /** True if this node is among the few that tell a peer which has just started what it has missed. */
  isTellerOf (peer: string): boolean {
    const { node, directory } = this._options
    const others = directory.alive.map(({ from }) => from.node).filter(name => name !== peer)
    return selectOwners(peer, [...others, node], TELLERS).includes(node)
  }

  /** Stores what a peer reports. */
  apply (reports: readonly WorkerNotice[]): void {
    this._options.notices.applyReports(reports, steadyNowMs())
  }

  /** Forgets workers that have been gone for a while. */
  removeInactive (): void {
    this._options.notices.removeInactive(workerId => this._options.registry.find(workerId) !== undefined, steadyNowMs())
  }

  private _logChange ({ workerId, startedAtMs, limitPerS, isLeaving }: NoticeChange): void {
    const { registry, write } = this._options
    if (isLeaving) write('workerLeaving', { worker: workerId, startedAtMs, isRegistered: registry.find(workerId) !== undefined })
    else write('workerRateLimit', { worker: workerId, startedAtMs, limitPerS, isLimited: limitPerS !== undefined })
  }

  private get _known (): WorkerNotice[] {
    return this._options.notices.reports(steadyNowMs()).filter(({ workerId }) => this._options.registry.find(workerId) !== undefined)
  }
}
