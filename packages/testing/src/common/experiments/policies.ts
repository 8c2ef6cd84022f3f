/** The policies that experiments compare. */
import { AdmissionPolicy, PlacementPolicy, QueuePolicy } from '@trefoilshunt/core'
import type { Policy } from './experiment.js'

/** The default settings of the project. */
export const DEFAULT_POLICY: Policy = { name: 'trefoilshunt', settings: {} }

/** Round-robin placement, first-in first-out queues, no admission control, no cache moves. */
export const ROUND_ROBIN: Policy = {
  name: 'round-robin',
  settings: { placementPolicy: PlacementPolicy.RoundRobin, queuePolicy: QueuePolicy.Fifo, admissionPolicy: AdmissionPolicy.None, movesCaches: false }
}

/** Places every step on the least loaded worker of a sample, regardless of its cache; no admission control, no cache moves. */
export const LEAST_LOADED: Policy = {
  name: 'least-loaded',
  settings: { placementPolicy: PlacementPolicy.LeastLoaded, admissionPolicy: AdmissionPolicy.None, movesCaches: false }
}

/** The default settings with cache affinity and ranks, but without admission control. */
export const NO_ADMISSION: Policy = { name: 'no-admission', settings: { admissionPolicy: AdmissionPolicy.None } }

/** The policies that the default settings are compared with. */
export const BASELINES: readonly Policy[] = [ROUND_ROBIN, LEAST_LOADED, NO_ADMISSION]
