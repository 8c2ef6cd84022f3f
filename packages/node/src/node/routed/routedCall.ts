/** Handles one routed request: obtains the grant of its turn, sends it to workers, forwards the answer and reports the turn's end to the owner. */
import {
  AttemptOutcome, type GrantRequest, type LogFields, type NextAction, type PlacementEnd, type QuotaCredit, resolveNextAction, type Route, type RoutedService, RouteKind, SuspectTurnEnd, type TurnEnd, type WorkerRegistration
} from '@trefoilshunt/core'
import { internalIdOf, type IAnswerSink, type Refusal, RefusalReason, type RoutedRequest } from '../../common/routed/routedRequest.js'
import type { WorkerAnswerHead } from '../../common/routed/workerClient.js'
import { steadyNowMs } from '../steadyClock.js'
import type { QuotaOutcome } from './accounts/quotaClient.js'
import { AnswerRelay } from './answerRelay.js'
import { createWorkerCall } from './createWorkerCall.js'
import type { IStoppableCall } from './plannedStop.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'
import { StreamContinuation } from './streamContinuation.js'
import type { GrantedTurn, GrantOutcome } from './turnService.js'
import { WorkerAttempt } from './workerAttempt.js'
import { WorkerSelector } from './workerSelector.js'

/** Retry-after of requests that were not run, for example because no worker had a free slot; about the duration of one short request. */
const BUSY_RETRY_AFTER_MS = 120
/** Retry-after while the owner of the caller's program is unavailable, for example while it is being replaced. */
const OWNER_RETRY_AFTER_MS = 300
/** Retry-after while it isn't known how the caller's stream began, for example while peers that know it reconnect. */
const STREAM_RETRY_AFTER_MS = 300
/** A suspect request that is at a worker asks for a turn again after this time, then after twice as long, while that is at most a share of the time left. */
const FIRST_TURN_PAUSE_MS = 20
const TURN_PAUSE_SHARE = 0.25
/** Retry-after of a suspect request whose turn does not come in time. */
const OPEN_TURN_RETRY_AFTER_MS = 500
/** Retry-after of requests that a stopping node refuses; other nodes serve them at once. */
const STOPPING_RETRY_AFTER_MS = 20
/** Share of the remaining time for which a request may wait for the owner of its program. */
const GRANT_WAIT_SHARE = 0.4
/** The end of a retained turn must be recorded this long before the request expires, so that its answer can still be completed. */
const TURN_END_MARGIN_MS = 60
/** Reports of turn ends for which no caller waits are retried for this long. */
const LATE_TURN_END_TIMEOUT_MS = 8_000

/** One routed request; `start` is called once. After that, the sink gets exactly one `end`, `refuse` or `abort`, or none if the caller disconnects first. */
export class RoutedCall implements IStoppableCall {
  private readonly _expiresAtMs: number
  private readonly _excluded = new Set<string>()
  private readonly _relay: AnswerRelay
  private readonly _selector: WorkerSelector
  private readonly _stream: StreamContinuation
  private _expiryTimer: NodeJS.Timeout | undefined
  private _unregister: () => void = () => {}
  private _service: RoutedService | undefined
  private _grant: GrantedTurn | undefined
  private _hasReservedAgain = false
  private _latestAttempt: WorkerAttempt | undefined
  private _isDone = false
  /** Requests in flight at the worker of the latest attempt, as this node knew them when it chose the worker. */
  private _believedInFlight = 0
  /** Ends the turn of a suspect request; undefined without one. */
  private _suspectTurn: ((end: SuspectTurnEnd) => void) | undefined
  /** True if a worker may have got the request in the open turn. */
  private _isSentInTurn = false
  private _turnPauseMs = FIRST_TURN_PAUSE_MS
  /** Taken from the quota of the request's account; returned if no worker gets the request. */
  private _credit: QuotaCredit | undefined
  /** True if a worker may have got the request. */
  private _isSent = false
  private _sentCount = 0
  private _unsentCount = 0
  private _mayHaveRun = false

