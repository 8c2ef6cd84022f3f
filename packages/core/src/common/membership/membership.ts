/** Who is in the fleet: the VM list, probes of random peers and what connections show. */
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

/** What is known of an entry VM. */
export interface PeerInfo {
  node: string
  zone: string
  address: string
  peerAddress: string
  /** Known once the node was heard. */
  incarnation?: string
  isDraining: boolean
  isListed: boolean
  revision: number
  controlOffset: number
  failedProbes: number
  /** Time since which the node counts as unreachable. */
  suspectedSinceMs?: number
  lastHeardMs: number
  /** Time of the last probe that a peer's suspicion caused. */
  checkedAtMs: number
}

/** What a node tells of itself in probes; plug-ins contribute their part. */
export type DigestSource = () => Pick<NodeDigest, 'revision' | 'controlOffset'>

/** Steers traffic. It never decides ownership: only the log does. */
export interface IMembership {
  /** Fires after the set of usable nodes or workers may have changed. */
  readonly onDidChange: Event<void>
  /** Fires with the name of a node that has become unreachable. */
  readonly onDidSuspect: Event<string>
  /** Fires when a peer reports a control offset beyond the given one. */
  readonly onDidHearDigest: Event<NodeDigest>
  /** Nodes that may get new work, this one included unless it drains. */
  liveNodes (): PeerInfo[]
  /** Number of live nodes, at least 1. */
  readonly liveCount: number
  /** All known nodes but this one. */
  knownPeers (): PeerInfo[]
  findNode (node: string): PeerInfo | undefined
  /** True for a run of the daemon that is not known to have ended and is not suspected. */
  isAlive (node: NodeRef): boolean
  /** True when that run has been away so long that its programs may be adopted. */
  isTakeoverDue (node: NodeRef): boolean
  /** Workers of a back end that may get new work. */
  workers (backend: string): WorkerInfo[]
  findWorker (worker: string): WorkerInfo | undefined
  /** A worker that the VM list names, even if it leaves: it may still hand out what it holds. */
  findListedWorker (worker: string): WorkerInfo | undefined
  /** Notes that a worker said, or showed, that it leaves. */
  markLeaving (worker: string): void
  /** Notes that a node could not be reached by a caller's request. */
  markUnreachable (node: string): void
  readonly isDraining: boolean
  /** Fires when the VM list says that this node's VM is leaving. */
  readonly onDidLearnLeaving: Event<void>
  setDraining (): void
  setDigestSource (source: DigestSource): void
  setVmList (entries: VmEntry[]): void
}
export const IMembership = Symbol('IMembership')

@injectable()
export class Membership extends Disposable implements IMembership {
  private readonly _didChange = new Emitter<void>()
  private readonly _didHearDigest = new Emitter<NodeDigest>()
  private readonly _didSuspect = new Emitter<string>()
  private readonly _didLearnLeaving = new Emitter<void>()
  private readonly _peers = new Map<string, PeerInfo>()
  private readonly _workers = new WorkerDirectory()
  private readonly _self: PeerInfo
  private _live: PeerInfo[] | undefined
  private _digestSource: DigestSource = () => ({ revision: 0, controlOffset: 0 })

