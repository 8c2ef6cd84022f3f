/** Handles step requests at the program's owner: starts steps in order, joins running ones and replays recorded answers. */
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

/** Runs the steps of programs that this node owns. */
export interface IStepRunner {
  /** Starts, joins, replays, queues or refuses a step that a caller sent. */
  handle (exchange: StepExchange, program: LiveProgram): void
  /** Stops a running call; false when the step is not running or its call cannot be stopped any more. */
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
    @inject(IntentResolver) private readonly _intentResolver: IntentResolver,
    @inject(ILogger) private readonly _logger: ILogger
  ) {
    _ending.onDidEnd(program => this._startNextWaiting(program))
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
      case 'resolveIntent': return this._resolveIntent(exchange, program, decision.intent)
      case 'recordUnknown': return this._recordUnknown(exchange, program, decision.intent)
      case 'resupply': return this._addMissingTurns(exchange, program, decision.missing)
      case 'historyNeeded': return this._requestHistory(exchange, decision.knownStep)
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

  /** Sends the recorded answer again; a caller that asked for a stream gets the whole text, also the part it already had. */
  private _replay ({ requestId, request }: StepExchange, program: LiveProgram, turn: RecordedTurn): void {
    const { result } = turn
    if (request.isStreamed && result.type === 'model') {
      this._callers.reply(requestId, { type: 'chunk', text: result.text, tokens: result.completionTokens })
    }
    this._callers.reply(requestId, this._ending.toAnswer(program, turn, true))
  }

  /**
   * Refuses a step whose history differs. Another node may have fenced the journal and taken the program over unnoticed, so the
   * journal is checked for a fence first; the refusal is temporary while the log does not answer.
   */
  private _refuseMismatch (exchange: StepExchange, program: LiveProgram, detail: string): void {
    program.journal.checkFence(isComplete => {
      if (program.journal.isFenced) this._callers.dispatchAgain(exchange)
      else if (isComplete) this._ending.refuse(exchange, program, Reason.HistoryMismatch, detail)
      else this._callers.reply(exchange.requestId, toRefusal(exchange, Reason.LogUnavailable, 'the owner cannot verify that it still holds the program', MISMATCH_RETRY_MS))
    })
  }

  // Starting and waiting

  private _start (exchange: StepExchange, program: LiveProgram, callDigest: string): void {
    const { request } = exchange
    const nowMs = this._clock.nowMs()
    const root = this._programs.rootOf(program)
    const openIntentCount = this._programs.treeOf(root.state.programId).filter(member => member.state.openClaim !== undefined && member.running === undefined).length
    const reservationResult = reserveBudget(root, request.call, nowMs, openIntentCount)
    if (reservationResult.isLeft()) {
      const problem = reservationResult.extract() as { field: string, limit: number }
      this._ending.refuse(exchange, program, Reason.BudgetExceeded, `the budget allows ${problem.limit} ${problem.field}`)
      if (problem.field === 'wallTimeMs') this._closing.close(root, 'wall time is used up')
      return
    }
    const running: RunningStep = { step: request.step, key: request.key, callDigest, startedAtMs: nowMs, listeners: new Map(), text: '', tokens: 0 }
    program.running = running
    this._addListener(exchange, program, running)
    const wallLeftMs = root.state.openedAtMs + root.state.budget.wallTimeMs - nowMs
    const deadlineMs = nowMs + Math.min(request.timeoutMs, wallLeftMs)
    const started: StartedStep = { program, root, request, running, reservation: reservationResult.extract() as Reservation, deadlineMs }
    if (request.call.type === 'model') this._modelSteps.start(started, request.call)
    else this._serviceSteps.start(started, request.call)
  }

  private _addListener (exchange: StepExchange, program: LiveProgram, running: RunningStep): void {
    running.listeners.set(exchange.requestId, { isStreamed: exchange.request.isStreamed })
    this._callers.onCallerDisconnected(exchange.requestId, () => {
      running.listeners.delete(exchange.requestId)
      if (running.listeners.size === 0) this._cancelIfAbandoned(program, running)
    })
  }

  /** Cancels a call without callers after a grace period, in which a caller that lost its connection may join it again. */
  private _cancelIfAbandoned (program: LiveProgram, running: RunningStep): void {
    const graceMs = this._configuration.document?.abandonGraceMs ?? 0
    this._timers.after(graceMs, () => {
      const isAbandoned = program.running === running && running.listeners.size === 0
      if (isAbandoned) running.cancel?.('callerGone')
    })
  }

  private _join (exchange: StepExchange, program: LiveProgram): void {
    const running = program.running as RunningStep
    this._addListener(exchange, program, running)
    if (exchange.request.isStreamed && running.text !== '') {
      this._callers.reply(exchange.requestId, { type: 'chunk', text: running.text, tokens: running.tokens })
    }
  }

  private _wait (exchange: StepExchange, program: LiveProgram): void {
    const { step, timeoutMs } = exchange.request
    const replaced = program.waiting.get(step)
    program.waiting.set(step, exchange)
    if (replaced !== undefined) this._ending.refuse(replaced, program, Reason.BusyStep, 'the step was sent again')
    this._timers.after(timeoutMs, () => {
      if (program.waiting.get(step) !== exchange) return
      program.waiting.delete(step)
      this._ending.refuse(exchange, program, Reason.DeadlineExceeded, 'the earlier steps did not end in time')
    })
  }

  private _startNextWaiting (program: LiveProgram): void {
    const next = program.waiting.get(nextStepOf(program.state))
    if (next === undefined || program.isInHandover) return
    program.waiting.delete(next.request.step)
    this.handle(next, program)
  }

  // History and open intents

  private _resolveIntent (exchange: StepExchange, program: LiveProgram, intent: OpenIntent): void {
    this._intentResolver.resolve(program, intent, idempotencyKeyOf(program, exchange.request), result => {
      if (program.state.openClaim !== intent) {
        this.handle(exchange, program)
        return
      }
      if (result === undefined) {
        this._callers.reply(exchange.requestId, this._toUnknownReply(program, intent))
        return
      }
      this._recordResolved(program, intent, result, answer => this._callers.reply(exchange.requestId, answer))
    })
  }

  /** Records the result of an open intent and counts its call; service calls use no tokens. */
  private _recordResolved (program: LiveProgram, intent: OpenIntent, result: StepResult, onAnswer: (answer: CallerReply) => void): void {
    const { step, key, call, callDigest } = intent
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

  private _recordUnknown (exchange: StepExchange, program: LiveProgram, intent: OpenIntent): void {
    this._logger.warn('stepRecordedUnknown', { program: program.state.programId, step: intent.step })
    this._recordResolved(program, intent, { type: 'unknown' }, () => this.handle(exchange, program))
  }

  private _toUnknownReply (program: LiveProgram, intent: OpenIntent): Unknown {
    return {
      type: 'unknown',
      reason: Reason.AnswerLost,
      detail: 'the step was sent and its answer is lost; it is never sent again',
      programId: program.state.programId,
      step: intent.step,
      historyDigest: digestWithUnknown(program.state, intent)
    }
  }

  /** Adds the turns that are missing here from the caller's copy, whose digests have been checked, and handles the request again. */
  private _addMissingTurns (exchange: StepExchange, program: LiveProgram, missing: RecordedTurn[]): void {
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

  private _requestHistory (exchange: StepExchange, knownStep: number): void {
    this._callers.reply(exchange.requestId, { type: 'historyNeeded', programId: exchange.request.programId, knownStep })
  }
}

function spentTokensOf (turn: RecordedTurn): number {
  return turn.result.type === 'model' ? promptTokensOf(turn.call) + turn.result.completionTokens : 0
}