  constructor (
    private readonly _dependencies: RoutedCallDependencies,
    private readonly _request: RoutedRequest,
    private readonly _route: Route,
    private readonly _sink: IAnswerSink
  ) {
    const maxWaitMs = Math.min(_request.deadlineMs ?? Number.POSITIVE_INFINITY, _route.timeoutMs)
    this._expiresAtMs = _request.arrivedAtMs + maxWaitMs
    this._selector = new WorkerSelector({ dependencies: _dependencies, request: _request, route: _route, log: (event, fields) => this._log(event, fields) })
    this._stream = new StreamContinuation({ dependencies: _dependencies, request: _request, route: _route })
    this._relay = new AnswerRelay(_sink, {
      lastEventId: _request.lastEventId,
      retainsOutput: _route.retainsTurns,
      heldBytes: _dependencies.heldBytes,
      onWillForwardEvents: bytes => { if (this._latestAttempt !== undefined) this._stream.recordEvents(this._latestAttempt.worker, bytes) },
      onBackpressure: isPaused => this._latestAttempt?.setPaused(isPaused)
    })
  }

  start (): void {
    const { plannedStop } = this._dependencies
    if (!plannedStop.mayAccept(this._expiresAtMs)) {
      this._refuse({ status: 503, reason: RefusalReason.Stopping, retryAfterMs: STOPPING_RETRY_AFTER_MS })
      return
    }
    this._unregister = plannedStop.register(this)
    this._sink.onCallerDisconnected = () => this._onCallerDisconnected()
    this._expiryTimer = setTimeout(() => this._expire(), Math.max(0, this._timeLeftMs))
    if (this._stream.isTakenUp) void this._resolveStream()
    else this._takeCredit()
  }

  /** Takes the credit of an account with a quota, once for each attempt of the caller. */
  private _takeCredit (): void {
    const outcome = this._dependencies.quotas.take(this._request, this._timeLeftMs)
    if (outcome === undefined) this._begin()
    else if (outcome instanceof Promise) void outcome.then(later => this._applyQuotaOutcome(later))
    else this._applyQuotaOutcome(outcome)
  }

  private _applyQuotaOutcome (outcome: QuotaOutcome): void {
    if (outcome.type === 'refused') {
      this._refuse(outcome.refusal)
    } else if (this._isDone) {
      this._dependencies.quotas.giveBack(outcome.credit)
    } else {
      this._credit = outcome.credit
      this._begin()
    }
  }

  private _begin (): void {
    if (this._needsGrant) void this._requestGrant()
    else this._startAttempt()
  }

  private async _resolveStream (): Promise<void> {
    const problem = await this._stream.resolve(this._expiresAtMs)
    if (this._isDone) return
    if (problem !== undefined) {
      this._refuse({ status: 503, reason: problem.reason, retryAfterMs: STREAM_RETRY_AFTER_MS }, problem.detail)
      return
    }
    if (this._stream.earlierEvents !== undefined) this._relay.continueOutput(this._stream.earlierEvents.output)
    this._takeCredit()
  }

  private get _timeLeftMs (): number {
    return this._expiresAtMs - steadyNowMs()
  }

  private get _needsGrant (): boolean {
    const { program } = this._request
    if (this._route.kind !== RouteKind.Stream || program === undefined) return false
    return program.budgetTokens !== undefined || this._route.retainsTurns
  }

  private async _requestGrant (): Promise<void> {
    const outcome = await this._askOwner()
    if (outcome !== undefined) this._applyGrantOutcome(outcome)
  }

