/** Which nodes and workers can be used, from the VM list, probes of random peers and received messages. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { Emitter, type Event } from '../kernel/emitter.js'
import { Disposable } from '../kernel/lifecycle.js'
import { NodeIdentity, type NodeRef, type VmEntry, VmRole, VmState } from '../kernel/node.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import type { NodeDigest, PeerSender } from '../peers/peerMessages.js'
import { IPeers } from '../peers/peers.js'
import { WorkerDirectory, type WorkerInfo } from './workerDirectory.js'

/** State of an entry VM as this node sees it. */
export interface PeerInfo {
  node: string
  zone: string
  address: string
  peerAddress: string
  /** Incarnation of the newest run that sent a message; undefined before the first message. */
  incarnation?: string
  isDraining: boolean
  /** True while the VM list has the node, and from its first message until the next list. */
  isListed: boolean
  /** Last `NodeDigest.revision` that the node sent. */
  revision: number
  /** Last `NodeDigest.controlOffset` that the node sent. */
  controlOffset: number
  /** Failed probes since the last message. */
  failedProbes: number
  /** Time since which the node has been suspected to be unavailable; undefined while it is not. */
  suspectedSinceMs?: number
  /** Time of the last message from the node; before the first message, the time at which it was listed. */
  lastReceivedMs: number
  /** Time of the last probe sent because a peer suspected the node. */
  suspicionProbedAtMs: number
}

/** Supplies the part of this node's digest that the configuration plug-in knows. */
export type DigestSource = () => Pick<NodeDigest, 'revision' | 'controlOffset'>

/** Tracks nodes and workers to direct traffic. It never decides ownership of programs: only the log does. */
export interface IMembership {
  /** Fires after the set of usable nodes or workers may have changed. */
  readonly onDidChange: Event<void>
  /** Fires with the name of a node when it becomes suspected. */
  readonly onDidSuspect: Event<string>
  /** Fires for every digest received in a probe or in its reply. */
  readonly onDidReceiveDigest: Event<NodeDigest>
  /** Nodes that may get new work, this one included unless it drains. */
  liveNodes (): PeerInfo[]
  /** Number of live nodes, at least 1. */
  readonly liveCount: number
  /** All known nodes except this one. */
  knownPeers (): PeerInfo[]
  findNode (node: string): PeerInfo | undefined
  /**
   * True for a run of the daemon whose node is listed or sent a message within `takeoverAfterMs`, is not suspected and has not
   * started a newer run.
   */
  isAlive (node: NodeRef): boolean
  /**
   * True when the programs of that run may be taken over: its node is unknown, has started a newer run, has been suspected
   * for `takeoverAfterMs`, or is unlisted and sent nothing for that time.
   */
  isTakeoverDue (node: NodeRef): boolean
  /** Workers of a backend that may get new work. */
  workers (backend: string): WorkerInfo[]
  /** A worker that may get new work. */
  findWorker (worker: string): WorkerInfo | undefined
  /** A worker of the VM list, also one that is leaving: other workers may still fetch cached state from it. */
  findListedWorker (worker: string): WorkerInfo | undefined
  /** Excludes a worker from new work because it announced that it is leaving. */
  markLeaving (worker: string): void
  /** Probes a node at once, because a request could not be delivered to it. */
  probeNow (node: string): void
  readonly isDraining: boolean
  /** Fires for each VM list that marks this node's VM as leaving. */
  readonly onDidReceiveLeaveNotice: Event<void>
  /** Marks this node as draining: it gets no new work, and its digests say so. */
  setDraining (): void
  setDigestSource (source: DigestSource): void
  setVmList (entries: VmEntry[]): void
}
export const IMembership = Symbol('IMembership')

@injectable()
export class Membership extends Disposable implements IMembership {
  private readonly _didChange = new Emitter<void>()
  private readonly _didReceiveDigest = new Emitter<NodeDigest>()
  private readonly _didSuspect = new Emitter<string>()
  private readonly _didReceiveLeaveNotice = new Emitter<void>()
  private readonly _peers = new Map<string, PeerInfo>()
  private readonly _workers = new WorkerDirectory()
  private readonly _self: PeerInfo
  private _liveNodes: PeerInfo[] | undefined
  private _digestSource: DigestSource = () => ({ revision: 0, controlOffset: 0 })

