/** Assigns each worker to its coordinator, by a pure function of the membership that every node computes alike. */
import { inject, injectable } from 'tsyringe'
import { NodeIdentity } from '../kernel/node.js'
import { resolveOwner } from '../base/rendezvous.js'
import { IMembership, type PeerInfo } from '../membership/membership.js'

/** Resolves the coordinator of each worker. Nodes may briefly disagree, which affects the balance of load but never safety. */
export interface ICoordinatorTable {
  /**
   * Coordinator of a worker: a live node of the worker's zone, or of any zone if there is none; undefined when the worker is
   * unknown or no node is live.
   */
  coordinatorOf (worker: string): PeerInfo | undefined
  /** True when this node coordinates the worker. */
  isCoordinator (worker: string): boolean
  /** Workers of a backend that this node coordinates. */
  coordinatedWorkers (backend: string): string[]
}
export const ICoordinatorTable = Symbol('ICoordinatorTable')

@injectable()
export class CoordinatorTable implements ICoordinatorTable {
  /** Results by worker, valid until the membership changes. */
  private _coordinators = new Map<string, PeerInfo | undefined>()
  private _nodesByZone: Map<string, PeerInfo[]> | undefined

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IMembership) private readonly _membership: IMembership
  ) {
    _membership.onDidChange(() => {
      this._coordinators = new Map()
      this._nodesByZone = undefined
    })
  }

  coordinatorOf (worker: string): PeerInfo | undefined {
    if (this._coordinators.has(worker)) return this._coordinators.get(worker)
    const workerInfo = this._membership.findWorker(worker)
    if (workerInfo === undefined) return undefined
    const nodesInZone = this._nodesOf(workerInfo.zone)
    const candidates = nodesInZone.length > 0 ? nodesInZone : this._membership.liveNodes()
    const coordinator = resolveOwner(worker, candidates, peer => peer.node)
    this._coordinators.set(worker, coordinator)
    return coordinator
  }

  isCoordinator (worker: string): boolean {
    return this.coordinatorOf(worker)?.node === this._identity.node
  }

  coordinatedWorkers (backend: string): string[] {
    return this._membership.workers(backend).map(workerInfo => workerInfo.worker).filter(worker => this.isCoordinator(worker))
  }

  private _nodesOf (zone: string): PeerInfo[] {
    if (this._nodesByZone === undefined) {
      this._nodesByZone = new Map()
      for (const node of this._membership.liveNodes()) {
        const nodes = this._nodesByZone.get(node.zone) ?? []
        nodes.push(node)
        this._nodesByZone.set(node.zone, nodes)
      }
    }
    return this._nodesByZone.get(zone) ?? []
  }
}
