/** Opens programs: chooses the owner, admits or refuses the program and records its initial state. */
import { inject, injectable } from 'tsyringe'
import { ICallers, type CallerExchange } from '../kernel/callerPort.js'
import { type OpenRequest, Reason } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { NodeIdentity } from '../kernel/node.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import type { WorkKind } from '../configuration/document.js'
import { IJournal } from '../journal/journal.js'
import { IMembership } from '../membership/membership.js'
import type { PlacementEstimate } from '../peers/peerMessages.js'
import { ICoordinatorTable } from '../placement/coordinatorTable.js'
import { IWorkerCoordinator } from '../placement/workerCoordinator.js'
import { IPlacement } from '../placement/placement.js'
import { appendWithin } from './durability.js'
import { createLiveProgram, type LiveProgram } from './liveProgram.js'
import { historyDigestOf, type ProgramState, toProgramId } from './programState.js'
import { ProgramRebuilder } from './programRebuilder.js'
import { IProgramRouting } from './programRouting.js'
import { IProgramTable } from './programTable.js'

const NOT_READY_RETRY_MS = 1_000
const NO_WORKER_RETRY_MS = 2_000
const CUSTOMER_LIMIT_RETRY_MS = 5_000
const MAX_OPEN_KEYS = 50_000

type OpenExchange = CallerExchange<OpenRequest>

/** Input for the creation of a program at its owner. */
interface ProgramCreation {
  exchange: OpenExchange
  kind: WorkKind
  parent?: LiveProgram
  /** Worker that admitted the program; undefined for a sub-agent and for a work kind without models. */
  worker?: string
}

