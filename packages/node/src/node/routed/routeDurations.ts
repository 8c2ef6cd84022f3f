/** Mean durations of the requests of each route at workers, as measured by this node. */
import { Ewma, type Route, RouteKind } from '@trefoilshunt/core'

const SAMPLE_WEIGHT = 0.05
/** Before its first answer, a request is assumed to take this share of the route's objective. */
const ASSUMED_SHARE = 0.5

/** Moving averages by route. Streams are measured per event, because their lengths differ. */
export class RouteDurations {
  private readonly _unitDurations = new Map<string, Ewma>()
  private readonly _unitCounts = new Map<string, Ewma>()

  /** Expected duration of a request of the route, whole streams included. */
  expectedMs (route: Route): number {
    const perUnit = this._unitDurations.get(route.name)
    return perUnit === undefined ? route.objectiveMs * ASSUMED_SHARE : perUnit.value * (this._unitCounts.get(route.name)?.value ?? 1)
  }

  /** Records a duration and returns its ratio to the route's mean before it, per event for streams; 1 for the first request of a route. */
  record (route: Route, durationMs: number, events: number): number {
    const units = route.kind === RouteKind.Stream ? events : 1
    const perUnitMs = durationMs / units
    const perUnit = resolveEwma(this._unitDurations, route.name, perUnitMs)
    const ratio = perUnit.value > 0 ? perUnitMs / perUnit.value : 1
    perUnit.add(perUnitMs)
    resolveEwma(this._unitCounts, route.name, units).add(units)
    return ratio
  }
}

function resolveEwma (map: Map<string, Ewma>, key: string, initial: number): Ewma {
  let ewma = map.get(key)
  if (ewma === undefined) {
    ewma = new Ewma(SAMPLE_WEIGHT, initial)
    map.set(key, ewma)
  }
  return ewma
}
