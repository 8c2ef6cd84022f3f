/** Registers the registry, the rate limits, the statistics and the choice of routed workers. */
import { registerPlugin } from '../kernel/plugin.js'
import { DEFAULT_WORKER_CHOICE, IWorkerChoice, WorkerChoice, WorkerChoiceOptions } from './workerChoice.js'
import { IWorkerNotices, WorkerNotices } from './workerNotices.js'
import { IWorkerRegistry, WorkerRegistry } from './workerRegistry.js'
import { IWorkerStatistics, WorkerStatistics } from './workerStatistics.js'

registerPlugin({
  name: 'workers',
  register: container => {
    container.registerInstance(WorkerChoiceOptions, DEFAULT_WORKER_CHOICE)
    container.registerSingleton(IWorkerRegistry, WorkerRegistry)
    container.registerSingleton(IWorkerNotices, WorkerNotices)
    container.registerSingleton(IWorkerStatistics, WorkerStatistics)
    container.registerSingleton(IWorkerChoice, WorkerChoice)
  }
})
