export * from './peerMessages.js'
export * from './peers.js'
