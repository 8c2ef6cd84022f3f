/** Follows the `control` stream and publishes to it. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { Emitter, type Event } from '../kernel/emitter.js'
import type { ReadOutcome, StoredRecord } from '../kernel/logRecords.js'
import { Disposable } from '../kernel/lifecycle.js'
import { ILogService } from '../kernel/logPort.js'
import { NodeIdentity } from '../kernel/node.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { resolveOwner } from '../base/rendezvous.js'
import { IMembership } from '../membership/membership.js'
import type { ConfigurationCopy } from '../peers/peerMessages.js'
import { IPeers } from '../peers/peers.js'
import { CONTROL_STREAM, type AuditEntry, type ControlRecord, type ControlState, type EnvironmentState } from './controlRecords.js'
import { isControlRecord } from './controlSchema.js'
import { createControlState, findEnvironment, foldControlRecord, foldTruncatedLog, recordSkippedRecord } from './controlFold.js'
import { type Backend, type ConfigurationDocument, type Customer, parseDocument, type WorkKind } from './document.js'

const READ_PAGE_RECORDS = 500
const PEER_COPY_TIMEOUT_MS = 1_000
const MAX_SNAPSHOT_CHECK_MS = 60_000
/** The age of the last snapshot is looked at so often in each retention time. */
const SNAPSHOT_CHECKS_PER_RETENTION = 20
const SNAPSHOT_TIMEOUT_MS = 30_000
const PUBLISH_RETRY_MS = 300
/** A snapshot is due after this share of the log's retention. */
const SNAPSHOT_AGE_SHARE = 0.25

type WithoutId<T> = T extends unknown ? Omit<T, 'id'> : never
/** A control record that has no id yet. */
export type NewControlRecord = WithoutId<ControlRecord>

/** Fate of a published record, known only after it was read back. */
export type PublishOutcome =
  | { type: 'folded', offset: number, entry: AuditEntry | undefined }
  /** The record certainly did not land. */
  | { type: 'failed' }
  /** The record may have landed or may land yet. */
  | { type: 'ambiguous' }

/** The configuration in force, and the rest of the control state. */
export interface IConfiguration {
  /** Fires after the document in force for this node's environment has changed. */
  readonly onDidChange: Event<ConfigurationDocument>
  /** Fires after each folded control record. */
  readonly onDidFold: Event<StoredRecord<ControlRecord>>
  readonly state: Readonly<ControlState>
  /** The document in force here; undefined before the first one is known. */
  readonly document: ConfigurationDocument | undefined
  readonly revision: number
  /** True once the stream was read to its end, at start. */
  readonly hasReadLog: boolean
  findKind (name: string): WorkKind | undefined
  findBackend (name: string): Backend | undefined
  findCustomer (name: string): Customer | undefined
  /** Appends a record and reports what became of it once it was read back, or after `timeoutMs`. */
  publish (record: NewControlRecord, timeoutMs: number, onOutcome: (outcome: PublishOutcome) => void): void
}
export const IConfiguration = Symbol('IConfiguration')

interface Publication {
  id: string
  mayHaveLanded: boolean
  deadlineMs: number
  record: ControlRecord
  onOutcome: (outcome: PublishOutcome) => void
}

@injectable()
export class Configuration extends Disposable implements IConfiguration {
  private readonly _didChange = this._register(new Emitter<ConfigurationDocument>())
  private readonly _didFold = this._register(new Emitter<StoredRecord<ControlRecord>>())
  private readonly _publications = new Map<string, Publication>()
  /** Configurations taken from peers while the log could not be read. */
  private readonly _copies = new Map<string, EnvironmentState>()
  /** Records read since a gap in the stream, until its end is reached. */
  private _truncated: Array<StoredRecord<ControlRecord>> | undefined
  private _state = createControlState()
  private _document: ConfigurationDocument | undefined
  private _documentKey = ''
  private _isReading = false
  private _hasReadLog = false
  private _lastPublication = 0
  private _oldestNeededMs: number | undefined
  private _backends = new Map<string, Backend>()
  private _kinds = new Map<string, WorkKind>()
  private _customers = new Map<string, Customer>()

