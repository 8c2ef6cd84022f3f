export * from './addressing.js'
export * from './membership.js'
export { type WorkerInfo } from './workerDirectory.js'
