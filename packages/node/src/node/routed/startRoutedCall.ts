/** Finds the route of a request, checks its access key and starts its call, or refuses it. */
import type { Route } from '@trefoilshunt/core'
import { type IAnswerSink, type Refusal, RefusalReason, type RoutedRequest } from '../../common/routed/routedRequest.js'
import type { AccessOutcome } from './accounts/accessControl.js'
import { RoutedCall } from './routedCall.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'

/** Retry-after while the node has no document yet, or an outdated one that may lack the route. */
const NO_ROUTE_RETRY_AFTER_MS = 300

/** Handles a request; its answer, or a refusal, goes to `sink`. */
export function startRoutedCall (dependencies: RoutedCallDependencies, request: RoutedRequest, sink: IAnswerSink): void {
  const { routes, write } = dependencies
  const refuse = (refusal: Refusal): void => {
    sink.refuse(refusal)
    dependencies.metrics.count('routed_requests_total', { route: '', outcome: 'refused', status: String(refusal.status) })
    write('requestEnded', { requestId: request.requestId, outcome: 'refused', status: refusal.status, reason: refusal.reason, host: request.host, path: request.path, documentVersion: routes.version })
  }
  if (routes.limits === undefined) {
    refuse({ status: 503, reason: RefusalReason.NoDocument, retryAfterMs: NO_ROUTE_RETRY_AFTER_MS })
    return
  }
  if (request.body.length > routes.limits.bodyBytes) {
    refuse({ status: 413, reason: RefusalReason.TooLarge })
    return
  }
  const applyAccess = (outcome: AccessOutcome): void => {
    if (outcome.type === 'refused') refuse(outcome.refusal)
    else new RoutedCall(dependencies, outcome.request, outcome.route, sink).start()
  }
  const start = (route: Route): void => {
    const outcome = dependencies.access.authorize(request, route)
    if (outcome instanceof Promise) void outcome.then(applyAccess)
    else applyAccess(outcome)
  }
  const route = routes.resolveRoute(request.host, request.path)
  if (route !== undefined) start(route)
  else if (dependencies.isDocumentFresh()) refuse({ status: 404, reason: RefusalReason.NoRoute })
  else refuse({ status: 503, reason: RefusalReason.NoRoute, retryAfterMs: NO_ROUTE_RETRY_AFTER_MS })
}
