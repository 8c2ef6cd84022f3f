/** A node that serves routed requests: creates and connects its parts, starts them and stops them in order. */
import { randomBytes } from 'node:crypto'
import {
  createContainer, DEFAULT_WORKER_CHOICE, IRandom, IRouteTable, IWorkerChoice, IWorkerNotices, IWorkerRegistry, IWorkerStatistics, type CallerLimits, type LogFields, type LogLevel, MemoryBudget, type PlacementOrder, TokenBucket, WorkerChoiceOptions
} from '@trefoilshunt/core'
import { Metrics } from '../../common/metrics.js'
import type { ILogClient } from '../../common/routed/logClient.js'
import type { NodeAddress, NodeStatus, PeerRequest } from '../../common/routed/routedPeerMessages.js'
import type { IAnswerSink, RoutedRequest } from '../../common/routed/routedRequest.js'
import type { IWorkerClient } from '../../common/routed/workerClient.js'
import type { IEventLog } from '../logger.js'
import { LoopUtilization } from '../loopUtilization.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import { AccessControl } from './accounts/accessControl.js'
import { QuotaClient } from './accounts/quotaClient.js'
import { QuotaService } from './accounts/quotaService.js'
import { PoisonRequestDetector } from './poisonRequestDetector.js'
import { type IRoutedCodec, ClusterView, NODE_TOPIC } from './clusterView.js'
import { HeldBytes } from './heldBytes.js'
import { NodeDirectory } from './nodeDirectory.js'
import { NoticeExchange } from './noticeExchange.js'
import { NodeGauges } from './nodeGauges.js'
import { OpenRequestReporter } from './openRequestReporter.js'
import { OwnRates } from './ownRates.js'
import { RelayClient } from './paths/relayClient.js'
import { RelayServer } from './paths/relayServer.js'
import { WorkerGateway } from './paths/workerGateway.js'
import { WorkerLinks } from './paths/workerLinks.js'
import { PartitionHost } from './owners/partitionHost.js'
import { MIN_DRAIN_MS, PlannedStop } from './plannedStop.js'
import { PeerDiscovery } from './peerDiscovery.js'
import { PeerMesh, type PeerRequester, type PeerResponder } from './peerMesh.js'
import { PlacementCoordinator } from './placementCoordinator.js'
import { WorkerNoticeReporter } from './workerNoticeReporter.js'
import { ReportedRequests, senderKeyOf } from './reportedRequests.js'
import { RouteDurations } from './routeDurations.js'
import { startRoutedCall } from './startRoutedCall.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'
import { SlotClient } from './slotClient.js'
import { StatusBroadcast } from './statusBroadcast.js'
import { SuspectGate } from './suspectGate.js'
import { StreamOrigins } from './streamOrigins.js'
import { StreamOutputs } from './streamOutputs.js'
import { TurnService } from './turnService.js'

const STOP_POLL_MS = 20
/** Time for the records of its partitions to reach the log when a node stops. */
const FLUSH_TIMEOUT_MS = 1_500
/** Reserved for the last steps of a stop before the platform kills the process. */
const STOP_MARGIN_MS = 700
/** Of these, the time in which the answers of the last requests reach their callers. */
const LAST_ANSWERS_MS = 200
const CLEANUP_PERIOD_MS = 10_000
/** Clients that meet limits may do so thousands of times a second; the metrics count all of them. */
const LIMIT_LINES_PER_S = 5

