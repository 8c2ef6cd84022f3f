/** Public exports of the route document and the route table. */
export * from './routeDocument.js'
export * from './routeTable.js'
