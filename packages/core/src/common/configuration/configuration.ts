/** Reads the `control` stream into the control state, activates configurations and publishes control records. */
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
import { createControlState, findEnvironment, foldControlRecord, foldTruncatedLog, skipDamagedRecord } from './controlFold.js'
import { type Backend, type ConfigurationDocument, type Customer, parseDocument, type WorkKind } from './document.js'

const READ_PAGE_RECORDS = 500
const PEER_COPY_TIMEOUT_MS = 1_000
const MAX_SNAPSHOT_CHECK_PERIOD_MS = 60_000
/** Least number of checks of the last snapshot's age within the log's retention time. */
const SNAPSHOT_CHECKS_PER_RETENTION = 20
const SNAPSHOT_TIMEOUT_MS = 30_000
/** Shortest delay before a publication is sent again after a failed append or read; the longest is twice as long. */
const PUBLISH_RETRY_MS = 300
/** Age, as a share of the log's retention time, from which the oldest needed record calls for a new snapshot. */
const SNAPSHOT_AGE_SHARE = 0.25

type WithoutId<T> = T extends unknown ? Omit<T, 'id'> : never
/** A control record that has no id yet. */
export type NewControlRecord = WithoutId<ControlRecord>

/** Outcome of a publication. Success is known only after the record was read back from the log. */
export type PublishOutcome =
  /** The record was read back; `entry` is undefined when it has no audit entry. */
  | { type: 'folded', offset: number, entry: AuditEntry | undefined }
  /** The record is certainly not in the log. */
  | { type: 'failed' }
  /** The record may be in the log, or may still be appended. */
  | { type: 'ambiguous' }

/** The active configuration of this node's environment, and the rest of the control state. */
export interface IConfiguration {
  /** Fires after the active document of this node's environment has changed. */
  readonly onDidChange: Event<ConfigurationDocument>
  /** Fires after each valid control record that was read, also after one that was ignored as a duplicate. */
  readonly onDidFold: Event<StoredRecord<ControlRecord>>
  readonly state: Readonly<ControlState>
  /** The active document; undefined before the first one is known. */
  readonly document: ConfigurationDocument | undefined
  /** Newest known revision of this node's environment; 0 before the first one. */
  readonly revision: number
  /** True once the stream was read to its end for the first time. */
  readonly hasReadLog: boolean
  findKind (name: string): WorkKind | undefined
  findBackend (name: string): Backend | undefined
  findCustomer (name: string): Customer | undefined
  /**
   * Appends a record, again when needed, until it was read back, and then reports its outcome. Reports `failed` or
   * `ambiguous` at the first attempt that would start after `timeoutMs`.
   */
  publish (record: NewControlRecord, timeoutMs: number, onOutcome: (outcome: PublishOutcome) => void): void
}
export const IConfiguration = Symbol('IConfiguration')

/** A record that was not read back yet. */
interface Publication {
  id: string
  /** True when an append of the record did not certainly fail. */
  mayBeAppended: boolean
  deadlineMs: number
  record: ControlRecord
  onOutcome: (outcome: PublishOutcome) => void
}