export interface RoutedDaemonOptions {
  node: string
  zone: string
  peerAddress: string
  callerAddress: string
  /** Processor cores of this node, fractions included; nodes with more of them coordinate placements and serve more callers. */
  cores?: number
  /** Addresses of peers to connect to at the start, in case the log can't be read. */
  seedAddresses: readonly string[]
  partitionCount: number
  maxRecordBytes: number
  maxAppendBytes: number
  /** Time without a join by this node after which the log assigns its partitions to others. */
  memberTtlMs: number
  /** Time between the signal to stop and the kill of the process. */
  stopGraceMs: number
  /** Longest time for which a withdrawn access key may be served, counted from the log's confirmation; undefined without a limit. */
  withdrawnKeyLimitMs?: number
  /** Memory for callers' requests and their answers together; without a limit if absent. */
  maxHeldBytes?: number
  /** Connections that may be open at a time on the port for peers; without a limit if absent. */
  maxPeerConnections?: number
  documentTopic: string
  documentKey: string
  workerTopic: string
  log: ILogClient
  workers: IWorkerClient
  codec: IRoutedCodec
  eventLog: IEventLog
  /** Overrides of the default options for the choice of workers. */
  workerChoice?: Partial<WorkerChoiceOptions>
  /** What goes first while requests wait for workers; by default by cost where the document has client accounts. */
  placementOrder?: PlacementOrder
}

/**
 * The service of one node. Emits log events by `eventLog` and metrics by `renderMetrics`.
 *
 * @example
 * const daemon = new RoutedDaemon(options)
 * await daemon.start()
 * daemon.accept(request, sink)
 */
export class RoutedDaemon {
  readonly metrics = new Metrics()
  /** What is held of callers' requests and of their answers. */
  readonly memory: MemoryBudget
  private readonly _limitLines = new TokenBucket({ ratePerSecond: LIMIT_LINES_PER_S, burst: LIMIT_LINES_PER_S })
  private readonly _self: NodeAddress
  private readonly _routes: IRouteTable
  private readonly _registry: IWorkerRegistry
  private readonly _statistics: IWorkerStatistics
  private readonly _notices: IWorkerNotices
  private readonly _noticeExchange: NoticeExchange
  private readonly _links: WorkerLinks
  private readonly _relayServer: RelayServer
  private readonly _directory: NodeDirectory
  private readonly _mesh: PeerMesh
  private readonly _discovery: PeerDiscovery
  private readonly _partitionHost: PartitionHost
  private readonly _turns: TurnService
  private readonly _coordinator: PlacementCoordinator
  private readonly _slots: SlotClient
  private readonly _streamOrigins: StreamOrigins
  private readonly _streamOutputs: StreamOutputs
  private readonly _clusterView: ClusterView
  private readonly _poisonRequestDetector: PoisonRequestDetector
  private readonly _openRequests: OpenRequestReporter
  private readonly _reportedRequests = new ReportedRequests()
  private readonly _suspectGate: SuspectGate
  private readonly _quotaService: QuotaService
  private readonly _quotaClient: QuotaClient
  private readonly _statusBroadcast: StatusBroadcast
  private readonly _callDependencies: RoutedCallDependencies
  private readonly _gauges: NodeGauges
  private readonly _loopUtilization = new LoopUtilization()
  private _cleanupTimer: NodeJS.Timeout | undefined
  private _openRequestCount = 0
  private readonly _plannedStop = new PlannedStop()
  private _isStopped = false