  /** Asks the owner of the program's partition for the turn; undefined if the request has ended meanwhile. */
  private async _askOwner (): Promise<GrantOutcome | undefined> {
    const { program, maxTokens } = this._request
    if (program === undefined) return undefined
    const { programId, budgetTokens } = program
    const requestId = internalIdOf(this._request)
    const previousTurnId = this._route.retainsTurns ? program.previousTurnId : undefined
    const request: GrantRequest = { programId, requestId, previousTurnId, prompt: this._request.prompt, budgetTokens, maxTokens, timeLeftMs: Math.ceil(this._timeLeftMs) }
    const startedMs = steadyNowMs()
    const outcome = await this._dependencies.turns.grant(request, this._route.retainsTurns, startedMs + this._timeLeftMs * GRANT_WAIT_SHARE)
    const tookMs = steadyNowMs() - startedMs
    this._dependencies.metrics.observeMs('grant_ms', tookMs)
    this._log('grantReceived', { outcome: outcome.type, tookMs: Math.round(tookMs), detail: outcome.type === 'unavailable' ? outcome.detail : undefined })
    if (!this._isDone) return outcome
    if (outcome.type === 'granted') this._reportTurnEnd(0)
    return undefined
  }

  private _applyGrantOutcome (outcome: GrantOutcome): void {
    switch (outcome.type) {
      case 'granted':
        this._grant = outcome
        this._holdAnswerUntilRecorded(outcome)
        this._startAttempt()
        return
      case 'spent': return this._refuse({ status: 402, reason: RefusalReason.BudgetSpent })
      case 'noSuchTurn': return this._refuse({ status: 404, reason: RefusalReason.NoSuchTurn })
      case 'unavailable':
        // The owner may have reserved tokens although its reply did not arrive; the report releases them.
        this._reportTurnEnd(0)
        return this._refuse({ status: 503, reason: RefusalReason.OwnerUnavailable, retryAfterMs: OWNER_RETRY_AFTER_MS }, outcome.detail)
    }
  }

  /** Pauses forwarding until the log has recorded the reservation of the turn's tokens. A lost reservation is made once more. */
  private _holdAnswerUntilRecorded ({ recorded }: GrantedTurn): void {
    if (recorded === undefined) return
    this._relay.pauseForwarding()
    void recorded.then(isRecorded => {
      if (this._isDone) return
      if (isRecorded) this._relay.resumeForwarding()
      else if (this._hasReservedAgain) this._endWithoutReservation()
      else void this._reserveAgain()
    })
  }

  /** Reserves the tokens of a turn that may run already at the next owner, after the first one has lost its partition. Nothing of the answer has been forwarded. */
  private async _reserveAgain (): Promise<void> {
    this._hasReservedAgain = true
    const outcome = await this._askOwner()
    if (outcome === undefined) return
    if (outcome.type !== 'granted') this._endWithoutReservation()
    else if (outcome.recorded === undefined) this._relay.resumeForwarding()
    else this._holdAnswerUntilRecorded(outcome)
  }

  private _endWithoutReservation (): void {
    const mayHaveRun = this._mayHaveRun || this._isAttemptOpen || this._relay.hasHead
    this._latestAttempt?.cancel()
    this._endWithoutAnswer({ type: mayHaveRun ? 'unknown' : 'notRun' }, 'the reservation was lost')
  }

  private _startAttempt (): void {
    if (this._refusePoison()) return
    const suspect = this._suspectTurn === undefined ? this._dependencies.poisonRequestDetector.findSuspect(this._request) : undefined
    if (suspect === undefined) this._selectWorker()
    else void this._beginSuspectTurn(suspect)
  }

  /** Obtains the right to send a request under which a worker has crashed, which is at one worker at a time. */
  private async _beginSuspectTurn (fingerprint: string): Promise<void> {
    const turn = await this._dependencies.suspectGate.begin(fingerprint, { requestId: this._request.requestId, durationMs: this._timeLeftMs })
    if (this._isDone) {
      if (turn.type === 'begun') turn.end(SuspectTurnEnd.NotHarmed)
    } else if (turn.type === 'begun') {
      this._suspectTurn = turn.end
      this._startAttempt()
    } else if (turn.type === 'open' && this._turnPauseMs < this._timeLeftMs * TURN_PAUSE_SHARE) {
      // A worker may serve it, so that it is no longer suspect.
      setTimeout(() => { if (!this._isDone) this._startAttempt() }, this._turnPauseMs)
      this._turnPauseMs *= 2
    } else {
      const retryAfterMs = turn.type === 'open' ? OPEN_TURN_RETRY_AFTER_MS : turn.waitMs
      this._endWithoutAnswer({ type: this._mayHaveRun ? 'unknown' : 'notRun' }, 'the request may crash workers and is at one', RefusalReason.Quarantined, retryAfterMs)
    }
  }

