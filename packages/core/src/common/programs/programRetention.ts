/** Closes abandoned programs, removes closed ones and records idle ones again before their records expire from the log. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { CoreSettings } from '../kernel/settings.js'
import { ITimers } from '../kernel/timers.js'
import { IConfiguration } from '../configuration/configuration.js'
import { cloneProgram } from '../journal/journalFold.js'
import type { LiveProgram } from './liveProgram.js'
import { IProgramClosing } from './programClosing.js'
import { IProgramTable } from './programTable.js'

const SWEEP_PERIOD_MS = 5_000
const DEFAULT_IDLE_TIMEOUT_MS = 600_000
/** A new snapshot of a program is recorded after this share of the log's retention time. */
const SNAPSHOT_AGE_SHARE = 0.4
/** Most snapshots recorded in one sweep, to limit the load on the log. */
const SNAPSHOTS_PER_SWEEP = 50

@injectable()
export class ProgramRetention {
  constructor (
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(IProgramClosing) private readonly _closing: IProgramClosing
  ) {}

  /** Starts the periodic sweep. */
  start (): void {
    this._timers.every(SWEEP_PERIOD_MS, () => this._sweep())
  }

  private _sweep (): void {
    const nowMs = this._clock.nowMs()
    let snapshotsLeft = SNAPSHOTS_PER_SWEEP
    for (const program of [...this._programs.all()]) {
      if (program.closedAtMs !== undefined) this._removeIfExpired(program, nowMs)
      else this._closeIfTimedOut(program, nowMs)
      const isDue = snapshotsLeft > 0 && this._isSnapshotDue(program, nowMs)
      if (!isDue) continue
      snapshotsLeft--
      program.snapshotAtMs = nowMs
      program.journal.append({ type: 'programSnapshot', program: cloneProgram(program.state) }, () => {})
    }
  }

  private _removeIfExpired (program: LiveProgram, nowMs: number): void {
    if (nowMs - (program.closedAtMs ?? nowMs) > this._settings.closedRetentionMs) this._programs.remove(program.state.programId)
  }

  private _closeIfTimedOut (program: LiveProgram, nowMs: number): void {
    const idleTimeoutMs = this._configuration.document?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS
    const { openedAtMs, budget } = this._programs.rootOf(program).state
    const isBusy = program.running !== undefined || this._isRestOfTreeBusy(program)
    if (nowMs - openedAtMs > budget.wallTimeMs) this._closing.close(program, 'wall time is used up')
    else if (!isBusy && nowMs - program.lastActiveMs > idleTimeoutMs) this._closing.close(program, 'abandoned')
  }

  /** True when another program of the tree runs a step or was active within the idle timeout. */
  private _isRestOfTreeBusy (program: LiveProgram): boolean {
    const nowMs = this._clock.nowMs()
    const idleTimeoutMs = this._configuration.document?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS
    return this._programs.treeOf(program.state.root).some(member => member !== program && member.closedAtMs === undefined &&
      (member.running !== undefined || nowMs - member.lastActiveMs < idleTimeoutMs))
  }

  private _isSnapshotDue (program: LiveProgram, nowMs: number): boolean {
    const isIdle = program.running === undefined && program.state.openClaim === undefined
    return isIdle && program.closedAtMs === undefined && nowMs - program.snapshotAtMs > this._settings.logRetentionMs * SNAPSHOT_AGE_SHARE
  }
}
