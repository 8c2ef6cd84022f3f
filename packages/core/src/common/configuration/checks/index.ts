/** Public exports of the checks of route documents and the description of their changes. */
export * from './documentChanges.js'
export * from './documentChecks.js'
