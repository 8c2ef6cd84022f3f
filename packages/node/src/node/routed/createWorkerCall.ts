/** Creates the call that sends a routed request to a worker. */
import { type Route, type RoutedService, RouteKind, type WorkerRegistration } from '@trefoilshunt/core'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import type { WorkerCall } from '../../common/routed/workerClient.js'
import { connectionShareOf } from './paths/connectionShare.js'

export interface WorkerCallOptions {
  request: RoutedRequest
  route: Route
  worker: WorkerRegistration
  /** Undefined if the document doesn't name the worker's service. */
  service: RoutedService | undefined
  /** Inputs and outputs of the turns that precede the request's body. */
  chain: readonly Uint8Array[]
  timeLeftMs: number
  /** From 0, served first, to 9; for model engines only. */
  urgency: number
  lastEventId: string | undefined
  /** Number of nodes among which the connections to the worker are divided. */
  nodeCount: number
}

export function createWorkerCall ({ request, route, worker, service, chain, timeLeftMs, urgency, lastEventId, nodeCount }: WorkerCallOptions): WorkerCall {
  const { requestId, method, path, headers, body, account } = request
  return {
    workerId: worker.workerId,
    address: worker.address,
    requestId,
    method,
    path,
    headers,
    body: [...chain, body],
    deadlineMs: Math.max(1, Math.floor(timeLeftMs)),
    urgency: service?.engine === undefined ? undefined : urgency,
    lastEventId,
    ...(account === undefined ? {} : { account }),
    maxConnections: connectionShareOf(service, nodeCount),
    isRepeatable: route.kind !== RouteKind.Unsafe
  }
}
