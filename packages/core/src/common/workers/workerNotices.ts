/** Rate limits that workers name in their answers, as this node has observed them or other nodes have reported them. */
import { Emitter, type Event } from '../kernel/emitter.js'
import type { WorkerRegistration } from './workerRegistry.js'

/** The end of a limit is reported for this long; longer than the period of the statuses of 440 nodes. */
const LIFTED_REPORT_MS = 15_000
/** A worker with a lower limit still gets requests at this rate, so that its answers show when the limit ends. */
const MIN_RATE_PER_S = 0.25

/** One start of a worker, which limits apply to. */
export type WorkerStart = Pick<WorkerRegistration, 'workerId' | 'startedAtMs'>

/** What a worker has named in an answer. */
export interface WorkerNotice extends WorkerStart {
  /** Requests per second that the worker takes from all nodes together; absent if it names no limit any more. */
  limitPerS?: number
  /** Time since the answer. */
  agoMs: number
}

/** A change of the limit that is in force for a worker. */
export interface NoticeChange extends WorkerStart {
  limitPerS: number | undefined
}

interface Observation extends NoticeChange {
  observedAtMs: number
}

interface Entry extends Observation {
  /** Time at which this node learned the limit or its end. */
  changedAtMs: number
}

/** The newest answer of a worker decides, whichever node got it. A limit stays in force until the worker names another one or none, leaves or restarts. */
export interface IWorkerNotices {
  readonly onDidChange: Event<NoticeChange>
  /** Stores what an answer to this node named; `limitPerS` is undefined if it named no limit. True if the worker has a limit, or one that ended a short time ago. */
  observe (worker: WorkerStart, limitPerS: number | undefined, nowMs: number): boolean
  /** Stores the reports of a peer that are newer than what is known. */
  applyReports (reports: readonly WorkerNotice[], nowMs: number): void
  /** Limits in force, and those that ended a short time ago. */
  reports (nowMs: number): WorkerNotice[]
  /** Requests per second that all nodes together may send to the worker; undefined without a limit. */
  rateOf (worker: WorkerStart): number | undefined
  /** Removes what is known of a worker that has left or restarted. */
  removeWorker (workerId: string): void
}
export const IWorkerNotices = Symbol('IWorkerRateLimits')

/**
 * @example
 * notices.observe(worker, 7.5, nowMs)
 * notices.rateOf(worker) // 7.5
 */
export class WorkerNotices implements IWorkerNotices {
  private readonly _entries = new Map<string, Entry>()
  private readonly _onDidChange = new Emitter<NoticeChange>()

  readonly onDidChange = this._onDidChange.event

  observe ({ workerId, startedAtMs }: WorkerStart, limitPerS: number | undefined, nowMs: number): boolean {
    this._store({ workerId, startedAtMs, limitPerS, observedAtMs: nowMs }, nowMs)
    const entry = this._entries.get(workerId)
    return entry !== undefined && isReported(entry, nowMs)
  }

  applyReports (reports: readonly WorkerNotice[], nowMs: number): void {
    for (const { workerId, startedAtMs, limitPerS, agoMs } of reports) this._store({ workerId, startedAtMs, limitPerS, observedAtMs: nowMs - agoMs }, nowMs)
  }

  reports (nowMs: number): WorkerNotice[] {
    const reports: WorkerNotice[] = []
    for (const entry of this._entries.values()) {
      const { workerId, startedAtMs, limitPerS, observedAtMs } = entry
      if (isReported(entry, nowMs)) reports.push({ workerId, startedAtMs, limitPerS, agoMs: Math.round(nowMs - observedAtMs) })
    }
    return reports
  }

  rateOf ({ workerId, startedAtMs }: WorkerStart): number | undefined {
    const entry = this._entries.get(workerId)
    if (entry?.limitPerS === undefined || entry.startedAtMs !== startedAtMs) return undefined
    return Math.max(MIN_RATE_PER_S, entry.limitPerS)
  }

  removeWorker (workerId: string): void {
    this._entries.delete(workerId)
  }

  private _store (observation: Observation, nowMs: number): void {
    const { workerId, startedAtMs, limitPerS, observedAtMs } = observation
    const known = this._entries.get(workerId)
    if (known === undefined && limitPerS === undefined) return
    if (known !== undefined && isOutdated(observation, known)) return
    const isSameStart = known?.startedAtMs === startedAtMs
    const isSame = known !== undefined && isSameStart && known.limitPerS === limitPerS
    this._entries.set(workerId, { workerId, startedAtMs, limitPerS, observedAtMs, changedAtMs: isSame ? known.changedAtMs : nowMs })
    if (limitPerS !== (isSameStart ? known?.limitPerS : undefined)) this._onDidChange.fire({ workerId, startedAtMs, limitPerS })
  }
}

function isReported ({ limitPerS, changedAtMs }: Entry, nowMs: number): boolean {
  return limitPerS !== undefined || nowMs - changedAtMs < LIFTED_REPORT_MS
}

function isOutdated (observation: Observation, known: Observation): boolean {
  if (observation.startedAtMs !== known.startedAtMs) return observation.startedAtMs < known.startedAtMs
  return observation.observedAtMs < known.observedAtMs
}
