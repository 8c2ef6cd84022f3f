/** Public exports of the decision what follows an attempt of a routed request. */
export * from './attemptOutcome.js'
