/** Runs the model calls of programs. */
import { inject, injectable } from 'tsyringe'
import { ICallers } from '../kernel/callerPort.js'
import { type ModelCall, Reason, type StepRequest } from '../kernel/callerMessages.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import type { Rank } from '../configuration/document.js'
import { IModelDispatch, type ModelOutcome } from '../dispatch/modelDispatch.js'
import { IWorkerCoordinator } from '../placement/workerCoordinator.js'
import { tokensLeft } from './budget.js'
import { toConversation } from './conversation.js'
import { appendWithin } from './durability.js'
import type { RunningStep } from './liveProgram.js'
import { cachedWorkerOf, type RecordedTurn, setCachedWorker } from './programState.js'
import { fingerprintOf, type StartedStep } from './startedStep.js'
import { StepEnding } from './stepEnding.js'

/** Workers retain a program's cache for this many expected pauses between its steps. */
const RETAINED_PAUSES = 4

@injectable()
export class ModelSteps {
  constructor (
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IModelDispatch) private readonly _models: IModelDispatch,
    @inject(IWorkerCoordinator) private readonly _workerCoordinator: IWorkerCoordinator,
    @inject(StepEnding) private readonly _ending: StepEnding
  ) {}

  /** Starts a call whose budget is reserved; records the token reservation in the journal before it dispatches the call. */
  start (started: StartedStep, call: ModelCall): void {
    const { program, request, running, reservation } = started
    const kind = this._configuration.findKind(program.state.kind)
    const model = call.model ?? kind?.models.at(0)
    if (model === undefined || this._configuration.findBackend(model)?.type !== 'modelEngine') {
      this._ending.end(started, this._ending.notRun(started, Reason.UnknownBackend, `no model engine "${model}"`))
      return
    }
    running.cancel = reason => this._cancelBeforeDispatch(started, reason)
    this._recordReservation(started, reservation.promptTokens + reservation.maxTokens, () => {
      if (program.running !== running) return
      this._dispatchModel(started, call, model, request)
    })
  }

  private _dispatchModel (started: StartedStep, call: ModelCall, model: string, request: StepRequest): void {
    const { program, running, reservation, deadlineMs } = started
    const { state } = program
    const messages = toConversation(state.turns, call.messages)
    let earlierAttemptTokens = 0
    const modelRun = this._models.run({
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
      retainMs: this._workerCoordinator.expectedPauseMs(state.kind) * RETAINED_PAUSES,
      onChunk: (text, tokens) => this._handleChunk(running, text, tokens),
      onWillRetry: (maxTokens, proceed) => {
        earlierAttemptTokens += reservation.maxTokens
        const isAffordable = tokensLeft(started.root) >= earlierAttemptTokens
        if (isAffordable) this._recordReservation(started, reservation.promptTokens + earlierAttemptTokens + maxTokens, proceed)
        else this._ending.end(started, this._ending.unknown(started, Reason.BudgetExceeded, 'the budget does not cover another attempt'))
      },
      onDone: outcome => this._finishModel(started, model, outcome)
    })
    running.cancel = reason => {
      modelRun.dispose()
      program.sentStep = request.step
      program.unrecordedTokens += reservation.promptTokens + reservation.maxTokens + earlierAttemptTokens
      this._ending.end(started, this._ending.unknown(started, Reason.Cancelled, `the step was stopped: ${reason}`))
    }
  }

  private _cancelBeforeDispatch (started: StartedStep, reason: string): void {
    this._ending.end(started, this._ending.notRun(started, Reason.Cancelled, `the step was stopped: ${reason}`))
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
      this._ending.complete(started, outcome.result, reservation.promptTokens + outcome.chargedTokens, { model, worker: outcome.worker })
    } else if (outcome.type === 'notRun') {
      this._ending.end(started, this._ending.notRun(started, outcome.reason, outcome.detail, outcome.retryAfterMs))
    } else {
      program.sentStep = started.request.step
      program.unrecordedTokens += reservation.promptTokens + outcome.chargedTokens
      this._ending.end(started, this._ending.unknown(started, outcome.reason, outcome.detail, outcome.retryAfterMs))
    }
  }

  /**
   * Records the tokens that the step may use, because a takeover counts recorded reservations as spent. Proceeds without the
   * record when the log does not accept it within the wait; a takeover may then count too little.
   */
  private _recordReservation (started: StartedStep, neededTokens: number, proceed: () => void): void {
    const { program } = started
    const requiredTokens = neededTokens + program.unrecordedTokens
    if (program.state.reservedTokens >= requiredTokens) {
      proceed()
      return
    }
    appendWithin({
      journal: program.journal,
      timers: this._timers,
      record: { type: 'tokensReserved', programId: program.state.programId, tokens: requiredTokens },
      waitMs: this._settings.turnDurabilityWaitMs,
      onSettled: durability => {
        if (durability === 'fenced') {
          this._ending.end(started, this._ending.unknown(started, Reason.OwnerMoved, 'the program has a new owner'))
          return
        }
        if (durability === 'durable') program.state.reservedTokens = requiredTokens
        proceed()
      }
    })
  }

  /** Tokens of the recorded history, as the engine counted them in the last model turn. */
  private _historyTokens (turns: RecordedTurn[]): number {
    const last = turns.findLast(turn => turn.result.type === 'model')?.result
    return last?.type === 'model' ? last.promptTokens + last.completionTokens : 0
  }
}
