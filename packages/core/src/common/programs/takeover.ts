/**
 * Takes over programs of nodes that are gone: fence the journal, fold it, adopt what it holds.
 *
 * The fence works like a leader epoch of a replicated log: records of the old writer behind it are void
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

const CHECK_PERIOD_MS = 1_000
const RETRY_MS = 500
const MAX_CHAIN_LENGTH = 32
const PUBLISH_TIMEOUT_MS = 60_000

/** Where a program is. `lost`: the log holds no trace of it. `unavailable`: the log did not answer. */
export type Location =
  | { type: 'here' }
  | { type: 'at', home: NodeRef }
  | { type: 'lost' }
  | { type: 'unavailable' }

/** Moves programs away from runs of the daemon that have ended. */
export interface ITakeover {
  /** The live node that should take a journal over. */
  resolveNewOwner (journal: string): string | undefined
  /** Finds a program by the journals; takes its last home's journal over when that home is gone. */
  locate (programId: string, origin: NodeRef, onLocated: (location: Location) => void): void
}
export const ITakeover = Symbol('ITakeover')

interface Attempt {
  journal: string
  writer: NodeRef
  waiting: Array<(isComplete: boolean) => void>
}

@injectable()
export class Takeover implements ITakeover {
  private readonly _attempts = new Map<string, Attempt>()
  private readonly _finished = new Set<string>()
  private _lastRecord = 0

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

  start (): void {
    this._timers.every(CHECK_PERIOD_MS, () => this._checkJournals())
  }

  resolveNewOwner (journal: string): string | undefined {
    return resolveOwner(journal, this._membership.liveNodes(), peer => peer.node)?.node
  }

  locate (programId: string, origin: NodeRef, onLocated: (location: Location) => void): void {
    this._follow(programId, origin, 0, onLocated)
  }

  /** Takes over every journal on the control stream whose writer is gone and whose adopter is this node. */
  private _checkJournals (): void {
    if (this._membership.isDraining) return
    for (const { journal, node } of this._configuration.state.journals) {
      if (isSameNode(node, this._identity) || this._finished.has(journal)) continue
      if (!this._membership.isTakeoverDue(node)) continue
      if (this.resolveNewOwner(journal) !== this._identity.node) continue
      this._adoptJournal(journal, node, () => {})
    }
  }

  private _follow (programId: string, writer: NodeRef, length: number, onLocated: (location: Location) => void): void {
    if (this._programs.get(programId) !== undefined) {
      onLocated({ type: 'here' })
      return
    }
    if (length > MAX_CHAIN_LENGTH) {
      onLocated({ type: 'lost' })
      return
    }
    this._reader.readJournal(journalOf(writer), state => {
      if (state === undefined) {
        onLocated({ type: 'unavailable' })
        return
      }
      const next = state.adoptions.get(programId)
      if (next !== undefined) this._follow(programId, next, length + 1, onLocated)
      else this._locateLast(programId, writer, state, length, onLocated)
    })
  }

  /** `writer` is the last home that the journals name. */
  private _locateLast (programId: string, writer: NodeRef, state: JournalState, length: number, onLocated: (location: Location) => void): void {
    if (this._programs.get(programId) !== undefined) {
      onLocated({ type: 'here' })
      return
    }
    const isOwn = isSameNode(writer, this._identity)
    if (!isOwn && state.fence === undefined && this._membership.isAlive(writer)) {
      onLocated({ type: 'at', home: this._withAddress(writer) })
      return
    }
    if (!state.programs.has(programId)) {
      onLocated({ type: 'lost' })
      return
    }
    const isFencedByLiveNode = state.fence !== undefined && !isSameNode(state.fence.by, this._identity) && this._membership.isAlive(state.fence.by)
    if (isFencedByLiveNode && length === 0) {
      onLocated({ type: 'at', home: this._withAddress((state.fence as { by: NodeRef }).by) })
      return
    }
    if (isOwn || !this._membership.isTakeoverDue(writer)) {
      onLocated({ type: 'unavailable' })
      return
    }
    this._adoptJournal(journalOf(writer), writer, isComplete => {
      if (this._programs.get(programId) !== undefined) onLocated({ type: 'here' })
      else if (isComplete) this._follow(programId, writer, length + 1, onLocated)
      else onLocated({ type: 'unavailable' })
    })
  }

  private _withAddress (node: NodeRef): NodeRef {
    return { ...node, address: this._membership.findNode(node.node)?.address ?? node.address }
  }

  private _adoptJournal (journal: string, writer: NodeRef, onDone: (isComplete: boolean) => void): void {
    const running = this._attempts.get(journal)
    if (running !== undefined) {
      running.waiting.push(onDone)
      return
    }
    const attempt: Attempt = { journal, writer, waiting: [onDone] }
    this._attempts.set(journal, attempt)
    this._logger.info('takeoverStarted', { journal })
    this._fence(attempt)
  }

  private _finish (attempt: Attempt, isComplete: boolean): void {
    this._attempts.delete(attempt.journal)
    for (const onDone of attempt.waiting) onDone(isComplete)
  }

  private _giveUp (attempt: Attempt): void {
    this._logger.warn('takeoverPostponed', { journal: attempt.journal })
    this._finish(attempt, false)
  }

  /** Appends a fence, unless the journal has one, and folds everything up to it. */
  private _fence (attempt: Attempt): void {
    this._reader.readJournal(attempt.journal, state => {
      if (state === undefined) this._giveUp(attempt)
      else if (state.fence !== undefined) this._prepare(attempt, state)
      else this._appendFence(attempt, state)
    })
  }

