/** The life of one routed request: route, grant, worker, answer, and the report of its end. */
import {
  AttemptOutcome, type GrantRequest, type LogFields, type NextStep, resolveNextStep, type Route, type RoutedService, RouteKind, type TurnEnd, type WorkerRegistration
} from '@trefoilshunt/core'
import { type IAnswerSink, type Refusal, RefusalReason, type RoutedRequest } from '../../common/routed/routedRequest.js'
import { steadyNowMs } from '../steadyClock.js'
import { AnswerRelay } from './answerRelay.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'
import type { GrantedTurn, GrantOutcome } from './turnService.js'
import { WorkerAttempt } from './workerAttempt.js'

/** Callers come back after this when no worker has room; about one short request. */
const BUSY_RETRY_AFTER_MS = 120
/** Callers come back after this when the owner of their program is being replaced. */
const OWNER_RETRY_AFTER_MS = 300
/** A request that crashes workers is not wanted back soon. */
const QUARANTINE_RETRY_AFTER_MS = 60_000
/** Part of the time left for which a request may wait for the owner of its program. */
const GRANT_WAIT_SHARE = 0.4
/** A kept turn's answer is finished at the latest this long before its caller gives up. */
const END_MARGIN_MS = 60
/** Reports of turns whose caller doesn't wait go on for this long. */
const LATE_END_MS = 8_000

export class RoutedCall {
  private readonly _expiresAtMs: number
  private readonly _excluded = new Set<string>()
  private readonly _relay: AnswerRelay
  private _expiryTimer: NodeJS.Timeout | undefined
  private _service: RoutedService | undefined
  private _grant: GrantedTurn | undefined
  /** The latest attempt. */
  private _attempted: WorkerAttempt | undefined
  private _isDone = false
  private _sentCount = 0
  private _unsentCount = 0
  private _mayHaveRun = false

  constructor (
    private readonly _services: RoutedCallDependencies,
    private readonly _request: RoutedRequest,
    private readonly _route: Route,
    private readonly _sink: IAnswerSink
  ) {
    const patienceMs = Math.min(_request.deadlineMs ?? Number.POSITIVE_INFINITY, _route.timeoutMs)
    this._expiresAtMs = _request.arrivedAtMs + patienceMs
    this._relay = new AnswerRelay(_sink, _request.lastEventId)
  }

  start (): void {
    this._sink.onGone = () => this._leave()
    this._expiryTimer = setTimeout(() => this._expire(), Math.max(0, this._timeLeftMs))
    if (this._needsGrant) void this._askForGrant()
    else this._attempt()
  }

  private get _timeLeftMs (): number {
    return this._expiresAtMs - steadyNowMs()
  }

  private get _needsGrant (): boolean {
    const { program } = this._request
    if (this._route.kind !== RouteKind.Stream || program === undefined) return false
    return program.budgetTokens !== undefined || this._route.retainsTurns
  }

  private async _askForGrant (): Promise<void> {
    const { program, requestId, maxTokens } = this._request
    if (program === undefined) return
    const { programId, budgetTokens } = program
    const previousTurnId = this._route.retainsTurns ? program.previousTurnId : undefined
    const request: GrantRequest = { programId, requestId, previousTurnId, prompt: this._request.prompt, budgetTokens, maxTokens }
    const startedMs = steadyNowMs()
    const outcome = await this._services.turns.grant(request, this._route.retainsTurns, startedMs + this._timeLeftMs * GRANT_WAIT_SHARE)
    const tookMs = steadyNowMs() - startedMs
    this._services.metrics.observeMs('grant_ms', tookMs)
    this._log('grantReceived', { outcome: outcome.type, tookMs: Math.round(tookMs), detail: outcome.type === 'unavailable' ? outcome.detail : undefined })
    if (this._isDone) {
      if (outcome.type === 'granted') this._report(0)
      return
    }
    this._takeGrant(outcome)
  }

  private _takeGrant (outcome: GrantOutcome): void {
    switch (outcome.type) {
      case 'granted':
        this._grant = outcome
        this._watchReservation(outcome)
        this._attempt()
        return
      case 'spent': return this._refuse({ status: 402, reason: RefusalReason.BudgetSpent })
      case 'noSuchTurn': return this._refuse({ status: 404, reason: RefusalReason.NoSuchTurn })
      case 'unavailable':
        // The owner may have reserved tokens without its answer arriving.
        this._report(0)
        return this._refuse({ status: 503, reason: RefusalReason.OwnerUnavailable, retryAfterMs: OWNER_RETRY_AFTER_MS }, outcome.detail)
    }
  }

  /** Nothing reaches the caller before the reservation of its tokens is recorded. */
  private _watchReservation ({ recorded }: GrantedTurn): void {
    if (recorded === undefined) return
    this._relay.closeGate()
    void recorded.then(isRecorded => {
      if (this._isDone) return
      if (!isRecorded) {
        const mayHaveRun = this._mayHaveRun || this._isAtWorker || this._relay.hasHead
        this._attempted?.cancel()
        this._endWith({ type: mayHaveRun ? 'unknown' : 'notRun' }, 'the reservation was lost')
        return
      }
      this._relay.openGate()
    })
  }