  constructor (private readonly _options: RoutedDaemonOptions) {
    const { node, zone, peerAddress, callerAddress, log } = _options
    this._self = { node, zone, peerAddress, callerAddress, incarnation: createIncarnation() }
    this.memory = new MemoryBudget({ maxBytes: _options.maxHeldBytes })
    const container = createContainer({ seed: randomBytes(4).readInt32LE(), plugins: ['routing', 'workers'] })
    container.registerInstance(WorkerChoiceOptions, { ...DEFAULT_WORKER_CHOICE, ..._options.workerChoice })
    this._routes = container.resolve<IRouteTable>(IRouteTable)
    this._registry = container.resolve<IWorkerRegistry>(IWorkerRegistry)
    this._statistics = container.resolve<IWorkerStatistics>(IWorkerStatistics)
    this._notices = container.resolve<IWorkerNotices>(IWorkerNotices)
    const write = (event: string, fields: LogFields): void => this._write('info', event, fields)
    this._links = new WorkerLinks({ client: _options.workers, registry: this._registry, random: container.resolve<IRandom>(IRandom), hasRelay: () => relays.isAvailable, write })
    this._links.onDidChange(() => this._statusBroadcast.send())
    this._directory = new NodeDirectory({
      self: this._self,
      nowMs: steadyNowMs,
      onAdded: address => {
        write('peerAdded', { peer: address.node, incarnation: address.incarnation, address: address.peerAddress })
        for (const [index, seed] of _options.seedAddresses.entries()) {
          if (seed === address.peerAddress) this._mesh.removePeer(seedPeerName(index))
        }
        this._mesh.addPeer(address)
      },
      onRemoved: peer => {
        write('peerForgotten', { peer })
        this._mesh.removePeer(peer)
      }
    })
    this._mesh = new PeerMesh({
      self: this._self,
      memory: this.memory,
      maxAccepted: _options.maxPeerConnections,
      onLimit: (address, limit, heldCount) => this.reportCallerLimit(address, limit, heldCount),
      onStatus: status => this._applyStatus(status),
      onRequest: (request, respond, requester) => this._handlePeerRequest(request, respond, requester),
      documentAge: () => this._clusterView.documentAge,
      onDocumentAge: (age, askedAt) => this._clusterView.applyDocumentAge(age, askedAt),
      onConnected: peer => {
        write('peerConnected', { peer })
        this._discovery.handleConnected(peer)
        this._noticeExchange.tell(peer)
        this._tellCrashes(peer)
        this._openRequests.handleConnected(peer)
        this._streamOutputs.handleConnected(peer)
      },
      onDisconnected: (peer, detail, isClosedByPeer) => {
        write('peerLost', { peer, detail })
        this._statistics.removePeerLoad(peer)
        this._coordinator.releaseAllOf(peer)
        this._directory.markDisconnected(peer, isClosedByPeer)
        this._streamOutputs.handleDisconnected()
      }
    })
    this._discovery = new PeerDiscovery({ self: this._self, directory: this._directory, mesh: this._mesh, isNodeListRead: () => this._clusterView.isNodeListRead, random: container.resolve<IRandom>(IRandom), write })
    this._statusBroadcast = new StatusBroadcast({ mesh: this._mesh, directory: this._directory, compose: () => this._composeStatus() })
    this._partitionHost = new PartitionHost({
      member: node,
      log,
      partitionCount: _options.partitionCount,
      maxRecordBytes: _options.maxRecordBytes,
      maxAppendBytes: _options.maxAppendBytes,
      memberTtlMs: _options.memberTtlMs,
      sinceLogResponseMs: () => this._clusterView.sinceLogResponseMs,
      hasLivePeers: () => this._directory.alive.length > 0,
      hasUnservedPartition: () => this._hasUnservedPartition,
      random: container.resolve<IRandom>(IRandom),
      onChanged: () => {
        this._quotaService.synchronize()
        this._statusBroadcast.send()
      },
      write
    })
    this._quotaService = new QuotaService({ partitionCount: _options.partitionCount, memberTtlMs: _options.memberTtlMs, routes: this._routes, host: this._partitionHost, directory: this._directory, mesh: this._mesh, write })
    this._openRequests = new OpenRequestReporter({ node, incarnation: this._self.incarnation, directory: this._directory, mesh: this._mesh })
    this._suspectGate = new SuspectGate({ node, directory: this._directory, mesh: this._mesh, write })
    this._poisonRequestDetector = new PoisonRequestDetector({
      topic: NODE_TOPIC,
      log,
      random: container.resolve<IRandom>(IRandom),
      onCrashObserved: () => this._statusBroadcast.send(),
      isRegistered: ({ workerId, startedAtMs }) => this._registry.find(workerId)?.startedAtMs === startedAtMs,
      listSilenceMs: () => this._clusterView.workersSilenceMs,
      probe: async worker => await gateway.probe(worker),
      reporter: this._openRequests,
      reported: this._reportedRequests,
      isSenderAlive: sender => this._isAlive(sender),
      write
    })
    this._turns = new TurnService({ partitionCount: _options.partitionCount, host: this._partitionHost, mesh: this._mesh, directory: this._directory, write })
    this._coordinator = new PlacementCoordinator({ routes: this._routes, registry: this._registry, statistics: this._statistics, notices: this._notices, otherCoordinatorCount: key => this._directory.coordinatorCount(key), random: container.resolve<IRandom>(IRandom), placementOrder: _options.placementOrder, write })
    const { documentTopic, documentKey, workerTopic, codec } = _options
    this._clusterView = new ClusterView({
      node,
      zone,
      random: container.resolve<IRandom>(IRandom),
      maxRecordBytes: _options.maxRecordBytes,
      maxAppendBytes: _options.maxAppendBytes,
      documentTopic,
      documentKey,
      workerTopic,
      log,
      codec,
      routes: this._routes,
      registry: this._registry,
      directory: this._directory,
      mesh: this._mesh,
      crashRecords: this._poisonRequestDetector.records,
      sinceMembershipConfirmedMs: () => this._partitionHost.sinceLastJoinMs,
      write: (level, event, fields) => this._write(level, event, fields)
    })
    this._links.onMisbehaved = (worker, detail) => {
      this._statistics.recordFailure(worker, steadyNowMs())
      this._write('warn', 'workerMisbehaved', { worker, detail })
    }
    const relays = new RelayClient({ node, incarnation: this._self.incarnation, directory: this._directory, mesh: this._mesh, write })
    const gateway = new WorkerGateway(this._links, relays)
    const reporter = new WorkerNoticeReporter({ notices: this._notices, report: (worker, report) => this._slots.reportNotice(worker, report) })
    this._relayServer = new RelayServer({ links: this._links, registry: this._registry, routes: this._routes, nodeCount: () => this._directory.alive.length + 1, noticeReporter: reporter, beginRequest: () => this.beginRequest(), write })
    this._slots = new SlotClient({
      node,
      incarnation: this._self.incarnation,
      cores: this._cores,
      isReady: () => this.isReady,
      registry: this._registry,
      directory: this._directory,
      mesh: this._mesh,
      coordinator: this._coordinator,
      write
    })
    this._noticeExchange = new NoticeExchange({ node, notices: this._notices, registry: this._registry, directory: this._directory, mesh: this._mesh, isCoordinatorOf: worker => this._slots.isCoordinatorOf(worker), write })
    this._streamOrigins = new StreamOrigins({
      registry: this._registry,
      directory: this._directory,
      mesh: this._mesh,
      listKnownForMs: () => this._clusterView.workersKnownForMs,
      listSilenceMs: () => this._clusterView.workersSilenceMs,
      confirmList: async () => await this._clusterView.confirmWorkers(),
      write
    })
    this._streamOutputs = new StreamOutputs({ zone, directory: this._directory, mesh: this._mesh, write })
    const ownRates = new OwnRates({ notices: this._notices, nodeCount: () => this._directory.size + 1, random: container.resolve<IRandom>(IRandom) })
    this._registry.onDidLoseWorker(worker => {
      const { workerId, address } = worker
      this._poisonRequestDetector.handleWorkerLost(worker, this._registry.find(workerId), worker.isDraining || this._notices.isLeaving(worker))
      this._statistics.removeWorker(workerId)
      this._coordinator.removeWorker(workerId)
      if (this._registry.find(workerId)?.startedAtMs !== worker.startedAtMs) this._notices.removeWorker(workerId)
      reporter.removeWorker(workerId)
      ownRates.removeWorker(workerId)
      this._links.removeWorker(worker)
      write('workerLost', { worker: workerId, address, isDraining: this._registry.find(workerId)?.isDraining })
    })
    const access = new AccessControl({
      routes: this._routes,
      metrics: this.metrics,
      withdrawnKeyLimitMs: _options.withdrawnKeyLimitMs,
      documentAgeMs: () => this._clusterView.documentAgeMs,
      confirmDocument: async () => await this._clusterView.confirmDocument(),
      askPeers: () => this._statusBroadcast.send(),
      nowMs: steadyNowMs,
      write
    })
    this._quotaClient = new QuotaClient({ node, routes: this._routes, service: this._quotaService, directory: this._directory, mesh: this._mesh, metrics: this.metrics, labelOf: account => access.labelOf(account), write })
    this._gauges = new NodeGauges({ links: this._links, relays, relayServer: this._relayServer, partitionHost: this._partitionHost, directory: this._directory, clusterView: this._clusterView, coordinator: this._coordinator, streamOrigins: this._streamOrigins, streamOutputs: this._streamOutputs, notices: this._notices, poisonRequestDetector: this._poisonRequestDetector, openRequests: this._openRequests, reportedRequests: this._reportedRequests, suspectGate: this._suspectGate, quotaClient: this._quotaClient, quotaService: this._quotaService })
    this._callDependencies = {
      zone,
      access,
      quotas: this._quotaClient,
      notices: this._notices,
      noticeReporter: reporter,
      ownRates,
      routes: this._routes,
      registry: this._registry,
      statistics: this._statistics,
      choice: container.resolve<IWorkerChoice>(IWorkerChoice),
      slots: this._slots,
      streamOrigins: this._streamOrigins,
      streamOutputs: this._streamOutputs,
      durations: new RouteDurations(),
      workers: gateway,
      turns: this._turns,
      heldBytes: new HeldBytes(undefined, this.memory),
      poisonRequestDetector: this._poisonRequestDetector,
      suspectGate: this._suspectGate,
      openRequests: this._openRequests,
      metrics: this.metrics,
      plannedStop: this._plannedStop,
      nodeCount: () => this._directory.alive.length + 1,
      loadAgeMs: () => this._directory.meanStatusAgeMs,
      isDocumentFresh: () => this._clusterView.isDocumentFresh,
      write
    }
  }

