/** Decides at which workers the stream of one request goes on, and which events of it the caller holds already. */
import { type Route, RouteKind, type WorkerRegistration } from '@trefoilshunt/core'
import type { EarlierEvents } from '../../common/routed/earlierEvents.js'
import type { StreamOrigin } from '../../common/routed/routedPeerMessages.js'
import { internalIdOf, RefusalReason, type RoutedRequest } from '../../common/routed/routedRequest.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'
import type { IForwardedOutput, StreamTakeUp } from './streamOutputs.js'

/** Nodes remember ids of attempts, and callers choose them. */
const MAX_ID_CHARACTERS = 256

export interface StreamContinuationOptions {
  dependencies: Pick<RoutedCallDependencies, 'routes' | 'streamOrigins' | 'streamOutputs' | 'metrics'>
  request: RoutedRequest
  route: Route
}

/** Why a stream can't go on. */
export interface StreamProblem {
  reason: RefusalReason
  detail: string
}

/**
 * @example
 * if (stream.isTakenUp) await stream.resolve(expiresAtMs)
 * stream.recordEvents(worker, bytes)
 * stream.origin // further attempts go there
 * stream.end()
 */
export class StreamContinuation {
  private _origin: StreamOrigin | undefined
  private _earlierEvents: EarlierEvents | undefined
  /** Set while peers know of this attempt, and it has not forwarded an event. */
  private _announced: StreamTakeUp | undefined
  private _output: IForwardedOutput | undefined
  private _isRecorded = false

  constructor (private readonly _options: StreamContinuationOptions) {}

  /** The workers that began the stream; undefined before its first event. */
  get origin (): StreamOrigin | undefined {
    return this._origin
  }

  /** What earlier attempts brought the caller of a turn that is retained; undefined for the first attempt and for other streams. */
  get earlierEvents (): EarlierEvents | undefined {
    return this._earlierEvents
  }

  /** True if the caller has received the first events in an earlier try. */
  get isTakenUp (): boolean {
    const { request: { resumedRequestId }, route } = this._options
    return this._needsEarlierEvents || (route.kind === RouteKind.Stream && this._isResumable && (this._lastEventId !== undefined || resumedRequestId !== undefined))
  }

  /** Finds the origin of a stream that is taken up, and the events that its caller holds if the turn is retained; returns why one isn't known, or undefined. */
  async resolve (untilMs: number): Promise<StreamProblem | undefined> {
    const [originProblem, outputProblem] = await Promise.all([
      this._isResumable ? this._resolveOrigin() : undefined,
      this._needsEarlierEvents ? this._resolveEarlierEvents(untilMs) : undefined
    ])
    if (originProblem !== undefined) return { reason: RefusalReason.StreamOriginUnavailable, detail: originProblem }
    if (outputProblem !== undefined) return { reason: RefusalReason.StreamOutputUnavailable, detail: outputProblem }
  }

  /** Must be called with events before they go to the caller; the first ones decide the origin. */
  recordEvents (worker: WorkerRegistration, bytes: Uint8Array): void {
    if (!this._isRecorded) this._recordBeginning(worker)
    this._output?.append(bytes)
  }

  /** The request has ended, with or without an answer. */
  end (): void {
    this._output?.end()
    if (this._announced !== undefined) this._options.dependencies.streamOutputs.withdraw(this._announced)
    this._announced = undefined
  }

  private get _lastEventId (): string | undefined {
    return this._options.request.lastEventId
  }

  private get _isResumable (): boolean {
    return this._options.route.canResume
  }

  private get _isRetained (): boolean {
    const { route, request: { program } } = this._options
    return route.kind === RouteKind.Stream && route.retainsTurns && program !== undefined
  }

  private get _needsEarlierEvents (): boolean {
    return this._isRetained && this._lastEventId !== undefined && this._lastEventId !== ''
  }

  private async _resolveOrigin (): Promise<string | undefined> {
    const { dependencies: { routes, streamOrigins, metrics }, request, route } = this._options
    const [service = ''] = routes.drawServices(route)
    const outcome = await streamOrigins.resolve(request.resumedRequestId, service)
    metrics.count('stream_origins_total', { outcome: outcome.type })
    if (outcome.type === 'unknown') return outcome.detail
    this._origin = outcome.origin
  }

  private async _resolveEarlierEvents (untilMs: number): Promise<string | undefined> {
    const { dependencies: { streamOutputs, metrics }, request } = this._options
    const { resumedRequestId, lastEventId } = request
    const requestId = internalIdOf(request)
    if (!this._isResumable) return 'streams of the route are not taken up'
    if (lastEventId === undefined || resumedRequestId === undefined) return 'the attempt that began the stream is not named'
    if (requestId === '' || requestId === resumedRequestId) return 'the attempt has no id of its own'
    if ([requestId, resumedRequestId, lastEventId].some(isTooLong)) return 'an id is too long'
    this._announced = { streamId: resumedRequestId, attemptId: requestId, lastEventId }
    const outcome = await streamOutputs.resolve(this._announced, untilMs)
    metrics.count('stream_outputs_total', { outcome: outcome.type })
    if (outcome.type === 'unknown') return outcome.detail
    this._earlierEvents = outcome
  }

  private _recordBeginning ({ service, softwareVersion }: WorkerRegistration): void {
    this._isRecorded = true
    this._origin ??= { service, softwareVersion }
    const { dependencies: { streamOrigins, streamOutputs }, request } = this._options
    const requestId = internalIdOf(request)
    if (!this._isResumable) return
    streamOrigins.recordBeginning(requestId, this._origin)
    if (!this._isRetained || requestId === '' || isTooLong(requestId)) return
    this._output = streamOutputs.begin(this._announced ?? { streamId: requestId, attemptId: requestId }, this._earlierEvents)
    this._announced = undefined
  }
}

function isTooLong (id: string): boolean {
  return id.length > MAX_ID_CHARACTERS
}
