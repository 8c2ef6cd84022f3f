/** Planned stop: no new programs, every home handed over by record, every answer finished, then exit. */
import { inject, injectable } from 'tsyringe'
import { ICallers } from '../kernel/callerPort.js'
import { IClock } from '../kernel/clock.js'
import { IEffects, ILogger } from '../kernel/effectQueue.js'
import type { IDisposable } from '../kernel/lifecycle.js'
import { NodeIdentity, type NodeRef } from '../kernel/node.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { resolveOwner } from '../base/rendezvous.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IJournal } from '../journal/journal.js'
import { cloneProgram } from '../journal/journalFold.js'
import { IMembership, type PeerInfo } from '../membership/membership.js'
import { IPeers } from '../peers/peers.js'
import { ICoordinatorTable } from '../placement/coordinatorTable.js'
import type { LiveProgram } from '../programs/liveProgram.js'
import { IProgramRouting } from '../programs/programRouting.js'
import { IProgramTable } from '../programs/programTable.js'

const ROUND_MS = 200
const OFFER_TIMEOUT_MS = 5_000
const DONE_TIMEOUT_MS = 1_000
const TREES_PER_ROUND = 100
const QUIET_CHECK_MS = 50
const END_RECORD_TIMEOUT_MS = 5_000
/** Time for which a stopping node goes on answering, so that peers and callers learn that it leaves. */
const MIN_DRAIN_MS = 2_500

/** Empties this node before it stops. */
export interface IDrain {
  /** Begins the planned stop; a second call has no effect. */
  begin (): void
}
export const IDrain = Symbol('IDrain')

/** Programs of one tree; they share a budget and so move together. */
interface Tree {
  root: string
  members: LiveProgram[]
}

@injectable()
export class Drain implements IDrain {
  private _beganAtMs: number | undefined
  private _rounds: IDisposable | undefined
  private _isEnding = false

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IEffects) private readonly _effects: IEffects,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ICoordinatorTable) private readonly _leadTable: ICoordinatorTable,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IJournal) private readonly _journal: IJournal,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(IProgramRouting) private readonly _routing: IProgramRouting,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._membership.onDidLearnLeaving(() => this.begin())
  }

  begin (): void {
    if (this._beganAtMs !== undefined) return
    this._beganAtMs = this._clock.nowMs()
    this._logger.info('drainStarted', { programs: this._programs.size })
    this._membership.setDraining()
    this._rounds = this._timers.every(ROUND_MS, () => this._round())
    this._round()
  }

  private _round (): void {
    if (this._isEnding) return
    const elapsedMs = this._clock.nowMs() - (this._beganAtMs ?? 0)
    const trees = this._movableTrees()
    for (const [target, group] of this._groupByTarget(trees.slice(0, TREES_PER_ROUND))) this._handOver(target, group)
    const openPrograms = [...this._programs.all()].filter(program => program.closedAtMs === undefined).length
    const isEmpty = openPrograms === 0 && this._callers.openCount === 0 && this._journal.backlog === 0
    if (isEmpty && elapsedMs >= MIN_DRAIN_MS) this._end(true)
    else if (elapsedMs > this._settings.drainTimeoutMs) this._end(false)
  }

  /** Trees with no step under way and not on the move already. */
  private _movableTrees (): Tree[] {
    const roots = new Set([...this._programs.all()].map(program => program.state.root))
    return [...roots]
      .map(root => ({ root, members: this._programs.treeOf(root) }))
      .filter(({ members }) => members.some(member => member.closedAtMs === undefined))
      .filter(({ members }) => members.every(member => member.running === undefined && !member.isMoving))
  }

  private _groupByTarget (trees: Tree[]): Map<PeerInfo, LiveProgram[]> {
    const groups = new Map<PeerInfo, LiveProgram[]>()
    for (const tree of trees) {
      const target = this._targetOf(tree)
      if (target !== undefined) groups.set(target, [...(groups.get(target) ?? []), ...tree.members])
    }
    return groups
  }

  /** The lead of the worker that caches the program, or any live node. */
  private _targetOf (tree: Tree): PeerInfo | undefined {
    const worker = tree.members.flatMap(member => member.state.workers.map(entry => entry.worker)).at(0)
    const lead = worker === undefined ? undefined : this._leadTable.coordinatorOf(worker)
    if (lead !== undefined && lead.node !== this._identity.node) return lead
    const others = this._membership.liveNodes().filter(peer => peer.node !== this._identity.node)
    return resolveOwner(tree.root, others, peer => peer.node)
  }

  private _handOver (target: PeerInfo, programs: LiveProgram[]): void {
    const journal = this._journal.current
    const movable = programs.filter(program => program.journal === journal)
    if (movable.length === 0) return
    for (const program of movable) program.isMoving = true
    const offer = { type: 'handoverOffer', journal: journal.stream, programs: movable.map(program => cloneProgram(program.state)) } as const
    this._peers.request(target, offer, OFFER_TIMEOUT_MS, answer => {
      const isAccepted = answer.type === 'answered' && answer.body.type === 'handoverAnswer' && answer.body.acceptedProgramIds.length === movable.length
      if (!isAccepted) {
        this._stay(movable)
        return
      }
      const { node, incarnation, address } = answer.from
      this._record({ node, incarnation, address }, target, movable)
    })
  }

  private _stay (programs: LiveProgram[]): void {
    for (const program of programs) program.isMoving = false
  }

  /** From this record on the target is the home, whatever happens to the messages. */
  private _record (home: NodeRef, target: PeerInfo, programs: LiveProgram[]): void {
    const journal = this._journal.current
    const programIds = programs.map(program => program.state.programId)
    journal.append({ type: 'adopted', programIds, to: home }, outcome => {
      if (outcome.type === 'fenced') return
      this._peers.request(target, { type: 'handoverDone', journal: journal.stream, programIds }, DONE_TIMEOUT_MS, () => {
        this._logger.info('programsHandedOver', { to: home.node, programs: programIds.length })
        for (const programId of programIds) {
          this._routing.recordNewOwner(programId, home)
          this._programs.remove(programId)
        }
      })
    })
  }

  private _end (isComplete: boolean): void {
    this._isEnding = true
    this._rounds?.dispose()
    if (!isComplete) {
      this._logger.warn('drainTimedOut', { programs: this._programs.size })
      this._effects.emit({ type: 'exit' })
      return
    }
    const { node, incarnation, address } = this._identity
    const record = { type: 'nodeEnded', node: { node, incarnation, address }, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, END_RECORD_TIMEOUT_MS, () => {
      this._exitWhenQuiet()
    })
  }

  /** Requests that came in meanwhile get their answer from the new homes before the process ends. */
  private _exitWhenQuiet (): void {
    if (this._callers.openCount > 0) {
      this._timers.after(QUIET_CHECK_MS, () => this._exitWhenQuiet())
      return
    }
    this._logger.info('drainFinished')
    this._effects.emit({ type: 'exit' })
  }
}
