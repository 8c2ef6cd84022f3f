/** The nodes of the system as this one sees them: who is alive, who is ready, who owns which partition. */
import type { NodeAddress, NodeStatus } from '../../common/routed/routedPeerMessages.js'
import { heartbeatTimeoutMs } from './statusPeriod.js'

/** A peer that was never heard for this long is dropped from the directory. */
const FORGET_MS = 60_000
/** Callers use at most this many addresses of one answer. */
const MAX_ADDRESSES = 64
/** Nodes of the caller's zone below which those of other zones are added. */
const MIN_ZONE_NODES = 2

interface KnownNode {
  address: NodeAddress
  status?: NodeStatus
  heardAtMs: number
  addedAtMs: number
  /** True from the loss of the connection to the peer until its next status. */
  isLost: boolean
}

export interface NodeDirectoryOptions {
  self: NodeAddress
  nowMs: () => number
  /** A node, or a new start of one, has become known. */
  onAdded: (address: NodeAddress) => void
  onForgotten: (node: string) => void
}

export class NodeDirectory {
  private readonly _nodes = new Map<string, KnownNode>()
  private _rotation = 0

  constructor (private readonly _options: NodeDirectoryOptions) {}

  /** Takes an address from the log, a seed or a peer; the latest start of a node counts. */
  add (address: NodeAddress): void {
    if (address.node === this._options.self.node) return
    const known = this._nodes.get(address.node)
    if (known !== undefined && known.address.incarnation >= address.incarnation) return
    this._nodes.set(address.node, { address, heardAtMs: Number.NEGATIVE_INFINITY, addedAtMs: this._options.nowMs(), isLost: false })
    this._options.onAdded(address)
  }

  applyStatus (status: NodeStatus): void {
    this.add(status.from)
    for (const peer of status.peers ?? []) this.add(peer)
    const known = this._nodes.get(status.from.node)
    if (known === undefined || known.address.incarnation !== status.from.incarnation) return
    known.status = status
    known.heardAtMs = this._options.nowMs()
    known.isLost = false
  }

  /** A closed connection shows the end of a process at once; a peer that lives says so with its next status. */
  markLost (node: string): void {
    const known = this._nodes.get(node)
    if (known !== undefined) known.isLost = true
  }

  /** Number of peers, whether they are heard or not. */
  get size (): number {
    return this._nodes.size
  }

  /** Statuses of the peers that were heard lately. */
  get alive (): NodeStatus[] {
    const nowMs = this._options.nowMs()
    const statuses: NodeStatus[] = []
    for (const { status, heardAtMs, isLost } of this._nodes.values()) {
      if (status !== undefined && !isLost && nowMs - heardAtMs <= heartbeatTimeoutMs(status.periodMs)) statuses.push(status)
    }
    return statuses
  }

  /** The peer that serves a partition under the highest epoch. */
  ownerOf (partition: number): string | undefined {
    let owner: string | undefined
    let highest = -1
    for (const status of this.alive) {
      for (const [owned, epoch] of status.owned) {
        if (owned !== partition || epoch <= highest) continue
        owner = status.from.node
        highest = epoch
      }
    }
    return owner
  }

  /** Where callers of a zone should connect: ready nodes, those of their zone alone when there are several. */
  callerAddresses (zone: string | undefined, isSelfReady: boolean): string[] {
    const ready = this.alive.filter(status => status.isReady && !status.isDraining).map(status => status.from)
    if (isSelfReady) ready.push(this._options.self)
    const nodesByProximity = ready.filter(address => address.zone === zone)
    const chosen = nodesByProximity.length >= MIN_ZONE_NODES ? nodesByProximity : ready
    if (chosen.length <= MAX_ADDRESSES) return chosen.map(address => address.callerAddress)
    // Each answer begins elsewhere, so that every node gets its share of the callers.
    this._rotation = (this._rotation + MAX_ADDRESSES) % chosen.length
    return [...chosen.slice(this._rotation), ...chosen].slice(0, MAX_ADDRESSES).map(address => address.callerAddress)
  }

  /** Drops peers that have been silent for long. */
  forgetSilent (): void {
    const nowMs = this._options.nowMs()
    for (const [node, { heardAtMs, addedAtMs }] of this._nodes) {
      if (nowMs - Math.max(heardAtMs, addedAtMs) < FORGET_MS) continue
      this._nodes.delete(node)
      this._options.onForgotten(node)
    }
  }
}
