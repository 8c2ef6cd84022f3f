/** Runs the service calls of programs; for a non-repeatable call an intent is recorded in the journal first. */
import { inject, injectable } from 'tsyringe'
import { Reason, type ServiceCall } from '../kernel/callerMessages.js'
import { IClock } from '../kernel/clock.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IServiceDispatch, type ServiceOutcome } from '../dispatch/serviceDispatch.js'
import type { LiveProgram } from './liveProgram.js'
import { fingerprintOf, idempotencyKeyOf, type StartedStep } from './startedStep.js'
import { StepEnding } from './stepEnding.js'

const RETRY_AFTER_MS = 500

@injectable()
export class ServiceSteps {
  constructor (
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IServiceDispatch) private readonly _services: IServiceDispatch,
    @inject(StepEnding) private readonly _ending: StepEnding
  ) {}

  /** Starts a call whose budget is reserved; a non-repeatable one is sent after its intent record has landed. */
  start (started: StartedStep, call: ServiceCall): void {
    if (this._configuration.findBackend(call.service)?.type !== 'service') {
      this._ending.end(started, this._ending.notRun(started, Reason.UnknownBackend, `no service "${call.service}"`))
    } else if (call.isRepeatable) {
      this._dispatchService(started, call)
    } else {
      this._recordIntent(started, call)
    }
  }

  /** Appends an intent record and sends the call only when the record has landed with no fence before it. */
  private _recordIntent (started: StartedStep, call: ServiceCall): void {
    const { program, request, running, deadlineMs } = started
    const { programId } = program.state
    const attempt = this._clock.nowMs()
    let isDecided = false
    const pendingAppend = program.journal.append({ type: 'stepClaimed', programId, step: request.step, key: request.key, call, callDigest: running.callDigest, attempt }, outcome => {
      if (isDecided) return
      isDecided = true
      timeout.dispose()
      if (outcome.type === 'fenced') {
        this._ending.end(started, this._ending.refusalAfterMove(started))
        return
      }
      program.state.openClaim = { step: request.step, key: request.key, call, callDigest: running.callDigest, attempt }
      this._dispatchService(started, call)
    })
    const timeout = this._timers.after(deadlineMs - this._clock.nowMs(), () => {
      if (isDecided) return
      isDecided = true
      pendingAppend.cancel()
      program.journal.append({ type: 'claimWithdrawn', programId, step: request.step, attempt }, () => {})
      this._ending.end(started, this._ending.notRun(started, Reason.LogUnavailable, 'the log did not accept the intent record before the deadline', RETRY_AFTER_MS))
    })
    running.cancel = reason => {
      if (isDecided) return
      isDecided = true
      timeout.dispose()
      pendingAppend.cancel()
      program.journal.append({ type: 'claimWithdrawn', programId, step: request.step, attempt }, () => {})
      this._ending.end(started, this._ending.notRun(started, Reason.Cancelled, `the step was stopped: ${reason}`))
    }
  }

  private _dispatchService (started: StartedStep, call: ServiceCall): void {
    const { program, request, running, deadlineMs } = started
    const serviceRun = this._services.run({
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
        serviceRun.dispose()
        program.sentStep = request.step
        this._ending.end(started, this._ending.unknown(started, Reason.Cancelled, `the step was stopped: ${reason}`))
      }
      : undefined
  }

  private _finishService (started: StartedStep, outcome: ServiceOutcome): void {
    const { program, request } = started
    const hasIntent = program.state.openClaim?.step === request.step
    if (outcome.type === 'done') {
      this._ending.complete(started, outcome.result, 0)
    } else if (outcome.type === 'notRun') {
      if (hasIntent) this._withdrawIntent(program)
      this._ending.end(started, this._ending.notRun(started, outcome.reason, outcome.detail, outcome.retryAfterMs))
    } else {
      program.sentStep = request.step
      this._ending.end(started, this._ending.unknown(started, outcome.reason, outcome.detail))
    }
  }

  private _withdrawIntent (program: LiveProgram): void {
    const intent = program.state.openClaim
    program.state.openClaim = undefined
    if (intent !== undefined) program.journal.append({ type: 'claimWithdrawn', programId: program.state.programId, step: intent.step, attempt: intent.attempt }, () => {})
  }
}
