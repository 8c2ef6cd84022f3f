/** A node that serves routed requests: composes the followers, owners and peers, and stops in order. */
import { randomBytes } from 'node:crypto'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import {
  createContainer, DEFAULT_WORKER_CHOICE, IRandom, IRouteTable, IWorkerChoice, IWorkerRegistry, IWorkerStatistics, type CallerLimits, type LogFields, type LogLevel, WorkerChoiceOptions
} from '@trefoilshunt/core'
import { Metrics } from '../../common/metrics.js'
import type { ILogClient } from '../../common/routed/logClient.js'
import type { NodeAddress, NodeStatus, PeerRequest } from '../../common/routed/routedPeerMessages.js'
import type { IAnswerSink, RoutedRequest } from '../../common/routed/routedRequest.js'
import type { IWorkerClient } from '../../common/routed/workerClient.js'
import type { IEventLog } from '../logger.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import { PoisonRequestDetector } from './poisonRequestDetector.js'
import { type IRoutedCodec, ClusterView } from './clusterView.js'
import { NodeDirectory } from './nodeDirectory.js'
import { PartitionHost } from './partitionHost.js'
import { PeerMesh, type PeerResponder } from './peerMesh.js'
import { RouteDurations } from './routeDurations.js'
import { startRoutedCall } from './routedCalls.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'
import { StatusBroadcast } from './statusBroadcast.js'
import { TurnService } from './turnService.js'

/** A stopping node takes new requests for this long: callers keep an old list of addresses that much. */
const LINGER_MS = 3_000
const STOP_POLL_MS = 20
const FLUSH_MS = 1_500
/** Kept for the last steps of a stop before the platform ends the process. */
const STOP_MARGIN_MS = 700
const FORGET_PERIOD_MS = 10_000

export interface RoutedDaemonOptions {
  node: string
  zone: string
  peerAddress: string
  callerAddress: string
  /** Peers' addresses to begin with, if the log can't be read. */
  seedAddresses: readonly string[]
  partitionCount: number
  maxRecordBytes: number
  maxAppendBytes: number
  /** Time without a sign of this node after which the log gives its partitions to others. */
  memberTtlMs: number
  /** Time between the request to stop and the end by force. */
  stopGraceMs: number
  documentTopic: string
  documentKey: string
  workerTopic: string
  log: ILogClient
  workers: IWorkerClient
  codec: IRoutedCodec
  eventLog: IEventLog
  /** Overrides of how workers are chosen. */
  workerChoice?: Partial<WorkerChoiceOptions>
}

/**
 * @example
 * const daemon = new RoutedDaemon(options)
 * await daemon.start()
 * daemon.accept(request, sink)
 */
export class RoutedDaemon {
  readonly metrics = new Metrics()
  private readonly _self: NodeAddress
  private readonly _routes: IRouteTable
  private readonly _registry: IWorkerRegistry
  private readonly _statistics: IWorkerStatistics
  private readonly _directory: NodeDirectory
  private readonly _mesh: PeerMesh
  private readonly _host: PartitionHost
  private readonly _turns: TurnService
  private readonly _knowledge: ClusterView
  private readonly _crashes: PoisonRequestDetector
  private readonly _broadcast: StatusBroadcast
  private readonly _services: RoutedCallDependencies
  private readonly _loopDelay = monitorEventLoopDelay({ resolution: 20 })
  private _forgetTimer: NodeJS.Timeout | undefined
  private _openCount = 0
  private _isDraining = false
  private _isStopped = false

