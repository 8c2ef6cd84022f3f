/** Fleet sizes of the two firms, from the users' requirements. */
import { HARROW_DOCUMENT, PLECIONKA_DOCUMENT } from '../workload/documents.js'
import type { FirmSize } from './experiment.js'

/** Harrow & Lisle: 8 engines behind 9 nodes in three availability zones. */
export const HARROW: FirmSize = {
  name: 'harrow',
  document: HARROW_DOCUMENT,
  zones: { regina: 3, saskatoon: 3, brandon: 3 },
  model: 'tailor-models',
  engines: 8,
  service: 'shop-ledger',
  services: 5,
  zoneDelayMs: 1.5,
  callerDelayMs: 1
}

/** Harrow & Lisle grown to 60 engines behind 30 nodes. */
export const HARROW_GROWN: FirmSize = { ...HARROW, name: 'harrow-60', zones: { regina: 10, saskatoon: 10, brandon: 10 }, engines: 60, services: 30 }

/** Plecionka: 8 engines behind 10 nodes in four availability zones. */
export const PLECIONKA: FirmSize = {
  name: 'plecionka',
  document: PLECIONKA_DOCUMENT,
  zones: { 'krk-a': 3, 'krk-b': 3, 'nts-a': 2, 'zak-a': 2 },
  model: 'braid-models',
  engines: 8,
  service: 'workshop-app',
  services: 8,
  zoneDelayMs: 0.5,
  callerDelayMs: 3
}