  readonly onDidChange = this._didChange.event
  readonly onDidHearDigest = this._didHearDigest.event
  readonly onDidSuspect = this._didSuspect.event
  readonly onDidLearnLeaving = this._didLearnLeaving.event

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
    this._self = { node, zone, address, peerAddress, incarnation, isDraining: false, isListed: true, revision: 0, controlOffset: 0, failedProbes: 0, lastHeardMs: 0, checkedAtMs: 0 }
  }

  start (): void {
    this._peerPort.handle('probe', (body, from, respond) => {
      this._noteDigest(from.node, body.digest)
      respond({ type: 'probeReply', digest: this._digest() })
    })
    this._register(this._peerPort.onDidHear(from => this._noteHeard(from)))
    this._register(this._timers.every(this._settings.probePeriodMs, () => this._probeSome()))
  }

  get liveCount (): number {
    return Math.max(1, this.liveNodes().length)
  }

  get isDraining (): boolean {
    return this._self.isDraining
  }

  liveNodes (): PeerInfo[] {
    this._live ??= [this._self, ...this._peers.values()].filter(peer => this._isUsable(peer))
    return this._live
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
    return peer.suspectedSinceMs === undefined && (peer.isListed || this._wasHeardLately(peer))
  }

  isTakeoverDue (node: NodeRef): boolean {
    const peer = this.findNode(node.node)
    if (peer === undefined) return true
    if (peer === this._self) return node.incarnation !== this._identity.incarnation
    if (this._hasRestarted(peer, node)) return true
    const awaySinceMs = peer.suspectedSinceMs ?? (peer.isListed ? undefined : peer.lastHeardMs)
    return awaySinceMs !== undefined && this._clock.nowMs() - awaySinceMs >= this._settings.takeoverAfterMs
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

  markUnreachable (node: string): void {
    const peer = this._peers.get(node)
    if (peer !== undefined) this._probe(peer)
  }

  setDraining (): void {
    this._self.isDraining = true
    this._changed()
  }

  setDigestSource (source: DigestSource): void {
    this._digestSource = source
  }

  setVmList (entries: VmEntry[]): void {
    this._workers.setList(entries)
    for (const peer of this._peers.values()) peer.isListed = false
    for (const entry of entries) {
      if (entry.role === VmRole.Entry) this._noteListedPeer(entry)
    }
    this._changed()
  }

  private _noteListedPeer (entry: VmEntry): void {
    if (entry.name === this._identity.node) {
      if (entry.state === VmState.Leaving) this._didLearnLeaving.fire()
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
      lastHeardMs: known?.lastHeardMs ?? this._clock.nowMs(),
      checkedAtMs: known?.checkedAtMs ?? 0
    })
  }

  private _isUsable (peer: PeerInfo): boolean {
    return peer.isListed && !peer.isDraining && peer.suspectedSinceMs === undefined
  }

  private _wasHeardLately (peer: PeerInfo): boolean {
    return this._clock.nowMs() - peer.lastHeardMs < this._settings.takeoverAfterMs
  }

  private _hasRestarted (peer: PeerInfo, node: NodeRef): boolean {
    return peer.incarnation !== undefined && peer.incarnation > node.incarnation
  }

  private _noteHeard (from: PeerSender): void {
    let peer = this._peers.get(from.node)
    if (peer === undefined) {
      peer = { node: from.node, zone: from.zone, address: from.address, peerAddress: from.peerAddress, isDraining: false, isListed: true, revision: 0, controlOffset: 0, failedProbes: 0, lastHeardMs: 0, checkedAtMs: 0 }
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
    peer.lastHeardMs = this._clock.nowMs()
    peer.failedProbes = 0
    if (peer.suspectedSinceMs !== undefined) this._logger.info('nodeRecovered', { node: peer.node })
    peer.suspectedSinceMs = undefined
    if (isNewRun || !wasUsable) this._changed()
  }

  private _noteDigest (node: string, digest: NodeDigest): void {
    const peer = this._peers.get(node)
    if (peer === undefined) return
    peer.revision = digest.revision
    peer.controlOffset = digest.controlOffset
    if (digest.isDraining && !peer.isDraining) {
      peer.isDraining = true
      this._changed()
    }
    this._didHearDigest.fire(digest)
    for (const suspect of digest.suspects) this._checkSuspect(suspect)
  }

  /** A peer's suspicion is checked with an own probe, not believed; once a period, whoever repeats it. */
  private _checkSuspect (node: string): void {
    const peer = this._peers.get(node)
    if (peer === undefined || peer.suspectedSinceMs !== undefined || peer.failedProbes > 0) return
    const nowMs = this._clock.nowMs()
    if (nowMs - peer.checkedAtMs < this._settings.probePeriodMs) return
    peer.checkedAtMs = nowMs
    this._probe(peer)
  }

  private _probeSome (): void {
    const peers = [...this._peers.values()].filter(peer => peer.isListed || this._wasHeardLately(peer))
    const doubtful = peers.filter(peer => peer.failedProbes > 0)
    const chosen = new Set([...this._random.sample(peers, this._settings.probeFanout), ...doubtful.slice(0, this._settings.probeFanout)])
    for (const peer of chosen) this._probe(peer)
  }

  private _probe (peer: PeerInfo): void {
    const probe = { type: 'probe', digest: this._digest() } as const
    this._peerPort.request(peer, probe, this._settings.probeTimeoutMs, answer => {
      if (answer.type === 'failed') this._noteProbeFailed(peer.node)
      else if (answer.body.type === 'probeReply') this._noteDigest(peer.node, answer.body.digest)
    })
  }

  private _noteProbeFailed (node: string): void {
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
    this._changed()
    this._didSuspect.fire(node)
  }

  private _digest (): NodeDigest {
    const suspects = [...this._peers.values()].filter(peer => peer.suspectedSinceMs !== undefined && peer.isListed)
    return {
      isDraining: this._self.isDraining,
      environment: this._identity.environment,
      suspects: suspects.slice(0, this._settings.probeFanout).map(peer => peer.node),
      ...this._digestSource()
    }
  }

  private _changed (): void {
    this._live = undefined
    this._didChange.fire()
  }
}
