/** Public exports of client accounts: access keys, the age of the document that holds them, and decisions on requests. */
export * from './accessDecision.js'
export * from './accountShares.js'
export * from './clientAccount.js'
export * from './documentFreshness.js'