  constructor (private readonly _options: RoutedDaemonOptions) {
    const { node, zone, peerAddress, callerAddress, log } = _options
    this._self = { node, zone, peerAddress, callerAddress, incarnation: createIncarnation() }
    const container = createContainer({ seed: randomBytes(4).readInt32LE(), plugins: ['routing', 'workers'] })
    container.registerInstance(WorkerChoiceOptions, { ...DEFAULT_WORKER_CHOICE, ..._options.workerChoice })
    this._routes = container.resolve<IRouteTable>(IRouteTable)
    this._registry = container.resolve<IWorkerRegistry>(IWorkerRegistry)
    this._statistics = container.resolve<IWorkerStatistics>(IWorkerStatistics)
    const write = (event: string, fields: LogFields): void => this._write('info', event, fields)
    this._directory = new NodeDirectory({
      self: this._self,
      nowMs: steadyNowMs,
      onAdded: address => {
        write('peerAdded', { peer: address.node, incarnation: address.incarnation, address: address.peerAddress })
        for (const [index, seed] of _options.seedAddresses.entries()) {
          if (seed === address.peerAddress) this._mesh.removePeer(seedName(index))
        }
        this._mesh.addPeer(address)
      },
      onForgotten: peer => {
        write('peerForgotten', { peer })
        this._mesh.removePeer(peer)
      }
    })
    this._mesh = new PeerMesh({
      self: this._self,
      onStatus: status => this._takeStatus(status),
      onRequest: (request, respond) => this._serve(request, respond),
      onConnected: peer => write('peerConnected', { peer }),
      onLost: (peer, detail) => {
        write('peerLost', { peer, detail })
        this._statistics.dropPeer(peer)
        this._directory.markLost(peer)
      }
    })
    this._broadcast = new StatusBroadcast({ mesh: this._mesh, directory: this._directory, compose: () => this._composeStatus() })
    this._host = new PartitionHost({
      member: node,
      log,
      partitionCount: _options.partitionCount,
      maxRecordBytes: _options.maxRecordBytes,
      maxAppendBytes: _options.maxAppendBytes,
      memberTtlMs: _options.memberTtlMs,
      logSilenceMs: () => this._knowledge.logSilenceMs,
      hearsPeers: () => this._directory.alive.length > 0,
      random: container.resolve<IRandom>(IRandom),
      onChanged: () => this._broadcast.send(),
      write
    })
    this._crashes = new PoisonRequestDetector({ onSeen: () => this._broadcast.send(), write })
    this._turns = new TurnService({ partitionCount: _options.partitionCount, host: this._host, mesh: this._mesh, directory: this._directory, write })
    const { documentTopic, documentKey, workerTopic, codec } = _options
    this._knowledge = new ClusterView({
      node,
      documentTopic,
      documentKey,
      workerTopic,
      log,
      codec,
      routes: this._routes,
      registry: this._registry,
      directory: this._directory,
      mesh: this._mesh,
      joinSilenceMs: () => this._host.joinSilenceMs,
      write: (level, event, fields) => this._write(level, event, fields)
    })
    this._registry.onDidLoseWorker(({ workerId, address }) => {
      this._statistics.forget(workerId)
      _options.workers.forget(address)
      write('workerLost', { worker: workerId, address, isDraining: this._registry.find(workerId)?.isDraining })
    })
    this._services = {
      zone,
      routes: this._routes,
      registry: this._registry,
      statistics: this._statistics,
      choice: container.resolve<IWorkerChoice>(IWorkerChoice),
      durations: new RouteDurations(),
      workers: _options.workers,
      turns: this._turns,
      crashes: this._crashes,
      metrics: this.metrics,
      nodeCount: () => this._directory.alive.length + 1,
      isDocumentCertain: () => this._knowledge.isDocumentCertain,
      write
    }
  }

  /** Limits on callers, from the document in force. */
  get limits (): CallerLimits | undefined {
    return this._routes.limits
  }

  /** True while callers should be sent here. */
  get isReady (): boolean {
    return !this._isDraining && this._routes.version > 0 && this._knowledge.hasWorkers && !this._host.isIsolated
  }

  get isDraining (): boolean {
    return this._isDraining
  }

  async start (): Promise<void> {
    this._loopDelay.enable()
    await this._mesh.listen()
    this._write('info', 'nodeStarted', { incarnation: this._self.incarnation, zone: this._self.zone, peerAddress: this._self.peerAddress, callerAddress: this._self.callerAddress, partitions: this._options.partitionCount })
    for (const [index, peerAddress] of this._options.seedAddresses.entries()) {
      if (peerAddress !== this._self.peerAddress) this._mesh.addPeer({ node: seedName(index), incarnation: '', peerAddress, callerAddress: '', zone: '' })
    }
    this._knowledge.start()
    this._host.start()
    void this._knowledge.announce(this._self)
    this._broadcast.start()
    this._forgetTimer = setInterval(() => this._directory.forgetSilent(), FORGET_PERIOD_MS)
  }

  /** Takes a caller's request. */
  accept (request: RoutedRequest, sink: IAnswerSink): void {
    startRoutedCall(this._services, request, sink)
  }

