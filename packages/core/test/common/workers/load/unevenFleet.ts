/** Engines of different speeds, which may change, under the load of two classes of programs. */
import { DEFAULT_SERVICE_PLACEMENT, SeededRandom, ServicePlacement, type ServicePlacementOptions, type SpeedSummary, type WorkerRegistration } from '@trefoilshunt/core'
import { EventQueue } from '@trefoilshunt/testing'
import { createCoordinatedPlacement } from './coordinatedPlacement.js'
import { type ClassResult, type ProgramClass, ProgramLoad, TOKENS_PER_EVENT } from './programLoad.js'
import { type EngineModel, SimulatedEngine } from './simulatedEngine.js'

/** Figures of the users' data sheet for deployment V, at the ordinary speed. */
const ENGINE: EngineModel = {
  slots: 12, queueLength: 24, kvTokens: 290_252, stepMs: 1.06, stepMsPerRequest: 0.001, prefillTokensPerMs: 257, chunkTokens: 4_096, setupMs: 11.4
}
export const SLOW = 0.55
export const FAST = 1.2
const ENGINE_COUNT = 32
const REST_MS = 12_000
/** Samples of the learned speeds are taken this often. */
const SAMPLE_MS = 100

export const SHORT: ProgramClass = { name: 'short', priority: 0, programsPerS: 85, turns: 4, inputTokens: 1_680, thinkMs: 60, fanShare: 0.05, objectiveMs: 200, aimRatio: 1.6, worth: 4, lateWorth: 0.2 }
export const LONG: ProgramClass = { name: 'long', priority: 2, programsPerS: 32, turns: 9, inputTokens: 840, thinkMs: 20, fanShare: 0.15, objectiveMs: 400, aimRatio: 1.7, worth: 4, lateWorth: 0.6 }

export interface UnevenFleetOptions {
  seed: number
  /** Speed of a worker at a time. */
  speedAt: (index: number, nowMs: number) => number
  placement?: Partial<ServicePlacementOptions>
  loadMs?: number
  /** Multiplies the rates of both classes. */
  loadFactor?: number
  /** A new coordinator takes the place of the first one at this time. */
  replacedAtMs?: number
}

export interface UnevenFleetResult {
  short: ClassResult
  long: ClassResult
  /** Share of the programs of both classes that ended in time. */
  inTimeShare: number
  /** Workers that got requests, in order, with the time. */
  placements: Array<{ index: number, atMs: number }>
  samples: Array<SpeedSummary & { atMs: number }>
}

/**
 * @example
 * runUnevenFleet({ seed: 1, speedAt: index => index % 4 === 0 ? SLOW : FAST }).inTimeShare
 */
export function runUnevenFleet ({ seed, speedAt, placement = {}, loadMs = 12_000, loadFactor = 1, replacedAtMs }: UnevenFleetOptions): UnevenFleetResult {
  const events = new EventQueue()
  const random = new SeededRandom(seed)
  const workers = Array.from({ length: ENGINE_COUNT }, (_, index): WorkerRegistration => ({
    workerId: `w${index}`, service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: ENGINE.slots, isDraining: false, startedAtMs: 1, coldLeftMs: 0
  }))
  const models = workers.map(() => ({ ...ENGINE }))
  const engines = new Map(workers.map(({ workerId }, index) => [workerId, new SimulatedEngine(events, models[index])]))
  const placements: UnevenFleetResult['placements'] = []
  const samples: UnevenFleetResult['samples'] = []
  const createCoordinator = (): ServicePlacement => new ServicePlacement(new SeededRandom(1), { ...DEFAULT_SERVICE_PLACEMENT, ...placement })
  let coordinator = createCoordinator()
  const sample = (): void => {
    const nowMs = events.nowMs()
    for (const [index, model] of models.entries()) {
      const speed = speedAt(index, nowMs)
      model.stepMs = ENGINE.stepMs / speed
      model.prefillTokensPerMs = ENGINE.prefillTokensPerMs * speed
    }
    if (nowMs === replacedAtMs) coordinator = createCoordinator()
    samples.push({ ...coordinator.speedSummary(nowMs), atMs: nowMs })
    events.after(SAMPLE_MS, sample)
  }
  sample()
  const startAttempt = createCoordinatedPlacement({ events, random, workers, engines, nodeCount: 1 }, {
    coordinator: () => coordinator,
    service: { workers, cacheTokens: ENGINE.kvTokens, ratesPerS: new Map(), tokensPerEvent: TOKENS_PER_EVENT },
    onPlaced: workerId => placements.push({ index: Number(workerId.slice(1)), atMs: events.nowMs() })
  })
  const load = new ProgramLoad(events, random, startAttempt)
  for (const programClass of [SHORT, LONG]) load.run({ ...programClass, programsPerS: programClass.programsPerS * loadFactor }, loadMs)
  while (events.runNext(loadMs + REST_MS)) { /* until nothing is due */ }
  const [short, long] = [load.resultOf(SHORT), load.resultOf(LONG)]
  return { short, long, inTimeShare: (short.inAim + long.inAim) / (short.programs + long.programs), placements, samples }
}