  private _endSuspectTurn (end: SuspectTurnEnd): void {
    this._suspectTurn?.(end)
    this._suspectTurn = undefined
    this._isSentInTurn = false
  }

  private _selectWorker (): void {
    const state = { cached: this._grant?.cached ?? [], excluded: this._excluded, hasBegun: this._hasBegun, timeLeftMs: this._timeLeftMs, origin: this._stream.origin }
    this._selector.select(state, selection => {
      const next: NextAction = { type: this._mayHaveRun ? 'unknown' : 'notRun' }
      switch (selection.type) {
        case 'selected':
          // The request may have become suspect while it waited for a slot.
          if (this._suspectTurn === undefined && this._dependencies.poisonRequestDetector.findSuspect(this._request) !== undefined) {
            selection.release?.({})
            return this._startAttempt()
          }
          if (this._refusePoison() || this._refuseWithdrawnKey()) return selection.release?.({})
          this._service = selection.service
          return this._send(selection.worker, selection.release)
        case 'refused': return this._endWithoutAnswer(next, 'no worker can take the request in time', RefusalReason.Overloaded, selection.retryAfterMs)
        case 'unreachable': return this._endWithoutAnswer(next, 'no node reaches the workers', RefusalReason.NoWorker, selection.retryAfterMs)
        case 'noWorker': return this._endWithoutAnswer(next, 'no worker is available', RefusalReason.NoWorker)
      }
    })
  }

  /** Ends the request if it has crashed several workers; false if it may be sent. */
  private _refusePoison (): boolean {
    const refusal = this._dependencies.poisonRequestDetector.findRefusal(this._request)
    if (refusal === undefined) return false
    const detail = refusal.isQuarantined ? 'the request crashed several workers' : 'the request may have crashed several workers'
    this._endWithoutAnswer({ type: this._mayHaveRun ? 'unknown' : 'notRun' }, detail, RefusalReason.Quarantined, refusal.retryAfterMs)
    return true
  }

  /** Ends the request if its access key was withdrawn, or may have been, while it waited; false if it may be sent. */
  private _refuseWithdrawnKey (): boolean {
    const refusal = this._dependencies.access.recheck(this._request, this._route)
    if (refusal === undefined) return false
    if (this._mayHaveRun || this._relay.hasBegun) {
      this._endWithoutAnswer({ type: 'unknown' }, 'the access key may have been withdrawn')
    } else {
      this._reportTurnEnd(0)
      this._refuse(refusal)
    }
    return true
  }

