/** Handles requests about existing programs: steps, cancelling, closing and state. */
import { inject, injectable } from 'tsyringe'
import { ICallers, type CallerExchange } from '../kernel/callerPort.js'
import { type ProgramView, Reason, type StepRequest } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { NodeIdentity } from '../kernel/node.js'
import { IConfiguration } from '../configuration/configuration.js'
import type { LiveProgram } from './liveProgram.js'
import { IProgramClosing } from './programClosing.js'
import { ProgramRebuilder, reservedTokensOf } from './programRebuilder.js'
import { historyDigestOf, nextStepOf } from './programState.js'
import { IProgramRouting, type NotFoundCause, toRefusal } from './programRouting.js'
import { IProgramTable } from './programTable.js'
import { IStepRunner } from './stepRunner.js'

const NOT_READY_RETRY_MS = 1_000

@injectable()
export class ProgramRequests {
  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(IProgramRouting) private readonly _routing: IProgramRouting,
    @inject(IProgramClosing) private readonly _closing: IProgramClosing,
    @inject(IStepRunner) private readonly _steps: IStepRunner,
    @inject(ProgramRebuilder) private readonly _rebuilder: ProgramRebuilder
  ) {}

  /** Registers the request handlers. */
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
      cause => this._handleNotFound(exchange, cause))
  }

  /** Runs `onProgram` at the program's owner; refuses when the program is not found or belongs to another customer. */
  private _withProgram (exchange: CallerExchange, request: { programId: string, customer: string }, onProgram: (program: LiveProgram) => void): void {
    const refuse = () => this._callers.reply(exchange.requestId, { type: 'notRun', reason: Reason.NotFound, detail: 'no such program' })
    this._routing.route(exchange, request.programId, program => {
      if (program.state.customer === request.customer) onProgram(program)
      else refuse()
    }, refuse)
  }

  /** Rebuilds a program without a record in the log from the caller's copy and handles the step; requests the copy if it is missing. */
  private _handleNotFound (exchange: CallerExchange<StepRequest>, cause: NotFoundCause): void {
    const { request } = exchange
    if (cause === 'expired') {
      this._callers.reply(exchange.requestId, { type: 'unknown', reason: Reason.Expired, detail: 'the program ended or never existed', programId: request.programId, step: request.step })
      return
    }
    const mayHaveRun = request.isResend && request.call.type === 'service' && !request.call.isRepeatable
    if (mayHaveRun) {
      this._callers.reply(exchange.requestId, { type: 'unknown', reason: Reason.AnswerLost, detail: 'the owner of the program is unavailable and its record of the step is lost', programId: request.programId, step: request.step })
      return
    }
    const program = this._rebuilder.rebuild({
      programId: request.programId,
      customer: request.customer,
      kind: request.kind,
      history: request.history ?? [],
      steps: request.step - 1,
      historyDigest: request.historyDigest,
      possiblyUsedTokens: request.isResend ? reservedTokensOf(request.call) : 0
    })
    if (program === undefined) {
      this._callers.reply(exchange.requestId, { type: 'historyNeeded', programId: request.programId, knownStep: 0 })
      return
    }
    this._steps.handle(exchange, program)
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
