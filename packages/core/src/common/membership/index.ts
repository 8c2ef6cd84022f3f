export * from './addressing.js'
export * from './membership.js'
