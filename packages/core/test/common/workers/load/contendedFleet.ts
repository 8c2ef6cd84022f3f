/** Callers that compete for the workers of a small fleet in three zones. */
import { type PlacementOrder, SeededRandom, type WorkerRegistration } from '@trefoilshunt/core'
import { EventQueue } from '@trefoilshunt/testing'
import { createCoordinatedPlacement } from './coordinatedPlacement.js'
import { type ClassResult, ProgramLoad, type ProgramClass } from './programLoad.js'
import { GROWN_ENGINE, SimulatedEngine } from './simulatedEngine.js'

const ENGINE_COUNT = 31
const LOAD_MS = 12_000
/** Time for the last programs to end. */
const REST_MS = 10_000
export const ZONES = ['a', 'b', 'c']

export interface ContendedLoad {
  programClass: ProgramClass
  burst?: { factor: number, fromMs: number, toMs: number }
}

export interface ContendedFleetResult {
  classes: ClassResult[]
  byAccount: ReadonlyMap<string, { programs: number, inAim: number }>
}

/**
 * @example
 * runContendedFleet([{ programClass: CONSULT, burst: { factor: 4, fromMs: 3_000, toMs: 7_000 } }], PlacementOrder.Cost, 7).classes[0].earnedShare
 */
export function runContendedFleet (loads: readonly ContendedLoad[], order: PlacementOrder, seed: number): ContendedFleetResult {
  const events = new EventQueue()
  const random = new SeededRandom(seed)
  const workers = Array.from({ length: ENGINE_COUNT }, (_, index): WorkerRegistration => ({
    workerId: `w${index}`, service: 's', address: '127.0.0.1:1', zone: ZONES[index % ZONES.length], softwareVersion: 'v1', slots: GROWN_ENGINE.slots, isDraining: false, startedAtMs: 1, coldLeftMs: 0
  }))
  const engines = new Map(workers.map(({ workerId }) => [workerId, new SimulatedEngine(events, GROWN_ENGINE)]))
  const load = new ProgramLoad(events, random, createCoordinatedPlacement({ events, random, workers, engines, nodeCount: 1 }, { placementOrder: order }))
  for (const { programClass, burst } of loads) load.run(programClass, LOAD_MS, burst)
  while (events.runNext(LOAD_MS + REST_MS)) { /* until nothing is due */ }
  return { classes: loads.map(({ programClass }) => load.resultOf(programClass)), byAccount: load.byAccount }
}
