/** Ends steps: records results, replies to callers and builds the reply for a step without a result. */
import { inject, injectable } from 'tsyringe'
import { ICallers, type CallerExchange } from '../kernel/callerPort.js'
import { type CallerReply, type Done, Reason, type StepRequest, type StepResult, type Unknown } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { Emitter } from '../kernel/emitter.js'
import { NodeIdentity, type NodeRef } from '../kernel/node.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { releaseReservation, recordSpending, tokensLeft } from './budget.js'
import { appendWithin } from './durability.js'
import type { LiveProgram } from './liveProgram.js'
import { addTurn, historyDigestOf, nextStepOf, type RecordedTurn } from './programState.js'
import { mayHaveRun, type StartedStep } from './startedStep.js'
import { digestWithUnknown } from './stepDecision.js'

/** Least number of tokens that a turn's record reserves for the next step, if the budget has as many left. */
const MIN_RESERVED_TOKENS = 4_096
const RETRY_AFTER_MS = 500

@injectable()
export class StepEnding {
  private readonly _didEnd = new Emitter<LiveProgram>()

  /** Fires when a program's running step has ended. */
  readonly onDidEnd = this._didEnd.event

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(ICallers) private readonly _callers: ICallers
  ) {}

  /**
   * Records the result, then replies; the reply says so when the log did not accept the record within the wait. After a fence
   * only the result of an open intent counts, any other step ends as unknown.
   */
  complete (started: StartedStep, result: StepResult, chargedTokens: number, ranOn?: { model: string, worker: string }): void {
    const { program, root, request, running, reservation } = started
    const spentTokens = chargedTokens + program.unrecordedTokens
    const reservedTokens = Math.max(0, Math.min(tokensLeft(root), Math.max(MIN_RESERVED_TOKENS, 2 * (reservation.promptTokens + reservation.maxTokens))))
    running.cancel = undefined
    appendWithin({
      journal: program.journal,
      timers: this._timers,
      record: { type: 'turnCompleted', programId: program.state.programId, step: request.step, key: request.key, call: request.call, callDigest: running.callDigest, result, spentTokens, reservedTokens, ranOn },
      waitMs: this._settings.turnDurabilityWaitMs,
      onSettled: durability => {
        const isIgnored = durability === 'fenced' && program.state.openClaim === undefined
        if (isIgnored) {
          this.end(started, this.unknown(started, Reason.OwnerMoved, 'the program has a new owner', RETRY_AFTER_MS))
          return
        }
        program.unrecordedTokens = 0
        program.state.reservedTokens = reservedTokens
        const turn = addTurn(program.state, { step: request.step, key: request.key, call: request.call, callDigest: running.callDigest, result })
        recordSpending(root, request.call, spentTokens)
        this.end(started, this.toAnswer(program, turn, durability !== 'notYet'))
      }
    })
  }

  /** Ends a running step and sends the reply to all its callers; does nothing when the step has ended already. */
  end ({ program, root, running, reservation }: StartedStep, reply: CallerReply): void {
    if (program.running !== running) return
    program.running = undefined
    releaseReservation(root, reservation)
    program.lastActiveMs = this._clock.nowMs()
    for (const requestId of running.listeners.keys()) this._callers.reply(requestId, reply)
    this._didEnd.fire(program)
  }

  /** The answer for a recorded turn. */
  toAnswer (program: LiveProgram, turn: RecordedTurn, durable: boolean): Done | Unknown {
    if (turn.result.type === 'unknown') {
      return { type: 'unknown', reason: Reason.AnswerLost, detail: 'the step was sent and its answer is lost', programId: program.state.programId, step: turn.step, historyDigest: turn.historyDigest }
    }
    return { type: 'done', programId: program.state.programId, step: turn.step, result: turn.result, historyDigest: turn.historyDigest, durable, home: this._selfRef() }
  }

  /** Refuses a request that was not started; the reply is "unknown" if an earlier copy of it may have run. */
  refuse (exchange: CallerExchange<StepRequest>, program: LiveProgram, reason: Reason, detail: string): void {
    const expected = { step: nextStepOf(program.state), historyDigest: historyDigestOf(program.state) }
    if (mayHaveRun(program, exchange.request)) {
      const { programId, step } = exchange.request
      this._callers.reply(exchange.requestId, { type: 'unknown', reason, detail, programId, step })
      return
    }
    this._callers.reply(exchange.requestId, { type: 'notRun', reason, detail, home: this._selfRef(), expected })
  }

  /** The refusal of a started step that did not run; "unknown" if an earlier copy of it may have run. */
  notRun (started: StartedStep, reason: Reason, detail: string, retryAfterMs?: number): CallerReply {
    if (mayHaveRun(started.program, started.request)) return this.unknown(started, reason, detail, retryAfterMs)
    return { type: 'notRun', reason, detail, retryAfterMs, home: this._selfRef() }
  }

  /** The reply for a step that may have run. */
  unknown ({ program, running }: StartedStep, reason: Reason, detail: string, retryAfterMs?: number): Unknown {
    const { openClaim } = program.state
    const historyDigest = openClaim?.step === running.step ? digestWithUnknown(program.state, openClaim) : undefined
    return { type: 'unknown', reason, detail, programId: program.state.programId, step: running.step, historyDigest, retryAfterMs }
  }

  /** The reply when the intent record came after a fence: nothing was sent here, but the new owner may have run an earlier copy. */
  refusalAfterMove (started: StartedStep): CallerReply {
    if (started.request.isResend) return this.unknown(started, Reason.OwnerMoved, 'the program has a new owner', RETRY_AFTER_MS)
    return this.notRun(started, Reason.OwnerMoved, 'the program has a new owner', RETRY_AFTER_MS)
  }

  private _selfRef (): NodeRef {
    const { node, incarnation, address } = this._identity
    return { node, incarnation, address }
  }
}
