/** Programs whose turns a service has seen lately. */

export interface ProgramsInProgressOptions {
  /** A program that pauses between two turns counts as in progress for this long. */
  pauseMs: number
  /** A program without a turn for this long has ended. */
  memoryMs: number
}

/** A turn as far as its program is concerned. */
export interface ProgramTurn {
  /** Absent for requests that belong to no program. */
  programId?: string
  /** Time until the program should be finished, if known. */
  finishMs?: number
}

interface KnownProgram {
  openTurns: number
  hasBegun: boolean
  lastAtMs: number
  /** Time that the program had when its first turn was seen. */
  firstFinishMs: number | undefined
}

/**
 * Counts programs, with their parallel turns.
 *
 * @example
 * programs.observe(turn, nowMs)
 * programs.beginTurn('p1', nowMs)
 * programs.endTurn('p1', nowMs)
 * programs.pausingCount(nowMs) // 1
 */
export class ProgramsInProgress {
  private readonly _programs = new Map<string, KnownProgram>()

  constructor (private readonly _options: ProgramsInProgressOptions) {}

  /** Must be called for each turn before it begins. */
  observe ({ programId, finishMs }: ProgramTurn, nowMs: number): void {
    if (programId === undefined) return
    const known = this._find(programId, nowMs)
    if (known !== undefined) known.lastAtMs = nowMs
    else this._programs.set(programId, { openTurns: 0, hasBegun: false, lastAtMs: nowMs, firstFinishMs: finishMs })
  }

  /** True if a turn of the program has begun. */
  hasBegun (programId: string | undefined, nowMs: number): boolean {
    return this._find(programId, nowMs)?.hasBegun === true
  }

  /** Time for which the program has waited since its first turn was seen; 0 if unknown. */
  waitedMs ({ programId, finishMs }: ProgramTurn, nowMs: number): number {
    const firstFinishMs = this._find(programId, nowMs)?.firstFinishMs
    return firstFinishMs === undefined || finishMs === undefined ? 0 : firstFinishMs - finishMs
  }

  beginTurn (programId: string | undefined, nowMs: number): void {
    const known = this._find(programId, nowMs)
    if (known === undefined) return
    known.openTurns++
    known.hasBegun = true
    known.lastAtMs = nowMs
  }

  endTurn (programId: string | undefined, nowMs: number): void {
    const known = programId === undefined ? undefined : this._programs.get(programId)
    if (known === undefined) return
    known.openTurns--
    known.lastAtMs = nowMs
  }

  /** Programs between two turns. */
  pausingCount (nowMs: number): number {
    let count = 0
    for (const { hasBegun, openTurns, lastAtMs } of this._programs.values()) {
      if (hasBegun && openTurns === 0 && nowMs - lastAtMs < this._options.pauseMs) count++
    }
    return count
  }

  removeEnded (nowMs: number): void {
    for (const programId of this._programs.keys()) {
      if (this._find(programId, nowMs) === undefined) this._programs.delete(programId)
    }
  }

  private _find (programId: string | undefined, nowMs: number): KnownProgram | undefined {
    const known = programId === undefined ? undefined : this._programs.get(programId)
    return known !== undefined && (known.openTurns > 0 || nowMs - known.lastAtMs < this._options.memoryMs) ? known : undefined
  }
}