@injectable()
export class ProgramOpening {
  private readonly _programIdByOpenKey = new Map<string, string>()
  private _lastSequence = 0

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IJournal) private readonly _journal: IJournal,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ICoordinatorTable) private readonly _coordinators: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _workerCoordinator: IWorkerCoordinator,
    @inject(IPlacement) private readonly _placement: IPlacement,
    @inject(IProgramRouting) private readonly _routing: IProgramRouting,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ProgramRebuilder) private readonly _rebuilder: ProgramRebuilder
  ) {}

  /** Registers the handler for open requests. */
  start (): void {
    this._callers.handle('open', exchange => this._open(exchange))
  }

  private _open (exchange: OpenExchange): void {
    const { request } = exchange
    if (this._configuration.document === undefined) {
      this._refuse(exchange, Reason.NotReady, 'no configuration is known yet', NOT_READY_RETRY_MS)
      return
    }
    const kind = this._configuration.findKind(request.kind)
    if (kind === undefined || this._configuration.findCustomer(request.customer) === undefined) {
      this._refuse(exchange, Reason.UnknownKind, `no work kind "${request.kind}" for customer "${request.customer}"`)
      return
    }
    if (this._answerIfAlreadyOpened(exchange)) return
    if (request.parent !== undefined) this._openChild(exchange, kind, request.parent)
    else if (request.placedWorker !== undefined) this._openHere(exchange, kind, request.placedWorker)
    else this._place(exchange, kind)
  }

  /** Replies with the existing program when the same open request was handled here before; otherwise returns false. */
  private _answerIfAlreadyOpened (exchange: OpenExchange): boolean {
    const openedProgramId = this._programIdByOpenKey.get(openKeyOf(exchange.request))
    const program = openedProgramId === undefined ? undefined : this._programs.get(openedProgramId)
    if (program === undefined) return false
    this._answer(exchange, program, true)
    return true
  }

  private _openChild (exchange: OpenExchange, kind: WorkKind, parentId: string): void {
    const onParent = (parent: LiveProgram) => {
      const root = this._programs.rootOf(parent)
      const isOtherCustomer = parent.state.customer !== exchange.request.customer
      if (isOtherCustomer) this._refuse(exchange, Reason.NotFound, 'no such parent program')
      else if (parent.state.closedReason !== undefined) this._refuse(exchange, Reason.Closed, 'the parent program is closed')
      else if (parent.isInHandover) this._refuse(exchange, Reason.OwnerMoved, 'the parent program is moving to a new owner', NOT_READY_RETRY_MS)
      else if (parent.state.depth + 1 > root.state.budget.depth) this._refuse(exchange, Reason.BudgetExceeded, `the budget allows ${root.state.budget.depth} levels of sub-agents`)
      else this._create({ exchange, kind, parent })
    }
    this._routing.route(exchange, parentId, onParent, cause => {
      const parent = cause === 'noTrace' ? this._rebuildParent(exchange, parentId) : undefined
      if (parent !== undefined) onParent(parent)
      else if (cause === 'noTrace' && exchange.request.parentCopy === undefined) this._callers.reply(exchange.requestId, { type: 'historyNeeded', programId: parentId, knownStep: 0 })
      else this._refuse(exchange, Reason.NotFound, 'no such parent program')
    })
  }

  private _rebuildParent ({ request }: OpenExchange, parentId: string): LiveProgram | undefined {
    const copy = request.parentCopy
    if (copy === undefined) return undefined
    return this._rebuilder.rebuild({ programId: parentId, customer: request.customer, ...copy, steps: copy.history.length, possiblyUsedTokens: 0 })
  }

  /** Chooses a worker by the placement estimates; a work kind without models needs none and is opened here. */
  private _place (exchange: OpenExchange, kind: WorkKind): void {
    const model = kind.models.at(0)
    if (model === undefined) {
      if (this._membership.isDraining) this._refuseDraining(exchange)
      else this._create({ exchange, kind })
      return
    }
    const query = { model, customer: exchange.request.customer, kind: kind.name, rank: kind.rank, excluded: new Set<string>() }
    this._placement.collectEstimates(query, estimates => this._openAtFirstEstimate(exchange, kind, estimates))
  }

  /** Opens the program at the coordinator of the first estimate's worker; goes on to the next estimate when it cannot be reached. */
  private _openAtFirstEstimate (exchange: OpenExchange, kind: WorkKind, estimates: PlacementEstimate[]): void {
    const best = estimates.at(0)
    if (best === undefined) {
      this._refuse(exchange, Reason.NoBackend, 'no worker of the model is available', NO_WORKER_RETRY_MS)
      return
    }
    if (!best.isAdmitted) {
      this._refuse(exchange, Reason.Overloaded, 'no worker can admit another program', best.retryAfterMs)
      return
    }
    const coordinator = this._coordinators.coordinatorOf(best.worker)
    if (coordinator === undefined || coordinator.node === this._identity.node) {
      this._openHere(exchange, kind, best.worker)
      return
    }
    const placedExchange = { ...exchange, request: { ...exchange.request, placedWorker: best.worker } }
    this._callers.forward(placedExchange, { node: coordinator.node, incarnation: coordinator.incarnation ?? '', address: coordinator.address }, ({ wasSent }) => {
      this._membership.probeNow(coordinator.node)
      if (wasSent) this._callers.reply(exchange.requestId, { type: 'unknown', reason: Reason.OwnerUnreachable, detail: `the connection to ${coordinator.node} broke`, programId: '', step: 0, retryAfterMs: NOT_READY_RETRY_MS })
      else this._openAtFirstEstimate(exchange, kind, estimates.slice(1))
    })
  }

  private _openHere (exchange: OpenExchange, kind: WorkKind, worker: string): void {
    if (this._membership.isDraining) {
      this._refuseDraining(exchange)
      return
    }
    const customer = this._configuration.findCustomer(exchange.request.customer)
    if (customer !== undefined && this._programs.countOpen(customer.name) >= customer.maxOpenPrograms) {
      this._refuse(exchange, Reason.Overloaded, 'the customer has too many open programs', CUSTOMER_LIMIT_RETRY_MS)
      return
    }
    const programId = this._nextProgramId()
    if (!this._workerCoordinator.tryAdmit(worker, programId, kind.rank, kind.name)) {
      this._refuse(exchange, Reason.Overloaded, 'the worker cannot admit another program', this._workerCoordinator.estimatePlacement(worker, kind.rank, kind.name).retryAfterMs)
      return
    }
    this._create({ exchange, kind, worker }, programId)
  }

  private _create ({ exchange, kind, parent, worker }: ProgramCreation, programId = this._nextProgramId()): void {
    const nowMs = this._clock.nowMs()
    const { request } = exchange
    const state: ProgramState = {
      programId,
      customer: request.customer,
      kind: kind.name,
      rank: parent?.state.rank ?? kind.rank,
      openKey: request.key,
      parent: parent?.state.programId,
      root: parent?.state.root ?? programId,
      depth: (parent?.state.depth ?? -1) + 1,
      budget: parent?.state.budget ?? kind.budget,
      openedAtMs: nowMs,
      dueAtMs: parent?.state.dueAtMs ?? nowMs + (request.targetMs ?? kind.targetMs),
      turns: [],
      spent: { tokens: 0, steps: 0, toolCalls: 0 },
      reservedTokens: 0,
      workers: worker === undefined || kind.models.length === 0 ? [] : [{ model: kind.models[0], worker }]
    }
    const program = createLiveProgram(state, this._journal.current, nowMs)
    this._programs.add(program)
    this._recordOpenKey(request, programId)
    appendWithin({
      journal: program.journal,
      timers: this._timers,
      record: { type: 'programSnapshot', program: copyOfNewState(state) },
      waitMs: this._settings.turnDurabilityWaitMs,
      onSettled: durability => {
        if (durability === 'fenced') this._refuse(exchange, Reason.OwnerMoved, 'the journal of this node was fenced', NOT_READY_RETRY_MS)
        else this._answer(exchange, program, durability === 'durable')
      }
    })
  }

  private _answer (exchange: OpenExchange, program: LiveProgram, durable: boolean): void {
    const { node, incarnation, address } = this._identity
    this._callers.reply(exchange.requestId, {
      type: 'opened',
      programId: program.state.programId,
      home: { node, incarnation, address },
      historyDigest: historyDigestOf(program.state),
      durable
    })
  }

  private _refuseDraining (exchange: OpenExchange): void {
    this._refuse(exchange, Reason.Draining, 'the node is stopping; use another address', 0)
  }

  private _refuse (exchange: OpenExchange, reason: Reason, detail: string, retryAfterMs?: number): void {
    this._callers.reply(exchange.requestId, { type: 'notRun', reason, detail, retryAfterMs })
  }

  private _nextProgramId (): string {
    this._lastSequence++
    return toProgramId({ node: this._identity.node, incarnation: this._identity.incarnation, sequence: this._lastSequence.toString(36) })
  }

  private _recordOpenKey (request: OpenRequest, programId: string): void {
    this._programIdByOpenKey.set(openKeyOf(request), programId)
    if (this._programIdByOpenKey.size > MAX_OPEN_KEYS) this._programIdByOpenKey.delete(this._programIdByOpenKey.keys().next().value as string)
  }
}

function openKeyOf (request: OpenRequest): string {
  return `${request.customer} ${request.key}`
}

/** A copy of a program's initial state for the journal record, because the live state changes later. */
function copyOfNewState (state: ProgramState): ProgramState {
  return { ...state, turns: [], spent: { ...state.spent } }
}