  private _send (worker: WorkerRegistration, release?: (end: PlacementEnd) => void): void {
    const { nodeCount, statistics, loadAgeMs } = this._dependencies
    this._believedInFlight = statistics.inFlightOf(worker.workerId)
    this._log('workerChosen', {
      worker: worker.workerId,
      zone: worker.zone,
      attempt: this._sentCount + this._unsentCount + 1,
      isCoordinated: release !== undefined,
      inFlight: this._believedInFlight,
      slots: worker.slots,
      loadAgeMs: Math.round(loadAgeMs()),
      isFirstTurn: this._needsGrant ? !this._hasBegun : undefined,
      isSessionCached: this._needsGrant ? this._grant?.cached.some(part => part.worker === worker.workerId) : undefined,
      excluded: this._excluded.size,
      softwareVersion: worker.softwareVersion,
      originVersion: this._stream.origin?.softwareVersion,
      resumes: this._request.resumedRequestId,
      lastEventId: this._relay.lastEventId,
      timeLeftMs: Math.round(this._timeLeftMs)
    })
    const request = this._request
    this._relay.beginAttempt(this._maxEvents)
    this._isSentInTurn = this._suspectTurn !== undefined
    this._isSent = true
    this._latestAttempt = new WorkerAttempt({
      dependencies: this._dependencies,
      route: this._route,
      request,
      worker,
      isSuspect: this._suspectTurn !== undefined,
      onReleased: release,
      call: createWorkerCall({
        request,
        route: this._route,
        worker,
        service: this._service,
        chain: this._grant?.chain ?? [],
        timeLeftMs: this._timeLeftMs,
        urgency: this._urgency,
        lastEventId: this._relay.lastEventId,
        nodeCount: nodeCount()
      }),
      listener: {
        onHead: head => this._onHead(head),
        onData: bytes => {
          const problem = this._relay.handleData(bytes)
          if (problem !== undefined) this._latestAttempt?.fail(problem)
        },
        onEnd: () => this._onAttemptEnd(),
        onFailed: (attemptOutcome, detail) => this._onAttemptFailed(attemptOutcome, detail)
      }
    })
    if (this._relay.isBackpressured) this._latestAttempt.setPaused(true)
  }

  private _onHead (head: WorkerAnswerHead): void {
    const continuesAnswer = this._relay.hasBegun
    this._relay.handleHead(head)
    if (continuesAnswer && !this._relay.isStream) this._latestAttempt?.fail(`status ${head.status} in place of the rest of the stream`)
  }

  private get _isAttemptOpen (): boolean {
    return this._latestAttempt?.isOpen === true
  }

  /** From 0, served first, to 9: by the priority of the route, then programs in progress before new ones. */
  private get _urgency (): number {
    return Math.min(9, this._route.priority * 2 + (this._hasBegun ? 0 : 1))
  }

  /** True for a turn of a program that has completed one. */
  private get _hasBegun (): boolean {
    return this._request.program?.previousTurnId !== undefined || (this._grant?.cached.length ?? 0) > 0
  }

  private _onAttemptEnd (): void {
    const problem = this._relay.findEndProblem()
    if (problem !== undefined) {
      this._latestAttempt?.rejectAnswer(problem)
      return
    }
    this._sentCount++
    this._endSuspectTurn(this._relay.provesService ? SuspectTurnEnd.Served : SuspectTurnEnd.NotHarmed)
    const eventTimes = this._latestAttempt === undefined || !this._relay.isStream ? undefined : this._relay.eventTimesSince(this._latestAttempt.startedMs)
    this._latestAttempt?.recordAnswer(this._relay.status, Math.max(1, this._relay.eventCount), eventTimes)
    if (this._relay.provesService) this._dependencies.poisonRequestDetector.recordServed(this._request)
    else if (!this._relay.isSelfDelimiting) this._latestAttempt?.watchWorker()
    this._relay.endAttempt(() => {
      if (this._relay.isStream && this._grant !== undefined) {
        void this._finishTurn()
        return
      }
      this._reportTurnEnd(0)
      this._finish(this._relay.status)
    })
  }

  /** Reports the end of the turn. The answer of a retained turn ends only after the turn is recorded in the log, so that a later turn can continue it whichever node fails. */
  private async _finishTurn (): Promise<void> {
    const { program, body } = this._request
    if (program === undefined || !this._route.retainsTurns) {
      this._reportTurnEnd(this._usedTokens)
      this._finish(this._relay.status)
      return
    }
    const startedMs = steadyNowMs()
    const end: TurnEnd = {
      ...this._createTurnEnd(this._usedTokens),
      turn: { turnId: internalIdOf(this._request), programId: program.programId, previousTurnId: program.previousTurnId, input: body, output: this._relay.takeOutput(), keepMs: this._route.turnRetentionMs, worker: this._latestAttempt?.worker.workerId }
    }
    const outcome = await this._dependencies.turns.end(end, this._expiresAtMs - TURN_END_MARGIN_MS)
    this._dependencies.metrics.observeMs('turn_end_ms', steadyNowMs() - startedMs, { outcome })
    if (this._isDone) return
    if (outcome === 'unavailable') {
      this._reportTurnEnd(this._usedTokens)
      this._abort('the turn could not be recorded')
    } else {
      this._finish(this._relay.status)
    }
  }

