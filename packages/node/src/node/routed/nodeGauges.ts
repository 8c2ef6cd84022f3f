/** The gauges of a node, for its metrics endpoint. */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import type { IWorkerNotices } from '@trefoilshunt/core'
import { formatSeries } from '../../common/metrics.js'
import { steadyNowMs } from '../steadyClock.js'
import type { QuotaClient } from './accounts/quotaClient.js'
import type { QuotaService } from './accounts/quotaService.js'
import type { ClusterView } from './clusterView.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { OpenRequestReporter } from './openRequestReporter.js'
import type { PartitionHost } from './owners/partitionHost.js'
import type { RelayClient } from './paths/relayClient.js'
import type { RelayServer } from './paths/relayServer.js'
import type { WorkerLinks } from './paths/workerLinks.js'
import type { PlacementCoordinator, ShardSpeeds } from './placementCoordinator.js'
import type { PoisonRequestDetector } from './poisonRequestDetector.js'
import type { ReportedRequests } from './reportedRequests.js'
import type { SuspectGate } from './suspectGate.js'
import type { StreamOrigins } from './streamOrigins.js'
import type { StreamOutputs } from './streamOutputs.js'

/** Each sample wakes the process up: at 20 ms these were half of the wake-ups of an idle node. */
const LOOP_DELAY_RESOLUTION_MS = 100
const NS_PER_MS = 1e6
const US_PER_S = 1e6

const SPEED_GAUGES: ReadonlyArray<[name: string, valueOf: (speeds: ShardSpeeds) => number]> = [
  ['worker_token_fastest_ms', ({ fastestMs }) => fastestMs],
  ['worker_token_slowest_ms', ({ slowestMs }) => slowestMs],
  ['worker_token_mean_ms', ({ meanMs }) => meanMs],
  ['worker_prompt_tokens_per_ms', ({ prefillTokensPerMs }) => prefillTokensPerMs],
  ['worker_speeds_uneven', ({ isUneven }) => Number(isUneven)],
  ['worker_room_slots', ({ room }) => room]
]

export interface NodeGaugesOptions {
  links: WorkerLinks
  relays: RelayClient
  relayServer: RelayServer
  partitionHost: PartitionHost
  directory: NodeDirectory
  clusterView: ClusterView
  coordinator: PlacementCoordinator
  streamOrigins: StreamOrigins
  streamOutputs: StreamOutputs
  notices: IWorkerNotices
  poisonRequestDetector: PoisonRequestDetector
  openRequests: OpenRequestReporter
  reportedRequests: ReportedRequests
  suspectGate: SuspectGate
  quotaClient: QuotaClient
  quotaService: QuotaService
}

/**
 * @example
 * const gauges = new NodeGauges(options)
 * gauges.start()
 * metrics.render(gauges.read())
 */
export class NodeGauges {
  private readonly _loopDelay = monitorEventLoopDelay({ resolution: LOOP_DELAY_RESOLUTION_MS })

  constructor (private readonly _options: NodeGaugesOptions) {}

  start (): void {
    this._loopDelay.enable()
  }

  stop (): void {
    this._loopDelay.disable()
  }

  /** Current values by name. */
  read (): Record<string, number> {
    const { links, relays, relayServer, partitionHost: { served, unserved }, directory, clusterView, coordinator, streamOrigins, streamOutputs, notices, poisonRequestDetector, openRequests, reportedRequests, suspectGate, quotaClient, quotaService } = this._options
    const memory = process.memoryUsage()
    const cpu = process.cpuUsage()
    return {
      live_nodes: directory.alive.length + 1,
      load_report_age_ms: directory.meanStatusAgeMs,
      partitions_served: served.length,
      partitions_unserved: unserved.length,
      ...Object.fromEntries(unserved.map(({ partition, reason, ageMs }) => [formatSeries('partition_unserved_ms', { partition: String(partition), reason }), Math.round(ageMs)])),
      turns_held: served.reduce((total, owner) => total + owner.turnCount, 0),
      turn_bytes_held: served.reduce((total, owner) => total + owner.turnBytes, 0),
      programs_held: served.reduce((total, owner) => total + owner.programCount, 0),
      worker_silence_ms: links.silenceMs,
      worker_calls_waiting: links.waitingCalls,
      worker_connections_failed: links.failedConnections,
      cut_off: Number(links.isCutOff),
      calls_relayed: relays.openCount,
      calls_served_for_peers: relayServer.openCount,
      leaving_workers: notices.reports(steadyNowMs()).filter(({ isLeaving }) => isLeaving === true).length,
      rate_limited_workers: notices.reports(steadyNowMs()).filter(({ limitPerS }) => limitPerS !== undefined).length,
      suspect_requests: poisonRequestDetector.suspectCount,
      quarantined_requests: poisonRequestDetector.quarantinedCount,
      unrecorded_crashes: poisonRequestDetector.records.waitingCount,
      open_requests_reported: openRequests.size,
      peer_requests_held: reportedRequests.size,
      suspect_turns: suspectGate.size,
      quota_credits_held: quotaClient.creditCount,
      quota_requests_waiting: quotaClient.waitingCount,
      quota_buckets: quotaService.bucketCount,
      stream_origins_held: streamOrigins.size,
      stream_outputs_held: streamOutputs.size,
      stream_output_bytes_held: streamOutputs.byteCount,
      placements_open: coordinator.openCount,
      placements_queued: coordinator.queueLength,
      ...Object.fromEntries([...coordinator.programsByAccount].map(([account, count]) => [formatSeries('account_programs', { account }), count])),
      append_backlog: served.reduce((total, owner) => total + owner.backlog, 0),
      log_silence_ms: clusterView.sinceLogResponseMs,
      resident_memory_bytes: memory.rss,
      heap_used_bytes: memory.heapUsed,
      event_loop_delay_p99_ms: this._loopDelay.percentile(99) / NS_PER_MS,
      cpu_seconds: (cpu.user + cpu.system) / US_PER_S,
      ...this._readSpeeds()
    }
  }

  /** Learned speeds of the service shards that this node coordinates; none while no speed is known. */
  private _readSpeeds (): Record<string, number> {
    const gauges: Record<string, number> = {}
    const { speeds } = this._options.coordinator
    for (const [name, valueOf] of SPEED_GAUGES) {
      for (const shardSpeeds of speeds) {
        const { service, index } = shardSpeeds.shard
        gauges[formatSeries(name, { service, shard: String(index) })] = valueOf(shardSpeeds)
      }
    }
    return gauges
  }
}
