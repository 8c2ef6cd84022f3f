/** Releases key-value cache that engines hold for programs that are gone. */
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
/** A session is asked about only when it was seen in so many reports, so that programs just opened are left alone. */
const REPORTS_BEFORE_QUERY = 5
const SESSIONS_PER_QUERY = 200

/** The lead's sweep of what its engines hold, and the release at the end of programs. */
@injectable()
export class EngineMemory {
  /** Reports in which a session was seen while no open program here owned it. */
  private readonly _seen = new Map<string, number>()
  /** Sequence of the next cache event to read, by worker. */
  private readonly _nextSequences = new Map<string, number>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IBackends) private readonly _backends: IBackends,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(ICoordinatorTable) private readonly _leadTable: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _leads: IWorkerCoordinator,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ITakeover) private readonly _takeover: ITakeover,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._programs.onDidClose(program => this._releaseAll(program))
    this._peers.handle('heldQuery', (body, _from, respond) => {
      respond({ type: 'heldAnswer', gone: body.programIds.filter(programId => this._isGone(programId)) })
    })
    this._timers.every(this._settings.enginePollMs, () => this._poll())
  }

  private _releaseAll (program: LiveProgram): void {
    for (const { worker } of program.state.workers) {
      this._release(worker, program.state.programId)
      this._noteLeft(worker, program.state.programId)
    }
  }

  private _noteLeft (worker: string, programId: string): void {
    const lead = this._leadTable.coordinatorOf(worker)
    if (lead === undefined) return
    if (lead.node === this._identity.node) this._leads.removeProgram(worker, programId)
    else this._peers.send(lead, { type: 'residentNotice', worker, programId })
  }

  private _release (worker: string, session: string): void {
    const target = this._membership.findWorker(worker)
    if (target !== undefined) this._backends.call(target, { type: 'release', session }, CALL_TIMEOUT_MS, () => {})
  }

  private _poll (): void {
    const engines = (this._configuration.document?.backends ?? []).filter(backend => backend.type === 'modelEngine')
    for (const backend of new Set(engines.map(engine => engine.pool ?? engine.name))) {
      for (const worker of this._membership.workers(backend)) {
        if (this._leadTable.isCoordinator(worker.worker)) this._pollWorker(worker)
      }
    }
  }

  private _pollWorker (worker: WorkerInfo): void {
    this._readCacheEvents(worker)
    this._backends.call(worker, { type: 'status' }, CALL_TIMEOUT_MS, event => {
      if (event.type === 'status') this._sweep(worker, event.status)
      else if (event.type === 'failed' && event.isLeaving) this._membership.markLeaving(worker.worker)
    })
  }

  /** Events only take cached histories off the map: late as they are, they prove no presence. */
  private _readCacheEvents (worker: WorkerInfo): void {
    const fromSequence = this._nextSequences.get(worker.worker) ?? 0
    this._backends.call(worker, { type: 'cacheEvents', fromSequence }, CALL_TIMEOUT_MS, event => {
      if (event.type !== 'cacheEvents') return
      for (const change of event.events) {
        this._nextSequences.set(worker.worker, change.sequence + 1)
        if (change.kind === 'evicted') this._noteEvicted(worker.worker, change.session)
      }
    })
  }

  /** A program whose history was evicted may go to any worker at its next step. */
  private _noteEvicted (worker: string, session: string): void {
    const program = this._programs.get(session)
    if (program === undefined || program.running !== undefined) return
    program.state.workers = program.state.workers.filter(entry => entry.worker !== worker)
  }

  private _sweep (worker: WorkerInfo, status: EngineStatus): void {
    const doubtful = status.heldSessions.map(held => held.session).filter(session => this._isDoubtful(session))
    const byNode = new Map<string, string[]>()
    for (const session of doubtful.slice(0, SESSIONS_PER_QUERY)) {
      const node = this._nodeToAsk(session)
      if (node === undefined) this._release(worker.worker, session)
      else byNode.set(node.node, [...(byNode.get(node.node) ?? []), session])
    }
    for (const [node, sessions] of byNode) this._ask(worker, node, sessions)
  }

  /** Sessions that no open program of this node owns, once they were reported often enough. */
  private _isDoubtful (session: string): boolean {
    const program = this._programs.get(session)
    if (program !== undefined && program.closedAtMs === undefined) {
      this._seen.delete(session)
      return false
    }
    const count = (this._seen.get(session) ?? 0) + 1
    this._seen.set(session, count)
    if (count < REPORTS_BEFORE_QUERY) return false
    this._seen.delete(session)
    return true
  }

  /** The node that should know the program: its home by id, or the adopter of that home's journal. */
  private _nodeToAsk (session: string): PeerInfo | undefined {
    const origin = parseProgramId(session)
    if (origin === undefined) return undefined
    const home = { node: origin.node, incarnation: origin.incarnation, address: '' }
    if (this._membership.isAlive(home)) return this._membership.findNode(origin.node)
    return this._membership.findNode(this._takeover.resolveNewOwner(journalOf(origin)) ?? '')
  }

  private _ask (worker: WorkerInfo, nodeName: string, sessions: string[]): void {
    const node = this._membership.findNode(nodeName)
    if (node === undefined) return
    if (node.node === this._identity.node) {
      this._releaseGone(worker, sessions.filter(session => this._isGone(session)))
      return
    }
    this._peers.request(node, { type: 'heldQuery', programIds: sessions }, QUERY_TIMEOUT_MS, answer => {
      if (answer.type === 'answered' && answer.body.type === 'heldAnswer') this._releaseGone(worker, answer.body.gone)
    })
  }

  private _releaseGone (worker: WorkerInfo, sessions: string[]): void {
    for (const session of sessions) {
      this._logger.info('cacheReleased', { worker: worker.worker, program: session })
      this._release(worker.worker, session)
    }
  }

  /** The worst of a wrong answer is that a cached history is computed again. */
  private _isGone (programId: string): boolean {
    const program = this._programs.get(programId)
    return program === undefined || program.closedAtMs !== undefined
  }
}
