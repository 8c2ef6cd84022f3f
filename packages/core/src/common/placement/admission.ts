/** Admission policies: decide at the opening of a program whether a worker can complete it within its target. */
import type { CoreSettings } from '../kernel/settings.js'
import { AdmissionPolicy } from '../kernel/settings.js'
import { Rank } from '../configuration/document.js'
import type { KindProfiles, ActivePrograms } from './activePrograms.js'
import type { RankShares } from './workerQueue.js'

/**
 * The floor of a rank counts as used once its programs need this many times the floor's slots on average: programs pause
 * between calls, so fewer would not always fill the floor.
 */
const FLOOR_OVERCOMMIT_FACTOR = 2

/** Program to admit and the state of the worker that the decision depends on. */
export interface AdmissionQuery {
  rank: Rank
  kind: string
  /** Target duration of a whole program of the kind, in milliseconds. */
  targetMs: number
  /** Concurrency limit of the worker for this rank. */
  limit: number
  /** Concurrency limit of the worker for both ranks together. */
  fullLimit: number
  /** Minimum share of the slots for each rank, 0 to 1. */
  floors: RankShares
  activePrograms: ActivePrograms
  profiles: KindProfiles
}

/** Decides whether a worker admits a program. */
export interface IAdmissionPolicy {
  isAdmitted (query: AdmissionQuery): boolean
}

/** Assumptions of `AdmitByWork` about programs. */
export interface AdmissionOptions {
  /** Assumed duration of a program, as a multiple of its kind's mean. */
  tailFactor: number
  /** Least share of the target that may be spent in queues, 0 to 1. */
  minSlack: number
}

/** Admits every program; the baseline without overload protection. */
export class AdmitAll implements IAdmissionPolicy {
  isAdmitted (): boolean {
    return true
  }
}

/**
 * Admits a program while the active programs, the new one included, can be expected to end within their targets.
 *
 * A worker with C slots that serves N programs in turn gives each of them C/N of a slot, so a program with W of engine
 * work takes N*W/C. The remaining engine work of the active programs must therefore fit C slots times the part of the
 * target that the program does not need for itself. The duration of a program is not known in advance, so its own need is
 * its kind's mean duration times a tail factor. Urgent programs count only each other and the floor of the other rank,
 * because they are served first. Programs of the other rank count the programs of both ranks. A rank whose programs do not
 * fill its floor yet is always admitted.
 */
export class AdmitByWork implements IAdmissionPolicy {
  constructor (private readonly _options: AdmissionOptions) {}

  isAdmitted ({ rank, kind, targetMs, limit, fullLimit, floors, activePrograms, profiles }: AdmissionQuery): boolean {
    // An idle worker admits any program, because the initial assumptions about an unknown kind must not exclude the kind.
    if (activePrograms.count === 0) return true
    const otherRank = rank === Rank.Urgent ? Rank.Other : Rank.Urgent
    const rankWorkMs = activePrograms.remainingWorkMsOf(rank) + profiles.workMsOf(kind)
    const slackMs = this._slackMs(kind, targetMs, profiles)
    const budgetMs = limit * slackMs
    const requiredSlots = activePrograms.requiredSlotsOf(rank) + profiles.dutyCycleOf(kind)
    if (requiredSlots <= floors[rank] * fullLimit * FLOOR_OVERCOMMIT_FACTOR) return true
    const urgentShare = rank === Rank.Urgent ? 1 - (activePrograms.requiredSlotsOf(otherRank) > 0 ? floors.other : 0) : 1
    const precedingWorkMs = rank === Rank.Urgent ? 0 : activePrograms.requiredSlotsOf(otherRank) * slackMs
    return rankWorkMs + precedingWorkMs <= budgetMs * urgentShare
  }

  /** Time that a program of the kind may spend in queues, in milliseconds. */
  private _slackMs (kind: string, targetMs: number, profiles: KindProfiles): number {
    const { tailFactor, minSlack } = this._options
    return Math.max(minSlack * targetMs, targetMs - tailFactor * profiles.durationMsOf(kind))
  }
}

/** Creates the policy that the settings name. */
export function createAdmissionPolicy (settings: CoreSettings): IAdmissionPolicy {
  return settings.admissionPolicy === AdmissionPolicy.None ? new AdmitAll() : new AdmitByWork({ tailFactor: settings.admissionTailFactor, minSlack: settings.admissionMinSlack })
}
