/** Takes step requests at the program's home: decides what each means, starts steps in order, joins and replays. */
import { inject, injectable } from 'tsyringe'
import { ICallers, type CallerExchange } from '../kernel/callerPort.js'
import { type CallerReply, Reason, type StepRequest, type StepResult, type Unknown } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { digestValue } from '../base/digest.js'
import { IConfiguration } from '../configuration/configuration.js'
import { cloneProgram } from '../journal/journalFold.js'
import { promptTokensOf, reserveBudget, type Reservation, recordSpending } from './budget.js'
import { IntentResolver } from './intentResolver.js'
import { appendWithin } from './durability.js'
import type { LiveProgram, RunningStep } from './liveProgram.js'
import { ModelSteps } from './modelSteps.js'
import { IProgramClosing } from './programClosing.js'
import { addTurn, nextStepOf, type OpenIntent, type RecordedTurn } from './programState.js'
import { toRefusal } from './programRouting.js'
import { IProgramTable } from './programTable.js'
import { ServiceSteps } from './serviceSteps.js'
import { idempotencyKeyOf, type StartedStep } from './startedStep.js'
import { decideStep, digestWithUnknown } from './stepDecision.js'
import { StepEnding } from './stepEnding.js'

const MISMATCH_RETRY_MS = 500

type StepExchange = CallerExchange<StepRequest>

/** Runs steps of programs that are at home here. */
export interface IStepRunner {
  handle (exchange: StepExchange, program: LiveProgram): void
  /** Stops a running model call. */
  cancel (program: LiveProgram, step: number): boolean
}
export const IStepRunner = Symbol('IStepRunner')

@injectable()
export class StepRunner implements IStepRunner {
  constructor (
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(IProgramClosing) private readonly _closing: IProgramClosing,
    @inject(ModelSteps) private readonly _modelSteps: ModelSteps,
    @inject(ServiceSteps) private readonly _serviceSteps: ServiceSteps,
    @inject(StepEnding) private readonly _ending: StepEnding,
    @inject(IntentResolver) private readonly _claims: IntentResolver,
    @inject(ILogger) private readonly _logger: ILogger
  ) {
    _ending.onDidEnd(program => this._startWaiting(program))
  }

  handle (exchange: StepExchange, program: LiveProgram): void {
    const { request } = exchange
    if (request.customer !== program.state.customer) {
      this._callers.reply(exchange.requestId, { type: 'notRun', reason: Reason.NotFound, detail: 'no such program' })
      return
    }
    program.lastActiveMs = this._clock.nowMs()
    const callDigest = digestValue(request.call)
    const decision = decideStep(program, request, callDigest, this._settings.maxStepsWaiting)
    switch (decision.type) {
      case 'start': return this._start(exchange, program, callDigest)
      case 'replay': return this._replay(exchange, program, decision.turn)
      case 'join': return this._join(exchange, program)
      case 'wait': return this._wait(exchange, program)
      case 'resolveClaim': return this._resolveClaim(exchange, program, decision.claim)
      case 'recordUnknown': return this._recordUnknown(exchange, program, decision.claim)
      case 'resupply': return this._resupply(exchange, program, decision.missing)
      case 'historyNeeded': return this._askHistory(exchange, decision.knownStep)
      case 'refuse':
        if (decision.reason === Reason.HistoryMismatch) return this._refuseMismatch(exchange, program, decision.detail)
        return this._ending.refuse(exchange, program, decision.reason, decision.detail)
    }
  }

  cancel (program: LiveProgram, step: number): boolean {
    const { running } = program
    if (running?.step !== step || running.cancel === undefined) return false
    running.cancel('cancelled')
    return true
  }

  /** A caller that asked for a stream gets the whole text again, whatever it had received before. */
  private _replay ({ requestId, request }: StepExchange, program: LiveProgram, turn: RecordedTurn): void {
    const { result } = turn
    if (request.isStreamed && result.type === 'model') {
      this._callers.reply(requestId, { type: 'chunk', text: result.text, tokens: result.completionTokens })
    }
    this._callers.reply(requestId, this._ending.toAnswer(program, turn, true))
  }

  /**
   * A history that differs may mean that this node has lost the program to another one without knowing it yet: only a
   * look at its own journal can tell, and while the log does not answer nobody can.
   */
  private _refuseMismatch (exchange: StepExchange, program: LiveProgram, detail: string): void {
    program.journal.checkFence(isComplete => {
      if (program.journal.isFenced) this._callers.dispatchAgain(exchange)
      else if (isComplete) this._ending.refuse(exchange, program, Reason.HistoryMismatch, detail)
      else this._callers.reply(exchange.requestId, toRefusal(exchange, Reason.LogUnavailable, 'the home cannot tell whether it still holds the program', MISMATCH_RETRY_MS))
    })
  }

  // Starting and waiting

  private _start (exchange: StepExchange, program: LiveProgram, callDigest: string): void {
    const { request } = exchange
    const nowMs = this._clock.nowMs()
    const root = this._programs.rootOf(program)
    const openClaims = this._programs.treeOf(root.state.programId).filter(member => member.state.openClaim !== undefined && member.running === undefined).length
    const reserved = reserveBudget(root, request.call, nowMs, openClaims)
    if (reserved.isLeft()) {
      const problem = reserved.extract() as { field: string, limit: number }
      this._ending.refuse(exchange, program, Reason.BudgetExceeded, `the budget allows ${problem.limit} ${problem.field}`)
      if (problem.field === 'wallTimeMs') this._closing.close(root, 'wall time is used up')
      return
    }
    const running: RunningStep = { step: request.step, key: request.key, callDigest, startedAtMs: nowMs, listeners: new Map(), text: '', tokens: 0 }
    program.running = running
    this._listen(exchange, program, running)
    const wallLeftMs = root.state.openedAtMs + root.state.budget.wallTimeMs - nowMs
    const deadlineMs = nowMs + Math.min(request.timeoutMs, wallLeftMs)
    const started: StartedStep = { program, root, request, running, reservation: reserved.extract() as Reservation, deadlineMs }
    if (request.call.type === 'model') this._modelSteps.start(started, request.call)
    else this._serviceSteps.start(started, request.call)
  }

