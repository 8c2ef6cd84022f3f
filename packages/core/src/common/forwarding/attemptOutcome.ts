/** Outcomes of an attempt to run a request at a worker, and the decision what to do next. */
import type { Route } from '../routing/routeDocument.js'
import { RouteKind } from '../routing/routeDocument.js'

/** How an attempt without a complete answer ended. */
export const AttemptOutcome = {
  /** No byte of the request left this node. */
  NotSent: 'notSent',
  /** The worker answered that it did not run the request. */
  Refused: 'refused',
  /** The request was sent, and whether the worker ran it is not known. */
  Unknown: 'unknown'
} as const
export type AttemptOutcome = typeof AttemptOutcome[keyof typeof AttemptOutcome]

/**
 * Attempts that may fail before their first byte is sent; after this many the request is not tried again. With 3, one request in twenty was refused
 * while half of six workers refused connections and the others were free.
 */
const MAX_UNSENT_ATTEMPTS = 8
/** With less time left than this, an attempt cannot end before the deadline. */
const MIN_ATTEMPT_MS = 20

/** The attempts of a request so far, the newest included. */
export interface AttemptHistory {
  route: Route
  /** Attempts whose request left this node. */
  sentCount: number
  /** Attempts that failed before their first byte was sent. */
  unsentCount: number
  /** True when an attempt had an unknown outcome, so that a worker may have run the request. */
  mayHaveRun: boolean
  /** True when the caller has received a part of an answer. */
  hasAnswerBegun: boolean
  /** True when another attempt can go on where that part ends: it is a stream, and its last event has an id. */
  isAnswerContinuable: boolean
  /** Time until the request's deadline. */
  timeLeftMs: number
}

/** What to do with a request after an attempt. */
export type NextAction =
  /** Send the request again from its start. */
  | { type: 'again' }
  /** Send the request again and continue after the last event that the caller has received. */
  | { type: 'resume' }
  /** Give up; no worker has run the request. */
  | { type: 'notRun' }
  /** Give up; a worker may have run the request. */
  | { type: 'unknown' }

/** True when a request of the route may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === RouteKind.Safe || (route.kind === RouteKind.Stream && route.canResume)
}

/**
 * Decides what to do after an attempt that brought no complete answer. A request that must not be repeated is never sent again
 * after an unknown outcome, and never reported as not run once an attempt had one.
 *
 * @example
 * resolveNextAction(AttemptOutcome.Unknown, history) // { type: 'unknown' } for a request that must not be repeated
 */
export function resolveNextAction (outcome: AttemptOutcome, history: AttemptHistory): NextAction {
  const { route, sentCount, unsentCount, mayHaveRun, hasAnswerBegun, isAnswerContinuable, timeLeftMs } = history
  const isTimeLeft = timeLeftMs > MIN_ATTEMPT_MS
  const maySendAgain = isTimeLeft && sentCount < route.maxAttempts && (!hasAnswerBegun || isAnswerContinuable)
  const retryAction: NextAction = hasAnswerBegun ? { type: 'resume' } : { type: 'again' }
  const finalAction: NextAction = mayHaveRun ? { type: 'unknown' } : { type: 'notRun' }
  if (outcome === AttemptOutcome.NotSent) return maySendAgain && unsentCount < MAX_UNSENT_ATTEMPTS ? retryAction : finalAction
  if (outcome === AttemptOutcome.Refused) return maySendAgain ? retryAction : finalAction
  return maySendAgain && isRepeatable(route) ? retryAction : { type: 'unknown' }
}