  private _onAttemptFailed (attemptOutcome: AttemptOutcome, detail: string): void {
    const worker = this._latestAttempt?.worker
    if (attemptOutcome === AttemptOutcome.NotSent) this._unsentCount++
    else this._sentCount++
    this._isSent = this._sentCount > 0
    if (attemptOutcome === AttemptOutcome.Unknown) this._mayHaveRun = true
    this._endSuspectTurn(attemptOutcome === AttemptOutcome.Unknown ? SuspectTurnEnd.Unanswered : SuspectTurnEnd.NotHarmed)
    if (worker !== undefined) this._excluded.add(worker.workerId)
    this._dependencies.metrics.count('attempts_failed_total', { fate: attemptOutcome })
    if (attemptOutcome === AttemptOutcome.Refused && worker !== undefined) {
      this._dependencies.metrics.count('worker_refusals_total', { belief: this._believedInFlight < worker.slots ? 'free' : 'full' })
    }
    const reason = attemptOutcome === AttemptOutcome.Refused ? RefusalReason.WorkerRefused : RefusalReason.OutcomeUnknown
    // Events held back until the reservation is recorded are forwarded first: the next attempt resumes after the last forwarded event.
    this._relay.whenForwarding(() => {
      if (this._isDone) return
      // A request that may have crashed workers before is not repeated beside sound ones.
      const isSuspect = attemptOutcome === AttemptOutcome.Unknown && this._dependencies.poisonRequestDetector.findSuspect(this._request) !== undefined
      const next: NextAction = isSuspect ? { type: 'unknown' } : resolveNextAction(attemptOutcome, { route: this._route, sentCount: this._sentCount, unsentCount: this._unsentCount, mayHaveRun: this._mayHaveRun, hasAnswerBegun: this._relay.hasBegun, isAnswerContinuable: this._relay.isContinuable, timeLeftMs: this._timeLeftMs })
      this._log('attemptFailed', { worker: worker?.workerId, fate: attemptOutcome, detail, next: next.type, sent: this._sentCount })
      this._applyNextAction(next, detail, reason)
    })
  }

  private _applyNextAction (next: NextAction, detail: string, reason: RefusalReason): void {
    if (this._isDone) return
    if (next.type === 'again' || next.type === 'resume') this._startAttempt()
    else this._endWithoutAnswer(next, detail, reason)
  }

  /** Ends the request without a complete answer: aborts an answer that has begun, else refuses the request. */
  private _endWithoutAnswer (next: NextAction, detail: string, reason: RefusalReason = RefusalReason.OutcomeUnknown, retryAfterMs = BUSY_RETRY_AFTER_MS): void {
    if (this._isDone) return
    this._reportTurnEnd(this._usedTokens)
    if (this._relay.hasBegun) this._abort(detail)
    else if (next.type === 'notRun') this._refuse({ status: 503, reason, retryAfterMs }, detail)
    else this._refuse({ status: 502, reason: RefusalReason.OutcomeUnknown }, detail)
  }

  endForStop (): void {
    this._expire(RefusalReason.Stopping, 'the node stops')
  }

  private _expire (reason: RefusalReason = RefusalReason.TimedOut, detail = 'timed out'): void {
    if (this._isDone) return
    const mayHaveRun = this._mayHaveRun || this._isAttemptOpen || this._relay.hasHead
    if (this._relay.hasHead && !this._relay.isBackpressured) this._latestAttempt?.cancelUnfinished()
    else this._latestAttempt?.cancel()
    this._reportTurnEnd(this._usedTokens)
    if (this._relay.hasBegun) this._abort(detail)
    else if (mayHaveRun) this._refuse({ status: 504, reason })
    else this._refuse({ status: 503, reason, retryAfterMs: BUSY_RETRY_AFTER_MS })
  }

