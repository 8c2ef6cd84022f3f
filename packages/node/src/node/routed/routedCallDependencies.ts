/** What the life of a routed request works with. */
import type { IRouteTable, IWorkerChoice, IWorkerRegistry, IWorkerStatistics, LogFields } from '@trefoilshunt/core'
import type { Metrics } from '../../common/metrics.js'
import type { IWorkerClient } from '../../common/routed/workerClient.js'
import type { PoisonRequestDetector } from './poisonRequestDetector.js'
import type { RouteDurations } from './routeDurations.js'
import type { TurnService } from './turnService.js'

export interface RoutedCallDependencies {
  zone: string
  routes: IRouteTable
  registry: IWorkerRegistry
  statistics: IWorkerStatistics
  choice: IWorkerChoice
  durations: RouteDurations
  workers: IWorkerClient
  turns: TurnService
  crashes: PoisonRequestDetector
  metrics: Metrics
  /** Nodes in the system, for the share of a worker's connections. */
  nodeCount: () => number
  /** False when the document in force may be old. */
  isDocumentCertain: () => boolean
  write: (event: string, fields: LogFields) => void
}
