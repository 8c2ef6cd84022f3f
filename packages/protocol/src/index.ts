/** Schemas and parsers of all HTTP interfaces: callers, model engines, tool services, peers and the platform. */
export * from './common/callerApi.js'
export * from './common/engineApi.js'
export * from './common/jsonc.js'
export * from './common/peerApi.js'
export * from './common/platformApi.js'
export * from './common/serverSentEvents.js'
