/** Exports of the daemon for the command line and for tests, which run several nodes in one process. */
export * from './common/settings.js'
export * from './node/daemon.js'
export { BackendClient } from './node/backendClient.js'
export { loadPeerSecret, loadSettings } from './node/main.js'
export * from './routed.js'
