/** A node's view of the cluster, namely document, workers and other nodes, from the log or, while it can't read the log, from peers or snapshots. */
import { createHash } from 'node:crypto'
import { checkDocument, type ClockReading, DocumentFreshness, earlierBy, type IRandom, type IRouteTable, type IWorkerRegistry, type KeyedRecord, type LogFields, type LogLevel, type RouteDocument, TokenBucket, type WorkerRegistration } from '@trefoilshunt/core'
import { Packr } from 'msgpackr'
import type { ILogClient } from '../../common/routed/logClient.js'
import type { DocumentAge, NodeAddress, PeerReply } from '../../common/routed/routedPeerMessages.js'
import { delay, readClocks, steadyNowMs } from '../steadyClock.js'
import { CrashRecords } from './crashRecords.js'
import { DocumentCatchUp } from './documentCatchUp.js'
import type { NodeDirectory } from './nodeDirectory.js'
import { isSocketAddress, type PeerMesh } from './peerMesh.js'
import { TopicSnapshots } from './topicSnapshots.js'
import { TopicFollower } from './topicFollower.js'

/** Topic in which each node publishes its address under its name, and the crashes of workers that it has observed. */
export const NODE_TOPIC = 'keyed.nodes'
const ANNOUNCE_RETRY_MS = 300
const APPEND_TIMEOUT_MS = 1_500
const TOPIC_QUERY_TIMEOUT_MS = 500
/** A caller waits for this. */
const CONFIRM_TIMEOUT_MS = 250
/** A document of thousands of routes takes most of this over a slow link. */
const DOCUMENT_QUERY_TIMEOUT_MS = 1_500
/** Bytes of topics that a node sends to peers: less than a slow link carries, so that what callers wait for still passes. */
const SENT_TOPICS_BYTES_PER_S = 1_500_000
/** Peers that got no response from the log for this long, several joins of the member group, are not queried for topics. */
const MAX_SINCE_LOG_RESPONSE_MS = 1_100
/** The document counts as fresh if the log has responded to this node's reads of it, or to a peer with no newer document, within this time. */
const DOCUMENT_FRESH_MS = 4_000

/** Findings in a new document that are logged one by one. */
const MAX_LOGGED_FINDINGS = 10
/** Digits of the digest by which a log line names an access key. */
const DIGEST_DIGITS = 8

/** Decodes the records of a platform; a platform adapter implements it. Undefined for records that can't be decoded. */
export interface IRoutedCodec {
  decodeDocument (bytes: Uint8Array): RouteDocument | undefined
  decodeRegistration (workerId: string, bytes: Uint8Array): WorkerRegistration | undefined
}

export interface ClusterViewOptions {
  /** This node's name. */
  node: string
  zone: string
  documentTopic: string
  documentKey: string
  workerTopic: string
  log: ILogClient
  /** Largest record and largest append that the log accepts. */
  maxRecordBytes: number
  maxAppendBytes: number
  codec: IRoutedCodec
  routes: IRouteTable
  registry: IWorkerRegistry
  directory: NodeDirectory
  mesh: PeerMesh
  /** Takes the records of the node topic that are not addresses. */
  crashRecords: Pick<CrashRecords, 'apply'>
  random: IRandom
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
  private readonly _catchUp: DocumentCatchUp
  private readonly _sentTopics = new TokenBucket({ ratePerSecond: SENT_TOPICS_BYTES_PER_S, burst: SENT_TOPICS_BYTES_PER_S })
  private readonly _freshness = new DocumentFreshness()
  /** Set while the newest document in the log can't be decoded. */
  private _isDocumentUnreadable = false
  /** Findings in the active document; those that the one before had too are not logged again. */
  private _findings = new Set<string>()
  private _documentConfirmation: Promise<boolean> | undefined
  private _workersKnownAtMs: number | undefined
  private _isStopped = false

