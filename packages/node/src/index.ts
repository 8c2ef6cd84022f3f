/** The daemon as a library: the command line and tests run nodes in one process. */
export * from './common/logLine.js'
export * from './common/metrics.js'
export * from './common/settings.js'
export * from './node/daemon.js'
export { BackendClient } from './node/backendClient.js'
export { EventLog, type IEventLog } from './node/logger.js'
export { loadPeerSecret, loadSettings } from './node/main.js'