  private _onCallerDisconnected (): void {
    if (this._isDone) return
    this._latestAttempt?.cancel()
    this._reportTurnEnd(this._usedTokens)
    this._endCall('callerGone', 0)
  }

  /** Tokens that this attempt gave to the caller; earlier attempts have reported theirs. */
  private get _usedTokens (): number {
    return this._tokensOf(this._relay.eventCount)
  }

  private _tokensOf (eventCount: number): number {
    return eventCount * (this._service?.engine?.tokensPerEvent ?? 1)
  }

  /** Events that the request may generate; one more than its tokens fill, as the last one may be a part. */
  private get _maxEvents (): number | undefined {
    const { maxTokens } = this._request
    const tokensPerEvent = this._service?.engine?.tokensPerEvent
    return maxTokens === 0 || tokensPerEvent === undefined ? undefined : Math.ceil(maxTokens / tokensPerEvent) + 1
  }

  private _createTurnEnd (usedTokens: number): TurnEnd {
    const { program } = this._request
    const outputTokens = usedTokens + this._tokensOf(this._stream.earlierEvents?.eventCount ?? 0)
    const prompt = this._request.prompt.map((part, index, { length }) => index === length - 1 ? { ...part, tokens: part.tokens + outputTokens } : part)
    return { programId: program?.programId ?? '', requestId: internalIdOf(this._request), usedTokens, worker: this._sentCount > 0 ? this._latestAttempt?.worker.workerId : undefined, prompt }
  }

  /** Reports the end of the turn and its used tokens to the owner, in the background; the turn itself is not retained. */
  private _reportTurnEnd (usedTokens: number): void {
    if (!this._needsGrant) return
    void this._dependencies.turns.end(this._createTurnEnd(usedTokens), steadyNowMs() + LATE_TURN_END_TIMEOUT_MS)
  }

  private _finish (status: number): void {
    if (this._isDone) return
    this._sink.end()
    this._endCall('answered', status)
  }

  private _refuse (refusal: Refusal, detail?: string): void {
    if (this._isDone) return
    this._sink.refuse(refusal)
    this._endCall('refused', refusal.status, refusal.reason, detail)
  }

  private _abort (detail: string): void {
    if (this._isDone) return
    this._sink.abort()
    this._endCall('broken', 0, undefined, detail)
  }

  private _endCall (outcome: string, status: number, reason?: string, detail?: string): void {
    this._isDone = true
    this._unregister()
    this._endSuspectTurn(this._isSentInTurn ? SuspectTurnEnd.Unanswered : SuspectTurnEnd.NotHarmed)
    this._selector.cancel()
    if (this._credit !== undefined && !this._isSent) this._dependencies.quotas.giveBack(this._credit)
    this._relay.stop()
    this._stream.end()
    clearTimeout(this._expiryTimer)
    const { firstByteAtMs, eventCount } = this._relay
    const tookMs = steadyNowMs() - this._request.arrivedAtMs
    this._dependencies.metrics.count('routed_requests_total', { route: this._route.name, outcome, status: String(status) })
    this._dependencies.metrics.observeMs('routed_request_ms', tookMs, { kind: this._route.kind })
    this._dependencies.access.countEnd(this._request.account, outcome, status)
    this._log('requestEnded', {
      outcome,
      status,
      reason,
      detail,
      tookMs: Math.round(tookMs),
      firstByteMs: firstByteAtMs === undefined ? undefined : Math.round(firstByteAtMs - this._request.arrivedAtMs),
      worker: this._latestAttempt?.worker.workerId,
      sent: this._sentCount,
      unsent: this._unsentCount,
      events: eventCount,
      earlierEvents: this._stream.earlierEvents?.eventCount
    })
  }

  private _log (event: string, fields: LogFields): void {
    const { requestId, program, account } = this._request
    this._dependencies.write(event, { requestId, program: program?.programId, account, route: this._route.name, documentVersion: this._dependencies.routes.version, ...fields })
  }
}