  /** Limits on callers, from the active document; undefined before the first one. */
  get limits (): CallerLimits | undefined {
    return this._routes.limits
  }

  /** True while callers should be directed to this node. */
  get isReady (): boolean {
    return !this.isDraining && this._routes.version > 0 && this._clusterView.hasWorkers && !this._partitionHost.isIsolated
  }

  get isDraining (): boolean {
    return this._plannedStop.hasBegun
  }

  /** Rejects if the peer address can't be bound. */
  async start (): Promise<void> {
    this._gauges.start()
    await this._mesh.listen()
    this._write('info', 'nodeStarted', { incarnation: this._self.incarnation, zone: this._self.zone, peerAddress: this._self.peerAddress, callerAddress: this._self.callerAddress, partitions: this._options.partitionCount })
    for (const [index, peerAddress] of this._options.seedAddresses.entries()) {
      if (peerAddress !== this._self.peerAddress) this._mesh.addPeer({ node: seedPeerName(index), incarnation: '', peerAddress, callerAddress: '', zone: '' })
    }
    this._clusterView.start()
    this._partitionHost.start()
    void this._clusterView.announce(this._self)
    this._statusBroadcast.start()
    this._discovery.start()
    this._cleanupTimer = setInterval(() => this._removeInactive(), CLEANUP_PERIOD_MS)
  }

