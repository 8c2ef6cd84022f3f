/** The operator's document of routes and services, as the routed requests see it. */

/** What may be repeated on a route. */
export const RouteKind = { Safe: 'safe', Unsafe: 'unsafe', Stream: 'stream' } as const
export type RouteKind = typeof RouteKind[keyof typeof RouteKind]

/** A service that gets a share of a route's requests. */
export interface WeightedService {
  service: string
  /** Share relative to the other services of the route. */
  weight: number
}

export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** The longest time for which a request may go unanswered. */
  timeoutMs: number
  /** Time within which an answer, or the first event of a stream, is on time. */
  objectiveMs: number
  /** 0 is the most urgent. */
  priority: number
  targets: WeightedService[]
  /** Workers to which one request may be sent at the most. */
  maxAttempts: number
  /** Finished turns are kept, so that later ones can continue from them. */
  retainsTurns: boolean
  turnRetentionMs: number
  /** A worker that served the same object or prompt before is faster. */
  isSticky: boolean
  /** A broken stream may go on at another worker after its last event. */
  canResume: boolean
  /** The longest pause between two events that is still on time. */
  maxEventGapMs: number
}

/** What the operator says of the model engines of a service. */
export interface EngineTraits {
  slots: number
  /** Tokens that one event of a stream stands for. */
  tokensPerEvent: number
  kvTokensCapacity: number
}

export interface RoutedService {
  name: string
  healthPath: string
  /** Connections that one worker takes from all nodes together. */
  maxConnections: number
  /** Absent for plain services. */
  engine?: EngineTraits
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

export interface RouteDocument {
  version: number
  routes: Route[]
  services: RoutedService[]
  limits: CallerLimits
}
