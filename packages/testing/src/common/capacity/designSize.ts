/** The fleet size, load and limits that the system is designed for. */
export const DESIGN_SIZE = {
  nodes: 440,
  workers: 2_400,
  accelerators: 20_000,
  requestsPerSecond: 16_000,
  tokensPerSecond: 4_000_000,
  /** Programs open at the same time. */
  programs: 670_000,
  /** Turns and history of the longest programs. */
  turns: 130,
  historyTokens: 100_000,
  customers: 210,
  models: 20,
  zones: 6,
  /** Configuration changes. */
  changesPerDay: 2_100,
  /** Limit for an accepted configuration to become active on every node. */
  maxActivationMs: 11_000,
  /** Limits of a node's coordination work: share of one core, memory, and bytes sent and read per second. */
  controlCoreShare: 0.034,
  controlBytes: 64_000_000,
  controlBytesPerSecond: 3_000,
  vmFailuresPerDay: 55,
  vmRestartsPerDay: 1_100
} as const
