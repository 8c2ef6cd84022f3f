/** Public exports of the partition state: retained turns, token accounts and their records. */
export * from './partitionState.js'
export * from './promptCacheIndex.js'
export * from './tokenLedger.js'
export * from './turnRecords.js'
export * from './turnTree.js'
