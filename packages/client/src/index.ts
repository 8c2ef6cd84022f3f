/** Exports of the client library for callers. */
export * from './common/addressBook.js'
export * from './common/client.js'
export * from './common/transport.js'
export * from './node/httpTransport.js'
