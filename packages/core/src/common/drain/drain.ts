/**
 * Planned stop: accepts no new programs, hands every program over to another owner by a journal record, finishes every open
 * request, then exits.
 */
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

const ROUND_PERIOD_MS = 200
const HANDOVER_OFFER_TIMEOUT_MS = 5_000
const HANDOVER_DONE_TIMEOUT_MS = 1_000
const TREES_PER_ROUND = 100
const OPEN_REQUESTS_CHECK_MS = 50
const END_RECORD_TIMEOUT_MS = 5_000
/** Shortest time between the start of a drain and the exit: peers and callers learn meanwhile that the node is leaving. */
const MIN_DRAIN_MS = 2_500

/** Moves all work away from this node before it stops. */
export interface IDrain {
  /** Starts the planned stop; a second call has no effect. */
  begin (): void
}
export const IDrain = Symbol('IDrain')

/** The programs of one tree. They share a budget, therefore they move together. */
interface ProgramTree {
  root: string
  members: LiveProgram[]
}

@injectable()
export class Drain implements IDrain {
  private _startedAtMs: number | undefined
  private _roundTimer: IDisposable | undefined
  private _isFinishing = false

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IEffects) private readonly _effects: IEffects,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ICoordinatorTable) private readonly _coordinators: ICoordinatorTable,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IJournal) private readonly _journal: IJournal,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(IProgramRouting) private readonly _routing: IProgramRouting,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._membership.onDidReceiveLeaveNotice(() => this.begin())
  }

  begin (): void {
    if (this._startedAtMs !== undefined) return
    this._startedAtMs = this._clock.nowMs()
    this._logger.info('drainStarted', { programs: this._programs.size })
    this._membership.setDraining()
    this._roundTimer = this._timers.every(ROUND_PERIOD_MS, () => this._round())
    this._round()
  }

  private _round (): void {
    if (this._isFinishing) return
    const elapsedMs = this._clock.nowMs() - (this._startedAtMs ?? 0)
    const trees = this._movableTrees()
    for (const [target, group] of this._groupByTarget(trees.slice(0, TREES_PER_ROUND))) this._handOver(target, group)
    const openPrograms = [...this._programs.all()].filter(program => program.closedAtMs === undefined).length
    const isEmpty = openPrograms === 0 && this._callers.openCount === 0 && this._journal.backlog === 0
    if (isEmpty && elapsedMs >= MIN_DRAIN_MS) this._finish(true)
    else if (elapsedMs > this._settings.drainTimeoutMs) this._finish(false)
  }

  /** Trees with at least one open program, in which no step runs and no program is being handed over. */
  private _movableTrees (): ProgramTree[] {
    const roots = new Set([...this._programs.all()].map(program => program.state.root))
    return [...roots]
      .map(root => ({ root, members: this._programs.treeOf(root) }))
      .filter(({ members }) => members.some(member => member.closedAtMs === undefined))
      .filter(({ members }) => members.every(member => member.running === undefined && !member.isInHandover))
  }

  private _groupByTarget (trees: ProgramTree[]): Map<PeerInfo, LiveProgram[]> {
    const groups = new Map<PeerInfo, LiveProgram[]>()
    for (const tree of trees) {
      const target = this._resolveTarget(tree)
      if (target !== undefined) groups.set(target, [...(groups.get(target) ?? []), ...tree.members])
    }
    return groups
  }

  /**
   * The coordinator of the first worker that caches a program of the tree; if that is this node or none, another live node
   * by rendezvous hashing. Undefined when there is no other live node.
   */
  private _resolveTarget (tree: ProgramTree): PeerInfo | undefined {
    const worker = tree.members.flatMap(member => member.state.workers.map(entry => entry.worker)).at(0)
    const coordinator = worker === undefined ? undefined : this._coordinators.coordinatorOf(worker)
    if (coordinator !== undefined && coordinator.node !== this._identity.node) return coordinator
    const others = this._membership.liveNodes().filter(peer => peer.node !== this._identity.node)
    return resolveOwner(tree.root, others, peer => peer.node)
  }

  private _handOver (target: PeerInfo, programs: LiveProgram[]): void {
    const journal = this._journal.current
    const movable = programs.filter(program => program.journal === journal)
    if (movable.length === 0) return
    for (const program of movable) program.isInHandover = true
    const offer = { type: 'handoverOffer', journal: journal.stream, programs: movable.map(program => cloneProgram(program.state)) } as const
    this._peers.request(target, offer, HANDOVER_OFFER_TIMEOUT_MS, answer => {
      const isAccepted = answer.type === 'answered' && answer.body.type === 'handoverAnswer' && answer.body.acceptedProgramIds.length === movable.length
      if (!isAccepted) {
        this._cancelHandover(movable)
        return
      }
      const { node, incarnation, address } = answer.from
      this._recordTransfer({ node, incarnation, address }, target, movable)
    })
  }

  private _cancelHandover (programs: LiveProgram[]): void {
    for (const program of programs) program.isInHandover = false
  }

  /** Once this record is in the journal, `owner` owns the programs, even if the following messages are lost. */
  private _recordTransfer (owner: NodeRef, target: PeerInfo, programs: LiveProgram[]): void {
    const journal = this._journal.current
    const programIds = programs.map(program => program.state.programId)
    journal.append({ type: 'adopted', programIds, to: owner }, outcome => {
      if (outcome.type === 'fenced') return
      this._peers.request(target, { type: 'handoverDone', journal: journal.stream, programIds }, HANDOVER_DONE_TIMEOUT_MS, () => {
        this._logger.info('programsHandedOver', { to: owner.node, programs: programIds.length })
        for (const programId of programIds) {
          this._routing.recordNewOwner(programId, owner)
          this._programs.remove(programId)
        }
      })
    })
  }

  private _finish (isComplete: boolean): void {
    this._isFinishing = true
    this._roundTimer?.dispose()
    if (!isComplete) {
      this._logger.warn('drainTimedOut', { programs: this._programs.size })
      this._effects.emit({ type: 'exit' })
      return
    }
    const { node, incarnation, address } = this._identity
    const record = { type: 'nodeEnded', node: { node, incarnation, address }, atMs: this._clock.nowMs() } as const
    this._configuration.publish(record, END_RECORD_TIMEOUT_MS, () => {
      this._exitWhenAnswered()
    })
  }

  /** Waits until the requests that arrived meanwhile are answered by the new owners, then ends the process. */
  private _exitWhenAnswered (): void {
    if (this._callers.openCount > 0) {
      this._timers.after(OPEN_REQUESTS_CHECK_MS, () => this._exitWhenAnswered())
      return
    }
    this._logger.info('drainFinished')
    this._effects.emit({ type: 'exit' })
  }
}
