export * from './workerContact.js'
export * from './workerPaths.js'
