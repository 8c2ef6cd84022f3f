/** Which node leads which worker: a pure function of the membership that every node computes alike. */
import { inject, injectable } from 'tsyringe'
import { NodeIdentity } from '../kernel/node.js'
import { resolveOwner } from '../base/rendezvous.js'
import { IMembership, type PeerInfo } from '../membership/membership.js'

/** Names the lead of each worker. Two nodes may disagree for moments; that costs balance, never safety. */
export interface ICoordinatorTable {
  coordinatorOf (worker: string): PeerInfo | undefined
  isCoordinator (worker: string): boolean
  /** Workers of a back end that this node leads. */
  coordinatedWorkers (backend: string): string[]
}
export const ICoordinatorTable = Symbol('ILeadTable')

@injectable()
export class CoordinatorTable implements ICoordinatorTable {
  private _leads = new Map<string, PeerInfo | undefined>()
  private _nodesByZone: Map<string, PeerInfo[]> | undefined

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IMembership) private readonly _membership: IMembership
  ) {
    _membership.onDidChange(() => {
      this._leads = new Map()
      this._nodesByZone = undefined
    })
  }

  coordinatorOf (worker: string): PeerInfo | undefined {
    if (this._leads.has(worker)) return this._leads.get(worker)
    const info = this._membership.findWorker(worker)
    if (info === undefined) return undefined
    const inZone = this._nodesOf(info.zone)
    const candidates = inZone.length > 0 ? inZone : this._membership.liveNodes()
    const lead = resolveOwner(worker, candidates, peer => peer.node)
    this._leads.set(worker, lead)
    return lead
  }

  isCoordinator (worker: string): boolean {
    return this.coordinatorOf(worker)?.node === this._identity.node
  }

  coordinatedWorkers (backend: string): string[] {
    return this._membership.workers(backend).map(info => info.worker).filter(worker => this.isCoordinator(worker))
  }

  private _nodesOf (zone: string): PeerInfo[] {
    if (this._nodesByZone === undefined) {
      this._nodesByZone = new Map()
      for (const node of this._membership.liveNodes()) {
        const list = this._nodesByZone.get(node.zone) ?? []
        list.push(node)
        this._nodesByZone.set(node.zone, list)
      }
    }
    return this._nodesByZone.get(zone) ?? []
  }
}
