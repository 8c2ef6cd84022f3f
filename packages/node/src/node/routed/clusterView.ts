/** What a node knows from the log, or from peers while it can't read the log: document, workers, other nodes. */
import type { IRouteTable, IWorkerRegistry, KeyedRecord, LogFields, LogLevel, RouteDocument, WorkerRegistration } from '@trefoilshunt/core'
import { Packr } from 'msgpackr'
import type { ILogClient } from '../../common/routed/logClient.js'
import type { NodeAddress } from '../../common/routed/routedPeerMessages.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh } from './peerMesh.js'
import { TopicSnapshots } from './topicSnapshots.js'
import { TopicFollower } from './topicFollower.js'

/** Nodes announce themselves here, each under its name. */
const NODE_TOPIC = 'keyed.nodes'
const ANNOUNCE_RETRY_MS = 300
const APPEND_TIMEOUT_MS = 1_500
const TOPIC_ASK_MS = 500
/** A log that didn't answer for this long counts as down for the node: two joins of the member group. */
const LOG_DOWN_MS = 1_100
/** A document counts as certain while the log or a peer that reaches it confirmed it within this. */
const DOCUMENT_CERTAIN_MS = 4_000

/** What the adapter of a platform decodes for the daemon. */
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
  joinSilenceMs: () => number
  write: (level: LogLevel, event: string, fields: LogFields) => void
}

/**
 * @example
 * const knowledge = new Knowledge(options)
 * knowledge.start()
 * void knowledge.announce(self)
 */
export class ClusterView {
  private readonly _packr = new Packr({ useRecords: false })
  private readonly _documentFollower: TopicFollower
  private readonly _workerFollower: TopicFollower
  private readonly _nodeFollower: TopicFollower
  private readonly _copies: TopicSnapshots
  private _isStopped = false

  constructor (private readonly _options: ClusterViewOptions) {
    const { documentTopic, workerTopic, log, directory } = _options
    this._copies = new TopicSnapshots({
      log,
      contents: () => this._contentsToCopy,
      isWriter: () => directory.alive.every(({ from }) => from.node > _options.node),
      write: (event, fields) => this._write('info', event, fields)
    })
    this._documentFollower = this._createFollower(documentTopic, records => this._takeDocuments(records), records => this._takeDocuments(records))
    this._workerFollower = this._createFollower(workerTopic, records => this._takeRegistrations(records, false), records => this._takeRegistrations(records, true))
    this._nodeFollower = this._createFollower(NODE_TOPIC, records => this._takeNodes(records), records => this._takeNodes(records))
  }

  /** True once the workers were listed. */
  get hasWorkers (): boolean {
    return this._workerFollower.hasContent
  }

  start (): void {
    for (const follower of this._followers) follower.start()
    this._copies.start()
  }

  stop (): void {
    this._isStopped = true
    for (const follower of this._followers) follower.stop()
    this._copies.stop()
  }

  /** The newest records of a topic; undefined while this node has not read it. */
  contentOf (topic: string): KeyedRecord[] | undefined {
    return this._followers.find(follower => follower.topic === topic)?.content
  }

  /** Time since the log answered this node anything. */
  get logSilenceMs (): number {
    return Math.min(this._options.joinSilenceMs(), this._documentFollower.silenceMs, this._workerFollower.silenceMs, this._nodeFollower.silenceMs)
  }

  /** True while the document in force can't be long out of date. */
  get isDocumentCertain (): boolean {
    const isReadHere = this._documentFollower.content !== undefined && this._documentFollower.silenceMs < DOCUMENT_CERTAIN_MS
    return isReadHere ||
      this._options.directory.alive.some(status => status.logSilenceMs < DOCUMENT_CERTAIN_MS && status.documentVersion <= this._options.routes.version)
  }

  private _createFollower (topic: string, onRecords: (records: KeyedRecord[]) => void, onContent: (records: KeyedRecord[]) => void): TopicFollower {
    return new TopicFollower({
      topic,
      log: this._options.log,
      onRecord: record => {
        this._copies.noteChanged()
        onRecords([record])
      },
      onContent: records => {
        this._copies.noteChanged()
        onContent(records)
      },
      onReachable: isReachable => this._noteLog(topic, isReachable),
      readElsewhere: async () => await this._readElsewhere(topic),
      write: (event, fields) => this._write('warn', event, fields)
    })
  }

  private _noteLog (topic: string, isReachable: boolean): void {
    this._write(isReachable ? 'info' : 'warn', isReachable ? 'logRegained' : 'logLost', { topic })
    if (topic !== this._options.workerTopic) return
    if (isReachable) this._options.registry.handleLogRegained(steadyNowMs())
    else this._options.registry.handleLogLost()
  }

  /** What both the nodes' service and its callers rest on; the nodes' own addresses are announced at each start. */
  private get _contentsToCopy (): ReadonlyMap<string, readonly KeyedRecord[]> | undefined {
    const contents = new Map<string, readonly KeyedRecord[]>()
    for (const { topic, content } of [this._documentFollower, this._workerFollower]) {
      if (content === undefined) return undefined
      contents.set(topic, content)
    }
    return contents
  }

  private async _readElsewhere (topic: string): Promise<KeyedRecord[] | undefined> {
    return await this._askPeers(topic) ?? await this._copies.read(topic)
  }

  private async _askPeers (topic: string): Promise<KeyedRecord[] | undefined> {
    const peer = this._options.directory.alive.filter(status => status.logSilenceMs < LOG_DOWN_MS).sort((left, right) => left.logSilenceMs - right.logSilenceMs).at(0)
    if (peer === undefined) return undefined
    const reply = await this._options.mesh.requestOnce(peer.from.node, { type: 'topic', topic }, TOPIC_ASK_MS)
    return reply?.type === 'topicContent' ? reply.records : undefined
  }

  private _takeDocuments (records: KeyedRecord[]): void {
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

  private _takeRegistrations (records: KeyedRecord[], isComplete: boolean): void {
    const nowMs = steadyNowMs()
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

  private _takeNodes (records: KeyedRecord[]): void {
    for (const { value } of records) {
      const address = value === undefined ? undefined : this._decodeNode(value)
      if (address !== undefined) this._options.directory.add(address)
    }
  }

  private _decodeNode (value: Uint8Array): NodeAddress | undefined {
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

  /** Writes this node's address to the log until that has succeeded. */
  async announce (self: NodeAddress): Promise<void> {
    while (!this._isStopped) {
      const result = await this._options.log.append({
        topic: NODE_TOPIC, partition: 0, records: [{ key: self.node, value: this._packr.pack(self) }], timeoutMs: APPEND_TIMEOUT_MS
      })
      if (result.type === 'appended') return
      await delay(ANNOUNCE_RETRY_MS)
    }
  }

  /** Gets a newer document from a peer that has it already. */
  async fetchDocument (peer: string): Promise<void> {
    const reply = await this._options.mesh.requestOnce(peer, { type: 'topic', topic: this._options.documentTopic }, TOPIC_ASK_MS)
    if (reply?.type === 'topicContent' && reply.records !== undefined) this._takeDocuments(reply.records)
  }

  private get _followers (): TopicFollower[] {
    return [this._documentFollower, this._workerFollower, this._nodeFollower]
  }

  private _write (level: LogLevel, event: string, fields: LogFields): void {
    this._options.write(level, event, fields)
  }
}
