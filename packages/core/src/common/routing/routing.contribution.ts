/** Registers the route table. */
import { registerPlugin } from '../kernel/plugin.js'
import { IRouteTable, RouteTable } from './routeTable.js'

registerPlugin({
  name: 'routing',
  register: container => { container.registerSingleton(IRouteTable, RouteTable) }
})
