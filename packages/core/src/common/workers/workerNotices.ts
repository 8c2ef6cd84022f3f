/** What workers say of themselves in their answers, as this node has observed it or other nodes have reported it: rate limits, and that they leave. */
import { Emitter, type Event } from '../kernel/emitter.js'
import type { WorkerRegistration } from './workerRegistry.js'

/** The end of a limit is reported for this long; longer than the period of the statuses of 440 nodes. */
const LIFTED_REPORT_MS = 15_000
/** A worker with a lower limit still gets requests at this rate, so that its answers show when the limit ends. */
const MIN_RATE_PER_S = 0.25

/** A notice of a worker without an entry is kept for this long. */
const UNREGISTERED_RETENTION_MS = 60_000

/** One start of a worker, which its notices apply to. */
export type WorkerStart = Pick<WorkerRegistration, 'workerId' | 'startedAtMs'>

/** What one answer of a worker says. */
export interface AnswerNotice {
  /** Requests per second that the worker takes from all nodes together; absent if it names no limit. */
  limitPerS?: number
  /** True if the worker is about to stop and takes no new work. */
  isLeaving?: boolean
}

/** What the newest answer of a worker has said. */
export interface WorkerNotice extends WorkerStart, AnswerNotice {
  /** Time since the answer. */
  agoMs: number
}

/** A change of what is known of a worker. */
export interface NoticeChange extends WorkerStart {
  limitPerS: number | undefined
  isLeaving: boolean
}

interface Observation extends NoticeChange {
  observedAtMs: number
}

interface Entry extends Observation {
  /** Time at which this node learned the limit or its end. */
  changedAtMs: number
}

/**
 * The newest answer of a worker decides on its limit, whichever node got it. A limit stays in force until the worker names another one or none, leaves or
 * restarts. A worker that has said that it leaves does not stay: it counts as leaving until it restarts.
 */
export interface IWorkerNotices {
  readonly onDidChange: Event<NoticeChange>
  /** Stores what an answer to this node said. True if other nodes should learn it: a limit, one that ended a short time ago, or that the worker leaves. */
  observe (worker: WorkerStart, notice: AnswerNotice, nowMs: number): boolean
  /** Stores the reports of a peer that are newer than what is known. */
  applyReports (reports: readonly WorkerNotice[], nowMs: number): void
  /** Limits in force, those that ended a short time ago, and workers that leave. */
  reports (nowMs: number): WorkerNotice[]
  /** Requests per second that all nodes together may send to the worker; undefined without a limit. */
  rateOf (worker: WorkerStart): number | undefined
  /** True if the worker has said that it leaves. */
  isLeaving (worker: WorkerStart): boolean
  /** Removes what is known of a worker that is gone or has restarted. */
  removeWorker (workerId: string): void
  /** Removes what is known of workers that `isRegistered` doesn't know, some time after their last answer: reports may come after a worker has gone, or before its entry is read. */
  removeInactive (isRegistered: (workerId: string) => boolean, nowMs: number): void
}
export const IWorkerNotices = Symbol('IWorkerNotices')

/**
 * @example
 * notices.observe(worker, { limitPerS: 7.5 }, nowMs)
 * notices.rateOf(worker) // 7.5
 */
export class WorkerNotices implements IWorkerNotices {
  private readonly _entries = new Map<string, Entry>()
  private readonly _onDidChange = new Emitter<NoticeChange>()

  readonly onDidChange = this._onDidChange.event

  observe ({ workerId, startedAtMs }: WorkerStart, { limitPerS, isLeaving = false }: AnswerNotice, nowMs: number): boolean {
    this._store({ workerId, startedAtMs, limitPerS, isLeaving, observedAtMs: nowMs }, nowMs)
    const entry = this._entries.get(workerId)
    return entry !== undefined && isReported(entry, nowMs)
  }

  applyReports (reports: readonly WorkerNotice[], nowMs: number): void {
    for (const { workerId, startedAtMs, limitPerS, isLeaving = false, agoMs } of reports) {
      this._store({ workerId, startedAtMs, limitPerS, isLeaving, observedAtMs: nowMs - agoMs }, nowMs)
    }
  }

  reports (nowMs: number): WorkerNotice[] {
    const reports: WorkerNotice[] = []
    for (const entry of this._entries.values()) {
      const { workerId, startedAtMs, limitPerS, isLeaving, observedAtMs } = entry
      if (isReported(entry, nowMs)) reports.push({ workerId, startedAtMs, limitPerS, isLeaving: isLeaving || undefined, agoMs: Math.round(nowMs - observedAtMs) })
    }
    return reports
  }

  rateOf ({ workerId, startedAtMs }: WorkerStart): number | undefined {
    const entry = this._entries.get(workerId)
    if (entry?.limitPerS === undefined || entry.startedAtMs !== startedAtMs) return undefined
    return Math.max(MIN_RATE_PER_S, entry.limitPerS)
  }

  isLeaving ({ workerId, startedAtMs }: WorkerStart): boolean {
    const entry = this._entries.get(workerId)
    return entry !== undefined && entry.isLeaving && entry.startedAtMs === startedAtMs
  }

  removeWorker (workerId: string): void {
    this._entries.delete(workerId)
  }

  removeInactive (isRegistered: (workerId: string) => boolean, nowMs: number): void {
    for (const [workerId, { observedAtMs }] of this._entries) {
      if (nowMs - observedAtMs >= UNREGISTERED_RETENTION_MS && !isRegistered(workerId)) this._entries.delete(workerId)
    }
  }

  private _store (observation: Observation, nowMs: number): void {
    const { workerId, startedAtMs, observedAtMs } = observation
    const known = this._entries.get(workerId)
    if (known === undefined && observation.limitPerS === undefined && !observation.isLeaving) return
    if (known !== undefined && startedAtMs < known.startedAtMs) return
    const previous = known?.startedAtMs === startedAtMs ? known : undefined
    const isOutdated = previous !== undefined && observedAtMs < previous.observedAtMs
    // An outdated report still says whether the worker leaves.
    const limitPerS = isOutdated ? previous.limitPerS : observation.limitPerS
    const isLeaving = observation.isLeaving || previous?.isLeaving === true
    const isLimitSame = previous !== undefined && previous.limitPerS === limitPerS
    this._entries.set(workerId, {
      workerId,
      startedAtMs,
      limitPerS,
      isLeaving,
      observedAtMs: Math.max(observedAtMs, previous?.observedAtMs ?? observedAtMs),
      changedAtMs: isLimitSame ? previous.changedAtMs : nowMs
    })
    if (limitPerS !== previous?.limitPerS || isLeaving !== (previous?.isLeaving ?? false)) this._onDidChange.fire({ workerId, startedAtMs, limitPerS, isLeaving })
  }
}

function isReported ({ limitPerS, isLeaving, changedAtMs }: Entry, nowMs: number): boolean {
  return limitPerS !== undefined || isLeaving || nowMs - changedAtMs < LIFTED_REPORT_MS
}
