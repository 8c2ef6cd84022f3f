/** Simulates nodes, owners of quotas, the log's member group and callers in virtual time, exactly repeatable from a seed. */
import { type AccountQuota, ageOf, type ClockReading, EarlierOwner, hash32, type QuotaGrant, QuotaLease, QuotaOwner, type QuotaTake, SeededRandom } from '../../../src/index.js'

const MEMBER_TTL_MS = 1_000
const JOIN_PERIOD_MS = 250
const RETRY_MS = 25
const MAX_WAIT_MS = 300
const EXPIRE_PERIOD_MS = 50
const PARTITIONS = 4

export interface SimulatedNode {
  name: number
  incarnation: number
  isDown: boolean
  frozenUntilMs: number
  /** Time for which the machine was suspended: its steady clock stood still. */
  suspendedMs: number
  owner: QuotaOwner
  lease: QuotaLease
  joinSentAt: ClockReading | undefined
  epochs: Map<number, number>
  /** Who listed each partition last, as this node has heard. */
  listed: Map<number, { node: number, incarnation: number, epoch: number }>
  isCutFromLog: boolean
}

export interface SimulatedAccount {
  name: string
  quota: AccountQuota
  /** Requests that were sent to workers, in order of time. */
  sentAtMs: number[]
  programs: number
  /** Programs refused at their first request, and requests of others that were refused. */
  refusedStarts: number
  refusedLater: number
  /** Requests that found no owner. */
  unavailable: number
}

/**
 * @example
 * const simulation = new QuotaSimulation({ seed: 1, nodes: 5, accounts: [{ name: 'a', quota: { ratePerS: 20, burst: 40 } }] })
 * simulation.at(1_000, () => simulation.kill(2))
 * simulation.run(10_000)
 */
export class QuotaSimulation {
  readonly random: SeededRandom
  readonly nodes: SimulatedNode[]
  readonly accounts = new Map<string, SimulatedAccount>()
  nowMs = 0
  questions = 0
  isLogSilent = false
  lossShare = 0
  private readonly _events = new Map<number, Array<() => void>>()
  private readonly _cuts = new Set<string>()
  /** The group as the log sees it: last join of each member, and the owner of each partition. */
  private readonly _members = new Map<number, number>()
  private readonly _assigned = new Map<number, { node: number, epoch: number }>()
  private _epoch = 0

  constructor ({ seed, nodes, accounts }: { seed: number, nodes: number, accounts: Array<{ name: string, quota: AccountQuota }> }) {
    this.random = new SeededRandom(seed)
    for (const { name, quota } of accounts) this.accounts.set(name, { name, quota, sentAtMs: [], programs: 0, refusedStarts: 0, refusedLater: 0, unavailable: 0 })
    this.nodes = Array.from({ length: nodes }, (_, name) => this._createNode(name, 0))
    for (const node of this.nodes) {
      this._every(JOIN_PERIOD_MS, () => this._join(node.name), this.random.nextInt(JOIN_PERIOD_MS))
      this._every(EXPIRE_PERIOD_MS, () => this._expire(this.nodes[node.name]))
    }
  }

  at (atMs: number, run: () => void): void {
    const ms = Math.max(this.nowMs, Math.ceil(atMs))
    const events = this._events.get(ms)
    if (events === undefined) this._events.set(ms, [run])
    else events.push(run)
  }

  run (untilMs: number): void {
    for (; this.nowMs <= untilMs; this.nowMs++) {
      const events = this._events.get(this.nowMs) ?? []
      // Events of the same moment may be added meanwhile.
      for (let index = 0; index < events.length; index++) events[index]()
      this._events.delete(this.nowMs)
    }
  }

  kill (name: number, { isSilent = false, downMs = 1_000 } = {}): void {
    const old = this.nodes[name]
    if (old.isDown) return
    old.isDown = true
    const next = this._createNode(name, old.incarnation + 1)
    next.isDown = true
    this.nodes[name] = next
    // Peers see that the connection is closed, unless the whole machine is lost.
    if (!isSilent) for (const node of this.nodes) this._closedBy.add(`${node.name}/${name}/${old.incarnation}`)
    this.at(this.nowMs + downMs, () => { next.isDown = false })
  }

  freeze (name: number, durationMs: number, isSuspended: boolean): void {
    const node = this.nodes[name]
    node.frozenUntilMs = this.nowMs + durationMs
    if (isSuspended) node.suspendedMs += durationMs
  }

  cut (left: number, right: number, durationMs: number): void {
    const key = left < right ? `${left}/${right}` : `${right}/${left}`
    this._cuts.add(key)
    this.at(this.nowMs + durationMs, () => this._cuts.delete(key))
  }

  /** The log assigns a partition to another member, while the present owner still considers itself the owner. */
  assignTwice (partition: number, name: number): void {
    const present = this._assigned.get(partition)
    if (present === undefined || present.node === name) return
    this._assigned.set(partition, { node: name, epoch: ++this._epoch })
    this.nodes[present.node].isCutFromLog = true
    const { node } = present
    this.at(this.nowMs + 2 * MEMBER_TTL_MS, () => { this.nodes[node].isCutFromLog = false })
  }

