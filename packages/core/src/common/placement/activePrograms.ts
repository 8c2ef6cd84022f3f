/** Active programs of one worker and the slots that they need, estimated from statistics of each work kind. */
import { Ewma } from '../base/ewma.js'
import { Rank } from '../configuration/document.js'

const SAMPLE_WEIGHT = 0.05
const INITIAL_SERVICE_MS = 3_000
const INITIAL_PAUSE_MS = 3_000
const INITIAL_WORK_MS = 15_000
/** Lower bound of the work that a program is assumed to have left, as a share of its kind's mean. */
const MIN_WORK_LEFT_SHARE = 0.5
/** A program without a slot request or release for longer than this no longer counts as active. */
const INACTIVE_AFTER_MS = 120_000

/** Moving averages for each work kind: engine time per call, pause between calls and engine time per program. */
export class KindProfiles {
  private readonly _serviceMs = new Map<string, Ewma>()
  private readonly _pauseMs = new Map<string, Ewma>()
  private readonly _workMs = new Map<string, Ewma>()

  /** Adds the engine time of one call. */
  recordService (kind: string, serviceMs: number): void {
    resolveEwma(this._serviceMs, kind, INITIAL_SERVICE_MS).add(serviceMs)
  }

  /** Adds the time between the end of a call and the next request of the same program. */
  recordPause (kind: string, pauseMs: number): void {
    resolveEwma(this._pauseMs, kind, INITIAL_PAUSE_MS).add(pauseMs)
  }

  /** Adds the engine time of a whole program, known at its end. */
  recordWork (kind: string, workMs: number): void {
    resolveEwma(this._workMs, kind, INITIAL_WORK_MS).add(workMs)
  }

  /** Mean engine time of a whole program of the kind, in milliseconds. */
  workMsOf (kind: string): number {
    return resolveEwma(this._workMs, kind, INITIAL_WORK_MS).value
  }

  /** Share of its duration, 0 to 1, for which a program of the kind occupies a slot. */
  dutyCycleOf (kind: string): number {
    const serviceMs = resolveEwma(this._serviceMs, kind, INITIAL_SERVICE_MS).value
    const pauseMs = resolveEwma(this._pauseMs, kind, INITIAL_PAUSE_MS).value
    return serviceMs / (serviceMs + pauseMs)
  }

  /** Mean duration of a program of the kind that never waits for a slot, in milliseconds. */
  durationMsOf (kind: string): number {
    return this.workMsOf(kind) / this.dutyCycleOf(kind)
  }

  /** Mean pause between two calls of a program of the kind, in milliseconds. */
  pauseMsOf (kind: string): number {
    return resolveEwma(this._pauseMs, kind, INITIAL_PAUSE_MS).value
  }
}

interface ActiveProgram {
  kind: string
  rank: Rank
  lastSeenMs: number
  /** Set between the end of a call and the next request. */
  releasedAtMs?: number
  /** Engine time used so far on this worker. */
  workMs: number
}

/** The active programs of one worker. Their calls and ends update the given kind profiles. */
export class ActivePrograms {
  private readonly _programs = new Map<string, ActiveProgram>()

  constructor (private readonly _profiles: KindProfiles) {}

  /** Number of active programs of all ranks. */
  get count (): number {
    return this._programs.size
  }

  /** Adds a program, or marks it as active again and records the pause since its last release. */
  recordActivity (programId: string, kind: string, rank: Rank, nowMs: number): void {
    const program = this._programs.get(programId)
    if (program === undefined) {
      this._programs.set(programId, { kind, rank, lastSeenMs: nowMs, workMs: 0 })
      return
    }
    if (program.releasedAtMs !== undefined) this._profiles.recordPause(kind, nowMs - program.releasedAtMs)
    program.releasedAtMs = undefined
    program.lastSeenMs = nowMs
  }

  /** Records the engine time of a finished call; a program that is not active is ignored. */
  recordRelease (programId: string, serviceMs: number, nowMs: number): void {
    const program = this._programs.get(programId)
    if (program === undefined) return
    this._profiles.recordService(program.kind, serviceMs)
    program.releasedAtMs = nowMs
    program.lastSeenMs = nowMs
    program.workMs += serviceMs
  }

  /** Removes a program and records its total engine time, if it used any. */
  removeProgram (programId: string): void {
    const program = this._programs.get(programId)
    if (program === undefined) return
    this._programs.delete(programId)
    if (program.workMs > 0) this._profiles.recordWork(program.kind, program.workMs)
  }

  /** Engine time that the programs of a rank are expected to need until their end, in milliseconds. */
  remainingWorkMsOf (rank: Rank): number {
    let workMs = 0
    for (const program of this._programs.values()) {
      if (program.rank !== rank) continue
      const meanMs = this._profiles.workMsOf(program.kind)
      workMs += Math.max(meanMs - program.workMs, meanMs * MIN_WORK_LEFT_SHARE)
    }
    return workMs
  }

  /** Slots that the programs of a rank need on average. */
  requiredSlotsOf (rank: Rank): number {
    let requiredSlots = 0
    for (const program of this._programs.values()) {
      if (program.rank === rank) requiredSlots += this._profiles.dutyCycleOf(program.kind)
    }
    return requiredSlots
  }

  /** Removes programs without a request or release for more than `INACTIVE_AFTER_MS`. */
  removeInactive (nowMs: number): void {
    for (const [programId, program] of this._programs) {
      if (nowMs - program.lastSeenMs > INACTIVE_AFTER_MS) this._programs.delete(programId)
    }
  }
}

function resolveEwma (averages: Map<string, Ewma>, kind: string, initial: number): Ewma {
  let average = averages.get(kind)
  if (average === undefined) {
    average = new Ewma(SAMPLE_WEIGHT, initial)
    averages.set(kind, average)
  }
  return average
}
