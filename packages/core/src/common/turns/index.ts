/** Public exports of partitions of turns: their state and records, and who owns them under which epoch. */
export * from './ownershipEpochs.js'
export * from './partitionAssignments.js'
export * from './partitionLoss.js'
export * from './partitionState.js'
export * from './promptCacheIndex.js'
export * from './tokenLedger.js'
export * from './turnRecords.js'
export * from './turnTree.js'
