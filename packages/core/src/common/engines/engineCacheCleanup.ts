/** Releases the key-value cache that engines still hold for closed or unknown programs. */
import { inject, injectable } from 'tsyringe'
import { IBackends } from '../kernel/backendPort.js'
import { ILogger } from '../kernel/effectQueue.js'
import type { EngineStatus } from '../kernel/events.js'
import { NodeIdentity } from '../kernel/node.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { journalOf } from '../journal/journalRecords.js'
import { IMembership, type PeerInfo } from '../membership/membership.js'
import type { WorkerInfo } from '../membership/workerDirectory.js'
import { IPeers } from '../peers/peers.js'
import { ICoordinatorTable } from '../placement/coordinatorTable.js'
import { IWorkerCoordinator } from '../placement/workerCoordinator.js'
import type { LiveProgram } from '../programs/liveProgram.js'
import { parseProgramId } from '../programs/programState.js'
import { IProgramTable } from '../programs/programTable.js'
import { ITakeover } from '../programs/takeover.js'

const CALL_TIMEOUT_MS = 2_000
const QUERY_TIMEOUT_MS = 1_000
/** A session is queried only after this many reports, because its program may just have been opened. */
const REPORTS_BEFORE_QUERY = 5
const SESSIONS_PER_QUERY = 200

/**
 * Releases the cache of a program when it closes. The coordinator of a worker also compares the sessions that the engine
 * reports with the open programs, because a release may be lost and an owner may crash.
 */
