/** Decides at the opening of a program whether a worker can carry it to its end in time. */
import type { CoreSettings } from '../kernel/settings.js'
import { AdmissionPolicy } from '../kernel/settings.js'
import { Rank } from '../configuration/document.js'
import type { KindProfiles, ActivePrograms } from './activePrograms.js'
import type { RankShares } from './workerQueue.js'

/** Slots that programs of a rank need on average before its floor counts as used: they pause, and do not always fill it. */
const FLOOR_FILL = 2

/** State of a worker that an admission decision looks at. */
export interface AdmissionQuery {
  rank: Rank
  kind: string
  /** Target of the kind, for a whole program. */
  targetMs: number
  /** Slots of the worker for this rank. */
  limit: number
  /** Slots of the worker for both ranks together. */
  fullLimit: number
  floors: RankShares
  residents: ActivePrograms
  profiles: KindProfiles
}

/** A rule for admitting programs. */
export interface IAdmissionPolicy {
  isAdmitted (query: AdmissionQuery): boolean
}

export interface AdmissionOptions {
  /** Duration to reckon with, relative to the mean of a kind. */
  tailFactor: number
  /** Share of the target that may go into queues at the least. */
  minSlack: number
}

/** Lets every program in; the baseline without overload protection. */
export class AdmitAll implements IAdmissionPolicy {
  isAdmitted (): boolean {
    return true
  }
}

/**
 * Admits a program while the programs in progress, the new one included, can be expected to end within their targets.
 *
 * A worker with C slots that serves N programs in turn gives each of them C/N of a slot, so a program with W of engine
 * work takes N*W/C. The engine work left of the residents therefore must fit C slots times the part of the target that
 * the program does not need for itself: lengths are not known, so that is its kind's mean duration times a tail factor.
 * Urgent programs count only each other and the floor of the other rank, because they are served first; programs of the
 * other rank count everything.
 */
export class AdmitByWork implements IAdmissionPolicy {
  constructor (private readonly _options: AdmissionOptions) {}

  isAdmitted ({ rank, kind, targetMs, limit, fullLimit, floors, residents, profiles }: AdmissionQuery): boolean {
    // An idle worker takes any program: what is assumed of an unknown kind must not shut it out.
    if (residents.count === 0) return true
    const opposite = rank === Rank.Urgent ? Rank.Other : Rank.Urgent
    const own = residents.workLeftOf(rank) + profiles.workOf(kind)
    const slackMs = this._slackMs(kind, targetMs, profiles)
    const budgetMs = limit * slackMs
    const demand = residents.demandOf(rank) + profiles.dutyOf(kind)
    if (demand <= floors[rank] * fullLimit * FLOOR_FILL) return true
    const urgentShare = rank === Rank.Urgent ? 1 - (residents.demandOf(opposite) > 0 ? floors.other : 0) : 1
    const before = rank === Rank.Urgent ? 0 : residents.demandOf(opposite) * slackMs
    return own + before <= budgetMs * urgentShare
  }

  /** Time that a program of the kind can spend in queues and still meet its target. */
  private _slackMs (kind: string, targetMs: number, profiles: KindProfiles): number {
    const { tailFactor, minSlack } = this._options
    return Math.max(minSlack * targetMs, targetMs - tailFactor * profiles.durationOf(kind))
  }
}

/** The rule that the settings name. */
export function createAdmissionPolicy (settings: CoreSettings): IAdmissionPolicy {
  return settings.admissionPolicy === AdmissionPolicy.None ? new AdmitAll() : new AdmitByWork({ tailFactor: settings.admissionTailFactor, minSlack: settings.admissionMinSlack })
}