  private _attempt (): void {
    if (this._services.crashes.isQuarantined(this._request)) {
      this._endWith({ type: this._mayHaveRun ? 'unknown' : 'notRun' }, 'the request crashed several workers', RefusalReason.Quarantined)
      return
    }
    const worker = this._chooseWorker()
    if (worker === undefined) {
      this._endWith({ type: this._mayHaveRun ? 'unknown' : 'notRun' }, 'no worker', RefusalReason.NoWorker)
      return
    }
    this._log('workerChosen', {
      worker: worker.workerId,
      zone: worker.zone,
      attempt: this._sentCount + this._unsentCount + 1,
      inFlight: this._services.statistics.inFlightOf(worker.workerId),
      slots: worker.slots,
      excluded: this._excluded.size,
      timeLeftMs: Math.round(this._timeLeftMs)
    })
    this._send(worker)
  }

  private _chooseWorker (): WorkerRegistration | undefined {
    const { routes, registry, choice, durations, workers, zone } = this._services
    const nowMs = steadyNowMs()
    for (const name of routes.drawServices(this._route)) {
      this._service = routes.findService(name)
      const worker = choice.chooseWorker({
        candidates: registry.workersOf(name, nowMs),
        excluded: this._excluded,
        zone,
        durationMs: durations.expectedMs(this._route),
        prompt: this._request.prompt,
        cached: this._grant?.cached ?? [],
        isConnected: worker => workers.hasIdleConnection(worker.address),
        nowMs
      })
      if (worker !== undefined) return worker
    }
    return undefined
  }

  private _send (worker: WorkerRegistration): void {
    const { nodeCount } = this._services
    const request = this._request
    this._relay.beginRun()
    this._attempted = new WorkerAttempt({
      services: this._services,
      route: this._route,
      worker,
      prompt: request.prompt,
      call: {
        workerId: worker.workerId,
        address: worker.address,
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: [...(this._grant?.chain ?? []), request.body],
        deadlineMs: Math.max(1, Math.floor(this._timeLeftMs)),
        urgency: this._service?.engine === undefined ? undefined : this._urgency,
        lastEventId: this._relay.lastEventId,
        maxConnections: Math.max(2, Math.floor((this._service?.maxConnections ?? 64) / Math.max(1, nodeCount())))
      },
      listener: {
        onHead: head => this._relay.takeHead(head),
        onData: bytes => this._relay.takeData(bytes),
        onEnd: () => this._onEnd(),
        onFailed: (fate, detail) => this._onFailed(fate, detail)
      }
    })
  }

  private get _isAtWorker (): boolean {
    return this._attempted?.isOpen === true
  }

  /** Rank of the route first; programs that have begun go before new ones. */
  private get _urgency (): number {
    const hasBegun = this._request.program?.previousTurnId !== undefined || (this._grant?.cached.length ?? 0) > 0
    return Math.min(9, this._route.priority * 2 + (hasBegun ? 0 : 1))
  }

  private _onEnd (): void {
    this._sentCount++
    this._attempted?.noteAnswer(this._relay.status, Math.max(1, this._relay.eventCount))
    this._services.crashes.recordServed(this._request)
    this._relay.endRun(() => {
      if (this._relay.isStream && this._grant !== undefined) {
        void this._finishTurn()
        return
      }
      this._report(0)
      this._finish(this._relay.status)
    })
  }

  /** Ends the answer once the turn is recorded, so that it can be continued whatever fails next. */
  private async _finishTurn (): Promise<void> {
    const { program, requestId, body } = this._request
    if (program === undefined || !this._route.retainsTurns) {
      this._report(this._usedTokens)
      this._finish(this._relay.status)
      return
    }
    const startedMs = steadyNowMs()
    const end: TurnEnd = {
      ...this._turnEnd(this._usedTokens),
      turn: { turnId: requestId, programId: program.programId, previousTurnId: program.previousTurnId, input: body, output: this._relay.output, keepMs: this._route.turnRetentionMs, worker: this._attempted?.worker.workerId }
    }
    const outcome = await this._services.turns.end(end, this._expiresAtMs - END_MARGIN_MS)
    this._services.metrics.observeMs('turn_end_ms', steadyNowMs() - startedMs, { outcome })
    if (this._isDone) return
    if (outcome === 'unavailable') {
      this._report(this._usedTokens)
      this._abort('the turn could not be recorded')
    } else {
      this._finish(this._relay.status)
    }
  }