@injectable()
export class Configuration extends Disposable implements IConfiguration {
  private readonly _didChange = this._register(new Emitter<ConfigurationDocument>())
  private readonly _didFold = this._register(new Emitter<StoredRecord<ControlRecord>>())
  private readonly _publications = new Map<string, Publication>()
  /** Configurations received from peers while the log could not be read, by environment. */
  private readonly _peerCopies = new Map<string, EnvironmentState>()
  /** Records read after a gap in the stream, until its end is reached; undefined while there is no gap. */
  private _recordsAfterGap: Array<StoredRecord<ControlRecord>> | undefined
  private _state = createControlState()
  private _document: ConfigurationDocument | undefined
  /** Revision and offset of the environment state that was activated last. */
  private _activeRevisionKey = ''
  private _isReading = false
  private _hasReadLog = false
  private _lastPublicationNumber = 0
  /** Time of the oldest record that a new reader of the stream needs; undefined before the first record. */
  private _oldestNeededRecordMs: number | undefined
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
    this._peers.handle('configurationRequest', (_body, _from, respond) => respond(this._createPeerCopy()))
    this._register(this._membership.onDidReceiveDigest(digest => {
      if (digest.controlOffset > this._state.nextOffset) this._startRead()
    }))
    this._register(this._timers.every(this._settings.controlPollMs, () => this._startRead()))
    const checkPeriodMs = Math.min(MAX_SNAPSHOT_CHECK_PERIOD_MS, this._settings.logRetentionMs / SNAPSHOT_CHECKS_PER_RETENTION)
    this._register(this._timers.every(checkPeriodMs, () => this._publishSnapshotIfDue()))
    this._startRead()
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
    const id = `${this._identity.node}-${this._identity.incarnation}-c${++this._lastPublicationNumber}`
    const publication: Publication = {
      id,
      mayBeAppended: false,
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
      publication.onOutcome({ type: publication.mayBeAppended ? 'ambiguous' : 'failed' })
      return
    }
    this._log.append(CONTROL_STREAM, [publication.record], outcome => {
      if (outcome.type !== 'failed') publication.mayBeAppended = true
      this._readToEnd(isComplete => this._resendPublication(publication, isComplete && outcome.type === 'appended'))
    })
  }

  /**
   * Sends a publication again unless it was read back, at once when an append and a whole read succeeded without it.
   * Repeated appends have no effect, because the fold ignores a record with a known id.
   */
  private _resendPublication (publication: Publication, isAppendedAndRead: boolean): void {
    if (!this._publications.has(publication.id)) return
    const delayMs = isAppendedAndRead ? 0 : PUBLISH_RETRY_MS + this._random.nextInt(PUBLISH_RETRY_MS)
    this._timers.after(delayMs, () => this._sendPublication(publication))
  }

  private _startRead (): void {
    this._readToEnd(() => {})
  }

  /** Reads to the end of the stream. While another read is running, tries again after a short delay. */
  private _readToEnd (onDone: (isComplete: boolean) => void): void {
    if (this._isReading) {
      this._timers.after(PUBLISH_RETRY_MS / 10, () => this._readToEnd(onDone))
      return
    }
    this._isReading = true
    this._log.read(CONTROL_STREAM, this._state.nextOffset, READ_PAGE_RECORDS, outcome => this._handleRead(outcome, onDone))
  }

  private _handleRead (outcome: ReadOutcome, onDone: (isComplete: boolean) => void): void {
    this._isReading = false
    if (outcome.type === 'failed') {
      if (this._document === undefined) this._requestPeerCopies()
      onDone(false)
      return
    }
    if (outcome.firstOffset > this._state.nextOffset) this._recordsAfterGap ??= []
    for (const stored of outcome.records) this._fold(stored as StoredRecord<ControlRecord>)
    if (outcome.records.length > 0 && this._state.nextOffset < outcome.endOffset) {
      this._readToEnd(onDone)
      return
    }
    this._foldRecordsAfterGap()
    this._hasReadLog = true
    this._activateDocument()
    onDone(true)
  }

  private _fold (stored: StoredRecord<ControlRecord>): void {
    if (!isControlRecord(stored.record)) {
      this._skipRecord(stored)
      return
    }
    if (this._recordsAfterGap !== undefined) {
      this._recordsAfterGap.push(stored)
      this._state.nextOffset = stored.offset + 1
      return
    }
    this._oldestNeededRecordMs ??= stored.record.atMs
    if (stored.record.type === 'controlSnapshot') this._oldestNeededRecordMs = stored.record.atMs
    const entry = foldControlRecord(this._state, stored)
    this._completePublication(stored, entry)
    // Before the end of the stream was reached once, the folded revision may be an old one.
    if (this._hasReadLog) this._activateDocument()
    this._didFold.fire(stored)
  }

  /** Skips a damaged record and reports it in the node's log and in the audit trail. */
  private _skipRecord (stored: StoredRecord): void {
    if (stored.offset < this._state.nextOffset) return
    this._logger.warn('controlRecordSkipped', { offset: stored.offset })
    skipDamagedRecord(this._state, stored.offset, this._clock.nowMs())
  }

  /** Rebuilds the state when records had expired before this node read them. */
  private _foldRecordsAfterGap (): void {
    const records = this._recordsAfterGap
    if (records === undefined) return
    this._recordsAfterGap = undefined
    this._logger.warn('controlStreamTruncated', { firstOffset: records[0]?.offset, records: records.length })
    this._state = foldTruncatedLog(records)
    this._oldestNeededRecordMs = records[0]?.record.atMs
    for (const stored of records) {
      this._completePublication(stored, this._state.audit.find(entry => entry.offset === stored.offset))
      this._didFold.fire(stored)
    }
  }

  /** Reports the outcome of this node's publication when its record was read back. */
  private _completePublication (stored: StoredRecord<ControlRecord>, entry: AuditEntry | undefined): void {
    const publication = this._publications.get(stored.record.id)
    if (publication === undefined) return
    this._publications.delete(stored.record.id)
    publication.onOutcome({ type: 'folded', offset: stored.offset, entry })
  }

  /** Activates the newest document of this node's environment unless it is active already. An invalid document is ignored. */
  private _activateDocument (): void {
    const environment = this._newestEnvironment()
    if (environment === undefined) return
    const key = `${environment.revision}@${environment.offset}`
    if (key === this._activeRevisionKey) return
    this._activeRevisionKey = key
    parseDocument(environment.document).ifRight(document => {
      this._document = document
      this._kinds = new Map(document.workKinds.map(kind => [kind.name, kind]))
      this._backends = new Map(document.backends.map(backend => [backend.name, backend]))
      this._customers = new Map(document.customers.map(customer => [customer.name, customer]))
      this._logger.info('configurationInForce', { environment: environment.environment, revision: environment.revision, offset: environment.offset })
      this._didChange.fire(document)
    })
  }

  /** The folded configuration, or a peer's copy while that has a higher revision: the active revision must never decrease. */
  private _newestEnvironment (): EnvironmentState | undefined {
    const folded = findEnvironment(this._state, this._identity.environment)
    const peerCopy = this._peerCopies.get(this._identity.environment)
    if (peerCopy === undefined) return folded
    return folded === undefined || peerCopy.revision > folded.revision ? peerCopy : folded
  }

  /** Requests the configurations of some peers, for a node that starts while the log is unavailable. */
  private _requestPeerCopies (): void {
    for (const peer of this._random.sample(this._membership.liveNodes(), this._settings.probeFanout + 1)) {
      if (peer.node === this._identity.node) continue
      this._peers.request(peer, { type: 'configurationRequest' }, PEER_COPY_TIMEOUT_MS, answer => {
        if (answer.type === 'answered' && answer.body.type === 'configurationCopy') this._applyPeerCopy(answer.body)
      })
    }
  }

  private _createPeerCopy (): ConfigurationCopy {
    const environments = this._state.environments.map(({ environment, revision, offset, document }) =>
      ({ environment, revision, offset, document: document as ConfigurationDocument }))
    return { type: 'configurationCopy', environments }
  }

  /** Keeps the configurations of a peer that are newer than the copies received before. */
  private _applyPeerCopy (copy: ConfigurationCopy): void {
    for (const { environment, revision, offset, document } of copy.environments) {
      const known = this._peerCopies.get(environment)
      if (known !== undefined && known.revision >= revision) continue
      this._peerCopies.set(environment, { environment, revision, offset, document, recent: [{ revision, document }] })
    }
    this._activateDocument()
  }

  /** Publishes a snapshot of the state before the records that hold it expire. Only one live node does so. */
  private _publishSnapshotIfDue (): void {
    const nowMs = this._clock.nowMs()
    const isDue = this._oldestNeededRecordMs !== undefined && nowMs - this._oldestNeededRecordMs > this._settings.logRetentionMs * SNAPSHOT_AGE_SHARE
    if (!isDue) return
    const publisher = resolveOwner('control-snapshot', this._membership.liveNodes(), peer => peer.node)
    if (publisher?.node !== this._identity.node) return
    const state = JSON.parse(JSON.stringify({ ...this._state, recentIds: [] })) as ControlState
    this.publish({ type: 'controlSnapshot', state, by: this._identity.node, atMs: nowMs }, SNAPSHOT_TIMEOUT_MS, () => {})
  }
}
