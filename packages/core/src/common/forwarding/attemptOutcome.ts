/** What became of one attempt to have a worker run a request, and what follows from it. */
import type { Route } from '../routing/routeDocument.js'
import { RouteKind } from '../routing/routeDocument.js'

export const AttemptOutcome = {
  /** No byte of the request left this node. */
  NotSent: 'notSent',
  /** The worker said that it did not run the request. */
  Refused: 'refused',
  /** The request was sent and its fate is not known. */
  Unknown: 'unknown'
} as const
export type AttemptOutcome = typeof AttemptOutcome[keyof typeof AttemptOutcome]

/** Connections that may fail before the first byte is sent, until the request is refused. */
const MAX_UNSENT_ATTEMPTS = 3
/** Below this an attempt can't end in time any more. */
const MIN_ATTEMPT_MS = 20

export interface AttemptHistory {
  route: Route
  /** Attempts whose request left this node. */
  sentCount: number
  unsentCount: number
  /** True when the fate of an earlier attempt is not known. */
  mayHaveRun: boolean
  /** True when the caller was given a part of an answer. */
  hasAnswerBegun: boolean
  timeLeftMs: number
}

export type NextStep =
  /** Send it again from its start. */
  | { type: 'again' }
  /** Go on after the last event that the caller has. */
  | { type: 'resume' }
  /** Not run, and it never will be. */
  | { type: 'notRun' }
  /** It may have run. */
  | { type: 'unknown' }

/** True when a request may run more than once. */
export function isRepeatable (route: Route): boolean {
  return route.kind === RouteKind.Safe || (route.kind === RouteKind.Stream && route.canResume)
}

/**
 * Decides what to do after an attempt that brought no whole answer.
 *
 * @example
 * resolveNextStep(AttemptFate.Unknown, history) // { type: 'unknown' } for a request that must not be repeated
 */
export function resolveNextStep (fate: AttemptOutcome, history: AttemptHistory): NextStep {
  const { route, sentCount, unsentCount, mayHaveRun, hasAnswerBegun, timeLeftMs } = history
  const isTimeLeft = timeLeftMs > MIN_ATTEMPT_MS
  const maySendAgain = isTimeLeft && sentCount < route.maxAttempts
  const again: NextStep = hasAnswerBegun ? { type: 'resume' } : { type: 'again' }
  const end: NextStep = mayHaveRun ? { type: 'unknown' } : { type: 'notRun' }
  if (fate === AttemptOutcome.NotSent) return maySendAgain && unsentCount < MAX_UNSENT_ATTEMPTS ? again : end
  if (fate === AttemptOutcome.Refused) return maySendAgain ? again : end
  return maySendAgain && isRepeatable(route) ? again : { type: 'unknown' }
}
