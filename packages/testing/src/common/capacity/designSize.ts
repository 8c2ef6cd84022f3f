/** The size that the users plan for, from their first letter. */
export const DESIGN_SIZE = {
  nodes: 440,
  workers: 2_400,
  accelerators: 20_000,
  requestsPerSecond: 16_000,
  tokensPerSecond: 4_000_000,
  programs: 670_000,
  turns: 130,
  historyTokens: 100_000,
  customers: 210,
  models: 20,
  zones: 6,
  changesPerDay: 2_100,
  maxActivationMs: 11_000,
  controlCoreShare: 0.034,
  controlBytes: 64_000_000,
  controlBytesPerSecond: 3_000,
  vmFailuresPerDay: 55,
  vmRestartsPerDay: 1_100
} as const
