/** Takes step requests at the program's home and carries each step to one recorded result. */
import { inject, injectable } from 'tsyringe'
import { ICallers, type CallerExchange } from '../kernel/callerPort.js'
import { type CallerReply, type Done, type ModelCall, Reason, type ServiceCall, type StepRequest, type StepResult, type Unknown } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { NodeIdentity, type NodeRef } from '../kernel/node.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { digestText, digestValue } from '../base/digest.js'
import { IConfiguration } from '../configuration/configuration.js'
import type { Rank } from '../configuration/document.js'
import { IModelDispatch, type ModelOutcome } from '../dispatch/modelDispatch.js'
import { IServiceDispatch, type ServiceOutcome } from '../dispatch/serviceDispatch.js'
import { ILeads } from '../placement/leads.js'
import { reserveBudget, releaseReservation, type Reservation, settleSpending, tokensLeft } from './budget.js'
import { ClaimResolver } from './claimResolver.js'
import { appendWithin } from './durability.js'
import { toConversation } from './conversation.js'
import { type LiveProgram, type RunningStep } from './liveProgram.js'
import { IProgramClosing } from './programClosing.js'
import { addTurn, cachedWorkerOf, historyDigestOf, nextStepOf, type OpenClaim, type RecordedTurn, setCachedWorker } from './programState.js'
import { IProgramTable } from './programTable.js'
import { decideStep, digestWithUnknown } from './stepDecision.js'

/** Tokens set aside in the log for the next step, at the least. */
const MIN_RESERVED_TOKENS = 4_096
/** The cache is kept for this many expected pauses. */
const RETAIN_PAUSES = 4
const RETRY_AFTER_MS = 500

type StepExchange = CallerExchange<StepRequest>

/** Runs steps of programs that are at home here. */
export interface IStepRunner {
  handle (exchange: StepExchange, program: LiveProgram): void
  /** Stops a running model call. */
  cancel (program: LiveProgram, step: number): boolean
}
export const IStepRunner = Symbol('IStepRunner')

/** A step that has been started, with what it may use. */
interface StartedStep {
  program: LiveProgram
  root: LiveProgram
  request: StepRequest
  running: RunningStep
  reservation: Reservation
  deadlineMs: number
}

