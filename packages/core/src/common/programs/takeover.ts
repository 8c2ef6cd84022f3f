/**
 * Takes over the programs of unavailable nodes: fences a node's journal, folds it and transfers the programs in it.
 *
 * The fence works like a leader epoch of a replicated log: records that the old writer appends after it are ignored, except
 * the result of a step whose intent was recorded before it
 * ("Kafka Internals: the replicated log", section "When the leader dies: a clean handover").
 */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { ILogService } from '../kernel/logPort.js'
import { NodeIdentity, isSameNode, type NodeRef } from '../kernel/node.js'
import { IRandom } from '../kernel/random.js'
import { ITimers } from '../kernel/timers.js'
import { resolveOwner } from '../base/rendezvous.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IJournal, type IJournalEpoch } from '../journal/journal.js'
import { cloneProgram, type JournalState } from '../journal/journalFold.js'
import { type Fenced, journalOf, type OwnershipTransferred } from '../journal/journalRecords.js'
import { IJournalReader } from '../journal/journalReader.js'
import { IMembership } from '../membership/membership.js'
import { createLiveProgram } from './liveProgram.js'
import { IProgramTable } from './programTable.js'
import type { ProgramState } from './programState.js'

const JOURNAL_CHECK_PERIOD_MS = 1_000
const PUBLISH_RETRY_MS = 500
const MAX_OWNERSHIP_TRANSFERS = 32
const PUBLISH_TIMEOUT_MS = 60_000

/**
 * Where a program is. `here`: in this node's program table. `at`: at another live node.
 * `lost`: the log holds no trace of it, or its ownership was transferred too often to follow.
 * `unavailable`: the owner cannot be determined now, because the log did not answer or a takeover is not due or not complete.
 */
export type ProgramLocation =
  | { type: 'here' }
  | { type: 'at', owner: NodeRef }
  | { type: 'lost' }
  | { type: 'unavailable' }

/** Transfers programs away from runs of the daemon that have ended or whose node is unavailable. */
export interface ITakeover {
  /** The id of the live node that should take a journal over; undefined when no live node is known. */
  resolveNewOwner (journal: string): string | undefined
  /**
   * Finds a program through the journals, from its `origin` on, and takes over the journal of its last owner when that owner
   * is unavailable and its takeover is due. Calls `onLocated` once, maybe before it returns.
   */
  locate (programId: string, origin: NodeRef, onLocated: (location: ProgramLocation) => void): void
}
export const ITakeover = Symbol('ITakeover')

/** A takeover of one journal in progress. */
interface TakeoverAttempt {
  journal: string
  /** The run of the daemon that wrote the journal. */
  writer: NodeRef
  onDoneCallbacks: Array<(isComplete: boolean) => void>
}

@injectable()
export class Takeover implements ITakeover {
  private readonly _attemptsByJournal = new Map<string, TakeoverAttempt>()
  private readonly _finishedJournals = new Set<string>()
  private _lastRecordNumber = 0

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(ILogService) private readonly _log: ILogService,
    @inject(IJournal) private readonly _journal: IJournal,
    @inject(IJournalReader) private readonly _reader: IJournalReader,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  /** Starts the periodic check for journals to take over. */
  start (): void {
    this._timers.every(JOURNAL_CHECK_PERIOD_MS, () => this._checkJournals())
  }

  resolveNewOwner (journal: string): string | undefined {
    return resolveOwner(journal, this._membership.liveNodes(), peer => peer.node)?.node
  }

  locate (programId: string, origin: NodeRef, onLocated: (location: ProgramLocation) => void): void {
    this._followTransfers(programId, origin, 0, onLocated)
  }

  /** Takes over every journal on the control stream whose takeover is due and whose new owner is this node. */
  private _checkJournals (): void {
    if (this._membership.isDraining) return
    for (const { journal, node } of this._configuration.state.journals) {
      if (isSameNode(node, this._identity) || this._finishedJournals.has(journal)) continue
      if (!this._membership.isTakeoverDue(node)) continue
      if (this.resolveNewOwner(journal) !== this._identity.node) continue
      this._takeOverJournal(journal, node, () => {})
    }
  }

  /** Reads the journal of `writer` and follows the ownership transfers of the program that it names. */
  private _followTransfers (programId: string, writer: NodeRef, transferCount: number, onLocated: (location: ProgramLocation) => void): void {
    if (this._programs.get(programId) !== undefined) {
      onLocated({ type: 'here' })
      return
    }
    if (transferCount > MAX_OWNERSHIP_TRANSFERS) {
      onLocated({ type: 'lost' })
      return
    }
    this._reader.readJournal(journalOf(writer), state => {
      if (state === undefined) {
        onLocated({ type: 'unavailable' })
        return
      }
      const nextOwner = state.newOwners.get(programId)
      if (nextOwner !== undefined) this._followTransfers(programId, nextOwner, transferCount + 1, onLocated)
      else this._locateAtLastOwner(programId, writer, state, transferCount, onLocated)
    })
  }

