/** A node's view of the cluster, namely document, workers and other nodes, from the log or, while it can't read the log, from peers or snapshots. */
import type { IRouteTable, IWorkerRegistry, KeyedRecord, LogFields, LogLevel, RouteDocument, WorkerRegistration } from '@trefoilshunt/core'
import { Packr } from 'msgpackr'
import type { ILogClient } from '../../common/routed/logClient.js'
import type { NodeAddress } from '../../common/routed/routedPeerMessages.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh } from './peerMesh.js'
import { TopicSnapshots } from './topicSnapshots.js'
import { TopicFollower } from './topicFollower.js'

/** Topic in which each node publishes its address under its name. */
const NODE_TOPIC = 'keyed.nodes'
const ANNOUNCE_RETRY_MS = 300
const APPEND_TIMEOUT_MS = 1_500
const TOPIC_QUERY_TIMEOUT_MS = 500
/** Peers that got no response from the log for this long, several joins of the member group, are not queried for topics. */
const MAX_SINCE_LOG_RESPONSE_MS = 1_100
/** The document counts as fresh if the log has responded to this node's reads of it, or to a peer with no newer document, within this time. */
const DOCUMENT_FRESH_MS = 4_000

/** Decodes the records of a platform; a platform adapter implements it. Undefined for records that can't be decoded. */
export interface IRoutedCodec {
  decodeDocument (bytes: Uint8Array): RouteDocument | undefined
  decodeRegistration (workerId: string, bytes: Uint8Array): WorkerRegistration | undefined
}

export interface ClusterViewOptions {
  /** This node's name. */
  node: string
  documentTopic: string
  documentKey: string
  workerTopic: string
  log: ILogClient
  codec: IRoutedCodec
  routes: IRouteTable
  registry: IWorkerRegistry
  directory: NodeDirectory
  mesh: PeerMesh
  /** Time since the log last confirmed this node's membership. */
  sinceMembershipConfirmedMs: () => number
  write: (level: LogLevel, event: string, fields: LogFields) => void
}

/**
 * Follows the topics of the document, the workers and the nodes, and applies their records to the route table, the worker registry
 * and the node directory.
 *
 * @example
 * const clusterView = new ClusterView(options)
 * clusterView.start()
 * void clusterView.announce(self)
 */
export class ClusterView {
  private readonly _packr = new Packr({ useRecords: false })
  private readonly _documentFollower: TopicFollower
  private readonly _workerFollower: TopicFollower
  private readonly _nodeFollower: TopicFollower
  private readonly _snapshots: TopicSnapshots
  private _workersKnownAtMs: number | undefined
  private _isStopped = false

  constructor (private readonly _options: ClusterViewOptions) {
    const { documentTopic, workerTopic, log, directory } = _options
    this._snapshots = new TopicSnapshots({
      log,
      contents: () => this._contentsToSnapshot,
      isWriter: () => directory.alive.every(({ from }) => from.node > _options.node),
      write: (event, fields) => this._write('info', event, fields)
    })
    this._documentFollower = this._createFollower(documentTopic, records => this._applyDocuments(records), records => this._applyDocuments(records))
    this._workerFollower = this._createFollower(workerTopic, records => this._applyRegistrations(records, false), records => this._applyRegistrations(records, true))
    this._nodeFollower = this._createFollower(NODE_TOPIC, records => this._applyNodes(records), records => this._applyNodes(records))
  }

  /** True once the list of workers was read, from the log, a peer or a snapshot. */
  get hasWorkers (): boolean {
    return this._workerFollower.hasContent
  }

  /** Time since the list of workers was first read; undefined before. */
  get workersKnownForMs (): number | undefined {
    return this._workersKnownAtMs === undefined ? undefined : steadyNowMs() - this._workersKnownAtMs
  }

  /** Time since the log last answered a read of the list of workers. */
  get workersSilenceMs (): number {
    return this._workerFollower.sinceLastReadMs
  }

  /** True while the log tells which nodes there are. */
  get isNodeListRead (): boolean {
    return this._nodeFollower.content !== undefined && !this._nodeFollower.isFailing
  }

  start (): void {
    for (const follower of this._followers) follower.start()
    this._snapshots.start()
  }

  stop (): void {
    this._isStopped = true
    for (const follower of this._followers) follower.stop()
    this._snapshots.stop()
  }

  /** The newest records of a topic; undefined while this node has not read it from the log. */
  contentOf (topic: string): KeyedRecord[] | undefined {
    return this._followers.find(follower => follower.topic === topic)?.content
  }

  /** Time since the last response of the log to this node. */
  get sinceLogResponseMs (): number {
    return Math.min(this._options.sinceMembershipConfirmedMs(), this._documentFollower.sinceLastReadMs, this._workerFollower.sinceLastReadMs, this._nodeFollower.sinceLastReadMs)
  }

  /** True if the active document can't be out of date by more than a few seconds. */
  get isDocumentFresh (): boolean {
    const isReadHere = this._documentFollower.content !== undefined && this._documentFollower.sinceLastReadMs < DOCUMENT_FRESH_MS
    return isReadHere ||
      this._options.directory.alive.some(status => status.logSilenceMs < DOCUMENT_FRESH_MS && status.documentVersion <= this._options.routes.version)
  }