  /** Handles a caller's request; the answer or a refusal goes to `sink`. */
  accept (request: RoutedRequest, sink: IAnswerSink): void {
    startRoutedCall(this._callDependencies, request, sink)
  }

  /** Counts a request as open until the returned function is called; `stop` waits for all open requests. */
  beginRequest (): () => void {
    this._openRequestCount++
    let isOpen = true
    return () => {
      if (isOpen) this._openRequestCount--
      isOpen = false
    }
  }

  /** To be called when a client of one of this node's servers has met a limit; `heldCount` is what it held: connections, requests or bytes. */
  reportCallerLimit (caller: string, limit: string, heldCount: number): void {
    this.metrics.count('caller_limits', { limit })
    if (this._limitLines.tryTake(steadyNowMs())) this._write('warn', 'callerConnectionClosed', { caller, limit, held: heldCount })
  }

  /** Addresses, `host:port`, to which callers of a zone should connect. */
  callerAddresses (zone: string | undefined): string[] {
    return this._directory.callerAddresses(zone, { isReady: this.isReady, reachesWorkers: !this._links.isCutOff, cores: this._cores, busyShare: this._loopUtilization.read() })
  }

  /** Drains this node for a planned stop: resolves after at least 3 s, when no request is open and the partitions are handed over, or shortly before the grace period ends. Then call `close`. */
  async stop (): Promise<void> {
    if (this.isDraining) return
    const startedMs = steadyNowMs()
    const endMs = startedMs + this._options.stopGraceMs - STOP_MARGIN_MS
    this._plannedStop.begin(endMs)
    this._write('info', 'stopBegun', { openRequests: this._openRequestCount, partitions: this._partitionHost.served.length })
    this._statusBroadcast.send()
    this._streamOutputs.handOver()
    const handover = this._partitionHost.stop(FLUSH_TIMEOUT_MS)
    while (steadyNowMs() < endMs) {
      if (steadyNowMs() - startedMs > MIN_DRAIN_MS && this._openRequestCount === 0) break
      await delay(STOP_POLL_MS)
    }
    const endedCalls = this._plannedStop.endCalls()
    if (endedCalls > 0) await delay(LAST_ANSWERS_MS)
    await Promise.race([handover, delay(Math.max(0, endMs - steadyNowMs()))])
    this._write('info', 'stopEnded', { openRequests: this._openRequestCount, endedCalls, tookMs: Math.round(steadyNowMs() - startedMs) })
  }

