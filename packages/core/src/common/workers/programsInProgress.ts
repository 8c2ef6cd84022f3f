/** Programs whose turns a service has seen lately. */
import { Ewma } from '../base/ewma.js'
import { AccountBegins } from './accountBegins.js'

/** Weight of a new program in the mean work of programs; the mean covers about the last hundred. */
const WORK_SAMPLE_WEIGHT = 0.02
/** Before this many programs of a kind have ended, only the finish tells their work. */
const MIN_WORK_SAMPLES = 10
/** Share of the mean work of its kind that a program needs at least: the numbers of turns on the users' sheets vary from 0.6 to 1.4 of the mean. */
const LEAST_WORK_SHARE = 0.5
/** A program without a turn for this long has probably ended; pauses between turns are shorter. */
const END_PAUSE_MS = 1_000

export interface ProgramsInProgressOptions {
  /** A program that pauses between two turns counts as in progress for this long. */
  pauseMs: number
  /** A program without a turn for this long has ended. */
  memoryMs: number
  /** Callers allow a program this multiple of its time on idle workers, plus its objective, to finish. */
  aimRatio: number
}

/** A turn as far as its program is concerned. */
export interface ProgramTurn {
  /** Absent for requests that belong to no program. */
  programId?: string
  /** Time until the program should be finished, if known. */
  finishMs?: number
  account?: string
  priority: number
  objectiveMs: number
  /** Expected duration of the turn on an idle worker. */
  durationMs: number
}

interface KnownProgram {
  account: string | undefined
  priority: number
  /** Time that the program needs from its first turn to its end, without waits for a slot. */
  workMs: number
  /** Programs of the same rank and objective are expected to need about the same. */
  kind: string
  /** True once the program counts as an example of its kind. */
  isMeasured: boolean
  firstAtMs: number
  /** Time that the program has spent waiting for slots, refusals included. */
  lostMs: number
  /** Since when a turn of the program waits for a slot; absent while none does. */
  waitingSinceMs: number | undefined
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
 * programs.beginTurn(turn, nowMs)
 * programs.endTurn('p1', nowMs)
 * programs.pausingCount(nowMs) // 1
 */
export class ProgramsInProgress {
  private readonly _programs = new Map<string, KnownProgram>()
  /** Programs that have begun, without most of those that ended; counts for each decision need not iterate over all known programs. */
  private readonly _recent = new Set<KnownProgram>()
  private readonly _begins = new AccountBegins()
  /** Mean work of ended programs by kind. */
  private readonly _kinds = new Map<string, Ewma>()
  private _meanWork: Ewma | undefined

  constructor (private readonly _options: ProgramsInProgressOptions) {}

  /** Must be called for each turn before it begins. */
  observe (turn: ProgramTurn, nowMs: number): void {
    const { programId, finishMs, account, priority, objectiveMs, durationMs } = turn
    if (programId === undefined) {
      this._begins.recordAsked(account, nowMs)
      return
    }
    const known = this._find(programId, nowMs)
    if (known !== undefined) {
      known.lastAtMs = nowMs
      known.waitingSinceMs ??= nowMs
      if (known.hasBegun) this._recent.add(known)
      return
    }
    // The caller sets the finish from the program's time on idle workers, so that this time follows from it.
    const kind = `${priority}/${objectiveMs}`
    const leastMs = this._leastWorkMs(kind)
    const workMs = Math.max(durationMs, leastMs, ((finishMs ?? 0) - objectiveMs) / this._options.aimRatio)
    this._begins.recordAsked(account, nowMs)
    this._programs.set(programId, { account, priority, workMs, kind, isMeasured: false, firstAtMs: nowMs, lostMs: 0, waitingSinceMs: nowMs, openTurns: 0, hasBegun: false, lastAtMs: nowMs, firstFinishMs: finishMs })
  }

  /** True if a turn of the program has begun. */
  hasBegun (programId: string | undefined, nowMs: number): boolean {
    return this._find(programId, nowMs)?.hasBegun === true
  }

  /** Time for which the program has waited since its first turn was seen; 0 if unknown. */
  waitedMs ({ programId, finishMs }: Pick<ProgramTurn, 'programId' | 'finishMs'>, nowMs: number): number {
    const firstFinishMs = this._find(programId, nowMs)?.firstFinishMs
    return firstFinishMs === undefined || finishMs === undefined ? 0 : firstFinishMs - finishMs
  }