  private _createFollower (topic: string, onRecords: (records: KeyedRecord[]) => void, onContent: (records: KeyedRecord[]) => void): TopicFollower {
    return new TopicFollower({
      topic,
      log: this._options.log,
      onRecord: record => {
        this._snapshots.markChanged()
        onRecords([record])
      },
      onContent: records => {
        this._snapshots.markChanged()
        onContent(records)
      },
      onReachable: isReachable => this._handleReachability(topic, isReachable),
      readFallback: async () => await this._readFromPeersOrSnapshots(topic),
      write: (event, fields) => this._write('warn', event, fields)
    })
  }

  private _handleReachability (topic: string, isReachable: boolean): void {
    this._write(isReachable ? 'info' : 'warn', isReachable ? 'logRegained' : 'logLost', { topic })
    if (topic !== this._options.workerTopic) return
    if (isReachable) this._options.registry.handleLogRegained(steadyNowMs())
    else this._options.registry.handleLogLost()
  }

  /** The topics that routing depends on, document and workers; undefined until both were read from the log. Node addresses need no snapshot: each node announces its own at each start. */
  private get _contentsToSnapshot (): ReadonlyMap<string, readonly KeyedRecord[]> | undefined {
    const contents = new Map<string, readonly KeyedRecord[]>()
    for (const { topic, content } of [this._documentFollower, this._workerFollower]) {
      if (content === undefined) return undefined
      contents.set(topic, content)
    }
    return contents
  }

  private async _readFromPeersOrSnapshots (topic: string): Promise<KeyedRecord[] | undefined> {
    return await this._queryPeers(topic) ?? await this._snapshots.read(topic)
  }

  private async _queryPeers (topic: string): Promise<KeyedRecord[] | undefined> {
    const peer = this._options.directory.alive.filter(status => status.logSilenceMs < MAX_SINCE_LOG_RESPONSE_MS).sort((left, right) => left.logSilenceMs - right.logSilenceMs).at(0)
    if (peer === undefined) return undefined
    const reply = await this._options.mesh.requestOnce(peer.from.node, { type: 'topic', topic }, TOPIC_QUERY_TIMEOUT_MS)
    return reply?.type === 'topicContent' ? reply.records : undefined
  }

  private _applyDocuments (records: KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (key !== this._options.documentKey || value === undefined) continue
      const document = this._options.codec.decodeDocument(value)
      if (document === undefined) {
        this._write('warn', 'documentUnreadable', { bytes: value.length })
      } else if (this._options.routes.apply(document)) {
        this._write('info', 'documentInForce', { version: document.version, routes: document.routes.length, services: document.services.length })
      }
    }
  }

  private _applyRegistrations (records: KeyedRecord[], isComplete: boolean): void {
    const nowMs = steadyNowMs()
    this._workersKnownAtMs ??= nowMs
    const registrations: WorkerRegistration[] = []
    for (const { key, value } of records) {
      const registration = value === undefined ? undefined : this._options.codec.decodeRegistration(key, value)
      if (value !== undefined && registration === undefined) this._write('warn', 'registrationUnreadable', { worker: key, bytes: value.length })
      if (registration !== undefined) registrations.push(registration)
      if (!isComplete) {
        this._options.registry.update(key, registration, nowMs)
        this._write('info', 'workerRegistration', { worker: key, service: registration?.service, isDraining: registration?.isDraining, isGone: value === undefined })
      }
    }
    if (isComplete) this._options.registry.replaceAll(registrations, nowMs)
  }

  private _applyNodes (records: KeyedRecord[]): void {
    for (const { value } of records) {
      const address = value === undefined ? undefined : this._decodeNodeAddress(value)
      if (address !== undefined) this._options.directory.add(address)
    }
  }

  private _decodeNodeAddress (value: Uint8Array): NodeAddress | undefined {
    try {
      const fields = this._packr.unpack(value) as Partial<NodeAddress>
      const { node, incarnation, peerAddress, callerAddress, zone } = fields
      if ([node, incarnation, peerAddress, callerAddress, zone].some(field => typeof field !== 'string')) return undefined
      return fields as NodeAddress
    } catch {
      this._write('warn', 'nodeRecordUnreadable', { bytes: value.length })
      return undefined
    }
  }

  /** Writes this node's address to the log; retries until that has succeeded or `stop` was called. */
  async announce (self: NodeAddress): Promise<void> {
    while (!this._isStopped) {
      const result = await this._options.log.append({
        topic: NODE_TOPIC, partition: 0, records: [{ key: self.node, value: this._packr.pack(self) }], timeoutMs: APPEND_TIMEOUT_MS
      })
      if (result.type === 'appended') return
      await delay(ANNOUNCE_RETRY_MS)
    }
  }

  /** Requests the document from a peer that has a newer one, and applies it; does nothing if the peer sends none in time. */
  async fetchDocument (peer: string): Promise<void> {
    const reply = await this._options.mesh.requestOnce(peer, { type: 'topic', topic: this._options.documentTopic }, TOPIC_QUERY_TIMEOUT_MS)
    if (reply?.type === 'topicContent' && reply.records !== undefined) this._applyDocuments(reply.records)
  }

  private get _followers (): TopicFollower[] {
    return [this._documentFollower, this._workerFollower, this._nodeFollower]
  }

  private _write (level: LogLevel, event: string, fields: LogFields): void {
    this._options.write(level, event, fields)
  }
}