  readonly onDidChange = this._didChange.event
  readonly onDidReceiveDigest = this._didReceiveDigest.event
  readonly onDidSuspect = this._didSuspect.event
  readonly onDidReceiveLeaveNotice = this._didReceiveLeaveNotice.event

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(IPeers) private readonly _peerPort: IPeers,
    @inject(ILogger) private readonly _logger: ILogger
  ) {
    super()
    const { node, zone, address, peerAddress, incarnation } = _identity
    this._self = { node, zone, address, peerAddress, incarnation, isDraining: false, isListed: true, revision: 0, controlOffset: 0, failedProbes: 0, lastReceivedMs: 0, suspicionProbedAtMs: 0 }
  }

  start (): void {
    this._peerPort.handle('probe', (body, from, respond) => {
      this._handleDigest(from.node, body.digest)
      respond({ type: 'probeReply', digest: this._createDigest() })
    })
    this._register(this._peerPort.onDidReceive(from => this._handleMessageFrom(from)))
    this._register(this._timers.every(this._settings.probePeriodMs, () => this._probeSample()))
  }

  get liveCount (): number {
    return Math.max(1, this.liveNodes().length)
  }

  get isDraining (): boolean {
    return this._self.isDraining
  }

  liveNodes (): PeerInfo[] {
    this._liveNodes ??= [this._self, ...this._peers.values()].filter(peer => this._isUsable(peer))
    return this._liveNodes
  }

  knownPeers (): PeerInfo[] {
    return [...this._peers.values()]
  }

  findNode (node: string): PeerInfo | undefined {
    return node === this._identity.node ? this._self : this._peers.get(node)
  }

  isAlive (node: NodeRef): boolean {
    if (node.node === this._identity.node) return node.incarnation === this._identity.incarnation
    const peer = this.findNode(node.node)
    if (peer === undefined || this._hasRestarted(peer, node)) return false
    return peer.suspectedSinceMs === undefined && (peer.isListed || this._hasSentRecently(peer))
  }

  isTakeoverDue (node: NodeRef): boolean {
    const peer = this.findNode(node.node)
    if (peer === undefined) return true
    if (peer === this._self) return node.incarnation !== this._identity.incarnation
    if (this._hasRestarted(peer, node)) return true
    const unavailableSinceMs = peer.suspectedSinceMs ?? (peer.isListed ? undefined : peer.lastReceivedMs)
    return unavailableSinceMs !== undefined && this._clock.nowMs() - unavailableSinceMs >= this._settings.takeoverAfterMs
  }

  workers (backend: string): WorkerInfo[] {
    return this._workers.workers(backend)
  }

  findWorker (worker: string): WorkerInfo | undefined {
    return this._workers.find(worker)
  }

  findListedWorker (worker: string): WorkerInfo | undefined {
    return this._workers.findListed(worker)
  }

  markLeaving (worker: string): void {
    if (!this._workers.markLeaving(worker)) return
    this._logger.info('workerLeaving', { worker })
    this._didChange.fire()
  }

  probeNow (node: string): void {
    const peer = this._peers.get(node)
    if (peer !== undefined) this._probe(peer)
  }

  setDraining (): void {
    this._self.isDraining = true
    this._fireChange()
  }

  setDigestSource (source: DigestSource): void {
    this._digestSource = source
  }

  setVmList (entries: VmEntry[]): void {
    this._workers.setList(entries)
    for (const peer of this._peers.values()) peer.isListed = false
    for (const entry of entries) {
      if (entry.role === VmRole.Entry) this._applyListEntry(entry)
    }
    this._fireChange()
  }

  private _applyListEntry (entry: VmEntry): void {
    if (entry.name === this._identity.node) {
      if (entry.state === VmState.Leaving) this._didReceiveLeaveNotice.fire()
      return
    }
    const known = this._peers.get(entry.name)
    const isDraining = entry.state === VmState.Leaving || (known?.isDraining ?? false)
    this._peers.set(entry.name, {
      node: entry.name,
      zone: entry.zone,
      address: entry.address,
      peerAddress: entry.peerAddress ?? entry.address,
      incarnation: known?.incarnation,
      isDraining,
      isListed: true,
      revision: known?.revision ?? 0,
      controlOffset: known?.controlOffset ?? 0,
      failedProbes: known?.failedProbes ?? 0,
      suspectedSinceMs: known?.suspectedSinceMs,
      lastReceivedMs: known?.lastReceivedMs ?? this._clock.nowMs(),
      suspicionProbedAtMs: known?.suspicionProbedAtMs ?? 0
    })
  }

  private _isUsable (peer: PeerInfo): boolean {
    return peer.isListed && !peer.isDraining && peer.suspectedSinceMs === undefined
  }

  private _hasSentRecently (peer: PeerInfo): boolean {
    return this._clock.nowMs() - peer.lastReceivedMs < this._settings.takeoverAfterMs
  }

  private _hasRestarted (peer: PeerInfo, node: NodeRef): boolean {
    return peer.incarnation !== undefined && peer.incarnation > node.incarnation
  }

  private _handleMessageFrom (from: PeerSender): void {
    let peer = this._peers.get(from.node)
    if (peer === undefined) {
      peer = { node: from.node, zone: from.zone, address: from.address, peerAddress: from.peerAddress, isDraining: false, isListed: true, revision: 0, controlOffset: 0, failedProbes: 0, lastReceivedMs: 0, suspicionProbedAtMs: 0 }
      this._peers.set(from.node, peer)
    }
    const isOlderRun = peer.incarnation !== undefined && from.incarnation < peer.incarnation
    if (isOlderRun) return
    const isNewRun = peer.incarnation !== from.incarnation
    const wasUsable = this._isUsable(peer)
    if (isNewRun) peer.isDraining = false
    peer.incarnation = from.incarnation
    peer.address = from.address
    peer.peerAddress = from.peerAddress
    peer.lastReceivedMs = this._clock.nowMs()
    peer.failedProbes = 0
    if (peer.suspectedSinceMs !== undefined) this._logger.info('nodeRecovered', { node: peer.node })
    peer.suspectedSinceMs = undefined
    if (isNewRun || !wasUsable) this._fireChange()
  }

  private _handleDigest (node: string, digest: NodeDigest): void {
    const peer = this._peers.get(node)
    if (peer === undefined) return
    peer.revision = digest.revision
    peer.controlOffset = digest.controlOffset
    if (digest.isDraining && !peer.isDraining) {
      peer.isDraining = true
      this._fireChange()
    }
    this._didReceiveDigest.fire(digest)
    for (const suspect of digest.suspects) this._probeSuspect(suspect)
  }

  /** Verifies a peer's suspicion with an own probe, at most once per `probePeriodMs` however many peers report it. */
  private _probeSuspect (node: string): void {
    const peer = this._peers.get(node)
    if (peer === undefined || peer.suspectedSinceMs !== undefined || peer.failedProbes > 0) return
    const nowMs = this._clock.nowMs()
    if (nowMs - peer.suspicionProbedAtMs < this._settings.probePeriodMs) return
    peer.suspicionProbedAtMs = nowMs
    this._probe(peer)
  }

  private _probeSample (): void {
    const peers = [...this._peers.values()].filter(peer => peer.isListed || this._hasSentRecently(peer))
    const failing = peers.filter(peer => peer.failedProbes > 0)
    const chosen = new Set([...this._random.sample(peers, this._settings.probeFanout), ...failing.slice(0, this._settings.probeFanout)])
    for (const peer of chosen) this._probe(peer)
  }

  private _probe (peer: PeerInfo): void {
    const probe = { type: 'probe', digest: this._createDigest() } as const
    this._peerPort.request(peer, probe, this._settings.probeTimeoutMs, answer => {
      if (answer.type === 'failed') this._handleProbeFailure(peer.node)
      else if (answer.body.type === 'probeReply') this._handleDigest(peer.node, answer.body.digest)
    })
  }

  private _handleProbeFailure (node: string): void {
    const peer = this._peers.get(node)
    if (peer === undefined) return
    peer.failedProbes++
    if (peer.suspectedSinceMs !== undefined) return
    if (peer.failedProbes < this._settings.suspectAfterFailures) {
      this._probe(peer)
      return
    }
    peer.suspectedSinceMs = this._clock.nowMs()
    this._logger.warn('nodeSuspected', { node })
    this._fireChange()
    this._didSuspect.fire(node)
  }

  private _createDigest (): NodeDigest {
    const suspects = [...this._peers.values()].filter(peer => peer.suspectedSinceMs !== undefined && peer.isListed)
    return {
      isDraining: this._self.isDraining,
      environment: this._identity.environment,
      suspects: suspects.slice(0, this._settings.probeFanout).map(peer => peer.node),
      ...this._digestSource()
    }
  }

  private _fireChange (): void {
    this._liveNodes = undefined
    this._didChange.fire()
  }
}
