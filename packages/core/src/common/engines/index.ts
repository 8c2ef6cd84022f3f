export * from './modelPools.js'
export * from './poolBalance.js'
