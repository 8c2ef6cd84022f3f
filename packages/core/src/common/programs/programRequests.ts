/** Takes requests about existing programs: steps, cancelling, closing, state. */
import { inject, injectable } from 'tsyringe'
import { ICallers, type CallerExchange } from '../kernel/callerPort.js'
import { type ProgramView, Reason, type StepRequest } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { NodeIdentity } from '../kernel/node.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IJournal } from '../journal/journal.js'
import { promptTokensOf } from './budget.js'
import { createLiveProgram, type LiveProgram } from './liveProgram.js'
import { IProgramClosing } from './programClosing.js'
import { historyDigestOf, nextStepOf, type ProgramState, type RecordedTurn } from './programState.js'
import { IProgramRouting, type ProgramLoss, toRefusal } from './programRouting.js'
import { IProgramTable } from './programTable.js'
import { verifyHistory } from './stepDecision.js'
import { IStepRunner } from './stepRunner.js'

const NOT_READY_RETRY_MS = 1_000

@injectable()
export class ProgramRequests {
  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IJournal) private readonly _journal: IJournal,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(IProgramRouting) private readonly _routing: IProgramRouting,
    @inject(IProgramClosing) private readonly _closing: IProgramClosing,
    @inject(IStepRunner) private readonly _steps: IStepRunner,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._programs.onDidRemove(program => {
      for (const exchange of program.waiting.values()) this._callers.dispatchAgain(exchange)
      program.waiting.clear()
    })
    this._callers.handle('step', exchange => this._handleStep(exchange))
    this._callers.handle('cancel', exchange => {
      this._withProgram(exchange, exchange.request, program => {
        this._steps.cancel(program, exchange.request.step)
        this._callers.reply(exchange.requestId, { type: 'cancelled', programId: program.state.programId, step: exchange.request.step })
      })
    })
    this._callers.handle('close', exchange => {
      this._withProgram(exchange, exchange.request, program => {
        this._closing.close(program, 'closed by the caller')
        this._callers.reply(exchange.requestId, { type: 'closed', programId: program.state.programId })
      })
    })
    this._callers.handle('program', exchange => {
      this._withProgram(exchange, exchange.request, program => {
        this._callers.reply(exchange.requestId, this._view(program, exchange.request.withHistory))
      })
    })
    this._callers.handle('programs', ({ requestId }) => {
      const nowMs = this._clock.nowMs()
      const programs = [...this._programs.all()].map(({ state, lastActiveMs }) => ({
        programId: state.programId,
        customer: state.customer,
        kind: state.kind,
        rank: state.rank,
        nextStep: nextStepOf(state),
        idleMs: nowMs - lastActiveMs
      }))
      this._callers.reply(requestId, { type: 'programList', node: this._identity.node, programs })
    })
  }

  private _handleStep (exchange: CallerExchange<StepRequest>): void {
    if (this._configuration.document === undefined) {
      this._callers.reply(exchange.requestId, toRefusal(exchange, Reason.NotReady, 'no configuration is known yet', NOT_READY_RETRY_MS))
      return
    }
    this._routing.route(exchange, exchange.request.programId,
      program => this._steps.handle(exchange, program),
      loss => this._handleLost(exchange, loss))
  }

  private _withProgram (exchange: CallerExchange, request: { programId: string, customer: string }, onProgram: (program: LiveProgram) => void): void {
    const refuse = () => this._callers.reply(exchange.requestId, { type: 'notRun', reason: Reason.NotFound, detail: 'no such program' })
    this._routing.route(exchange, request.programId, program => {
      if (program.state.customer === request.customer) onProgram(program)
      else refuse()
    }, refuse)
  }

  /** A program that the log does not know is rebuilt from the caller's copy, if the caller has one. */
  private _handleLost (exchange: CallerExchange<StepRequest>, loss: ProgramLoss): void {
    const { request } = exchange
    if (loss === 'expired') {
      this._callers.reply(exchange.requestId, { type: 'unknown', reason: Reason.Expired, detail: 'the program ended, or never was', programId: request.programId, step: request.step })
      return
    }
    const mayHaveRun = request.isResend && request.call.type === 'service' && !request.call.isRepeatable
    if (mayHaveRun) {
      this._callers.reply(exchange.requestId, { type: 'unknown', reason: Reason.AnswerLost, detail: 'the home of the program is gone with what it knew of the step', programId: request.programId, step: request.step })
      return
    }
    const program = this._rebuild(request)
    if (program === undefined) {
      this._callers.reply(exchange.requestId, { type: 'historyNeeded', programId: request.programId, knownStep: 0 })
      return
    }
    this._logger.warn('programRebuilt', { program: request.programId, turns: program.state.turns.length })
    this._programs.add(program)
    program.journal.append({ type: 'programSnapshot', program: { ...program.state, turns: [...program.state.turns] } }, () => {})
    this._steps.handle(exchange, program)
  }

  private _rebuild (request: StepRequest): LiveProgram | undefined {
    const kind = this._configuration.findKind(request.kind ?? '')
    const history = request.history ?? []
    if (kind === undefined || history.length !== request.step - 1) return undefined
    const nowMs = this._clock.nowMs()
    const state: ProgramState = {
      programId: request.programId,
      customer: request.customer,
      kind: kind.name,
      rank: kind.rank,
      openKey: '',
      root: request.programId,
      depth: 0,
      budget: kind.budget,
      openedAtMs: nowMs,
      dueAtMs: nowMs + kind.targetMs,
      turns: [],
      spent: { tokens: 0, steps: 0, toolCalls: 0 },
      reservedTokens: 0
    }
    if (request.historyDigest !== historyDigestOf(state) && history.length === 0) return undefined
    const turns = verifyHistory(state, history, request.historyDigest)
    if (turns === undefined) return undefined
    state.turns = turns
    state.spent = spendingOf(turns)
    if (request.isResend && request.call.type === 'model') state.spent.tokens += promptTokensOf(request.call) + request.call.maxTokens
    return { ...createLiveProgram(state, this._journal.current, nowMs), isInherited: true }
  }

  private _view (program: LiveProgram, withHistory: boolean): ProgramView {
    const { state } = program
    const root = this._programs.rootOf(program)
    const { node, incarnation, address } = this._identity
    return {
      type: 'programView',
      programId: state.programId,
      customer: state.customer,
      kind: state.kind,
      rank: state.rank,
      state: state.closedReason === undefined ? 'open' : 'closed',
      nextStep: nextStepOf(state),
      historyDigest: historyDigestOf(state),
      spent: { ...root.state.spent },
      budget: root.state.budget,
      home: { node, incarnation, address },
      history: withHistory ? state.turns.map(({ step, key, call, result }) => ({ step, key, call, result })) : undefined
    }
  }
}

function spendingOf (turns: RecordedTurn[]): ProgramState['spent'] {
  const spent = { tokens: 0, steps: turns.length, toolCalls: 0 }
  for (const { call, result } of turns) {
    if (call.type === 'service') spent.toolCalls++
    else spent.tokens += promptTokensOf(call) + (result.type === 'model' ? result.completionTokens : 0)
  }
  return spent
}