@injectable()
export class StepRunner implements IStepRunner {
  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(IProgramClosing) private readonly _closing: IProgramClosing,
    @inject(IModelDispatch) private readonly _models: IModelDispatch,
    @inject(IServiceDispatch) private readonly _services: IServiceDispatch,
    @inject(ILeads) private readonly _leads: ILeads,
    @inject(ClaimResolver) private readonly _claims: ClaimResolver,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

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
      case 'refuse': return this._refuse(exchange, program, decision.reason, decision.detail)
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
    this._callers.reply(requestId, this._toAnswer(program, turn, true))
  }

  // Starting and waiting

  private _start (exchange: StepExchange, program: LiveProgram, callDigest: string): void {
    const { request } = exchange
    const nowMs = this._clock.nowMs()
    const root = this._programs.rootOf(program)
    const reserved = reserveBudget(root, request.call, nowMs)
    if (reserved.isLeft()) {
      const problem = reserved.extract() as { field: string, limit: number }
      this._refuse(exchange, program, Reason.BudgetExceeded, `the budget allows ${problem.limit} ${problem.field}`)
      if (problem.field === 'wallTimeMs') this._closing.close(root, 'wall time is used up')
      return
    }
    const running: RunningStep = { step: request.step, key: request.key, callDigest, startedAtMs: nowMs, listeners: new Map(), text: '', tokens: 0 }
    program.running = running
    this._listen(exchange, program, running)
    const wallLeftMs = root.state.openedAtMs + root.state.budget.wallTimeMs - nowMs
    const deadlineMs = nowMs + Math.min(request.timeoutMs, wallLeftMs)
    const started: StartedStep = { program, root, request, running, reservation: reserved.extract() as Reservation, deadlineMs }
    if (request.call.type === 'model') this._startModel(started, request.call)
    else this._startService(started, request.call)
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
    if (former !== undefined) this._refuse(former, program, Reason.BusyStep, 'the step was sent again')
    this._timers.after(timeoutMs, () => {
      if (program.waiting.get(step) !== exchange) return
      program.waiting.delete(step)
      this._refuse(exchange, program, Reason.DeadlineExceeded, 'the steps before did not end in time')
    })
  }

  private _startWaiting (program: LiveProgram): void {
    const next = program.waiting.get(nextStepOf(program.state))
    if (next === undefined || program.isMoving) return
    program.waiting.delete(next.request.step)
    this.handle(next, program)
  }

  // Model calls

  private _startModel (started: StartedStep, call: ModelCall): void {
    const { program, request, running, reservation } = started
    const kind = this._configuration.findKind(program.state.kind)
    const model = call.model ?? kind?.models.at(0)
    if (model === undefined || this._configuration.findBackend(model)?.type !== 'modelEngine') {
      this._abort(started, this._notRun(started, Reason.UnknownBackend, `no model engine "${model}"`))
      return
    }
    running.cancel = reason => this._cancelBeforeDispatch(started, reason)
    this._reserveDurably(started, reservation.promptTokens + reservation.maxTokens, () => {
      if (program.running !== running) return
      this._dispatchModel(started, call, model, request)
    })
  }

  private _dispatchModel (started: StartedStep, call: ModelCall, model: string, request: StepRequest): void {
    const { program, running, reservation, deadlineMs } = started
    const { state } = program
    const messages = toConversation(state.turns, call.messages)
    let chargedBefore = 0
    const job = this._models.run({
      programId: state.programId,
      customer: state.customer,
      kind: state.kind,
      rank: state.rank as Rank,
      model,
      messages,
      promptTokens: reservation.promptTokens + this._historyTokens(state.turns),
      maxTokens: reservation.maxTokens,
      isFirstStep: state.turns.length === 0,
      attainedSteps: state.turns.length,
      dueAtMs: state.dueAtMs,
      deadlineMs,
      fingerprint: fingerprintOf(program, running.callDigest),
      cachedWorker: cachedWorkerOf(state, model),
      retainMs: this._leads.pauseOf(state.kind) * RETAIN_PAUSES,
      onChunk: (text, tokens) => this._handleChunk(running, text, tokens),
      onWillRetry: (maxTokens, proceed) => {
        chargedBefore += reservation.maxTokens
        const isAffordable = tokensLeft(started.root) >= chargedBefore
        if (isAffordable) this._reserveDurably(started, reservation.promptTokens + chargedBefore + maxTokens, proceed)
        else this._abort(started, this._unknown(started, Reason.BudgetExceeded, 'the budget does not cover another attempt'))
      },
      onDone: outcome => this._finishModel(started, model, outcome)
    })
    running.cancel = reason => {
      job.dispose()
      program.sentStep = request.step
      program.carriedTokens += reservation.promptTokens + reservation.maxTokens + chargedBefore
      this._abort(started, this._unknown(started, Reason.Cancelled, `the step was stopped: ${reason}`))
    }
  }

  private _cancelBeforeDispatch (started: StartedStep, reason: string): void {
    this._abort(started, this._notRun(started, Reason.Cancelled, `the step was stopped: ${reason}`))
  }

  private _handleChunk (running: RunningStep, text: string, tokens: number): void {
    running.text += text
    running.tokens += tokens
    for (const [requestId, listener] of running.listeners) {
      if (listener.isStreamed) this._callers.reply(requestId, { type: 'chunk', text, tokens })
    }
  }

  private _finishModel (started: StartedStep, model: string, outcome: ModelOutcome): void {
    const { program, reservation } = started
    if (outcome.type === 'done') {
      setCachedWorker(program.state, model, outcome.worker)
      this._complete(started, outcome.result, reservation.promptTokens + outcome.chargedTokens, { model, worker: outcome.worker })
    } else if (outcome.type === 'notRun') {
      this._abort(started, this._notRun(started, outcome.reason, outcome.detail, outcome.retryAfterMs))
    } else {
      program.sentStep = started.request.step
      program.carriedTokens += reservation.promptTokens + outcome.chargedTokens
      this._abort(started, this._unknown(started, outcome.reason, outcome.detail, outcome.retryAfterMs))
    }
  }

  /** Makes sure that the log covers what the step may use, so that a takeover never undercounts. */
  private _reserveDurably (started: StartedStep, neededTokens: number, proceed: () => void): void {
    const { program } = started
    const needed = neededTokens + program.carriedTokens
    if (program.state.reservedTokens >= needed) {
      proceed()
      return
    }
    appendWithin({
      journal: program.journal,
      timers: this._timers,
      record: { type: 'tokensReserved', programId: program.state.programId, tokens: needed },
      waitMs: this._settings.turnDurabilityWaitMs,
      onSettled: durability => {
        if (durability === 'fenced') {
          this._abort(started, this._unknown(started, Reason.HomeMoved, 'the program has a new home'))
          return
        }
        if (durability === 'durable') program.state.reservedTokens = needed
        proceed()
      }
    })
  }

  private _historyTokens (turns: RecordedTurn[]): number {
    const last = turns.findLast(turn => turn.result.type === 'model')?.result
    return last?.type === 'model' ? last.promptTokens + last.completionTokens : 0
  }

  // Service calls

  private _startService (started: StartedStep, call: ServiceCall): void {
    if (this._configuration.findBackend(call.service)?.type !== 'service') {
      this._abort(started, this._notRun(started, Reason.UnknownBackend, `no service "${call.service}"`))
    } else if (call.isRepeatable) {
      this._dispatchService(started, call)
    } else {
      this._claim(started, call)
    }
  }

  /** Appends a claim and sends the call only when the claim has landed with no fence before it. */
  private _claim (started: StartedStep, call: ServiceCall): void {
    const { program, request, running, deadlineMs } = started
    const { programId } = program.state
    const attempt = this._clock.nowMs()
    let isOver = false
    const pending = program.journal.append({ type: 'stepClaimed', programId, step: request.step, key: request.key, call, callDigest: running.callDigest, attempt }, outcome => {
      if (isOver) return
      isOver = true
      timeout.dispose()
      if (outcome.type === 'fenced') {
        this._abort(started, this._refusalAfterMove(started))
        return
      }
      program.state.openClaim = { step: request.step, key: request.key, call, callDigest: running.callDigest, attempt }
      this._dispatchService(started, call)
    })
    const timeout = this._timers.after(deadlineMs - this._clock.nowMs(), () => {
      if (isOver) return
      isOver = true
      pending.cancel()
      program.journal.append({ type: 'claimWithdrawn', programId, step: request.step, attempt }, () => {})
      this._abort(started, this._notRun(started, Reason.LogUnavailable, 'the log did not take the claim before the deadline', RETRY_AFTER_MS))
    })
    running.cancel = reason => {
      if (isOver) return
      isOver = true
      timeout.dispose()
      pending.cancel()
      program.journal.append({ type: 'claimWithdrawn', programId, step: request.step, attempt }, () => {})
      this._abort(started, this._notRun(started, Reason.Cancelled, `the step was stopped: ${reason}`))
    }
  }

  private _dispatchService (started: StartedStep, call: ServiceCall): void {
    const { program, request, running, deadlineMs } = started
    const job = this._services.run({
      programId: program.state.programId,
      customer: program.state.customer,
      call,
      idempotencyKey: idempotencyKeyOf(program, request),
      fingerprint: fingerprintOf(program, running.callDigest),
      deadlineMs,
      onDone: outcome => this._finishService(started, outcome)
    })
    running.cancel = call.isRepeatable
      ? reason => {
        job.dispose()
        program.sentStep = request.step
        this._abort(started, this._unknown(started, Reason.Cancelled, `the step was stopped: ${reason}`))
      }
      : undefined
  }

  private _finishService (started: StartedStep, outcome: ServiceOutcome): void {
    const { program, request } = started
    const isClaimed = program.state.openClaim?.step === request.step
    if (outcome.type === 'done') {
      this._complete(started, outcome.result, 0)
    } else if (outcome.type === 'notRun') {
      if (isClaimed) this._withdraw(program)
      this._abort(started, this._notRun(started, outcome.reason, outcome.detail, outcome.retryAfterMs))
    } else {
      program.sentStep = request.step
      this._abort(started, this._unknown(started, outcome.reason, outcome.detail))
    }
  }

  private _withdraw (program: LiveProgram): void {
    const claim = program.state.openClaim
    program.state.openClaim = undefined
    if (claim !== undefined) program.journal.append({ type: 'claimWithdrawn', programId: program.state.programId, step: claim.step, attempt: claim.attempt }, () => {})
  }

  // Ends of steps

  /** Records the result, then answers; the answer does not wait for a log that is down. */
  private _complete (started: StartedStep, result: StepResult, chargedTokens: number, ranOn?: { model: string, worker: string }): void {
    const { program, root, request, running, reservation } = started
    const spentTokens = chargedTokens + program.carriedTokens
    const reservedTokens = Math.max(0, Math.min(tokensLeft(root), Math.max(MIN_RESERVED_TOKENS, 2 * (reservation.promptTokens + reservation.maxTokens))))
    running.cancel = undefined
    appendWithin({
      journal: program.journal,
      timers: this._timers,
      record: { type: 'turnCompleted', programId: program.state.programId, step: request.step, key: request.key, call: request.call, callDigest: running.callDigest, result, spentTokens, reservedTokens, ranOn },
      waitMs: this._settings.turnDurabilityWaitMs,
      onSettled: durability => {
        const isVoid = durability === 'fenced' && program.state.openClaim === undefined
        if (isVoid) {
          this._abort(started, this._unknown(started, Reason.HomeMoved, 'the program has a new home', RETRY_AFTER_MS))
          return
        }
        program.carriedTokens = 0
        program.state.reservedTokens = reservedTokens
        const turn = addTurn(program.state, { step: request.step, key: request.key, call: request.call, callDigest: running.callDigest, result })
        settleSpending(root, request.call, spentTokens)
        this._end(started, this._toAnswer(program, turn, durability !== 'notYet'))
      }
    })
  }

  /** Ends a step without a result. */
  private _abort (started: StartedStep, reply: CallerReply): void {
    this._end(started, reply)
  }

  private _end ({ program, root, running, reservation }: StartedStep, reply: CallerReply): void {
    if (program.running !== running) return
    program.running = undefined
    releaseReservation(root, reservation)
    program.lastActiveMs = this._clock.nowMs()
    for (const requestId of running.listeners.keys()) this._callers.reply(requestId, reply)
    this._startWaiting(program)
  }

  // History and claims

  private _resolveClaim (exchange: StepExchange, program: LiveProgram, claim: OpenClaim): void {
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

  private _recordResolved (program: LiveProgram, claim: OpenClaim, result: StepResult, onAnswer: (answer: CallerReply) => void): void {
    const { step, key, call, callDigest } = claim
    const turn = addTurn(program.state, { step, key, call, callDigest, result })
    settleSpending(this._programs.rootOf(program), call, 0)
    appendWithin({
      journal: program.journal,
      timers: this._timers,
      record: { type: 'turnCompleted', programId: program.state.programId, step, key, call, callDigest, result, spentTokens: 0, reservedTokens: program.state.reservedTokens },
      waitMs: this._settings.turnDurabilityWaitMs,
      onSettled: durability => onAnswer(this._toAnswer(program, turn, durability === 'durable'))
    })
  }

  private _recordUnknown (exchange: StepExchange, program: LiveProgram, claim: OpenClaim): void {
    this._logger.warn('stepRecordedUnknown', { program: program.state.programId, step: claim.step })
    this._recordResolved(program, claim, { type: 'unknown' }, () => this.handle(exchange, program))
  }

  private _unknownClaim (program: LiveProgram, claim: OpenClaim): Unknown {
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
      settleSpending(root, turn.call, spentTokensOf(turn))
    }
    program.state.openClaim = undefined
    program.journal.append({ type: 'programSnapshot', program: { ...program.state, turns: [...program.state.turns], spent: { ...program.state.spent } } }, () => {})
    this.handle({ ...exchange, request: { ...exchange.request, history: undefined } }, program)
  }

  private _askHistory (exchange: StepExchange, knownStep: number): void {
    this._callers.reply(exchange.requestId, { type: 'historyNeeded', programId: exchange.request.programId, knownStep })
  }

  // Replies

  private _toAnswer (program: LiveProgram, turn: RecordedTurn, durable: boolean): Done | Unknown {
    if (turn.result.type === 'unknown') {
      return { type: 'unknown', reason: Reason.AnswerLost, detail: 'the step was sent and its answer is lost', programId: program.state.programId, step: turn.step, historyDigest: turn.historyDigest }
    }
    return { type: 'done', programId: program.state.programId, step: turn.step, result: turn.result, historyDigest: turn.historyDigest, durable, home: this._selfRef() }
  }

  private _refuse (exchange: StepExchange, program: LiveProgram, reason: Reason, detail: string): void {
    const expected = { step: nextStepOf(program.state), historyDigest: historyDigestOf(program.state) }
    if (mayHaveRun(program, exchange.request)) {
      const { programId, step } = exchange.request
      this._callers.reply(exchange.requestId, { type: 'unknown', reason, detail, programId, step })
      return
    }
    this._callers.reply(exchange.requestId, { type: 'notRun', reason, detail, home: this._selfRef(), expected })
  }

  private _notRun (started: StartedStep, reason: Reason, detail: string, retryAfterMs?: number): CallerReply {
    if (mayHaveRun(started.program, started.request)) return this._unknown(started, reason, detail, retryAfterMs)
    return { type: 'notRun', reason, detail, retryAfterMs, home: this._selfRef() }
  }

  private _unknown ({ program, running }: StartedStep, reason: Reason, detail: string, retryAfterMs?: number): Unknown {
    const { openClaim } = program.state
    const historyDigest = openClaim?.step === running.step ? digestWithUnknown(program.state, openClaim) : undefined
    return { type: 'unknown', reason, detail, programId: program.state.programId, step: running.step, historyDigest, retryAfterMs }
  }

  /** The claim was void, so this node sent nothing; a step sent before may have been taken up by the new home. */
  private _refusalAfterMove (started: StartedStep): CallerReply {
    if (started.request.isResend) return this._unknown(started, Reason.HomeMoved, 'the program has a new home', RETRY_AFTER_MS)
    return this._notRun(started, Reason.HomeMoved, 'the program has a new home', RETRY_AFTER_MS)
  }

  private _selfRef (): NodeRef {
    const { node, incarnation, address } = this._identity
    return { node, incarnation, address }
  }
}

/** True when an earlier copy of the request may have reached a back end, from here or from a former home. */
function mayHaveRun (program: LiveProgram, request: StepRequest): boolean {
  return program.sentStep === request.step || (request.isResend && program.isInherited)
}

/** Equal for every resend of a request, also from a program opened anew that makes the same calls. */
function fingerprintOf (program: LiveProgram, callDigest: string): string {
  return digestText([program.state.kind, ...program.state.turns.map(turn => turn.callDigest), callDigest].join('|'))
}

function idempotencyKeyOf (program: LiveProgram, request: StepRequest): string {
  return `${program.state.programId}/${request.step}/${request.key}`
}

function spentTokensOf (turn: RecordedTurn): number {
  const { result, call } = turn
  if (result.type !== 'model' || call.type !== 'model') return 0
  return result.completionTokens + call.messages.reduce((sum, message) => sum + Math.ceil(message.content.length / 4), 0)
}