  /** Closes all connections and timers at once, without a handover. */
  async close (): Promise<void> {
    if (this._isStopped) return
    this._isStopped = true
    this._statusBroadcast.stop()
    this._discovery.stop()
    clearInterval(this._cleanupTimer)
    this._gauges.stop()
    this._clusterView.stop()
    this._partitionHost.close()
    this._coordinator.dispose()
    this._quotaClient.dispose()
    this._poisonRequestDetector.dispose()
    this._openRequests.dispose()
    this._streamOrigins.dispose()
    this._streamOutputs.dispose()
    await Promise.all([this._mesh.close(), this._links.close(), this._options.log.close()])
  }

  /** The content of the metrics endpoint. */
  renderMetrics (): string {
    return this.metrics.render({
      ready: Number(this.isReady),
      draining: Number(this.isDraining),
      open_requests: this._openRequestCount,
      document_version: this._routes.version,
      busy_share: this._loopUtilization.read(),
      caller_bytes_held: this.memory.heldBytes,
      caller_bodies_waiting: this.memory.waitingCount,
      ...this._gauges.read()
    })
  }

  private get _hasUnservedPartition (): boolean {
    const served = new Set(this._partitionHost.assigned)
    for (const { owned } of this._directory.alive) {
      for (const [partition] of owned) served.add(partition)
    }
    return served.size < this._options.partitionCount
  }

  private get _cores (): number {
    return this._options.cores ?? 1
  }

  /** Tells a peer to which a connection was established which requests have crashed workers; does nothing at all but a few nodes. */
  private _tellCrashes (peer: string): void {
    if (!this._noticeExchange.isTellerOf(peer)) return
    const { report } = this._poisonRequestDetector
    if (report !== undefined) this._mesh.notify(peer, { type: 'crashReport', report })
  }