  constructor (private readonly _options: ClusterViewOptions) {
    const { documentTopic, workerTopic, log, directory, maxRecordBytes, maxAppendBytes } = _options
    this._snapshots = new TopicSnapshots({
      log,
      maxRecordBytes,
      maxAppendBytes,
      contents: () => this._contentsToSnapshot,
      isWriter: () => directory.alive.every(({ from }) => from.node > _options.node),
      write: (event, fields) => this._write('info', event, fields)
    })
    this._catchUp = new DocumentCatchUp({ currentVersion: () => _options.routes.version, fetch: async peer => await this._fetchDocument(peer), random: _options.random })
    this._documentFollower = this._createFollower(documentTopic, records => this._applyDocuments(records), records => this._applyDocuments(records), sentAt => this._confirmDocument(sentAt))
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

  /** True if the log confirms that this node has read all changes of the list of workers. */
  async confirmWorkers (): Promise<boolean> {
    return await this._workerFollower.confirmRead(CONFIRM_TIMEOUT_MS)
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

  /** Time since the last response of the log to this node. */
  get sinceLogResponseMs (): number {
    return Math.min(this._options.sinceMembershipConfirmedMs(), this._documentFollower.sinceLastReadMs, this._workerFollower.sinceLastReadMs, this._nodeFollower.sinceLastReadMs)
  }

  /** True if the active document can't be out of date by more than a few seconds, and no peer has a newer one. */
  get isDocumentFresh (): boolean {
    if (this._catchUp.isBehind) return false
    const isReadHere = this._documentFollower.content !== undefined && this._documentFollower.sinceLastReadMs < DOCUMENT_FRESH_MS
    return isReadHere ||
      this._options.directory.alive.some(status => status.logSilenceMs < DOCUMENT_FRESH_MS && status.documentVersion <= this._options.routes.version)
  }

  /** Longest time for which a newer document than the active one may have existed; infinite if that isn't known. */
  get documentAgeMs (): number {
    return this._isDocumentUnreadable ? Number.POSITIVE_INFINITY : this._freshness.ageMs(readClocks())
  }

  /** What peers are told with acknowledgements; undefined without client accounts, whose access keys may be withdrawn. */
  get documentAge (): DocumentAge | undefined {
    if (this._options.routes.accounts === undefined) return undefined
    const ageMs = this.documentAgeMs
    return Number.isFinite(ageMs) ? [this._options.routes.version, Math.ceil(ageMs)] : undefined
  }

  /** Applies the word of a peer that answered a message sent at `askedAt`. A document that this node doesn't have says nothing about its own. */
  applyDocumentAge ([version, ageMs]: DocumentAge, askedAt: ClockReading): void {
    if (version <= this._options.routes.version) this._confirmDocument(earlierBy(ageMs, askedAt))
  }

  /** True if the log confirms that this node has read every document; concurrent calls share one read. */
  async confirmDocument (): Promise<boolean> {
    this._documentConfirmation ??= this._documentFollower.confirmRead(CONFIRM_TIMEOUT_MS).finally(() => { this._documentConfirmation = undefined })
    return await this._documentConfirmation && !this._isDocumentUnreadable
  }

  private _confirmDocument (asOf: ClockReading): void {
    this._freshness.confirm(asOf, readClocks())
  }

  private _createFollower (topic: string, onRecords: (records: KeyedRecord[]) => void, onContent: (records: KeyedRecord[]) => void, onCaughtUp?: (sentAt: ClockReading) => void): TopicFollower {
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
      onCaughtUp,
      onReachable: isReachable => this._handleReachability(topic, isReachable),
      readFallback: async knownDigest => await this._queryPeers(topic, knownDigest) ?? await this._snapshots.read(topic),
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

  /** The content of a peer to which the log responds; 'unchanged' if it has the digest `knownDigest`. */
  private async _queryPeers (topic: string, knownDigest: string | undefined): Promise<KeyedRecord[] | 'unchanged' | undefined> {
    const peers = this._options.directory.alive.filter(status => status.logSilenceMs < MAX_SINCE_LOG_RESPONSE_MS).map(({ from }) => from)
    const nearPeers = peers.filter(({ zone }) => zone === this._options.zone)
    const candidates = nearPeers.length > 0 ? nearPeers : peers
    if (candidates.length === 0) return undefined
    const { node } = candidates[this._options.random.nextInt(candidates.length)]
    const reply = await this._options.mesh.requestOnce(node, { type: 'topic', topic, knownDigest }, topic === this._options.documentTopic ? DOCUMENT_QUERY_TIMEOUT_MS : TOPIC_QUERY_TIMEOUT_MS)
    if (reply?.type !== 'topicContent') return undefined
    return reply.isUnchanged === true ? 'unchanged' : reply.records
  }

  /** Answers the request of a peer for a topic. */
  answerTopic (topic: string, knownDigest?: string): PeerReply {
    const follower = this._followers.find(candidate => candidate.topic === topic)
    const records = follower?.content
    if (records === undefined) return { type: 'topicContent' }
    if (knownDigest !== undefined && knownDigest === follower?.contentDigest) return { type: 'topicContent', isUnchanged: true }
    const bytes = records.reduce((total, { value }) => total + (value?.length ?? 0), 0)
    return this._sentTopics.tryTake(steadyNowMs(), Math.min(bytes, SENT_TOPICS_BYTES_PER_S)) ? { type: 'topicContent', records } : { type: 'topicContent' }
  }

  private _applyDocuments (records: KeyedRecord[]): void {
    for (const { key, value } of records) {
      if (key !== this._options.documentKey || value === undefined) continue
      const document = this._options.codec.decodeDocument(value)
      this._isDocumentUnreadable = document === undefined
      if (document === undefined) {
        this._write('warn', 'documentUnreadable', { bytes: value.length })
      } else if (this._options.routes.apply(document)) {
        this._write('info', 'documentInForce', { version: document.version, routes: document.routes.length, services: document.services.length, accounts: document.accounts?.length })
        this._logFindings(document)
      }
    }
  }

  /** Mistakes of the operator that the document's schema allows; the same that the command line finds before a document is sent. */
  private _logFindings (document: RouteDocument): void {
    const findings = checkDocument(document, { digestKey: accessKey => createHash('sha256').update(accessKey).digest('hex').slice(0, DIGEST_DIGITS) })
    const newFindings = findings.filter(({ message }) => !this._findings.has(message))
    this._findings = new Set(findings.map(({ message }) => message))
    for (const { severity, rule, path, message } of newFindings.slice(0, MAX_LOGGED_FINDINGS)) this._write('warn', 'documentFinding', { version: document.version, severity, rule, path: path.join('.'), detail: message })
    if (newFindings.length > MAX_LOGGED_FINDINGS) this._write('warn', 'documentFindings', { version: document.version, findings: newFindings.length, logged: MAX_LOGGED_FINDINGS })
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
    for (const record of records) {
      const { key, value } = record
      if (CrashRecords.isKey(key)) {
        this._options.crashRecords.apply(record)
        continue
      }
      const address = value === undefined ? undefined : this._decodeNodeAddress(value)
      if (address !== undefined) this._options.directory.add(address)
    }
  }

  private _decodeNodeAddress (value: Uint8Array): NodeAddress | undefined {
    try {
      const fields = this._packr.unpack(value) as Partial<NodeAddress>
      const { node, incarnation, peerAddress, callerAddress, zone } = fields
      const isComplete = [node, incarnation, peerAddress, callerAddress, zone].every(field => typeof field === 'string')
      if (isComplete && isSocketAddress(peerAddress as string)) return fields as NodeAddress
    } catch {
      // Reported below, like a record of another shape.
    }
    this._write('warn', 'nodeRecordUnreadable', { bytes: value.length })
    return undefined
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

  /** To be called with the version of the document that a peer has in force. */
  handlePeerVersion (peer: string, version: number): void {
    this._catchUp.handlePeerVersion(peer, version)
  }

  /** Requests the document from a peer, and applies it; does nothing if the peer sends none in time. */
  private async _fetchDocument (peer: string): Promise<void> {
    const { mesh, documentTopic, routes } = this._options
    const reply = await mesh.requestOnce(peer, { type: 'topic', topic: documentTopic }, DOCUMENT_QUERY_TIMEOUT_MS)
    this._write('info', 'documentRequested', { peer, version: routes.version, isReceived: reply?.type === 'topicContent' && reply.records !== undefined })
    if (reply?.type === 'topicContent' && reply.records !== undefined) this._applyDocuments(reply.records)
  }

  private get _followers (): TopicFollower[] {
    return [this._documentFollower, this._workerFollower, this._nodeFollower]
  }

  private _write (level: LogLevel, event: string, fields: LogFields): void {
    this._options.write(level, event, fields)
  }
}
