/** Registers the routes of the operator's document. */
import { registerPlugin } from '../kernel/plugin.js'
import { IRouteTable, RouteTable } from './routeTable.js'

registerPlugin({
  name: 'routing',
  register: container => { container.registerSingleton(IRouteTable, RouteTable) }
})
