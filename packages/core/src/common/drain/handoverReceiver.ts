/** Takes programs that a stopping node hands over. */
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

const CHECK_MS = 1_000
const MAX_CHECKS = 60

interface PendingHandover {
  journal: string
  epoch: IJournalEpoch
  programs: ProgramState[]
  checks: number
}

/** Records offered programs, and serves them once the old journal names this node. */
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
      this._checkAll(body.journal)
      respond(body)
    })
  }

  private _accept (journal: string, programs: ProgramState[], onRecorded: (programIds: string[]) => void): void {
    const epoch = this._journal.current
    let missing = programs.length
    for (const program of programs) {
      epoch.append({ type: 'programSnapshot', program, adoptedFrom: journal }, outcome => {
        missing--
        if (missing > 0) return
        if (outcome.type === 'fenced') {
          onRecorded([])
          return
        }
        const handover = { journal, epoch, programs, checks: 0 }
        this._pending.add(handover)
        this._timers.after(CHECK_MS, () => this._check(handover))
        onRecorded(programs.map(state => state.programId))
      })
    }
  }

  private _checkAll (journal: string): void {
    for (const handover of this._pending) {
      if (handover.journal === journal) this._check(handover)
    }
  }

  /** Reads the old journal until it says who the home is; the message of the old home only hastens this. */
  private _check (handover: PendingHandover): void {
    if (!this._pending.has(handover)) return
    this._reader.readJournal(handover.journal, state => {
      if (!this._pending.has(handover)) return
      const owner = state?.adoptions.get(handover.programs[0].programId)
      const isDecided = owner !== undefined || state?.fence !== undefined
      handover.checks++
      if (isDecided || handover.checks > MAX_CHECKS || handover.epoch.isFenced) {
        this._pending.delete(handover)
        if (owner !== undefined && isSameNode(owner, handover.epoch.writer)) this._serve(handover)
        return
      }
      this._timers.after(CHECK_MS, () => this._check(handover))
    })
  }

  private _serve (handover: PendingHandover): void {
    if (handover.epoch.isFenced) return
    const nowMs = this._clock.nowMs()
    for (const state of handover.programs) {
      if (this._programs.get(state.programId) !== undefined) continue
      const program = createLiveProgram(state, handover.epoch, nowMs)
      program.formerJournal = handover.journal
      program.isInherited = true
      this._programs.add(program)
    }
    this._logger.info('programsReceived', { journal: handover.journal, programs: handover.programs.length })
  }
}
