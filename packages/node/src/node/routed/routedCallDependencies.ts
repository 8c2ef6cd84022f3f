/** The objects of a node that handle its routed requests. */
import type { IRouteTable, IWorkerChoice, IWorkerNotices, IWorkerRegistry, IWorkerStatistics, LogFields } from '@trefoilshunt/core'
import type { Metrics } from '../../common/metrics.js'
import type { AccessControl } from './accounts/accessControl.js'
import type { QuotaClient } from './accounts/quotaClient.js'
import type { HeldBytes } from './heldBytes.js'
import type { OpenRequestReporter } from './openRequestReporter.js'
import type { OwnRates } from './ownRates.js'
import type { IWorkerCaller } from './paths/workerGateway.js'
import type { PlannedStop } from './plannedStop.js'
import type { PoisonRequestDetector } from './poisonRequestDetector.js'
import type { WorkerNoticeReporter } from './workerNoticeReporter.js'
import type { RouteDurations } from './routeDurations.js'
import type { SlotClient } from './slotClient.js'
import type { SuspectGate } from './suspectGate.js'
import type { StreamOrigins } from './streamOrigins.js'
import type { StreamOutputs } from './streamOutputs.js'
import type { TurnService } from './turnService.js'

export interface RoutedCallDependencies {
  /** Availability zone of this node. */
  zone: string
  routes: IRouteTable
  /** Access keys of client accounts. */
  access: AccessControl
  /** Quotas of client accounts. */
  quotas: QuotaClient
  registry: IWorkerRegistry
  statistics: IWorkerStatistics
  notices: IWorkerNotices
  noticeReporter: WorkerNoticeReporter
  /** Requests that this node sends without a coordinator to workers with rate limits. */
  ownRates: OwnRates
  choice: IWorkerChoice
  /** Slots of model engines. */
  slots: SlotClient
  streamOrigins: StreamOrigins
  /** What was forwarded of streams of retained turns that callers may take up again. */
  streamOutputs: StreamOutputs
  durations: RouteDurations
  workers: IWorkerCaller
  turns: TurnService
  poisonRequestDetector: PoisonRequestDetector
  suspectGate: SuspectGate
  /** Requests that are at workers, for peers. */
  openRequests: OpenRequestReporter
  /** What the requests hold of their workers' answers. */
  heldBytes: HeldBytes
  metrics: Metrics
  plannedStop: PlannedStop
  /** Number of live nodes, among which the connections to a worker are divided. */
  nodeCount: () => number
  /** Mean age of the peers' load reports. */
  loadAgeMs: () => number
  /** False if the active document may be out of date. */
  isDocumentFresh: () => boolean
  write: (event: string, fields: LogFields) => void
}