  readonly onDidChange = this._didChange.event
  readonly onDidFold = this._didFold.event

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(ILogService) private readonly _log: ILogService,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ILogger) private readonly _logger: ILogger
  ) {
    super()
  }

  start (): void {
    this._membership.setDigestSource(() => ({ revision: this.revision, controlOffset: this._state.nextOffset }))
    this._peers.handle('configurationRequest', (_body, _from, respond) => respond(this._copyForPeer()))
    this._register(this._membership.onDidHearDigest(digest => {
      if (digest.controlOffset > this._state.nextOffset) this._read()
    }))
    this._register(this._timers.every(this._settings.controlPollMs, () => this._read()))
    const checkMs = Math.min(MAX_SNAPSHOT_CHECK_MS, this._settings.logRetentionMs / SNAPSHOT_CHECKS_PER_RETENTION)
    this._register(this._timers.every(checkMs, () => this._snapshotIfDue()))
    this._read()
  }

  get state (): Readonly<ControlState> {
    return this._state
  }

  get document (): ConfigurationDocument | undefined {
    return this._document
  }

  get revision (): number {
    return this._newestEnvironment()?.revision ?? 0
  }

  get hasReadLog (): boolean {
    return this._hasReadLog
  }

  findKind (name: string): WorkKind | undefined {
    return this._kinds.get(name)
  }

  findBackend (name: string): Backend | undefined {
    return this._backends.get(name)
  }

  findCustomer (name: string): Customer | undefined {
    return this._customers.get(name)
  }

  publish (record: NewControlRecord, timeoutMs: number, onOutcome: (outcome: PublishOutcome) => void): void {
    const id = `${this._identity.node}-${this._identity.incarnation}-c${++this._lastPublication}`
    const publication: Publication = {
      id,
      mayHaveLanded: false,
      deadlineMs: this._clock.nowMs() + timeoutMs,
      record: { ...record, id } as ControlRecord,
      onOutcome
    }
    this._publications.set(id, publication)
    this._sendPublication(publication)
  }

  private _sendPublication (publication: Publication): void {
    if (!this._publications.has(publication.id)) return
    if (this._clock.nowMs() >= publication.deadlineMs) {
      this._publications.delete(publication.id)
      publication.onOutcome({ type: publication.mayHaveLanded ? 'ambiguous' : 'failed' })
      return
    }
    this._log.append(CONTROL_STREAM, [publication.record], outcome => {
      if (outcome.type !== 'failed') publication.mayHaveLanded = true
      this._readThen(isComplete => this._checkPublication(publication, isComplete && outcome.type === 'appended'))
    })
  }

  /** Sends a publication again unless the read showed it. An appended record needs only another read. */
  private _checkPublication (publication: Publication, wasAppended: boolean): void {
    if (!this._publications.has(publication.id)) return
    const delayMs = wasAppended ? 0 : PUBLISH_RETRY_MS + this._random.nextInt(PUBLISH_RETRY_MS)
    this._timers.after(delayMs, () => this._sendPublication(publication))
  }

  private _read (): void {
    this._readThen(() => {})
  }

  /** Reads to the end of the stream. A read that is under way is followed by another one. */
  private _readThen (onDone: (isComplete: boolean) => void): void {
    if (this._isReading) {
      this._timers.after(PUBLISH_RETRY_MS / 10, () => this._readThen(onDone))
      return
    }
    this._isReading = true
    this._log.read(CONTROL_STREAM, this._state.nextOffset, READ_PAGE_RECORDS, outcome => this._handleRead(outcome, onDone))
  }

  private _handleRead (outcome: ReadOutcome, onDone: (isComplete: boolean) => void): void {
    this._isReading = false
    if (outcome.type === 'failed') {
      if (this._document === undefined) this._askPeers()
      onDone(false)
      return
    }
    if (outcome.firstOffset > this._state.nextOffset) this._truncated ??= []
    for (const stored of outcome.records) this._fold(stored as StoredRecord<ControlRecord>)
    if (outcome.records.length > 0 && this._state.nextOffset < outcome.endOffset) {
      this._readThen(onDone)
      return
    }
    this._foldTruncated()
    this._hasReadLog = true
    this._applyDocument()
    onDone(true)
  }

  private _fold (stored: StoredRecord<ControlRecord>): void {
    if (!isControlRecord(stored.record)) {
      this._skip(stored)
      return
    }
    if (this._truncated !== undefined) {
      this._truncated.push(stored)
      this._state.nextOffset = stored.offset + 1
      return
    }
    this._oldestNeededMs ??= stored.record.atMs
    if (stored.record.type === 'controlSnapshot') this._oldestNeededMs = stored.record.atMs
    const entry = foldControlRecord(this._state, stored)
    this._settlePublication(stored, entry)
    // Until the end of the stream was reached once, the folded revision is only a step on the way.
    if (this._hasReadLog) this._applyDocument()
    this._didFold.fire(stored)
  }

  /** Notes a damaged record in the log and the audit trail, and goes on behind it. */
  private _skip (stored: StoredRecord): void {
    if (stored.offset < this._state.nextOffset) return
    this._logger.warn('controlRecordSkipped', { offset: stored.offset })
    recordSkippedRecord(this._state, stored.offset, this._clock.nowMs())
  }

  /** Rebuilds the state when older records had expired before this node read them. */
  private _foldTruncated (): void {
    const records = this._truncated
    if (records === undefined) return
    this._truncated = undefined
    this._logger.warn('controlStreamTruncated', { firstOffset: records[0]?.offset, records: records.length })
    this._state = foldTruncatedLog(records)
    this._oldestNeededMs = records[0]?.record.atMs
    for (const stored of records) {
      this._settlePublication(stored, this._state.audit.find(entry => entry.offset === stored.offset))
      this._didFold.fire(stored)
    }
  }

  private _settlePublication (stored: StoredRecord<ControlRecord>, entry: AuditEntry | undefined): void {
    const publication = this._publications.get(stored.record.id)
    if (publication === undefined) return
    this._publications.delete(stored.record.id)
    publication.onOutcome({ type: 'folded', offset: stored.offset, entry })
  }

  /** Puts the folded document in force when it differs from the current one. */
  private _applyDocument (): void {
    const environment = this._newestEnvironment()
    if (environment === undefined) return
    const key = `${environment.revision}@${environment.offset}`
    if (key === this._documentKey) return
    this._documentKey = key
    parseDocument(environment.document).ifRight(document => {
      this._document = document
      this._kinds = new Map(document.workKinds.map(kind => [kind.name, kind]))
      this._backends = new Map(document.backends.map(backend => [backend.name, backend]))
      this._customers = new Map(document.customers.map(customer => [customer.name, customer]))
      this._logger.info('configurationInForce', { environment: environment.environment, revision: environment.revision, offset: environment.offset })
      this._didChange.fire(document)
    })
  }

  /** The folded configuration, or a peer's copy while that one is newer: what is in force never reverts. */
  private _newestEnvironment (): EnvironmentState | undefined {
    const folded = findEnvironment(this._state, this._identity.environment)
    const copied = this._copies.get(this._identity.environment)
    if (copied === undefined) return folded
    return folded === undefined || copied.revision > folded.revision ? copied : folded
  }

  /** A node that starts while the log is down takes the newest configuration that a peer knows. */
  private _askPeers (): void {
    for (const peer of this._random.sample(this._membership.liveNodes(), this._settings.probeFanout + 1)) {
      if (peer.node === this._identity.node) continue
      this._peers.request(peer, { type: 'configurationRequest' }, PEER_COPY_TIMEOUT_MS, answer => {
        if (answer.type === 'answered' && answer.body.type === 'configurationCopy') this._takeCopy(answer.body)
      })
    }
  }

  private _copyForPeer (): ConfigurationCopy {
    const environments = this._state.environments.map(({ environment, revision, offset, document }) =>
      ({ environment, revision, offset, document: document as ConfigurationDocument }))
    return { type: 'configurationCopy', environments }
  }

  private _takeCopy (copy: ConfigurationCopy): void {
    for (const { environment, revision, offset, document } of copy.environments) {
      const known = this._copies.get(environment)
      if (known !== undefined && known.revision >= revision) continue
      this._copies.set(environment, { environment, revision, offset, document, recent: [{ revision, document }] })
    }
    this._applyDocument()
  }

  /** One live node publishes the folded state again before the records that hold it expire. */
  private _snapshotIfDue (): void {
    const nowMs = this._clock.nowMs()
    const isDue = this._oldestNeededMs !== undefined && nowMs - this._oldestNeededMs > this._settings.logRetentionMs * SNAPSHOT_AGE_SHARE
    if (!isDue) return
    const publisher = resolveOwner('control-snapshot', this._membership.liveNodes(), peer => peer.node)
    if (publisher?.node !== this._identity.node) return
    const state = JSON.parse(JSON.stringify({ ...this._state, recentIds: [] })) as ControlState
    this.publish({ type: 'controlSnapshot', state, by: this._identity.node, atMs: nowMs }, SNAPSHOT_TIMEOUT_MS, () => {})
  }
}