@injectable()
export class EngineCacheCleanup {
  /** Number of reports that held a session while this node had no open program for it, by session. */
  private readonly _unownedReportCounts = new Map<string, number>()
  /** Sequence number of the next cache event to read, by worker. */
  private readonly _nextSequences = new Map<string, number>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IBackends) private readonly _backends: IBackends,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(ICoordinatorTable) private readonly _coordinators: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _workerCoordinator: IWorkerCoordinator,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ITakeover) private readonly _takeover: ITakeover,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._programs.onDidClose(program => this._releaseAll(program))
    this._peers.handle('heldQuery', (body, _from, respond) => {
      respond({ type: 'heldAnswer', gone: body.programIds.filter(programId => this._isClosedOrUnknown(programId)) })
    })
    this._timers.every(this._settings.enginePollMs, () => this._pollWorkers())
  }

  private _releaseAll (program: LiveProgram): void {
    for (const { worker } of program.state.workers) {
      this._release(worker, program.state.programId)
      this._reportProgramLeft(worker, program.state.programId)
    }
  }

  private _reportProgramLeft (worker: string, programId: string): void {
    const coordinator = this._coordinators.coordinatorOf(worker)
    if (coordinator === undefined) return
    if (coordinator.node === this._identity.node) this._workerCoordinator.removeProgram(worker, programId)
    else this._peers.send(coordinator, { type: 'residentNotice', worker, programId })
  }

  private _release (worker: string, session: string): void {
    const target = this._membership.findWorker(worker)
    if (target !== undefined) this._backends.call(target, { type: 'release', session }, CALL_TIMEOUT_MS, () => {})
  }

  private _pollWorkers (): void {
    const engines = (this._configuration.document?.backends ?? []).filter(backend => backend.type === 'modelEngine')
    for (const backend of new Set(engines.map(engine => engine.pool ?? engine.name))) {
      for (const worker of this._membership.workers(backend)) {
        if (this._coordinators.isCoordinator(worker.worker)) this._pollWorker(worker)
      }
    }
  }

  private _pollWorker (worker: WorkerInfo): void {
    this._readCacheEvents(worker)
    this._backends.call(worker, { type: 'status' }, CALL_TIMEOUT_MS, event => {
      if (event.type === 'status') this._checkHeldSessions(worker, event.status)
      else if (event.type === 'failed' && event.isLeaving) this._membership.markLeaving(worker.worker)
    })
  }

  /** Applies only evictions. Events arrive late, so a `stored` event does not prove that the engine still holds the cache. */
  private _readCacheEvents (worker: WorkerInfo): void {
    const fromSequence = this._nextSequences.get(worker.worker) ?? 0
    this._backends.call(worker, { type: 'cacheEvents', fromSequence }, CALL_TIMEOUT_MS, event => {
      if (event.type !== 'cacheEvents') return
      for (const change of event.events) {
        this._nextSequences.set(worker.worker, change.sequence + 1)
        if (change.kind === 'evicted') this._removeEvictedWorker(worker.worker, change.session)
      }
    })
  }

  /** Removes the worker from an idle program whose cache it evicted. The next step may then run on any worker. */
  private _removeEvictedWorker (worker: string, session: string): void {
    const program = this._programs.get(session)
    if (program === undefined || program.running !== undefined) return
    program.state.workers = program.state.workers.filter(entry => entry.worker !== worker)
  }

  /** Releases the sessions of a load report that no open program owns, after a query of the owner where there is one. */
  private _checkHeldSessions (worker: WorkerInfo, status: EngineStatus): void {
    const unownedSessions = status.heldSessions.map(held => held.session).filter(session => this._isQueryDue(session))
    const sessionsByNode = new Map<string, string[]>()
    for (const session of unownedSessions.slice(0, SESSIONS_PER_QUERY)) {
      const node = this._findNodeToQuery(session)
      if (node === undefined) this._release(worker.worker, session)
      else sessionsByNode.set(node.node, [...(sessionsByNode.get(node.node) ?? []), session])
    }
    for (const [node, sessions] of sessionsByNode) this._querySessions(worker, node, sessions)
  }

  /** Counts a report of a session without an open program on this node. True when it was reported often enough for a query. */
  private _isQueryDue (session: string): boolean {
    const program = this._programs.get(session)
    if (program !== undefined && program.closedAtMs === undefined) {
      this._unownedReportCounts.delete(session)
      return false
    }
    const count = (this._unownedReportCounts.get(session) ?? 0) + 1
    this._unownedReportCounts.set(session, count)
    if (count < REPORTS_BEFORE_QUERY) return false
    this._unownedReportCounts.delete(session)
    return true
  }

  /**
   * The node that should know the program: the owner that its id names, or the new owner of that node's journal. Undefined
   * when the session is no program id or no such node is known.
   */
  private _findNodeToQuery (session: string): PeerInfo | undefined {
    const origin = parseProgramId(session)
    if (origin === undefined) return undefined
    const owner = { node: origin.node, incarnation: origin.incarnation, address: '' }
    if (this._membership.isAlive(owner)) return this._membership.findNode(origin.node)
    return this._membership.findNode(this._takeover.resolveNewOwner(journalOf(origin)) ?? '')
  }

  private _querySessions (worker: WorkerInfo, nodeName: string, sessions: string[]): void {
    const node = this._membership.findNode(nodeName)
    if (node === undefined) return
    if (node.node === this._identity.node) {
      this._releaseSessions(worker, sessions.filter(session => this._isClosedOrUnknown(session)))
      return
    }
    this._peers.request(node, { type: 'heldQuery', programIds: sessions }, QUERY_TIMEOUT_MS, answer => {
      if (answer.type === 'answered' && answer.body.type === 'heldAnswer') this._releaseSessions(worker, answer.body.gone)
    })
  }

  private _releaseSessions (worker: WorkerInfo, sessions: string[]): void {
    for (const session of sessions) {
      this._logger.info('cacheReleased', { worker: worker.worker, program: session })
      this._release(worker.worker, session)
    }
  }

  /** A wrong answer costs no more than computing a cached history again. */
  private _isClosedOrUnknown (programId: string): boolean {
    const program = this._programs.get(programId)
    return program === undefined || program.closedAtMs !== undefined
  }
}
