/** Decides at the opening of a program whether a worker can carry it to its end. */
import type { CoreSettings } from '../kernel/settings.js'
import { AdmissionPolicy } from '../kernel/settings.js'
import { Rank } from '../configuration/document.js'
import type { KindProfiles, Residents } from './residents.js'
import type { RankShares } from './workerQueue.js'

/** State of a worker that an admission decision looks at. */
export interface AdmissionQuery {
  rank: Rank
  kind: string
  /** Slots of the worker. */
  limit: number
  floors: RankShares
  residents: Residents
  profiles: KindProfiles
}

/** A rule for admitting programs. */
export interface IAdmissionPolicy {
  isAdmitted (query: AdmissionQuery): boolean
}

/** Lets every program in; the baseline without overload protection. */
export class AdmitAll implements IAdmissionPolicy {
  isAdmitted (): boolean {
    return true
  }
}

/**
 * Admits a program while the slots that programs in progress need, the new one included, fit the worker.
 * Urgent programs may use everything but the floor of the other rank; the others what urgent ones leave, and their floor.
 */
export class AdmitByDemand implements IAdmissionPolicy {
  constructor (private readonly _load: number) {}

  isAdmitted ({ rank, kind, limit, floors, residents, profiles }: AdmissionQuery): boolean {
    const capacity = limit * this._load
    const own = residents.demandOf(rank) + profiles.dutyOf(kind)
    const opposite = residents.demandOf(rank === Rank.Urgent ? Rank.Other : Rank.Urgent)
    if (own <= floors[rank] * capacity) return true
    if (rank === Rank.Urgent) return own + Math.min(opposite, floors.other * capacity) <= capacity
    return own + opposite <= capacity
  }
}

/** The rule that the settings name. */
export function createAdmissionPolicy (settings: CoreSettings): IAdmissionPolicy {
  return settings.admissionPolicy === AdmissionPolicy.None ? new AdmitAll() : new AdmitByDemand(settings.admissionLoad)
}
