export * from './attemptOutcome.js'