  private _onFailed (fate: AttemptOutcome, detail: string): void {
    const worker = this._attempted?.worker
    if (fate === AttemptOutcome.NotSent) this._unsentCount++
    else this._sentCount++
    if (fate === AttemptOutcome.Unknown) this._mayHaveRun = true
    if (worker !== undefined) this._excluded.add(worker.workerId)
    if (worker !== undefined && fate === AttemptOutcome.Unknown) void this._services.crashes.handleBrokenRequest(this._request, worker)
    this._services.metrics.count('attempts_failed_total', { fate })
    const reason = fate === AttemptOutcome.Refused ? RefusalReason.WorkerRefused : RefusalReason.FateUnknown
    // Events that wait for the reservation go to the caller first: a resumed run must not repeat them.
    this._relay.whenOpen(() => {
      if (this._isDone) return
      const next = resolveNextStep(fate, { route: this._route, sentCount: this._sentCount, unsentCount: this._unsentCount, mayHaveRun: this._mayHaveRun, hasAnswerBegun: this._relay.hasBegun, timeLeftMs: this._timeLeftMs })
      this._log('attemptFailed', { worker: worker?.workerId, fate, detail, next: next.type, sent: this._sentCount })
      this._follow(next, detail, reason)
    })
  }

  private _follow (next: NextStep, detail: string, reason: RefusalReason): void {
    if (this._isDone) return
    if (next.type === 'again' || next.type === 'resume') this._attempt()
    else this._endWith(next, detail, reason)
  }

  /** Ends the request without a worker's answer. */
  private _endWith (next: NextStep, detail: string, reason: RefusalReason = RefusalReason.FateUnknown): void {
    if (this._isDone) return
    this._report(this._usedTokens)
    if (this._relay.hasBegun) this._abort(detail)
    else if (next.type === 'notRun') this._refuse({ status: 503, reason, retryAfterMs: reason === RefusalReason.Quarantined ? QUARANTINE_RETRY_AFTER_MS : BUSY_RETRY_AFTER_MS }, detail)
    else this._refuse({ status: 502, reason: RefusalReason.FateUnknown }, detail)
  }

  private _expire (): void {
    if (this._isDone) return
    const mayHaveRun = this._mayHaveRun || this._isAtWorker || this._relay.hasHead
    this._attempted?.cancel()
    this._report(this._usedTokens)
    if (this._relay.hasBegun) this._abort('timed out')
    else if (mayHaveRun) this._refuse({ status: 504, reason: RefusalReason.TimedOut })
    else this._refuse({ status: 503, reason: RefusalReason.TimedOut, retryAfterMs: BUSY_RETRY_AFTER_MS })
  }

  private _leave (): void {
    if (this._isDone) return
    this._attempted?.cancel()
    this._report(this._usedTokens)
    this._done('callerGone', 0)
  }

  private get _usedTokens (): number {
    return this._relay.eventCount * (this._service?.engine?.tokensPerEvent ?? 1)
  }

  private _turnEnd (usedTokens: number): TurnEnd {
    const { program, requestId } = this._request
    const prompt = this._request.prompt.map((part, index, { length }) => index === length - 1 ? { ...part, tokens: part.tokens + usedTokens } : part)
    return { programId: program?.programId ?? '', requestId, usedTokens, worker: this._sentCount > 0 ? this._attempted?.worker.workerId : undefined, prompt }
  }

  /** Tells the owner what the caller was given; the caller doesn't wait for it. */
  private _report (usedTokens: number): void {
    if (!this._needsGrant) return
    void this._services.turns.end(this._turnEnd(usedTokens), steadyNowMs() + LATE_END_MS)
  }

  private _finish (status: number): void {
    if (this._isDone) return
    this._sink.end()
    this._done('answered', status)
  }

  private _refuse (refusal: Refusal, detail?: string): void {
    if (this._isDone) return
    this._sink.refuse(refusal)
    this._done('refused', refusal.status, refusal.reason, detail)
  }

  private _abort (detail: string): void {
    if (this._isDone) return
    this._sink.abort()
    this._done('broken', 0, undefined, detail)
  }

  private _done (outcome: string, status: number, reason?: string, detail?: string): void {
    this._isDone = true
    this._relay.stop()
    clearTimeout(this._expiryTimer)
    const { firstByteAtMs, eventCount } = this._relay
    const tookMs = steadyNowMs() - this._request.arrivedAtMs
    this._services.metrics.count('routed_requests_total', { route: this._route.name, outcome, status: String(status) })
    this._services.metrics.observeMs('routed_request_ms', tookMs, { kind: this._route.kind })
    this._log('requestEnded', {
      outcome,
      status,
      reason,
      detail,
      tookMs: Math.round(tookMs),
      firstByteMs: firstByteAtMs === undefined ? undefined : Math.round(firstByteAtMs - this._request.arrivedAtMs),
      worker: this._attempted?.worker.workerId,
      sent: this._sentCount,
      unsent: this._unsentCount,
      events: eventCount
    })
  }

  private _log (event: string, fields: LogFields): void {
    const { requestId, program } = this._request
    this._services.write(event, { requestId, program: program?.programId, route: this._route.name, documentVersion: this._services.routes.version, ...fields })
  }
}
