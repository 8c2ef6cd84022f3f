/** Receives the programs that a draining node hands over. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import { isSameNode } from '../kernel/node.js'
import { ITimers } from '../kernel/timers.js'
import { IJournal, type IJournalEpoch } from '../journal/journal.js'
import { IJournalReader } from '../journal/journalReader.js'
import { IMembership } from '../membership/membership.js'
import { IPeers } from '../peers/peers.js'
import { createLiveProgram } from '../programs/liveProgram.js'
import type { ProgramState } from '../programs/programState.js'
import { IProgramTable } from '../programs/programTable.js'

const CHECK_PERIOD_MS = 1_000
const MAX_CHECKS = 60

interface PendingHandover {
  /** Journal of the draining node. */
  journal: string
  /** Own journal stream that holds the snapshots of the programs. */
  epoch: IJournalEpoch
  programs: ProgramState[]
  checkCount: number
}

/** Records offered programs in the own journal, and serves them once the former owner's journal names this node. */
@injectable()
export class HandoverReceiver {
  private readonly _pending = new Set<PendingHandover>()

  constructor (
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IPeers) private readonly _peers: IPeers,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IJournal) private readonly _journal: IJournal,
    @inject(IJournalReader) private readonly _reader: IJournalReader,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  start (): void {
    this._peers.handle('handoverOffer', (body, _from, respond) => {
      if (this._membership.isDraining || body.programs.length === 0) {
        respond({ type: 'handoverAnswer', acceptedProgramIds: [] })
        return
      }
      this._accept(body.journal, body.programs, programIds => respond({ type: 'handoverAnswer', acceptedProgramIds: programIds }))
    })
    this._peers.handle('handoverDone', (body, _from, respond) => {
      this._checkHandoversFrom(body.journal)
      respond(body)
    })
  }

  private _accept (journal: string, programs: ProgramState[], onRecorded: (programIds: string[]) => void): void {
    const epoch = this._journal.current
    let pendingAppends = programs.length
    for (const program of programs) {
      epoch.append({ type: 'programSnapshot', program, adoptedFrom: journal }, outcome => {
        pendingAppends--
        if (pendingAppends > 0) return
        if (outcome.type === 'fenced') {
          onRecorded([])
          return
        }
        const handover = { journal, epoch, programs, checkCount: 0 }
        this._pending.add(handover)
        this._timers.after(CHECK_PERIOD_MS, () => this._checkOwner(handover))
        onRecorded(programs.map(state => state.programId))
      })
    }
  }

  private _checkHandoversFrom (journal: string): void {
    for (const handover of this._pending) {
      if (handover.journal === journal) this._checkOwner(handover)
    }
  }

  /**
   * Reads the former owner's journal until it names the new owner or has a fence; the message of the former owner only makes
   * this check happen earlier. Gives up after `MAX_CHECKS`, or when the own journal is fenced.
   */
  private _checkOwner (handover: PendingHandover): void {
    if (!this._pending.has(handover)) return
    this._reader.readJournal(handover.journal, state => {
      if (!this._pending.has(handover)) return
      const owner = state?.newOwners.get(handover.programs[0].programId)
      const isDecided = owner !== undefined || state?.fence !== undefined
      handover.checkCount++
      if (isDecided || handover.checkCount > MAX_CHECKS || handover.epoch.isFenced) {
        this._pending.delete(handover)
        if (owner !== undefined && isSameNode(owner, handover.epoch.writer)) this._serve(handover)
        return
      }
      this._timers.after(CHECK_PERIOD_MS, () => this._checkOwner(handover))
    })
  }

  private _serve (handover: PendingHandover): void {
    if (handover.epoch.isFenced) return
    const nowMs = this._clock.nowMs()
    for (const state of handover.programs) {
      if (this._programs.get(state.programId) !== undefined) continue
      const program = createLiveProgram(state, handover.epoch, nowMs)
      program.formerJournal = handover.journal
      program.hasFormerOwner = true
      this._programs.add(program)
    }
    this._logger.info('programsReceived', { journal: handover.journal, programs: handover.programs.length })
  }
}
