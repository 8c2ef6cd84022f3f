export * from './digest.js'
export * from './ewma.js'
export * from './rendezvous.js'
export * from './tokenBucket.js'
