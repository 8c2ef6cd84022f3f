export * from './configuration.js'
export * from './controlFold.js'
export * from './controlRecords.js'
export * from './document.js'
