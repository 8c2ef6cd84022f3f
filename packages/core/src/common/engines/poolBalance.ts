/** Decides whether a worker of a pool should change its model. */

/** Load of the workers of one model. */
export interface ModelLoad {
  model: string
  /** Workers that are assigned to the model, the least loaded first. */
  workers: string[]
  /** Running and waiting calls, and recent placement estimates that refused admission, at all of these workers. */
  load: number
}

/** A worker that changes its model. */
export interface PoolMove {
  worker: string
  from: string
  to: string
}

/** Load per worker from which a model counts as short of workers. */
const MIN_BUSY_LOAD_PER_WORKER = 10
/** Least ratio of the load per worker of the model short of workers to the one that the other model has after the move. */
const IMBALANCE_FACTOR = 2

/**
 * Chooses one worker to move from the least to the most loaded model, if the difference is large. A model keeps its last
 * worker.
 *
 * @returns undefined when no worker should move.
 *
 * @example
 * chooseMove([{ model: 'a', workers: ['w1'], load: 40 }, { model: 'b', workers: ['w2', 'w3'], load: 2 }])
 * // { worker: 'w2', from: 'b', to: 'a' }
 */
export function chooseMove (loads: ModelLoad[]): PoolMove | undefined {
  const loadPerWorker = (candidate: ModelLoad) => candidate.load / Math.max(1, candidate.workers.length)
  const byLoad = [...loads].sort((left, right) => loadPerWorker(right) - loadPerWorker(left))
  const busiest = byLoad.at(0)
  const donor = byLoad.reverse().find(load => load.workers.length > 1 && load.model !== busiest?.model)
  if (busiest === undefined || donor === undefined || loadPerWorker(busiest) < MIN_BUSY_LOAD_PER_WORKER) return undefined
  const donorLoadAfterMove = donor.load / (donor.workers.length - 1)
  if (loadPerWorker(busiest) < IMBALANCE_FACTOR * donorLoadAfterMove) return undefined
  return { worker: donor.workers[0], from: donor.model, to: busiest.model }
}
