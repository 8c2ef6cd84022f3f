/** Resolves requests to the routes of the newest document. */
import { inject, injectable } from 'tsyringe'
import { AccountDirectory, type IAccountDirectory } from '../accounts/clientAccount.js'
import { IRandom } from '../kernel/random.js'
import type { CallerLimits, Route, RouteDocument, RoutedService } from './routeDocument.js'

/** The active routes of this node. */
export interface IRouteTable {
  /** Version of the active document; 0 before the first one. */
  readonly version: number
  /** Undefined before the first document. */
  readonly limits: CallerLimits | undefined
  readonly routes: readonly Route[]
  /** Undefined if the active document has no client accounts. */
  readonly accounts: IAccountDirectory | undefined
  /** Activates a document; false, and nothing changed, when it is not newer than the active one. */
  apply (document: RouteDocument): boolean
  /** The host's route with the longest prefix of `path`; undefined when none matches. `host` may have a port. */
  resolveRoute (host: string, path: string): Route | undefined
  /** The service with this name; undefined when the active document has none. */
  findService (name: string): RoutedService | undefined
  /** The services of a route in the order in which to try them, drawn at random by weight; those with weight 0 are left out. */
  drawServices (route: Route): string[]
}
export const IRouteTable = Symbol('IRouteTable')

/**
 * @example
 * const table = new RouteTable(new SeededRandom(1))
 * table.apply(document)
 * table.resolveRoute('shop.example', '/orders/17')
 */
@injectable()
export class RouteTable implements IRouteTable {
  private _document: RouteDocument | undefined
  private _accounts: IAccountDirectory | undefined
  /** Routes by lower-case host and path prefix. */
  private readonly _routesByHost = new Map<string, Map<string, Route>>()
  private readonly _services = new Map<string, RoutedService>()

  constructor (@inject(IRandom) private readonly _random: IRandom) {}

  get version (): number {
    return this._document?.version ?? 0
  }

  get limits (): CallerLimits | undefined {
    return this._document?.limits
  }

  get routes (): readonly Route[] {
    return this._document?.routes ?? []
  }

  get accounts (): IAccountDirectory | undefined {
    return this._accounts
  }

  apply (document: RouteDocument): boolean {
    if (this._document !== undefined && document.version <= this._document.version) return false
    this._document = document
    this._accounts = document.accounts === undefined ? undefined : new AccountDirectory(document.accounts)
    this._routesByHost.clear()
    this._services.clear()
    for (const service of document.services) this._services.set(service.name, service)
    for (const route of document.routes) {
      const host = route.host.toLowerCase()
      const routes = this._routesByHost.get(host) ?? new Map<string, Route>()
      if (!routes.has(route.pathPrefix)) routes.set(route.pathPrefix, route)
      this._routesByHost.set(host, routes)
    }
    return true
  }

  resolveRoute (host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase()
    const routes = this._routesByHost.get(name)
    if (routes === undefined) return undefined
    // Every prefix ends with a slash, so that only as many prefixes are looked up as the path has slashes, whatever the number of routes.
    for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
    }
    return undefined
  }

  findService (name: string): RoutedService | undefined {
    return this._services.get(name)
  }

  drawServices (route: Route): string[] {
    const remaining = route.targets.filter(target => target.weight > 0)
    const order: string[] = []
    while (remaining.length > 0) {
      const total = remaining.reduce((sum, target) => sum + target.weight, 0)
      let draw = this._random.next() * total
      const found = remaining.findIndex(target => (draw -= target.weight) < 0)
      order.push(...remaining.splice(found < 0 ? remaining.length - 1 : found, 1).map(target => target.service))
    }
    return order
  }
}
