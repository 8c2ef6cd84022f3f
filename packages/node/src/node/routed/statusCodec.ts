/** Short form of the statuses that follow the first one on a connection: without the sender's address, which the receiver has by then, and without names of fields. */
import type { NodeStatus } from '../../common/routed/routedPeerMessages.js'

const READY_FLAG = 1
const DRAINING_FLAG = 2
const REACHES_WORKERS_FLAG = 4
const CUT_OFF_FLAG = 8
const READS_CRASH_RECORDS_FLAG = 16
const TAKES_REQUEST_REPORTS_FLAG = 32
const HOLDS_STREAM_OUTPUTS_FLAG = 64
const PERCENT = 100

type Optional<T> = T | null

/** Values in the order of the destructuring in `expandStatus`. */
export type CompactStatus = [
  flags: number,
  periodMs: number,
  documentVersion: number,
  logSilenceMs: number,
  cores: number,
  busyPercent: number,
  owned: NodeStatus['owned'],
  load: NodeStatus['load'],
  crashes?: Optional<NodeStatus['crashes']>,
  rateLimitedShards?: Optional<NodeStatus['rateLimitedShards']>,
  rateLimits?: Optional<NodeStatus['rateLimits']>
]

/**
 * @example
 * const compact = compactStatus(status)
 * expandStatus(compact, status.from) // equal to the status, with times rounded to whole milliseconds and shares to hundredths
 */
export function compactStatus ({ isReady, isDraining, reachesWorkers, readsCrashRecords, takesRequestReports, holdsStreamOutputs, periodMs, documentVersion, logSilenceMs, cores, busyShare, owned, load, crashes, rateLimitedShards, rateLimits }: NodeStatus): CompactStatus {
  const reachFlag = reachesWorkers === undefined ? 0 : reachesWorkers ? REACHES_WORKERS_FLAG : CUT_OFF_FLAG
  const flags = (isReady ? READY_FLAG : 0) | (isDraining ? DRAINING_FLAG : 0) | (readsCrashRecords === true ? READS_CRASH_RECORDS_FLAG : 0) | (takesRequestReports === true ? TAKES_REQUEST_REPORTS_FLAG : 0) | (holdsStreamOutputs === true ? HOLDS_STREAM_OUTPUTS_FLAG : 0) | reachFlag
  const compact: CompactStatus = [flags, Math.round(periodMs), documentVersion, toWholeMs(logSilenceMs), cores, Math.round(PERCENT * busyShare), owned, load]
  if (crashes !== undefined || rateLimitedShards !== undefined || rateLimits !== undefined) compact.push(crashes ?? null, rateLimitedShards ?? null, rateLimits ?? null)
  return compact
}

/** The status of the node with the address `from`. */
export function expandStatus (compact: CompactStatus, from: NodeStatus['from']): NodeStatus {
  const [flags, periodMs, documentVersion, logSilenceMs, cores, busyPercent, owned, load, crashes, rateLimitedShards, rateLimits] = compact
  const status: NodeStatus = { type: 'status', from, periodMs, isReady: (flags & READY_FLAG) !== 0, isDraining: (flags & DRAINING_FLAG) !== 0, owned, documentVersion, cores, busyShare: busyPercent / PERCENT, logSilenceMs, load }
  if ((flags & (REACHES_WORKERS_FLAG | CUT_OFF_FLAG)) !== 0) status.reachesWorkers = (flags & REACHES_WORKERS_FLAG) !== 0
  if ((flags & READS_CRASH_RECORDS_FLAG) !== 0) status.readsCrashRecords = true
  if ((flags & TAKES_REQUEST_REPORTS_FLAG) !== 0) status.takesRequestReports = true
  if ((flags & HOLDS_STREAM_OUTPUTS_FLAG) !== 0) status.holdsStreamOutputs = true
  if (crashes != null) status.crashes = crashes
  if (rateLimitedShards != null) status.rateLimitedShards = rateLimitedShards
  if (rateLimits != null) status.rateLimits = rateLimits
  return status
}

/** Infinite before the log's first response; infinity stays as it is. */
function toWholeMs (durationMs: number): number {
  return Number.isFinite(durationMs) ? Math.round(durationMs) : durationMs
}
