/** Reports what workers say of themselves in their answers to the coordinators of these workers, which tell all nodes. */
import type { AnswerNotice, IWorkerNotices, WorkerNotice, WorkerRegistration } from '@trefoilshunt/core'
import { steadyNowMs } from '../steadyClock.js'

/** An unchanged notice is reported again after this, in case the coordinator has changed or has missed a report. */
const REPEAT_MS = 1_000

export interface WorkerNoticeReporterOptions {
  notices: IWorkerNotices
  /** Sends a report to the coordinator of the worker, unless this node is the coordinator. */
  report: (worker: WorkerRegistration, report: WorkerNotice) => void
}

/**
 * @example
 * reporter.observe(worker, { limitPerS: 7.5 })
 */
export class WorkerNoticeReporter {
  private readonly _reported = new Map<string, AnswerNotice & { atMs: number }>()

  constructor (private readonly _options: WorkerNoticeReporterOptions) {}

  /** Handles an answer of the worker. */
  observe (worker: WorkerRegistration, notice: AnswerNotice): void {
    const nowMs = steadyNowMs()
    const { workerId, startedAtMs } = worker
    if (!this._options.notices.observe(worker, notice, nowMs)) return
    const { limitPerS, isLeaving } = notice
    const last = this._reported.get(workerId)
    if (last !== undefined && last.limitPerS === limitPerS && last.isLeaving === isLeaving && nowMs - last.atMs < REPEAT_MS) return
    this._reported.set(workerId, { limitPerS, isLeaving, atMs: nowMs })
    this._options.report(worker, { workerId, startedAtMs, limitPerS, isLeaving, agoMs: 0 })
  }

  /** Handles a refusal, which names a limit but not the end of one. */
  observeRefusal (worker: WorkerRegistration, notice: AnswerNotice): void {
    if (notice.limitPerS !== undefined || notice.isLeaving === true) this.observe(worker, notice)
  }

  removeWorker (workerId: string): void {
    this._reported.delete(workerId)
  }
}
