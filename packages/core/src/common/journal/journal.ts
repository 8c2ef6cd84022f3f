/** The journal of this run of the daemon. */
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
/** A record that has no id yet. */
export type NewJournalRecord = WithoutId<JournalRecord>

/** Fate of a journal record. `fenced`: another node took the journal over before the record landed. */
export type JournalOutcome = { type: 'landed', offset: number } | { type: 'fenced' }

/** One stream of journal records: from a start of the daemon, or from a fence, to the next fence. */
export interface IJournalEpoch {
  readonly stream: string
  /** The run of the daemon that writes the stream. */
  readonly writer: NodeRef
  readonly isFenced: boolean
  /** The node that fenced the stream. */
  readonly fencedBy: NodeRef | undefined
  /** Appends a record; `onSettled` is called once the record is in the log, however long that takes. */
  append (record: NewJournalRecord, onSettled: (outcome: JournalOutcome) => void): PendingAppend
  /** Looks for a fence without appending; `onDone` gets false when the log did not answer. */
  checkFence (onDone: (isComplete: boolean) => void): void
}

/** Records what the homes of this node decide, in one order, and learns when another node has taken over. */
export interface IJournal {
  /** The stream for programs that are opened or adopted from now on. */
  readonly current: IJournalEpoch
  /** Fires when a foreign fence is met; `current` is a new stream by then. */
  readonly onDidFence: Event<IJournalEpoch>
  /** False while appends fail. */
  readonly isHealthy: boolean
  readonly onDidChangeHealth: Event<boolean>
  /** Records that have not landed yet. */
  readonly backlog: number
  readonly appendCount: number
}
export const IJournal = Symbol('IJournal')

interface EpochOptions {
  writer: NodeRef
  createStreamWriter: (stream: string, onForeign: (stored: StoredRecord) => void, onTruncated: () => void) => StreamWriter
  onFenced: (epoch: JournalEpoch) => void
}

/** One epoch of the own journal; only `Journal` creates it. */
export class JournalEpoch extends Disposable implements IJournalEpoch {
  private readonly _options: EpochOptions
  private _lastRecord = 0
  private _fence: { by: NodeRef | undefined } | undefined

  readonly stream: string
  readonly streamWriter: StreamWriter

  constructor (options: EpochOptions) {
    super()
    this._options = options
    this.stream = journalOf(options.writer)
    this.streamWriter = this._register(options.createStreamWriter(this.stream, stored => this._handleForeign(stored), () => this._setFenced(undefined)))
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

  append (record: NewJournalRecord, onSettled: (outcome: JournalOutcome) => void): PendingAppend {
    const id = `${this.stream}/${++this._lastRecord}`
    return this.streamWriter.append({ ...record, id }, offset => {
      onSettled(this._fence === undefined ? { type: 'landed', offset } : { type: 'fenced' })
    })
  }

  checkFence (onDone: (isComplete: boolean) => void): void {
    this.streamWriter.catchUp(onDone)
  }

  private _handleForeign (stored: StoredRecord): void {
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
  private _epochCount = 0
  private _current: JournalEpoch
  private _earlierAppends = 0

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
    return this._earlierAppends + this._current.streamWriter.appendCount
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

  /** A fenced node goes on under a new incarnation, with a new journal and without its old programs. */
  private _handleFenced (epoch: JournalEpoch): void {
    this._logger.warn('journalFenced', { journal: epoch.stream, by: epoch.fencedBy?.node })
    this._epochCount++
    this._earlierAppends += epoch.streamWriter.appendCount
    this._identity.incarnation = `${this._firstIncarnation}e${String(this._epochCount).padStart(3, '0')}`
    this._current = this._createEpoch()
    this._didFence.fire(epoch)
  }
}
