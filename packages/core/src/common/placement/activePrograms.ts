/** Programs in progress on one worker and the share of its slots that they need. */
import { Ewma } from '../base/ewma.js'
import { Rank } from '../configuration/document.js'

const KIND_WEIGHT = 0.05
const INITIAL_SERVICE_MS = 3_000
const INITIAL_PAUSE_MS = 3_000
const INITIAL_WORK_MS = 15_000
/** Work left of a program that has used more than its kind's mean, as a share of that mean. */
const OVERDUE_SHARE = 0.5
/** Programs that asked for nothing for so long no longer count. */
const FORGET_AFTER_MS = 120_000

/** What the steps of a kind look like: time on the engine and time between engine calls. */
export class KindProfiles {
  private readonly _serviceMs = new Map<string, Ewma>()
  private readonly _pauseMs = new Map<string, Ewma>()
  private readonly _workMs = new Map<string, Ewma>()

  noteService (kind: string, serviceMs: number): void {
    resolveEwma(this._serviceMs, kind, INITIAL_SERVICE_MS).add(serviceMs)
  }

  notePause (kind: string, pauseMs: number): void {
    resolveEwma(this._pauseMs, kind, INITIAL_PAUSE_MS).add(pauseMs)
  }

  /** Notes the engine time of a whole program at its end. */
  noteWork (kind: string, workMs: number): void {
    resolveEwma(this._workMs, kind, INITIAL_WORK_MS).add(workMs)
  }

  /** Engine time of a whole program of the kind. */
  workOf (kind: string): number {
    return resolveEwma(this._workMs, kind, INITIAL_WORK_MS).value
  }

  /** Share of its life that a program of the kind occupies a slot. */
  dutyOf (kind: string): number {
    const serviceMs = resolveEwma(this._serviceMs, kind, INITIAL_SERVICE_MS).value
    const pauseMs = resolveEwma(this._pauseMs, kind, INITIAL_PAUSE_MS).value
    return serviceMs / (serviceMs + pauseMs)
  }

  /** Time that a program of the kind takes when it never waits for a slot. */
  durationOf (kind: string): number {
    return this.workOf(kind) / this.dutyOf(kind)
  }

  pauseOf (kind: string): number {
    return resolveEwma(this._pauseMs, kind, INITIAL_PAUSE_MS).value
  }
}

interface ActiveProgram {
  kind: string
  rank: Rank
  lastSeenMs: number
  releasedAtMs?: number
  /** Engine time used so far. */
  workMs: number
}

export class ActivePrograms {
  private readonly _residents = new Map<string, ActiveProgram>()

  constructor (private readonly _profiles: KindProfiles) {}

  get count (): number {
    return this._residents.size
  }

  /** Notes that a program uses the worker, or goes on to use it. */
  noteSeen (programId: string, kind: string, rank: Rank, nowMs: number): void {
    const resident = this._residents.get(programId)
    if (resident === undefined) {
      this._residents.set(programId, { kind, rank, lastSeenMs: nowMs, workMs: 0 })
      return
    }
    if (resident.releasedAtMs !== undefined) this._profiles.notePause(kind, nowMs - resident.releasedAtMs)
    resident.releasedAtMs = undefined
    resident.lastSeenMs = nowMs
  }

  noteReleased (programId: string, serviceMs: number, nowMs: number): void {
    const resident = this._residents.get(programId)
    if (resident === undefined) return
    this._profiles.noteService(resident.kind, serviceMs)
    resident.releasedAtMs = nowMs
    resident.lastSeenMs = nowMs
    resident.workMs += serviceMs
  }

  noteLeft (programId: string): void {
    const resident = this._residents.get(programId)
    if (resident === undefined) return
    this._residents.delete(programId)
    if (resident.workMs > 0) this._profiles.noteWork(resident.kind, resident.workMs)
  }

  /** Engine time that the programs of a rank still need, by the mean of their kinds. */
  workLeftOf (rank: Rank): number {
    let workMs = 0
    for (const resident of this._residents.values()) {
      if (resident.rank !== rank) continue
      const meanMs = this._profiles.workOf(resident.kind)
      workMs += Math.max(meanMs - resident.workMs, meanMs * OVERDUE_SHARE)
    }
    return workMs
  }

  /** Slots that the programs of a rank need on average. */
  demandOf (rank: Rank): number {
    let demand = 0
    for (const resident of this._residents.values()) {
      if (resident.rank === rank) demand += this._profiles.dutyOf(resident.kind)
    }
    return demand
  }

  /** Drops programs that have been silent for long. */
  forgetSilent (nowMs: number): void {
    for (const [programId, resident] of this._residents) {
      if (nowMs - resident.lastSeenMs > FORGET_AFTER_MS) this._residents.delete(programId)
    }
  }
}

function resolveEwma (averages: Map<string, Ewma>, kind: string, initial: number): Ewma {
  let average = averages.get(kind)
  if (average === undefined) {
    average = new Ewma(KIND_WEIGHT, initial)
    averages.set(kind, average)
  }
  return average
}
