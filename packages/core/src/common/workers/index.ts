export * from './workerChoice.js'
export * from './workerRegistry.js'
export * from './workerStatistics.js'