  ownerOf (account: string): number | undefined {
    return this._assigned.get(partitionOf(account))?.node
  }

  /** Starts a program with requests at several nodes, one after the other; those that are unavailable are tried again. */
  startProgram (accountName: string, { requests, gapMs, id }: { requests: number, gapMs: number, id?: number }): void {
    const account = this.accounts.get(accountName)
    if (account === undefined) return
    const program = id ?? (hash32(`${accountName}/${account.programs}`) || 1)
    const nodes = Array.from({ length: 5 }, () => this.random.nextInt(this.nodes.length))
    account.programs++
    const send = (index: number): void => {
      if (index === requests) return
      const node = this.nodes[nodes[this.random.nextInt(nodes.length)]]
      this._request(node, account, program, outcome => {
        if (outcome === 'sent') account.sentAtMs.push(this.nowMs)
        else if (outcome === 'unavailable') account.unavailable++
        else if (index === 0) account.refusedStarts++
        else account.refusedLater++
        // A caller gives up a program whose request was refused for quota.
        if (outcome === 'refused') return
        this.at(this.nowMs + gapMs * (0.5 + this.random.next()), () => send(outcome === 'sent' ? index + 1 : index))
      })
    }
    send(0)
  }

  private readonly _closedBy = new Set<string>()

  private _createNode (name: number, incarnation: number): SimulatedNode {
    const owner = new QuotaOwner({ quotaOf: account => this.accounts.get(account)?.quota, ownerTtlMs: MEMBER_TTL_MS })
    return { name, incarnation, isDown: false, frozenUntilMs: 0, suspendedMs: 0, owner, lease: new QuotaLease(), joinSentAt: undefined, epochs: new Map(), listed: new Map(), isCutFromLog: false }
  }

  private _clock (node: SimulatedNode): ClockReading {
    return { steadyMs: this.nowMs - node.suspendedMs, wallMs: this.nowMs + 1e6 }
  }

  private _every (periodMs: number, run: () => void, firstMs = periodMs): void {
    const repeat = (): void => {
      run()
      this.at(this.nowMs + periodMs, repeat)
    }
    this.at(firstMs, repeat)
  }

  /** Calls `run` at a node after the latency, and after the node's freeze; never if it is lost, down or cut off by then. */
  private _send (from: SimulatedNode, to: SimulatedNode, run: () => void): void {
    const key = from.name < to.name ? `${from.name}/${to.name}` : `${to.name}/${from.name}`
    if (from !== to && (this._cuts.has(key) || this.random.next() < this.lossShare)) return
    const latencyMs = from === to ? 0 : 1 + this.random.nextInt(20)
    this._atNode(to, this.nowMs + latencyMs, run)
  }

  private _atNode (node: SimulatedNode, atMs: number, run: () => void): void {
    this.at(atMs, () => {
      if (node.isDown) return
      if (node.frozenUntilMs > this.nowMs) this._atNode(node, node.frozenUntilMs, run)
      else run()
    })
  }

  private _isFresh (node: SimulatedNode): boolean {
    return node.joinSentAt !== undefined && ageOf(node.joinSentAt, this._clock(node)) < MEMBER_TTL_MS
  }

  private _join (name: number): void {
    const node = this.nodes[name]
    if (node.isDown || node.frozenUntilMs > this.nowMs || this.isLogSilent || node.isCutFromLog) return
    const sentAt = this._clock(node)
    this.at(this.nowMs + 2, () => {
      for (const [member, joinedAtMs] of this._members) if (this.nowMs - joinedAtMs > MEMBER_TTL_MS) this._members.delete(member)
      this._members.set(name, this.nowMs)
      for (let partition = 0; partition < PARTITIONS; partition++) {
        const assigned = this._assigned.get(partition)
        if (assigned !== undefined && this._members.has(assigned.node)) continue
        const members = [...this._members.keys()]
        this._assigned.set(partition, { node: members[this.random.nextInt(members.length)], epoch: ++this._epoch })
      }
      const owned = [...this._assigned].filter(([, { node: member }]) => member === name)
      this._atNode(node, this.nowMs + 2, () => this._applyJoin(node, sentAt, owned.map(([partition, { epoch }]) => [partition, epoch])))
    })
  }

  private _applyJoin (node: SimulatedNode, sentAt: ClockReading, owned: Array<[number, number]>): void {
    node.joinSentAt = sentAt
    const steadyMs = this._clock(node).steadyMs
    const kept = new Set(owned.map(([partition]) => partition))
    for (const partition of [...node.epochs.keys()]) {
      if (kept.has(partition)) continue
      node.epochs.delete(partition)
      node.owner.release(partition, steadyMs)
    }
    for (const [partition, epoch] of owned) if (node.epochs.get(partition) !== epoch) this._acquire(node, partition, epoch)
    for (const peer of this.nodes) {
      if (peer === node) continue
      this._send(node, peer, () => {
        for (const [partition, epoch] of owned) if ((peer.listed.get(partition)?.epoch ?? 0) <= epoch) peer.listed.set(partition, { node: node.name, incarnation: node.incarnation, epoch })
      })
    }
  }

