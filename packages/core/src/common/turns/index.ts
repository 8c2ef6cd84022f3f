export * from './partitionState.js'
export * from './tokenLedger.js'
export * from './turnRecords.js'
export * from './turnTree.js'