  /** Locates a program whose last owner named by the journals is `writer`. */
  private _locateAtLastOwner (programId: string, writer: NodeRef, state: JournalState, transferCount: number, onLocated: (location: ProgramLocation) => void): void {
    if (this._programs.get(programId) !== undefined) {
      onLocated({ type: 'here' })
      return
    }
    const isOwnJournal = isSameNode(writer, this._identity)
    if (!isOwnJournal && state.fence === undefined && this._membership.isAlive(writer)) {
      onLocated({ type: 'at', owner: this._withAddress(writer) })
      return
    }
    if (!state.programs.has(programId)) {
      onLocated({ type: 'lost' })
      return
    }
    const isFencedByLiveNode = state.fence !== undefined && !isSameNode(state.fence.by, this._identity) && this._membership.isAlive(state.fence.by)
    if (isFencedByLiveNode && transferCount === 0) {
      onLocated({ type: 'at', owner: this._withAddress((state.fence as { by: NodeRef }).by) })
      return
    }
    if (isOwnJournal || !this._membership.isTakeoverDue(writer)) {
      onLocated({ type: 'unavailable' })
      return
    }
    this._takeOverJournal(journalOf(writer), writer, isComplete => {
      if (this._programs.get(programId) !== undefined) onLocated({ type: 'here' })
      else if (isComplete) this._followTransfers(programId, writer, transferCount + 1, onLocated)
      else onLocated({ type: 'unavailable' })
    })
  }

  private _withAddress (node: NodeRef): NodeRef {
    return { ...node, address: this._membership.findNode(node.node)?.address ?? node.address }
  }

  private _takeOverJournal (journal: string, writer: NodeRef, onDone: (isComplete: boolean) => void): void {
    const running = this._attemptsByJournal.get(journal)
    if (running !== undefined) {
      running.onDoneCallbacks.push(onDone)
      return
    }
    const attempt: TakeoverAttempt = { journal, writer, onDoneCallbacks: [onDone] }
    this._attemptsByJournal.set(journal, attempt)
    this._logger.info('takeoverStarted', { journal })
    this._ensureFence(attempt)
  }

  private _endAttempt (attempt: TakeoverAttempt, isComplete: boolean): void {
    this._attemptsByJournal.delete(attempt.journal)
    for (const onDone of attempt.onDoneCallbacks) onDone(isComplete)
  }

  private _postponeTakeover (attempt: TakeoverAttempt): void {
    this._logger.warn('takeoverPostponed', { journal: attempt.journal })
    this._endAttempt(attempt, false)
  }

  /** Folds the journal and appends a fence unless it has one. */
  private _ensureFence (attempt: TakeoverAttempt): void {
    this._reader.readJournal(attempt.journal, state => {
      if (state === undefined) this._postponeTakeover(attempt)
      else if (state.fence !== undefined) this._recordSnapshots(attempt, state)
      else this._appendFence(attempt, state)
    })
  }

  private _appendFence (attempt: TakeoverAttempt, state: JournalState): void {
    const fence: Fenced = { id: this._nextRecordId(), type: 'fenced', by: this._selfRef() }
    this._log.append(attempt.journal, [fence], () => {
      this._reader.readJournal(attempt.journal, fencedState => {
        if (fencedState?.fence !== undefined) this._recordSnapshots(attempt, fencedState)
        else this._postponeTakeover(attempt)
      }, state)
    })
  }

  /** Appends the programs to this node's journal first: a transfer record must never name an owner that lacks their state. */
  private _recordSnapshots (attempt: TakeoverAttempt, state: JournalState): void {
    this._selectOwnedPrograms(attempt, state, programs => {
      const transferable = countReservedAsSpent(programs.filter(program => !state.newOwners.has(program.programId)))
      const ownEpoch = this._journal.current
      if (transferable.length === 0) {
        this._markFinished(attempt, 0)
        return
      }
      let unrecordedCount = transferable.length
      for (const program of transferable) {
        ownEpoch.append({ type: 'programSnapshot', program: cloneProgram(program), adoptedFrom: attempt.journal }, outcome => {
          unrecordedCount--
          if (unrecordedCount === 0) this._recordTransfer(attempt, state, ownEpoch, transferable, outcome.type === 'landed')
        })
      }
    })
  }

