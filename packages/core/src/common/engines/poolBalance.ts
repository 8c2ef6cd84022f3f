/** Decides whether a worker of a pool should change its model. */

/** How busy the workers of one model are. */
export interface ModelLoad {
  model: string
  /** Workers that serve the model now, the least busy first. */
  workers: string[]
  /** Calls that run or wait, and programs that were refused lately. */
  demand: number
}

export interface PoolMove {
  worker: string
  from: string
  to: string
}

/** Demand a worker above which a model counts as short of workers. */
const BUSY_DEMAND = 10
/** The model short of workers must have so many times the demand a worker of the model that gives one up. */
const IMBALANCE_FACTOR = 2

/**
 * Moves one worker from the least to the most loaded model, if the difference is large. A model keeps its last worker.
 *
 * @example
 * chooseMove([{ model: 'a', workers: ['w1'], demand: 40 }, { model: 'b', workers: ['w2', 'w3'], demand: 2 }])
 * // { worker: 'w2', from: 'b', to: 'a' }
 */
export function chooseMove (loads: ModelLoad[]): PoolMove | undefined {
  const perWorker = (load: ModelLoad) => load.demand / Math.max(1, load.workers.length)
  const byLoad = [...loads].sort((left, right) => perWorker(right) - perWorker(left))
  const busiest = byLoad.at(0)
  const donor = byLoad.reverse().find(load => load.workers.length > 1 && load.model !== busiest?.model)
  if (busiest === undefined || donor === undefined || perWorker(busiest) < BUSY_DEMAND) return undefined
  const afterMove = donor.demand / (donor.workers.length - 1)
  if (perWorker(busiest) < IMBALANCE_FACTOR * afterMove) return undefined
  return { worker: donor.workers[0], from: donor.model, to: busiest.model }
}
