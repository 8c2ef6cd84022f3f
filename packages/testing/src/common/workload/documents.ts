/** Configuration documents of the two firms, for tests and experiments. */
import type { ConfigurationDocument } from '@trefoilshunt/core'

/** Harrow & Lisle: fitting consultations are urgent, follow-up measurements are not. */
export const HARROW_DOCUMENT: ConfigurationDocument = {
  workKinds: [
    { name: 'fitting', rank: 'urgent', targetMs: 60_000, worth: 10, models: ['tailor-models'], budget: { tokens: 40_000, steps: 60, toolCalls: 30, wallTimeMs: 1_800_000, depth: 2 } },
    { name: 'follow-up', rank: 'other', targetMs: 180_000, worth: 1, models: ['tailor-models'], budget: { tokens: 40_000, steps: 60, toolCalls: 30, wallTimeMs: 3_600_000, depth: 2 } }
  ],
  ranks: { urgent: { floorShare: 0.3 }, other: { floorShare: 0.15 } },
  customers: [
    { name: 'riders', weight: 2, maxOpenPrograms: 10_000 },
    { name: 'dealers', weight: 1, maxOpenPrograms: 10_000 }
  ],
  backends: [
    { name: 'tailor-models', type: 'modelEngine', orderLifetimeMs: 10_000, checksFencing: true, checksIdempotencyKeys: false, timeoutMs: 60_000, maxConcurrencyPerWorker: 32 },
    { name: 'shop-ledger', type: 'service', orderLifetimeMs: 10_000, checksFencing: false, checksIdempotencyKeys: false, timeoutMs: 10_000, maxConcurrencyPerWorker: 64 }
  ],
  idleTimeoutMs: 600_000,
  abandonGraceMs: 5_000
}

/** Plecionka: pattern drafts are urgent because the straw dries while the plaiter waits; coaching sessions are long. */
export const PLECIONKA_DOCUMENT: ConfigurationDocument = {
  workKinds: [
    { name: 'pattern', rank: 'urgent', targetMs: 45_000, worth: 5, models: ['braid-models'], budget: { tokens: 30_000, steps: 40, toolCalls: 20, wallTimeMs: 1_800_000, depth: 1 } },
    { name: 'coaching', rank: 'other', targetMs: 600_000, worth: 2, models: ['braid-models'], budget: { tokens: 100_000, steps: 130, toolCalls: 60, wallTimeMs: 7_200_000, depth: 1 } }
  ],
  ranks: { urgent: { floorShare: 0.25 }, other: { floorShare: 0.3 } },
  customers: [
    { name: 'milliners', weight: 1, maxOpenPrograms: 10_000 },
    { name: 'apprentices', weight: 1, maxOpenPrograms: 10_000 }
  ],
  backends: [
    { name: 'braid-models', type: 'modelEngine', orderLifetimeMs: 10_000, checksFencing: false, checksIdempotencyKeys: false, timeoutMs: 60_000, maxConcurrencyPerWorker: 32 },
    { name: 'workshop-app', type: 'service', orderLifetimeMs: 10_000, checksFencing: false, checksIdempotencyKeys: true, timeoutMs: 10_000, maxConcurrencyPerWorker: 64 }
  ],
  idleTimeoutMs: 900_000,
  abandonGraceMs: 5_000
}
