/** The nodes of the system as this node sees them: which are alive, which are ready, which owns which partition. */
import { chooseEntryNodes, type EntryNode } from '@trefoilshunt/core'
import type { NodeAddress, NodeStatus } from '../../common/routed/routedPeerMessages.js'
import { heartbeatTimeoutMs } from './statusPeriod.js'

/** A peer is removed this long after its last status or, without one, after it was added. */
const REMOVAL_TIMEOUT_MS = 60_000
/** Most addresses in one answer to a caller, which uses no more of them. */
const MAX_ADDRESSES = 64
/** With fewer ready nodes in the caller's zone, those of other zones are added. */
const MIN_ZONE_NODES = 2

interface KnownNode {
  address: NodeAddress
  status?: NodeStatus
  lastStatusAtMs: number
  addedAtMs: number
  /** True after the connection to the peer was lost, until its next status. */
  isDisconnected: boolean
  /** True if the peer closed that connection, which its machine does when its process ends. */
  isClosedByPeer: boolean
  /** Where its status is in the list of live peers; undefined while it is not in it. */
  aliveIndex?: number
}

/** The peer that served a partition last, as its statuses say. */
export interface EarlierServer {
  node: string
  epoch: number
  /** True if its process has ended: it closed the connection, or the node has started again. */
  hasEnded: boolean
}

/** What this node knows of itself beside its address. */
export interface OwnState {
  isReady: boolean
  /** False while this node is cut off from all workers. */
  reachesWorkers: boolean
  cores: number
  /** Share of the last second in which this node was busy, 0 to 1. */
  busyShare: number
}

interface EntryCandidate extends EntryNode {
  zone: string
  reachesWorkers: boolean
}

export interface NodeDirectoryOptions {
  self: NodeAddress
  /** Steady time. */
  nowMs: () => number
  /** Called for each new node and each newer incarnation of a known one. */
  onAdded: (address: NodeAddress) => void
  onRemoved: (node: string) => void
}

