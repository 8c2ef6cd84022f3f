/** Public exports of client accounts: access keys, the age of the document that holds them, decisions on requests, and quotas. */
export * from './accessDecision.js'
export * from './accountShares.js'
export * from './clientAccount.js'
export * from './documentFreshness.js'
export * from './quotaBucket.js'
export * from './quotaLease.js'
export * from './quotaMessages.js'
export * from './quotaOwner.js'
