/** The load and the workers of a grown site on a day of high load, with a burst of each class of programs. */
import { SeededRandom, type WorkerRegistration } from '@trefoilshunt/core'
import type { SimulatedFleet } from './localPlacement.js'
import { type ClassResult, CONSULT, ProgramLoad, REMEASURE, type StartAttempt } from './programLoad.js'
import { GROWN_ENGINE, SimulatedEngine } from './simulatedEngine.js'
import { EventQueue } from '@trefoilshunt/testing'

const ENGINE_COUNT = 31
const LOAD_MS = 20_000
/** Time for the last programs to end. */
const REST_MS = 20_000
const REMEASURE_BURST = { factor: 2.3, fromMs: 3_200, toMs: 8_400 }
const CONSULT_BURST = { factor: 1.7, fromMs: 14_000, toMs: 17_800 }

export interface GrownFleetResult {
  consult: ClassResult
  remeasure: ClassResult
  /** Attempts that engines refused because their queues were full. */
  refusedByEngines: number
  /** Share of the prompt tokens read that belonged to shared parts. */
  sharedReadShare: number
}

export interface GrownFleetOptions {
  seed: number
  nodeCount: number
  createPlacement: (fleet: SimulatedFleet) => StartAttempt
  /** False for the load without bursts. */
  hasBursts?: boolean
}

/**
 * @example
 * runGrownFleet({ seed: 1, nodeCount: 74, createPlacement: createCoordinatedPlacement }).remeasure.earnedShare
 */
export function runGrownFleet ({ seed, nodeCount, createPlacement, hasBursts = true }: GrownFleetOptions): GrownFleetResult {
  const events = new EventQueue()
  const random = new SeededRandom(seed)
  const workers = Array.from({ length: ENGINE_COUNT }, (_, index): WorkerRegistration => ({
    workerId: `w${index}`, service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: GROWN_ENGINE.slots, isDraining: false, startedAtMs: 1, coldLeftMs: 0
  }))
  const engines = new Map(workers.map(({ workerId }) => [workerId, new SimulatedEngine(events, GROWN_ENGINE)]))
  const load = new ProgramLoad(events, random, createPlacement({ events, random, workers, engines, nodeCount }))
  load.run(CONSULT, LOAD_MS, hasBursts ? CONSULT_BURST : undefined)
  load.run(REMEASURE, LOAD_MS, hasBursts ? REMEASURE_BURST : undefined)
  while (events.runNext(LOAD_MS + REST_MS)) { /* until nothing is due */ }
  const sum = (valueOf: (engine: SimulatedEngine) => number): number => [...engines.values()].reduce((total, engine) => total + valueOf(engine), 0)
  return {
    consult: load.resultOf(CONSULT),
    remeasure: load.resultOf(REMEASURE),
    refusedByEngines: sum(engine => engine.refusedCount),
    sharedReadShare: sum(engine => engine.readSharedTokens) / sum(engine => engine.readTokens)
  }
}
