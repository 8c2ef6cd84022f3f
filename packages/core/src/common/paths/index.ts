export * from './workerContact.js'