  beginTurn ({ programId, account }: Pick<ProgramTurn, 'programId' | 'account'>, nowMs: number): void {
    if (programId === undefined) this._begins.recordBegun(account, nowMs)
    const known = this._find(programId, nowMs)
    if (known === undefined) return
    if (!known.hasBegun) {
      this._begins.recordBegun(known.account, nowMs)
      this._meanWork ??= new Ewma(WORK_SAMPLE_WEIGHT, known.workMs)
      this._meanWork.add(known.workMs)
    }
    if (known.waitingSinceMs !== undefined) known.lostMs += nowMs - known.waitingSinceMs
    known.waitingSinceMs = undefined
    known.openTurns++
    known.hasBegun = true
    this._recent.add(known)
    known.lastAtMs = nowMs
  }

  endTurn (programId: string | undefined, nowMs: number): void {
    const known = programId === undefined ? undefined : this._programs.get(programId)
    if (known === undefined) return
    known.openTurns--
    known.lastAtMs = nowMs
  }

  /** Mean work of the programs that began lately; 0 before the first one. */
  get meanWorkMs (): number {
    return this._meanWork?.value ?? 0
  }

  /** Time that the program of a waiting turn needs to finish, without waits for a slot; of the turn alone if the program is unknown. */
  remainingMs ({ programId, durationMs }: Pick<ProgramTurn, 'programId' | 'durationMs'>, nowMs: number): number {
    const known = this._find(programId, nowMs)
    if (known === undefined) return durationMs
    const waitingMs = nowMs - (known.waitingSinceMs ?? nowMs)
    const doneMs = nowMs - known.firstAtMs - known.lostMs - waitingMs
    return Math.max(durationMs, known.workMs - doneMs)
  }

  /** Programs between two turns. */
  pausingCount (nowMs: number): number {
    let count = 0
    for (const { openTurns } of this._running(nowMs)) {
      if (openTurns === 0) count++
    }
    return count
  }

  /** Programs of the rank with an open turn or between two turns. */
  runningOfRank (priority: number, nowMs: number): number {
    let count = 0
    for (const program of this._running(nowMs)) {
      if (program.priority === priority) count++
    }
    return count
  }

  /** Programs with an open turn or between two turns, by account. */
  runningByAccount (nowMs: number): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { account } of this._running(nowMs)) {
      if (account !== undefined) counts.set(account, (counts.get(account) ?? 0) + 1)
    }
    return counts
  }

  /** How often the programs of the account began lately, relative to those of all accounts; 1 if none was seen. */
  servedRatioOf (account: string, nowMs: number): number {
    return this._begins.servedRatioOf(account, nowMs)
  }

  removeEnded (nowMs: number): void {
    for (const [programId, known] of this._programs) {
      this._measure(known, nowMs)
      if (this._find(programId, nowMs) === undefined) this._programs.delete(programId)
    }
    this._begins.removeOld(nowMs)
  }

  /** Counts a program that has probably ended as an example of its kind; one whose last turn was refused has not ended by itself. */
  private _measure (known: KnownProgram, nowMs: number): void {
    const { kind, isMeasured, hasBegun, openTurns, waitingSinceMs, firstAtMs, lastAtMs, lostMs } = known
    if (isMeasured || !hasBegun || openTurns > 0 || waitingSinceMs !== undefined || nowMs - lastAtMs < END_PAUSE_MS) return
    known.isMeasured = true
    const workMs = lastAtMs - firstAtMs - lostMs
    const mean = this._kinds.get(kind) ?? new Ewma(WORK_SAMPLE_WEIGHT, workMs)
    this._kinds.set(kind, mean)
    mean.add(workMs)
  }

  /** Time below which hardly a program of the kind ends; 0 while it is unknown. */
  private _leastWorkMs (kind: string): number {
    const mean = this._kinds.get(kind)
    return mean === undefined || mean.sampleCount < MIN_WORK_SAMPLES ? 0 : mean.value * LEAST_WORK_SHARE
  }

  /** Programs with an open turn or between two turns. */
  private _running (nowMs: number): ReadonlySet<KnownProgram> {
    for (const program of this._recent) {
      if (program.openTurns === 0 && nowMs - program.lastAtMs >= this._options.pauseMs) this._recent.delete(program)
    }
    return this._recent
  }

  private _find (programId: string | undefined, nowMs: number): KnownProgram | undefined {
    const known = programId === undefined ? undefined : this._programs.get(programId)
    return known !== undefined && (known.openTurns > 0 || nowMs - known.lastAtMs < this._options.memoryMs) ? known : undefined
  }
}