/** Addresses and latest statuses of the peers; this node itself is not among them. */
export class NodeDirectory {
  private readonly _nodes = new Map<string, KnownNode>()
  /** The last peer that listed each partition in its statuses. */
  private readonly _lastServers = new Map<number, { node: string, incarnation: string, epoch: number }>()
  private _rotation = 0
  /** The statuses of the live peers, valid until `_aliveUntilMs`; undefined after a peer has come or gone. Listing hundreds of peers anew for each use took more time than some of the uses. */
  private _alive: NodeStatus[] | undefined
  private _aliveUntilMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _options: NodeDirectoryOptions) {}

  /** Adds an address from the log or from a peer. Ignored unless it is a new node or a newer incarnation. */
  add (address: NodeAddress): void {
    if (address.node === this._options.self.node) return
    const known = this._nodes.get(address.node)
    if (known !== undefined && known.address.incarnation >= address.incarnation) return
    this._alive = undefined
    this._nodes.set(address.node, { address, lastStatusAtMs: Number.NEGATIVE_INFINITY, addedAtMs: this._options.nowMs(), isDisconnected: false, isClosedByPeer: false })
    this._options.onAdded(address)
  }

  /** Adds the sender; then stores the status, unless a newer incarnation of the sender is known. */
  applyStatus (status: NodeStatus): void {
    this.add(status.from)
    const known = this._nodes.get(status.from.node)
    if (known === undefined || known.address.incarnation !== status.from.incarnation) return
    known.status = status
    known.lastStatusAtMs = this._options.nowMs()
    known.isDisconnected = false
    known.isClosedByPeer = false
    for (const [partition, epoch] of status.owned) {
      const last = this._lastServers.get(partition)
      if (last === undefined || epoch > last.epoch) this._lastServers.set(partition, { node: status.from.node, incarnation: status.from.incarnation, epoch })
    }
    if (known.aliveIndex === undefined || this._alive === undefined) this._alive = undefined
    else this._alive[known.aliveIndex] = status
    // A period that became shorter ends the validity earlier.
    this._aliveUntilMs = Math.min(this._aliveUntilMs, known.lastStatusAtMs + heartbeatTimeoutMs(status.periodMs))
  }

  /** Treats a peer whose connection closed as not alive until its next status, so that the end of a process is detected at once. */
  markDisconnected (node: string, isClosedByPeer = false): void {
    const known = this._nodes.get(node)
    if (known === undefined) return
    known.isDisconnected = true
    known.isClosedByPeer = isClosedByPeer
    this._alive = undefined
  }

  /** Number of known peers, alive or not. */
  get size (): number {
    return this._nodes.size
  }

  /** Latest statuses of the connected peers within the heartbeat timeout. The list is to be read at once and not to be changed. */
  get alive (): readonly NodeStatus[] {
    const nowMs = this._options.nowMs()
    if (this._alive === undefined || !(nowMs <= this._aliveUntilMs)) this._alive = this._listAlive(nowMs)
    return this._alive
  }

  private _listAlive (nowMs: number): NodeStatus[] {
    const statuses: NodeStatus[] = []
    this._aliveUntilMs = Number.POSITIVE_INFINITY
    for (const known of this._nodes.values()) {
      const { status, lastStatusAtMs, isDisconnected } = known
      known.aliveIndex = undefined
      if (status === undefined || isDisconnected) continue
      const untilMs = lastStatusAtMs + heartbeatTimeoutMs(status.periodMs)
      if (!(nowMs <= untilMs)) continue
      known.aliveIndex = statuses.push(status) - 1
      this._aliveUntilMs = Math.min(this._aliveUntilMs, untilMs)
    }
    return statuses
  }

  /** Mean time since the latest status of each live peer; 0 without any. */
  get meanStatusAgeMs (): number {
    const nowMs = this._options.nowMs()
    const ages: number[] = []
    for (const { status, lastStatusAtMs, isDisconnected } of this._nodes.values()) {
      if (status !== undefined && !isDisconnected) ages.push(nowMs - lastStatusAtMs)
    }
    return ages.length === 0 ? 0 : ages.reduce((total, ageMs) => total + ageMs, 0) / ages.length
  }

  /** The live peer that serves a partition under the highest epoch; undefined if none does. */
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

  /** The peer that served a partition last, alive or not; undefined if none is known. */
  lastServerOf (partition: number): EarlierServer | undefined {
    const last = this._lastServers.get(partition)
    if (last === undefined) return undefined
    const known = this._nodes.get(last.node)
    const hasEnded = known !== undefined && (known.address.incarnation !== last.incarnation || known.isClosedByPeer)
    return { node: last.node, epoch: last.epoch, hasEnded }
  }

  /** Number of live peers that assign the slots of a service shard with rate limits and are not draining. */
  coordinatorCount (shardKey: string): number {
    return this.alive.filter(status => !status.isDraining && status.rateLimitedShards?.includes(shardKey) === true).length
  }

  /** Live peers that reach the workers and make calls to them for others. */
  get relays (): string[] {
    return this.alive.filter(status => status.isReady && !status.isDraining && status.reachesWorkers === true).map(({ from }) => from.node)
  }

  /**
   * Addresses, `host:port`, to which callers of a zone should connect: ready nodes of the zone if there are at least two, else of all zones; of these
   * the larger ones while they suffice. Nodes that are cut off from the workers are left out while others are ready.
   */
  callerAddresses (zone: string | undefined, self: OwnState): string[] {
    const ready = this.alive.filter(status => status.isReady && !status.isDraining).map(({ from, reachesWorkers, cores, busyShare }) => toCandidate(from, { reachesWorkers: reachesWorkers !== false, cores, busyShare }))
    if (self.isReady) ready.push(toCandidate(this._options.self, self))
    const reaching = ready.filter(({ reachesWorkers }) => reachesWorkers)
    const usable = reaching.length > 0 ? reaching : ready
    const nodesOfZone = usable.filter(node => node.zone === zone)
    const chosen = chooseEntryNodes(nodesOfZone.length >= MIN_ZONE_NODES ? nodesOfZone : usable)
    if (chosen.length <= MAX_ADDRESSES) return chosen.map(node => node.callerAddress)
    // Each answer starts at another node, so that callers are spread over all nodes.
    this._rotation = (this._rotation + MAX_ADDRESSES) % chosen.length
    return [...chosen.slice(this._rotation), ...chosen].slice(0, MAX_ADDRESSES).map(node => node.callerAddress)
  }

  /** Removes peers whose last status, or addition without one, was a minute ago or earlier. */
  removeInactive (): void {
    const nowMs = this._options.nowMs()
    for (const [node, { lastStatusAtMs, addedAtMs }] of this._nodes) {
      if (nowMs - Math.max(lastStatusAtMs, addedAtMs) < REMOVAL_TIMEOUT_MS) continue
      this._nodes.delete(node)
      this._alive = undefined
      this._options.onRemoved(node)
    }
  }
}

function toCandidate ({ callerAddress, zone }: NodeAddress, { reachesWorkers, cores, busyShare }: Omit<OwnState, 'isReady'>): EntryCandidate {
  return { callerAddress, zone, reachesWorkers, cores, busyShare }
}