  private _listen (exchange: StepExchange, program: LiveProgram, running: RunningStep): void {
    running.listeners.set(exchange.requestId, { isStreamed: exchange.request.isStreamed })
    this._callers.onGone(exchange.requestId, () => {
      running.listeners.delete(exchange.requestId)
      if (running.listeners.size === 0) this._awaitReturn(program, running)
    })
  }

  /** A call whose callers all left goes on for a while, so that a caller that lost its connection finds it running. */
  private _awaitReturn (program: LiveProgram, running: RunningStep): void {
    const graceMs = this._configuration.document?.abandonGraceMs ?? 0
    this._timers.after(graceMs, () => {
      const isAbandoned = program.running === running && running.listeners.size === 0
      if (isAbandoned) running.cancel?.('callerGone')
    })
  }

  private _join (exchange: StepExchange, program: LiveProgram): void {
    const running = program.running as RunningStep
    this._listen(exchange, program, running)
    if (exchange.request.isStreamed && running.text !== '') {
      this._callers.reply(exchange.requestId, { type: 'chunk', text: running.text, tokens: running.tokens })
    }
  }

  private _wait (exchange: StepExchange, program: LiveProgram): void {
    const { step, timeoutMs } = exchange.request
    const former = program.waiting.get(step)
    program.waiting.set(step, exchange)
    if (former !== undefined) this._ending.refuse(former, program, Reason.BusyStep, 'the step was sent again')
    this._timers.after(timeoutMs, () => {
      if (program.waiting.get(step) !== exchange) return
      program.waiting.delete(step)
      this._ending.refuse(exchange, program, Reason.DeadlineExceeded, 'the steps before did not end in time')
    })
  }

  private _startWaiting (program: LiveProgram): void {
    const next = program.waiting.get(nextStepOf(program.state))
    if (next === undefined || program.isMoving) return
    program.waiting.delete(next.request.step)
    this.handle(next, program)
  }

  // History and claims

  private _resolveClaim (exchange: StepExchange, program: LiveProgram, claim: OpenIntent): void {
    this._claims.resolve(program, claim, idempotencyKeyOf(program, exchange.request), result => {
      if (program.state.openClaim !== claim) {
        this.handle(exchange, program)
        return
      }
      if (result === undefined) {
        this._callers.reply(exchange.requestId, this._unknownClaim(program, claim))
        return
      }
      this._recordResolved(program, claim, result, answer => this._callers.reply(exchange.requestId, answer))
    })
  }

  private _recordResolved (program: LiveProgram, claim: OpenIntent, result: StepResult, onAnswer: (answer: CallerReply) => void): void {
    const { step, key, call, callDigest } = claim
    const turn = addTurn(program.state, { step, key, call, callDigest, result })
    recordSpending(this._programs.rootOf(program), call, 0)
    appendWithin({
      journal: program.journal,
      timers: this._timers,
      record: { type: 'turnCompleted', programId: program.state.programId, step, key, call, callDigest, result, spentTokens: 0, reservedTokens: program.state.reservedTokens },
      waitMs: this._settings.turnDurabilityWaitMs,
      onSettled: durability => onAnswer(this._ending.toAnswer(program, turn, durability === 'durable'))
    })
  }

  private _recordUnknown (exchange: StepExchange, program: LiveProgram, claim: OpenIntent): void {
    this._logger.warn('stepRecordedUnknown', { program: program.state.programId, step: claim.step })
    this._recordResolved(program, claim, { type: 'unknown' }, () => this.handle(exchange, program))
  }

  private _unknownClaim (program: LiveProgram, claim: OpenIntent): Unknown {
    return {
      type: 'unknown',
      reason: Reason.AnswerLost,
      detail: 'the step was sent and its answer is lost; it is never sent again',
      programId: program.state.programId,
      step: claim.step,
      historyDigest: digestWithUnknown(program.state, claim)
    }
  }

  /** Takes the turns that are missing here from the caller's copy, whose digests have been checked. */
  private _resupply (exchange: StepExchange, program: LiveProgram, missing: RecordedTurn[]): void {
    const root = this._programs.rootOf(program)
    this._logger.info('historyResupplied', { program: program.state.programId, turns: missing.length })
    for (const turn of missing) {
      program.state.turns.push(turn)
      recordSpending(root, turn.call, spentTokensOf(turn))
    }
    program.state.openClaim = undefined
    program.journal.append({ type: 'programSnapshot', program: cloneProgram(program.state) }, () => {})
    this.handle({ ...exchange, request: { ...exchange.request, history: undefined } }, program)
  }

  private _askHistory (exchange: StepExchange, knownStep: number): void {
    this._callers.reply(exchange.requestId, { type: 'historyNeeded', programId: exchange.request.programId, knownStep })
  }
}

function spentTokensOf (turn: RecordedTurn): number {
  return turn.result.type === 'model' ? promptTokensOf(turn.call) + turn.result.completionTokens : 0
}
