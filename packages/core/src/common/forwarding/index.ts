/** Public exports of the decision what follows an attempt of a routed request, and of the order of the events in its answer. */
export * from './attemptOutcome.js'
export * from './eventSequence.js'
