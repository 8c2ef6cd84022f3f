/** The journal of this run of the daemon: the log stream that records the programs which this node owns. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { Emitter, type Event } from '../kernel/emitter.js'
import type { StoredRecord } from '../kernel/logRecords.js'
import { Disposable } from '../kernel/lifecycle.js'
import { ILogService } from '../kernel/logPort.js'
import { NodeIdentity, type NodeRef } from '../kernel/node.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IMembership } from '../membership/membership.js'
import { type JournalRecord, journalOf } from './journalRecords.js'
import { isJournalRecord } from './journalSchema.js'
import { type PendingAppend, StreamWriter } from './streamWriter.js'

type WithoutId<T> = T extends unknown ? Omit<T, 'id'> : never
/** A journal record to append; `append` assigns its id. */
export type NewJournalRecord = WithoutId<JournalRecord>

/**
 * Outcome of an append to the journal.
 * `landed`: the record is in the stream at `offset`, before any fence.
 * `fenced`: the journal was fenced before the record was known to be in the stream.
 */
export type JournalAppendOutcome = { type: 'landed', offset: number } | { type: 'fenced' }

/** One journal stream: it begins at a start of the daemon or after a fence and ends at the next fence. */
export interface IJournalEpoch {
  /** Name of the log stream. */
  readonly stream: string
  /** The run of the daemon that writes the stream. */
  readonly writer: NodeRef
  /** True once a fence was read, or once records were removed from the log before this node read them. */
  readonly isFenced: boolean
  /** The node that fenced the stream; undefined while there is no fence, or when records were removed unread. */
  readonly fencedBy: NodeRef | undefined
  /** Appends a record; `onOutcome` is called once the record is in the log, with no time limit, and never after a cancellation. */
  append (record: NewJournalRecord, onOutcome: (outcome: JournalAppendOutcome) => void): PendingAppend
  /** Reads the rest of the stream to find a fence; `onDone` gets false when a read failed or another request of the writer is in progress. */
  checkFence (onDone: (isComplete: boolean) => void): void
}

/** Appends the decisions of this node about its programs in one order, and detects that another node has fenced the journal. */
export interface IJournal {
  /** The stream for programs that this node opens or takes over from now on. */
  readonly current: IJournalEpoch
  /** Fires with the stream that has become fenced; `current` is already a new stream. */
  readonly onDidFence: Event<IJournalEpoch>
  /** False while appends to the current stream fail. */
  readonly isHealthy: boolean
  /** Fires with the new value of `isHealthy` when appends to the current stream begin to fail or succeed again. */
  readonly onDidChangeHealth: Event<boolean>
  /** Number of records of the current stream that are not in the log yet. */
  readonly backlog: number
  /** Number of append requests sent to all streams of this run. */
  readonly appendCount: number
}
export const IJournal = Symbol('IJournal')

interface JournalEpochOptions {
  writer: NodeRef
  createStreamWriter: (stream: string, onForeignRecord: (stored: StoredRecord) => void, onTruncated: () => void) => StreamWriter
  onFenced: (epoch: JournalEpoch) => void
}

/** One epoch of this node's own journal; only `Journal` creates it. */
export class JournalEpoch extends Disposable implements IJournalEpoch {
  private readonly _options: JournalEpochOptions
  private _lastRecordNumber = 0
  private _fence: { by: NodeRef | undefined } | undefined

  readonly stream: string
  readonly streamWriter: StreamWriter

  constructor (options: JournalEpochOptions) {
    super()
    this._options = options
    this.stream = journalOf(options.writer)
    this.streamWriter = this._register(options.createStreamWriter(this.stream, stored => this._handleForeignRecord(stored), () => this._setFenced(undefined)))
  }

  get writer (): NodeRef {
    return this._options.writer
  }

  get isFenced (): boolean {
    return this._fence !== undefined
  }

  get fencedBy (): NodeRef | undefined {
    return this._fence?.by
  }

  append (record: NewJournalRecord, onOutcome: (outcome: JournalAppendOutcome) => void): PendingAppend {
    const id = `${this.stream}/${++this._lastRecordNumber}`
    return this.streamWriter.append({ ...record, id }, offset => {
      onOutcome(this._fence === undefined ? { type: 'landed', offset } : { type: 'fenced' })
    })
  }

  checkFence (onDone: (isComplete: boolean) => void): void {
    this.streamWriter.catchUp(onDone)
  }

  private _handleForeignRecord (stored: StoredRecord): void {
    if (isJournalRecord(stored.record) && stored.record.type === 'fenced') this._setFenced(stored.record.by)
  }

  private _setFenced (by: NodeRef | undefined): void {
    if (this._fence !== undefined) return
    this._fence = { by }
    this._options.onFenced(this)
  }
}

@injectable()
export class Journal extends Disposable implements IJournal {
  private readonly _didFence = this._register(new Emitter<IJournalEpoch>())
  private readonly _didChangeHealth = this._register(new Emitter<boolean>())
  private readonly _firstIncarnation: string
  private _fenceCount = 0
  private _current: JournalEpoch
  private _earlierAppendCount = 0

  readonly onDidFence = this._didFence.event
  readonly onDidChangeHealth = this._didChangeHealth.event

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(ILogService) private readonly _log: ILogService,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ILogger) private readonly _logger: ILogger
  ) {
    super()
    this._firstIncarnation = _identity.incarnation
    this._current = this._createEpoch()
  }

  get current (): IJournalEpoch {
    return this._current
  }

  get isHealthy (): boolean {
    return this._current.streamWriter.isHealthy
  }

  get backlog (): number {
    return this._current.streamWriter.backlog
  }

  get appendCount (): number {
    return this._earlierAppendCount + this._current.streamWriter.appendCount
  }

  private _createEpoch (): JournalEpoch {
    const { node, incarnation, address } = this._identity
    const epoch = new JournalEpoch({
      writer: { node, incarnation, address },
      createStreamWriter: (stream, onForeignRecord, onTruncated) => this._createStreamWriter(stream, onForeignRecord, onTruncated),
      onFenced: fenced => this._handleFenced(fenced)
    })
    this._register(epoch)
    this._register(epoch.streamWriter.onDidChangeHealth(isHealthy => {
      if (epoch === this._current) this._didChangeHealth.fire(isHealthy)
    }))
    return epoch
  }

  private _createStreamWriter (stream: string, onForeignRecord: (stored: StoredRecord) => void, onTruncated: () => void): StreamWriter {
    return new StreamWriter({
      stream,
      log: this._log,
      clock: this._clock,
      timers: this._timers,
      ratePerSecond: () => this._settings.logAppendBudgetPerSecond / this._membership.liveCount,
      maxBatchRecords: this._settings.logBatchRecords,
      retryMs: this._settings.logRetryMs,
      onForeignRecord,
      onTruncated
    })
  }

  /** Continues under a new incarnation with a new, empty journal; the programs of the fenced journal are no longer owned here. */
  private _handleFenced (epoch: JournalEpoch): void {
    this._logger.warn('journalFenced', { journal: epoch.stream, by: epoch.fencedBy?.node })
    this._fenceCount++
    this._earlierAppendCount += epoch.streamWriter.appendCount
    this._identity.incarnation = `${this._firstIncarnation}e${String(this._fenceCount).padStart(3, '0')}`
    this._current = this._createEpoch()
    this._didFence.fire(epoch)
  }
}