  /**
   * Omits programs whose transfer to the unavailable node was not complete: a snapshot taken from another journal counts only
   * if that journal names the unavailable node as the new owner.
   */
  private _selectOwnedPrograms (attempt: TakeoverAttempt, state: JournalState, onSelected: (programs: ProgramState[]) => void): void {
    const programs = [...state.programs.values()]
    const sources = new Set([...state.adoptedFrom.values()])
    if (sources.size === 0) {
      onSelected(programs)
      return
    }
    const statesBySource = new Map<string, JournalState>()
    for (const source of sources) {
      this._reader.readJournal(source, sourceState => {
        if (sourceState !== undefined) statesBySource.set(source, sourceState)
        sources.delete(source)
        if (sources.size > 0) return
        const isComplete = [...state.adoptedFrom.values()].every(name => statesBySource.has(name))
        if (!isComplete) this._postponeTakeover(attempt)
        else onSelected(programs.filter(program => isOwnedBy(attempt.writer, state, statesBySource, program.programId)))
      })
    }
  }

  /** Appends the transfer record to the fenced journal; the first such record for a program counts. */
  private _recordTransfer (attempt: TakeoverAttempt, state: JournalState, ownEpoch: IJournalEpoch, transferable: ProgramState[], isRecorded: boolean): void {
    if (!isRecorded || ownEpoch.isFenced) {
      this._postponeTakeover(attempt)
      return
    }
    const programIds = transferable.map(program => program.programId)
    const record: OwnershipTransferred = { id: this._nextRecordId(), type: 'adopted', programIds, to: ownEpoch.writer }
    this._log.append(attempt.journal, [record], () => {
      this._reader.readJournal(attempt.journal, newState => {
        if (newState === undefined) this._postponeTakeover(attempt)
        else this._addWonPrograms(attempt, newState, ownEpoch, transferable)
      }, state)
    })
  }

  /** Adds the programs that the journal assigns to this node; another node may have recorded its transfer first. */
  private _addWonPrograms (attempt: TakeoverAttempt, state: JournalState, ownEpoch: IJournalEpoch, transferable: ProgramState[]): void {
    const isDecided = transferable.every(program => state.newOwners.has(program.programId))
    if (!isDecided || ownEpoch.isFenced) {
      this._postponeTakeover(attempt)
      return
    }
    const wonPrograms = transferable.filter(program => isSameNode(state.newOwners.get(program.programId) as NodeRef, ownEpoch.writer))
    for (const program of wonPrograms) this._addLiveProgram(program, ownEpoch, attempt.journal)
    this._markFinished(attempt, wonPrograms.length)
  }

  private _addLiveProgram (state: ProgramState, ownEpoch: IJournalEpoch, formerJournal: string): void {
    if (this._programs.get(state.programId) !== undefined) return
    const program = createLiveProgram(state, ownEpoch, this._clock.nowMs())
    program.formerJournal = formerJournal
    program.hasFormerOwner = true
    this._programs.add(program)
  }

  /** Publishes the takeover on the control stream; after a failed publication the next check repeats the takeover. */
  private _markFinished (attempt: TakeoverAttempt, programCount: number): void {
    this._logger.info('takeoverFinished', { journal: attempt.journal, programs: programCount })
    this._finishedJournals.add(attempt.journal)
    const isListed = this._configuration.state.journals.some(known => known.journal === attempt.journal)
    if (isListed) {
      const record = { type: 'journalAdopted', journal: attempt.journal, by: this._selfRef(), programCount, atMs: this._clock.nowMs() } as const
      this._configuration.publish(record, PUBLISH_TIMEOUT_MS, outcome => {
        if (outcome.type !== 'folded') this._timers.after(PUBLISH_RETRY_MS + this._random.nextInt(PUBLISH_RETRY_MS), () => this._finishedJournals.delete(attempt.journal))
      })
    }
    this._endAttempt(attempt, true)
  }

  private _selfRef (): NodeRef {
    const { node, incarnation, address } = this._identity
    return { node, incarnation, address }
  }

  private _nextRecordId (): string {
    return `${this._identity.node}-${this._identity.incarnation}-t${++this._lastRecordNumber}`
  }
}

/** Copies of the programs in which the tokens reserved for steps in flight count as spent. */
function countReservedAsSpent (programs: ProgramState[]): ProgramState[] {
  const copies = new Map(programs.map(program => [program.programId, cloneProgram(program)]))
  for (const program of copies.values()) {
    const root = copies.get(program.root) ?? program
    root.spent.tokens += program.reservedTokens
    program.reservedTokens = 0
  }
  return [...copies.values()]
}

/** True when the journals name `writer` as the owner of a program that its own journal holds. */
function isOwnedBy (writer: NodeRef, state: JournalState, sourceStates: Map<string, JournalState>, programId: string): boolean {
  const source = state.adoptedFrom.get(programId)
  if (source === undefined) return true
  const newOwner = sourceStates.get(source)?.newOwners.get(programId)
  return newOwner !== undefined && isSameNode(newOwner, writer)
}
