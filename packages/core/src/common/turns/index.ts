/** Public exports of the partition state: retained turns, token accounts and their records. */
export * from './partitionState.js'
export * from './promptCache.js'
export * from './tokenLedger.js'
export * from './turnRecords.js'
export * from './turnTree.js'
