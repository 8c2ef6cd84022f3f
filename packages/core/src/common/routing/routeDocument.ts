/** The operator's document of routes and services, in the form that the handling of routed requests uses. */

import type { ClientAccount } from '../accounts/clientAccount.js'

/** Whether requests of a route may be repeated: `Safe` always, `Unsafe` never, `Stream` only with `canResume`. */
export const RouteKind = { Safe: 'safe', Unsafe: 'unsafe', Stream: 'stream' } as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A service that gets a share of a route's requests. */
export interface WeightedService {
  service: string
  /** Share relative to the other services of the route. */
  weight: number
}

/** Rules for the requests of one host and path prefix. */
export interface Route {
  name: string
  /** Matched without regard to case and port. */
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Longest time from the arrival of a request to the end of its answer; an answer that takes longer is cut off. */
  timeoutMs: number
  /** Service level objective: the longest time until an answer, or the first event of a stream, that counts as on time. */
  objectiveMs: number
  /** Smaller numbers are more urgent; 0 is the most urgent. */
  priority: number
  targets: WeightedService[]
  /** Most attempts in which one request may be sent to a worker. */
  maxAttempts: number
  /** True when completed turns are stored, so that later turns can continue them. */
  retainsTurns: boolean
  /** How long a completed turn is stored. */
  turnRetentionMs: number
  /** True when a worker that served the same object or prompt before is faster. */
  isSticky: boolean
  /** True when a broken stream may continue at another worker after its last event. */
  canResume: boolean
  /** The longest pause between two events of a stream that counts as on time. */
  maxEventGapMs: number
  /** True if requests need no access key, although the document has client accounts. */
  isOpen?: boolean
}

/** Properties of a service's model engines, as the operator states them. */
export interface EngineTraits {
  /** Requests that one engine runs at once. */
  slots: number
  /** Tokens that one event of a stream stands for. */
  tokensPerEvent: number
  /** Tokens that fit into the key-value cache of one engine. */
  kvTokensCapacity: number
}

/** A service whose workers run routed requests. */
export interface RoutedService {
  name: string
  /** HTTP path of the workers' health check. */
  healthPath: string
  /** Connections that one worker accepts from all nodes together. */
  maxConnections: number
  /** Absent for plain services. */
  engine?: EngineTraits
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  /** Time within which the headers of a request must arrive. */
  headerTimeoutMs: number
  /** How long a connection may stay open without a request. */
  idleTimeoutMs: number
}

/** The whole document. A larger version replaces a smaller one. */
export interface RouteDocument {
  version: number
  routes: Route[]
  services: RoutedService[]
  limits: CallerLimits
  /** Absent if the operator has no client accounts; requests need no access key then. */
  accounts?: ClientAccount[]
}