  private _acquire (node: SimulatedNode, partition: number, epoch: number): void {
    const steadyMs = this._clock(node).steadyMs
    const earlier = node.listed.get(partition)
    node.epochs.set(partition, epoch)
    if (earlier === undefined) return node.owner.acquire(partition, EarlierOwner.Unknown, steadyMs)
    const peer = this.nodes[earlier.node]
    if (peer.incarnation !== earlier.incarnation && (!peer.isDown || this._closedBy.has(`${node.name}/${earlier.node}/${earlier.incarnation}`))) {
      return node.owner.acquire(partition, EarlierOwner.Ended, steadyMs)
    }
    node.owner.acquire(partition, EarlierOwner.Asked, steadyMs)
    const resolve = (outcome: Parameters<QuotaOwner['resolveEarlierOwner']>[1]): void => node.owner.resolveEarlierOwner(partition, outcome, this._clock(node).steadyMs)
    this._send(node, peer, () => {
      peer.epochs.delete(partition)
      const handover = peer.owner.handOver(partition, this._clock(peer).steadyMs)
      this._send(peer, node, () => { if (node.epochs.get(partition) === epoch) resolve({ handover }) })
    })
    this._atNode(node, this.nowMs + 200, () => { if (node.epochs.get(partition) === epoch) resolve('noReply') })
  }

  private _expire (node: SimulatedNode): void {
    if (node.isDown || node.frozenUntilMs > this.nowMs) return
    for (const { account, owner, counts, returns } of node.lease.expire(this._clock(node))) {
      const peer = this.nodes[Number(owner)]
      this._send(node, peer, () => { peer.owner.giveBack(partitionOf(account), account, returns, this._clock(peer).steadyMs, counts) })
    }
  }

  private _request (node: SimulatedNode, account: SimulatedAccount, program: number, onOutcome: (outcome: 'sent' | 'refused' | 'unavailable') => void): void {
    const startedMs = this.nowMs
    if (node.isDown || node.frozenUntilMs > this.nowMs) {
      this.at(this.nowMs + RETRY_MS, () => onOutcome('unavailable'))
      return
    }
    const use = node.lease.use(account.name, program, this._clock(node))
    if (use.type === 'used') return onOutcome('sent')
    let isDone = false
    const finish = (outcome: 'sent' | 'refused' | 'unavailable'): void => {
      if (!isDone && !node.isDown) onOutcome(outcome)
      else if (!isDone) this.at(this.nowMs, () => onOutcome('unavailable'))
      isDone = true
    }
    this.at(startedMs + MAX_WAIT_MS, () => finish('unavailable'))
    const ask = (): void => {
      if (isDone || node.isDown) return
      const owner = node.epochs.has(partitionOf(account.name)) ? node : this._peerOwner(node, account.name)
      if (owner === undefined) return this._atNode(node, this.nowMs + RETRY_MS, ask)
      const askedAt = this._clock(node)
      const programs = use.type === 'known' ? { known: [program], begins: [] } : { known: [], begins: [program] }
      const take = node.lease.compose(account.name, { owner: String(owner.name), ...programs, mayPrefetch: owner !== node }, askedAt)
      if (owner !== node) this.questions++
      this._send(node, owner, () => {
        const grant = this._isFresh(owner) ? owner.owner.take(partitionOf(account.name), take, this._clock(owner).steadyMs) : undefined
        this._send(owner, node, () => this._handleReply(node, take, { owner, askedAt, grant, ask, finish, isDone: () => isDone }))
      })
    }
    ask()
  }

  private _handleReply (node: SimulatedNode, take: QuotaTake, { owner, askedAt, grant, ask, finish, isDone }: { owner: SimulatedNode, askedAt: ClockReading, grant: QuotaGrant | undefined, ask: () => void, finish: (outcome: 'sent' | 'refused') => void, isDone: () => boolean }): void {
    node.lease.apply(take, { owner: String(owner.name), askedAt }, grant)
    if (isDone()) return
    if (grant === undefined) this._atNode(node, this.nowMs + RETRY_MS, ask)
    // A reply that comes after the time of the lease grants nothing.
    else if ([...grant[0], ...grant[1]][0] === 0 && ageOf(askedAt, this._clock(node)) < 400) finish('sent')
    else finish('refused')
  }

  private _peerOwner (node: SimulatedNode, account: string): SimulatedNode | undefined {
    const listed = node.listed.get(partitionOf(account))
    const peer = listed === undefined ? undefined : this.nodes[listed.node]
    return peer === undefined || peer.isDown || peer.incarnation !== listed?.incarnation ? undefined : peer
  }
}

function partitionOf (account: string): number {
  return hash32(account) % PARTITIONS
}
