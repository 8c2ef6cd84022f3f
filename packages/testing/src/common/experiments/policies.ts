/** The policies that experiments compare. */
import { AdmissionPolicy, PlacementPolicy, QueuePolicy } from '@trefoilshunt/core'
import type { Policy } from './experiment.js'

/** What the project ships. */
export const OURS: Policy = { name: 'trefoilshunt', settings: {} }

/** Workers in turn, first come first served, everything admitted. */
export const ROUND_ROBIN: Policy = {
  name: 'round-robin',
  settings: { placementPolicy: PlacementPolicy.RoundRobin, queuePolicy: QueuePolicy.Fifo, admissionPolicy: AdmissionPolicy.None, movesCaches: false }
}

/** The least loaded of a sample at every step, wherever the cache is. */
export const LEAST_LOADED: Policy = {
  name: 'least-loaded',
  settings: { placementPolicy: PlacementPolicy.LeastLoaded, admissionPolicy: AdmissionPolicy.None, movesCaches: false }
}

/** Cache affinity and ranks, but every program is admitted. */
export const NO_ADMISSION: Policy = { name: 'no-admission', settings: { admissionPolicy: AdmissionPolicy.None } }

export const BASELINES: readonly Policy[] = [ROUND_ROBIN, LEAST_LOADED, NO_ADMISSION]
