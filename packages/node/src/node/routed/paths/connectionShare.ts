/** Divides the connections that a worker accepts among the nodes. */
import type { RoutedService } from '@trefoilshunt/core'

/** Applies to services that the document doesn't name. */
const DEFAULT_MAX_CONNECTIONS = 64
const MIN_CONNECTIONS = 2

/** Connections to one worker of the service that each of `nodeCount` nodes may open. */
export function connectionShareOf (service: RoutedService | undefined, nodeCount: number): number {
  return Math.max(MIN_CONNECTIONS, Math.floor((service?.maxConnections ?? DEFAULT_MAX_CONNECTIONS) / Math.max(1, nodeCount)))
}
