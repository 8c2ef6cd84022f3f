export * from './messages.js'
export * from './peers.js'