  private _removeInactive (): void {
    // One node is enough to remove records for all.
    if (this._directory.alive.every(({ from }) => from.node > this._self.node)) this._poisonRequestDetector.records.removeExpired()
    this._directory.removeInactive()
    this._quotaService.removeInactive()
    this._quotaClient.removeInactive()
    this._reportedRequests.removeInactive(sender => this._isAlive(sender))
    this._noticeExchange.removeInactive()
  }

  /** True if a peer lives under the incarnation that a sender key names. */
  private _isAlive (sender: string): boolean {
    return this._directory.alive.some(({ from: { node, incarnation } }) => senderKeyOf({ from: node, incarnation }) === sender)
  }

  private _composeStatus (): Omit<NodeStatus, 'periodMs' | 'peers'> {
    // Nodes of earlier builds read no records of crashes.
    const includesQuarantined = this._directory.alive.some(({ readsCrashRecords }) => readsCrashRecords !== true)
    const crashes = this._poisonRequestDetector.crashesToReport({ includesQuarantined })
    const { rateLimitedShards } = this._coordinator
    const rateLimits = this._noticeExchange.coordinated
    return {
      type: 'status',
      from: this._self,
      isReady: this.isReady,
      isDraining: this.isDraining,
      owned: this._partitionHost.served.map(owner => [owner.partition, owner.epoch]),
      documentVersion: this._routes.version,
      cores: this._cores,
      busyShare: this._loopUtilization.read(),
      reachesWorkers: !this._links.isCutOff,
      readsCrashRecords: true,
      takesRequestReports: true,
      holdsStreamOutputs: true,
      logSilenceMs: Math.round(this._clusterView.sinceLogResponseMs),
      load: this._statistics.ownLoad(),
      crashes: crashes.length === 0 ? undefined : crashes,
      rateLimitedShards: rateLimitedShards.length === 0 ? undefined : rateLimitedShards,
      rateLimits: rateLimits.length === 0 ? undefined : rateLimits
    }
  }

  private _applyStatus (status: NodeStatus): void {
    this._directory.applyStatus(status)
    this._statistics.setPeerLoad(status.from.node, status.load)
    this._partitionHost.applyPeerOwnership(status.owned)
    this._poisonRequestDetector.applyPeerCrashes(status.crashes ?? [])
    this._noticeExchange.apply(status.rateLimits ?? [])
    this._clusterView.handlePeerVersion(status.from.node, status.documentVersion)
  }

  private _handlePeerRequest (request: PeerRequest, respond: PeerResponder, requester: PeerRequester): void {
    if (this._turns.handle(request, respond) || this._streamOrigins.handle(request, respond) || this._streamOutputs.handle(request, respond) || this._relayServer.handle(request, respond, requester) || this._discovery.handle(request, respond) || this._suspectGate.handle(request, respond, requester) || this._quotaService.handle(request, respond)) return
    switch (request.type) {
      case 'place': return this._coordinator.place(request.shard, request.from, request.request, respond)
      case 'release': return this._coordinator.release(request.shard, request.placementId, request.end)
      case 'rateLimit': return this._noticeExchange.apply([request.report])
      case 'notices': return this._noticeExchange.apply(request.reports)
      case 'requestsOpen': return this._reportedRequests.apply(request)
      case 'crashReport': return this._poisonRequestDetector.applyReport(request.report)
      case 'topic': return respond(this._clusterView.answerTopic(request.topic, request.knownDigest), true)
    }
  }

  private _write (level: LogLevel, event: string, fields: LogFields): void {
    this._options.eventLog.write(level, event, { node: this._options.node, ...fields })
  }
}

/** Placeholder name of a peer of which only the address is known. */
function seedPeerName (index: number): string {
  return `seed-${index}`
}

/** Incarnations of later starts compare as larger strings. */
function createIncarnation (): string {
  return `${Date.now().toString(36).padStart(9, '0')}${randomBytes(2).toString('hex')}`
}
