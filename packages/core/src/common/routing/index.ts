/** Public exports of the route document, the route table and the choice of nodes for callers. */
export * from './routeDocument.js'
export * from './routeTable.js'
export * from './entryNodes.js'
