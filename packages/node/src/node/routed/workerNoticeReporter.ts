/** Reports the rate limits that workers name in their answers to the coordinators of these workers. */
import type { IWorkerNotices, WorkerNotice, WorkerRegistration } from '@trefoilshunt/core'
import { steadyNowMs } from '../steadyClock.js'

/** An unchanged limit is reported again after this, in case the coordinator has changed or has missed a report. */
const REPEAT_MS = 1_000

export interface WorkerNoticeReporterOptions {
  notices: IWorkerNotices
  /** Sends a report to the coordinator of the worker, unless this node is the coordinator. */
  report: (worker: WorkerRegistration, report: WorkerNotice) => void
}

/**
 * @example
 * reporter.observe(worker, 7.5)
 */
export class WorkerNoticeReporter {
  private readonly _reported = new Map<string, { limitPerS: number | undefined, atMs: number }>()

  constructor (private readonly _options: WorkerNoticeReporterOptions) {}

  /** Handles an answer of the worker; `limitPerS` is undefined if it names no limit. */
  observe (worker: WorkerRegistration, limitPerS: number | undefined): void {
    const nowMs = steadyNowMs()
    const { workerId, startedAtMs } = worker
    if (!this._options.notices.observe(worker, limitPerS, nowMs)) return
    const last = this._reported.get(workerId)
    if (last !== undefined && last.limitPerS === limitPerS && nowMs - last.atMs < REPEAT_MS) return
    this._reported.set(workerId, { limitPerS, atMs: nowMs })
    this._options.report(worker, { workerId, startedAtMs, limitPerS, agoMs: 0 })
  }

  removeWorker (workerId: string): void {
    this._reported.delete(workerId)
  }
}
