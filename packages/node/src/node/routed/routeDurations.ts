/** How long the requests of each route take at workers, as this node has seen it. */
import { Ewma, type Route, RouteKind } from '@trefoilshunt/core'

const SAMPLE_WEIGHT = 0.05
/** Before the first answer, work is assumed to take this share of the route's objective. */
const ASSUMED_SHARE = 0.5

/** Mean durations by route; streams are measured by event, since their lengths differ. */
export class RouteDurations {
  private readonly _perUnit = new Map<string, Ewma>()
  private readonly _units = new Map<string, Ewma>()

  /** Expected duration of a request. */
  expectedMs (route: Route): number {
    const perUnit = this._perUnit.get(route.name)
    return perUnit === undefined ? route.objectiveMs * ASSUMED_SHARE : perUnit.value * (this._units.get(route.name)?.value ?? 1)
  }

  /** Takes in a duration and returns it relative to the route's mean. */
  record (route: Route, durationMs: number, events: number): number {
    const units = route.kind === RouteKind.Stream ? events : 1
    const perUnitMs = durationMs / units
    const perUnit = resolve(this._perUnit, route.name, perUnitMs)
    const ratio = perUnit.value > 0 ? perUnitMs / perUnit.value : 1
    perUnit.add(perUnitMs)
    resolve(this._units, route.name, units).add(units)
    return ratio
  }
}

function resolve (map: Map<string, Ewma>, key: string, initial: number): Ewma {
  let ewma = map.get(key)
  if (ewma === undefined) {
    ewma = new Ewma(SAMPLE_WEIGHT, initial)
    map.set(key, ewma)
  }
  return ewma
}
