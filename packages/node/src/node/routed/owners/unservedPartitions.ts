/** Partitions that are assigned to this node and not served by it, and the log lines about them. */
import type { LogFields, UnservedPartition } from '@trefoilshunt/core'
import { steadyNowMs } from '../../steadyClock.js'

/** A takeover usually ends within this time. */
const REPORT_AFTER_MS = 1_000
const REPORT_PERIOD_MS = 5_000

export interface UnservedPartitionState extends UnservedPartition {
  /** State of its owner here; without one, why the partition was lost. */
  reason: string
}

export interface UnservedPartitionReporterOptions {
  /** Writes a log line. */
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * reporter.report(host.unserved, generation)
 */
export class UnservedPartitionReporter {
  private readonly _reportedAtMs = new Map<number, number>()

  constructor (private readonly _options: UnservedPartitionReporterOptions) {}

  /** Writes one line for each partition that has not been served for a second, and again every five seconds. */
  report (unserved: readonly UnservedPartitionState[], generation: number): void {
    const nowMs = steadyNowMs()
    for (const partition of this._reportedAtMs.keys()) {
      if (!unserved.some(other => other.partition === partition)) this._reportedAtMs.delete(partition)
    }
    for (const { partition, reason, loss, lossCount, ageMs } of unserved) {
      if (ageMs < REPORT_AFTER_MS || nowMs - (this._reportedAtMs.get(partition) ?? Number.NEGATIVE_INFINITY) < REPORT_PERIOD_MS) continue
      this._reportedAtMs.set(partition, nowMs)
      this._options.write('partitionUnserved', { partition, generation, reason, latestLoss: loss, losses: lossCount, ageMs: Math.round(ageMs) })
    }
  }
}
