export * from './routeDocument.js'
export * from './routeTable.js'