  /** Counts a request from its first byte to the end of its answer; a stop waits for all of them. */
  beginRequest (): () => void {
    this._openCount++
    let isOpen = true
    return () => {
      if (isOpen) this._openCount--
      isOpen = false
    }
  }

  /** Where callers of a zone should connect. */
  callerAddresses (zone: string | undefined): string[] {
    return this._directory.callerAddresses(zone, this.isReady)
  }

  /** The planned stop: resolves when no request is open and the state is handed over, or the grace is nearly over. */
  async stop (): Promise<void> {
    if (this._isDraining) return
    this._isDraining = true
    const startedMs = steadyNowMs()
    const endMs = startedMs + this._options.stopGraceMs - STOP_MARGIN_MS
    this._write('info', 'stopBegun', { openRequests: this._openCount, partitions: this._host.served.length })
    this._broadcast.send()
    const handover = this._host.stop(FLUSH_MS)
    while (steadyNowMs() < endMs) {
      if (steadyNowMs() - startedMs > LINGER_MS && this._openCount === 0) break
      await delay(STOP_POLL_MS)
    }
    await Promise.race([handover, delay(Math.max(0, endMs - steadyNowMs()))])
    this._write('info', 'stopEnded', { openRequests: this._openCount, tookMs: Math.round(steadyNowMs() - startedMs) })
  }

  /** Closes everything at once. */
  async close (): Promise<void> {
    if (this._isStopped) return
    this._isStopped = true
    this._broadcast.stop()
    clearInterval(this._forgetTimer)
    this._loopDelay.disable()
    this._knowledge.stop()
    this._host.close()
    await Promise.all([this._mesh.close(), this._options.workers.close(), this._options.log.close()])
  }

  /** The metrics page. */
  renderMetrics (): string {
    const memory = process.memoryUsage()
    const cpu = process.cpuUsage()
    const { served } = this._host
    return this.metrics.render({
      ready: Number(this.isReady),
      draining: Number(this._isDraining),
      open_requests: this._openCount,
      document_version: this._routes.version,
      live_nodes: this._directory.alive.length + 1,
      partitions_served: served.length,
      turns_held: served.reduce((total, owner) => total + owner.turnCount, 0),
      turn_bytes_held: served.reduce((total, owner) => total + owner.turnBytes, 0),
      programs_held: served.reduce((total, owner) => total + owner.programCount, 0),
      append_backlog: served.reduce((total, owner) => total + owner.backlog, 0),
      log_silence_ms: this._knowledge.logSilenceMs,
      resident_memory_bytes: memory.rss,
      heap_used_bytes: memory.heapUsed,
      event_loop_delay_p99_ms: this._loopDelay.percentile(99) / 1e6,
      cpu_seconds: (cpu.user + cpu.system) / 1e6
    })
  }

  private _composeStatus (): Omit<NodeStatus, 'periodMs' | 'peers'> {
    const crashes = this._crashes.seen
    return {
      type: 'status',
      from: this._self,
      isReady: this.isReady,
      isDraining: this._isDraining,
      owned: this._host.served.map(owner => [owner.partition, owner.epoch]),
      documentVersion: this._routes.version,
      logSilenceMs: Math.round(this._knowledge.logSilenceMs),
      load: this._statistics.ownLoad(),
      crashes: crashes.length === 0 ? undefined : crashes
    }
  }

  private _takeStatus (status: NodeStatus): void {
    this._directory.applyStatus(status)
    this._statistics.setPeerLoad(status.from.node, status.load)
    this._host.noteOwners(status.owned)
    this._crashes.takeSeen(status.crashes ?? [])
    if (status.documentVersion > this._routes.version) void this._knowledge.fetchDocument(status.from.node)
  }

  private _serve (request: PeerRequest, respond: PeerResponder): void {
    if (this._turns.handle(request, respond)) return
    if (request.type !== 'topic') return
    respond({ type: 'topicContent', records: this._knowledge.contentOf(request.topic) }, true)
  }

  private _write (level: LogLevel, event: string, fields: LogFields): void {
    this._options.eventLog.write(level, event, { node: this._options.node, ...fields })
  }
}

/** Name of a peer of which only the address is known. */
function seedName (index: number): string {
  return `seed-${index}`
}

/** Later starts compare as larger. */
function createIncarnation (): string {
  return `${Date.now().toString(36).padStart(9, '0')}${randomBytes(2).toString('hex')}`
}
