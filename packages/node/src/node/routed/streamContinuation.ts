/** Decides at which workers the stream of one request goes on. */
import { type Route, RouteKind, type WorkerRegistration } from '@trefoilshunt/core'
import type { StreamOrigin } from '../../common/routed/routedPeerMessages.js'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'

export interface StreamContinuationOptions {
  dependencies: Pick<RoutedCallDependencies, 'routes' | 'streamOrigins' | 'metrics'>
  request: RoutedRequest
  route: Route
}

/**
 * @example
 * if (stream.isTakenUp) await stream.resolveOrigin()
 * stream.recordEvent(worker)
 * stream.origin // further attempts go there
 */
export class StreamContinuation {
  private _origin: StreamOrigin | undefined
  private _isRecorded = false

  constructor (private readonly _options: StreamContinuationOptions) {}

  /** The workers that began the stream; undefined before its first event. */
  get origin (): StreamOrigin | undefined {
    return this._origin
  }

  /** True if the caller has received the first events in an earlier try. */
  get isTakenUp (): boolean {
    const { request: { lastEventId, resumedRequestId }, route } = this._options
    return route.kind === RouteKind.Stream && route.canResume && (lastEventId !== undefined || resumedRequestId !== undefined)
  }

  /** Finds the origin of a stream that is taken up; returns why it isn't known, or undefined. */
  async resolveOrigin (): Promise<string | undefined> {
    const { dependencies: { routes, streamOrigins, metrics }, request, route } = this._options
    const [service = ''] = routes.drawServices(route)
    const outcome = await streamOrigins.resolve(request.resumedRequestId, service)
    metrics.count('stream_origins_total', { outcome: outcome.type })
    if (outcome.type === 'unknown') return outcome.detail
    this._origin = outcome.origin
  }

  /** Must be called before each event goes to the caller; the first one decides the origin. */
  recordEvent ({ service, softwareVersion }: WorkerRegistration): void {
    if (this._isRecorded) return
    this._isRecorded = true
    this._origin ??= { service, softwareVersion }
    const { dependencies: { streamOrigins }, request, route } = this._options
    if (route.canResume) streamOrigins.recordBeginning(request.requestId, this._origin)
  }
}