  private _appendFence (attempt: Attempt, state: JournalState): void {
    const fence: Fenced = { id: this._nextRecordId(), type: 'fenced', by: this._selfRef() }
    this._log.append(attempt.journal, [fence], () => {
      this._reader.readJournal(attempt.journal, read => {
        if (read?.fence !== undefined) this._prepare(attempt, read)
        else this._giveUp(attempt)
      }, state)
    })
  }

  /** Records the programs in the own journal first, so that an adoption never names a home that lacks their state. */
  private _prepare (attempt: Attempt, state: JournalState): void {
    this._verifyAdopted(attempt, state, programs => {
      const wanted = settlePrograms(programs.filter(program => !state.adoptions.has(program.programId)))
      const own = this._journal.current
      if (wanted.length === 0) {
        this._markFinished(attempt, 0)
        return
      }
      let missing = wanted.length
      for (const program of wanted) {
        own.append({ type: 'programSnapshot', program: cloneProgram(program), adoptedFrom: attempt.journal }, outcome => {
          missing--
          if (missing === 0) this._adopt(attempt, state, own, wanted, outcome.type === 'landed')
        })
      }
    })
  }

  /**
   * Drops programs that the dead node had not adopted completely: their snapshot counts only if the journal
   * that they came from names the dead node.
   */
  private _verifyAdopted (attempt: Attempt, state: JournalState, onVerified: (programs: ProgramState[]) => void): void {
    const programs = [...state.programs.values()]
    const sources = new Set([...state.adoptedFrom.values()])
    if (sources.size === 0) {
      onVerified(programs)
      return
    }
    const states = new Map<string, JournalState>()
    for (const source of sources) {
      this._reader.readJournal(source, read => {
        if (read !== undefined) states.set(source, read)
        sources.delete(source)
        if (sources.size > 0) return
        const isComplete = [...state.adoptedFrom.values()].every(name => states.has(name))
        if (!isComplete) this._giveUp(attempt)
        else onVerified(programs.filter(program => isHeldBy(attempt.writer, state, states, program.programId)))
      })
    }
  }

  private _adopt (attempt: Attempt, state: JournalState, own: IJournalEpoch, wanted: ProgramState[], isRecorded: boolean): void {
    if (!isRecorded || own.isFenced) {
      this._giveUp(attempt)
      return
    }
    const programIds = wanted.map(program => program.programId)
    const record: OwnershipTransferred = { id: this._nextRecordId(), type: 'adopted', programIds, to: own.writer }
    this._log.append(attempt.journal, [record], () => {
      this._reader.readJournal(attempt.journal, read => {
        if (read === undefined) this._giveUp(attempt)
        else this._settle(attempt, read, own, wanted)
      }, state)
    })
  }

  /** The journal now says who won each program. */
  private _settle (attempt: Attempt, state: JournalState, own: IJournalEpoch, wanted: ProgramState[]): void {
    const isDecided = wanted.every(program => state.adoptions.has(program.programId))
    if (!isDecided || own.isFenced) {
      this._giveUp(attempt)
      return
    }
    const won = wanted.filter(program => isSameNode(state.adoptions.get(program.programId) as NodeRef, own.writer))
    for (const program of won) this._addProgram(program, own, attempt.journal)
    this._markFinished(attempt, won.length)
  }

  private _addProgram (state: ProgramState, own: IJournalEpoch, formerJournal: string): void {
    if (this._programs.get(state.programId) !== undefined) return
    const program = createLiveProgram(state, own, this._clock.nowMs())
    program.formerJournal = formerJournal
    program.isInherited = true
    this._programs.add(program)
  }

  private _markFinished (attempt: Attempt, programCount: number): void {
    this._logger.info('takeoverFinished', { journal: attempt.journal, programs: programCount })
    this._finished.add(attempt.journal)
    const isListed = this._configuration.state.journals.some(known => known.journal === attempt.journal)
    if (isListed) {
      const record = { type: 'journalAdopted', journal: attempt.journal, by: this._selfRef(), programCount, atMs: this._clock.nowMs() } as const
      this._configuration.publish(record, PUBLISH_TIMEOUT_MS, outcome => {
        if (outcome.type !== 'folded') this._timers.after(RETRY_MS + this._random.nextInt(RETRY_MS), () => this._finished.delete(attempt.journal))
      })
    }
    this._finish(attempt, true)
  }

  private _selfRef (): NodeRef {
    const { node, incarnation, address } = this._identity
    return { node, incarnation, address }
  }

  private _nextRecordId (): string {
    return `${this._identity.node}-${this._identity.incarnation}-t${++this._lastRecord}`
  }
}

/** Copies of the programs in which what was set aside for steps in flight counts as spent. */
function settlePrograms (programs: ProgramState[]): ProgramState[] {
  const copies = new Map(programs.map(program => [program.programId, cloneProgram(program)]))
  for (const program of copies.values()) {
    const root = copies.get(program.root) ?? program
    root.spent.tokens += program.reservedTokens
    program.reservedTokens = 0
  }
  return [...copies.values()]
}

/** True when the journals say that `writer` was the home of a program that its own journal holds. */
function isHeldBy (writer: NodeRef, state: JournalState, sources: Map<string, JournalState>, programId: string): boolean {
  const source = state.adoptedFrom.get(programId)
  if (source === undefined) return true
  const adopter = sources.get(source)?.adoptions.get(programId)
  return adopter !== undefined && isSameNode(adopter, writer)
}
