/** Detects requests that crash the workers which run them, from crashes observed by all nodes, and quarantines them. */
import { type IRandom, type LogFields, ProbeResult, SuspectRequests, type WorkerRegistration } from '@trefoilshunt/core'
import type { ILogClient } from '../../common/routed/logClient.js'
import type { CrashReport, ObservedCrash } from '../../common/routed/routedPeerMessages.js'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import { steadyNowMs } from '../steadyClock.js'
import { CrashRecords, type RecordedCrash } from './crashRecords.js'
import type { OpenRequest, OpenRequestReporter } from './openRequestReporter.js'
import type { ReportedRequests, RequestAtWorker } from './reportedRequests.js'
import { fingerprintOf } from './requestFingerprint.js'
import { CrashEvidence, type UnansweredRequest, watchTimeMs, WorkerEndWatch, workerLifetimeOf } from './workerEndWatch.js'

/** A request may be at a worker during two crashes by chance; the requirements limit how many workers it may reach after the third. */
const CRASHES_TO_QUARANTINE = 3
/** Crashes of workers closer together than this may have a common cause other than one request. */
const SPACING_MS = 500
/** Crashes that this node observed are reported to its peers for this long, and longer while the log has not recorded them. */
const OBSERVATION_RETENTION_MS = 60_000
const UNRECORDED_RETENTION_MS = 600_000
const MAX_OBSERVED = 1_000
/** After two independent crashes a request is sent to one worker at a time, this long after the latest crash, so that crashes become known before the next try. */
const SEVERAL_CRASHES_PAUSE_MS = 1_000
/** Retry-after of quarantined requests; long, because a request that crashes workers should not be repeated soon. */
const QUARANTINE_RETRY_AFTER_MS = 60_000
/** A quarantine of which the log has no record is recorded by every node that knows of it, each after a random part of this time. */
const RECORD_SPREAD_MS = 2_000
const CHECK_PERIOD_MS = 1_000
/** Longer than a read of the log waits for a change. */
const LIST_FRESH_MS = 3_500
/** A peer that is lost within this time after the end of a worker may not have told of its requests there. */
const REPORTED_WATCH_MS = 60_000
const MAX_CLEARED_REQUESTS = 1_000
/** Bounds the size of statuses while nodes of earlier builds are in service. */
const MAX_REPORTED_QUARANTINES = 10

/** Why a request must not be sent to a worker now. */
export interface PoisonRefusal {
  isQuarantined: boolean
  retryAfterMs: number
}

/** How a request that a worker has not answered completely was ended. */
export interface UnansweredAttempt {
  request: RoutedRequest
  worker: WorkerRegistration
  sentAtMs: number
  /** True if the connection broke, false if the request was given up. */
  isBroken: boolean
  /** The request in the reports to a peer; absent if it is not reported. */
  open?: OpenRequest
}

export interface PoisonRequestDetectorOptions {
  /** Topic in which crashes and quarantines are recorded. */
  topic: string
  log: ILogClient
  random: IRandom
  /** Called when this node has observed a crash, which its peers should learn at once. */
  onCrashObserved: () => void
  /** True if the worker has an entry for this lifetime. */
  isRegistered: (worker: WorkerRegistration) => boolean
  /** Time since the list of workers was last read. */
  listSilenceMs: () => number
  /** Connects to a worker: the address of a crashed one may refuse connections for seconds. */
  probe: (worker: WorkerRegistration) => Promise<ProbeResult>
  /** Tells a peer which requests are at workers. */
  reporter: Pick<OpenRequestReporter, 'end' | 'endUnanswered' | 'endServed'>
  /** What peers tell of theirs. */
  reported: Pick<ReportedRequests, 'listAt' | 'take'>
  /** True if the peer that reported a request lives, so that it tells of the crash itself. */
  isSenderAlive: (sender: string) => boolean
  write: (event: string, fields: LogFields) => void
}

/**
 * @example
 * const detector = new PoisonRequestDetector({ topic, log, random, onCrashObserved, probe, write })
 * const refusal = detector.findRefusal(request)
 */
export class PoisonRequestDetector {
  private readonly _suspects = new SuspectRequests({ crashesToQuarantine: CRASHES_TO_QUARANTINE, spacingMs: SPACING_MS })
  private readonly _watch = new WorkerEndWatch()
  private readonly _records: CrashRecords
  private readonly _timer: NodeJS.Timeout
  /** Requests that peers had at workers which have ended, until the peers tell of them or are lost. */
  private _reportedAtEnded: Array<{ sender: string, request: RequestAtWorker, worker: string, endedAtMs: number }> = []
  private _observed: RecordedCrash[] = []
  /** Steady times at which requests were served or released, by fingerprint; earlier crashes don't count. */
  private readonly _clearedAtMs = new Map<string, number>()
  /** Quarantines without a record in the log, with the time at which this node records them. */
  private readonly _unrecordedQuarantines = new Map<string, number>()

  constructor (private readonly _options: PoisonRequestDetectorOptions) {
    const { topic, log, write } = _options
    this._records = new CrashRecords({
      topic,
      log,
      onCrash: crash => this._addCrash(crash),
      onCrashRemoved: (fingerprint, worker) => {
        this._suspects.removeCrash(fingerprint, worker)
        this._observed = this._observed.filter(crash => crash.fingerprint !== fingerprint || crash.worker !== worker)
      },
      onQuarantine: fingerprint => this._applyQuarantine(fingerprint),
      onQuarantineRemoved: fingerprint => {
        this._suspects.release(fingerprint)
        this._forgetCrashes(fingerprint)
        write('quarantineReleased', { fingerprint })
      },
      write
    })
    this._timer = setInterval(() => {
      if (this._options.listSilenceMs() > LIST_FRESH_MS) this._watch.extend(CHECK_PERIOD_MS)
      this._countReported()
      this._recordQuarantines()
      const droppedCount = this._watch.takeDroppedCount()
      if (droppedCount > 0) write('suspicionsDropped', { requests: droppedCount, detail: 'too many requests without an answer' })
    }, CHECK_PERIOD_MS)
  }

  /** The records that this detector shares with those of other nodes, to be fed from the topic. */
  get records (): CrashRecords {
    return this._records
  }

  get suspectCount (): number {
    return this._suspects.suspectCount
  }

  get quarantinedCount (): number {
    return this._suspects.quarantined.size
  }

  dispose (): void {
    clearInterval(this._timer)
    this._records.stop()
  }

  /** Crashes for the statuses of this node: those that it observed lately and, if `includesQuarantined`, all of the latest quarantined requests. */
  crashesToReport ({ includesQuarantined }: { includesQuarantined: boolean }): ObservedCrash[] {
    const nowMs = steadyNowMs()
    this._observed = this._observed.filter(({ fingerprint, worker, crashedAtMs }) => {
      const retentionMs = this._records.isCrashRecorded(fingerprint, worker) ? OBSERVATION_RETENTION_MS : UNRECORDED_RETENTION_MS
      return nowMs - crashedAtMs < retentionMs
    })
    const quarantined = includesQuarantined ? [...this._suspects.quarantined].slice(-MAX_REPORTED_QUARANTINES).flatMap(fingerprint => this._suspects.crashesOf(fingerprint)) : []
    const others = quarantined.filter(({ fingerprint, worker }) => !this._observed.some(crash => crash.fingerprint === fingerprint && crash.worker === worker))
    return [...this._observed, ...others].map(crash => toObservedCrash(crash, nowMs))
  }

  /** All that is known, for a peer that has just started or was out of reach; undefined if there is nothing. */
  get report (): CrashReport | undefined {
    if (this._suspects.isEmpty) return undefined
    const nowMs = steadyNowMs()
    return { crashes: this._suspects.crashes.map(crash => toObservedCrash(crash, nowMs)), quarantined: [...this._suspects.quarantined] }
  }

  /** Adds what a peer knows. */
  applyReport ({ crashes, quarantined }: CrashReport): void {
    this.applyPeerCrashes(crashes)
    for (const fingerprint of quarantined) this._applyQuarantine(fingerprint)
  }

  /** Adds the crashes that a peer observed. */
  applyPeerCrashes (crashes: readonly ObservedCrash[]): void {
    const nowMs = steadyNowMs()
    for (const { fingerprint, worker, agoMs, sentAgoMs } of crashes) {
      this._addCrash({ fingerprint, worker, crashedAtMs: nowMs - agoMs, sentAtMs: sentAgoMs === undefined ? undefined : nowMs - sentAgoMs })
      this._handleEnd(worker, CrashEvidence.PeerReport)
    }
  }

  /** Handles a request that was sent to a worker and got no complete answer: it is suspect if the worker has ended, or turns out to have ended. */
  async handleUnanswered ({ request, worker, sentAtMs, isBroken, open }: UnansweredAttempt): Promise<void> {
    const lifetime = workerLifetimeOf(worker)
    const unanswered: UnansweredRequest = { fingerprint: fingerprintOf(request), requestId: request.requestId, worker: lifetime, sentAtMs, endedAtMs: steadyNowMs(), isBroken, open }
    if (open !== undefined) this._options.reporter.endUnanswered(open, watchTimeMs(unanswered))
    if (this._options.isRegistered(worker)) this._watch.revive(lifetime)
    const end = this._watch.add(unanswered)
    if (end !== undefined) {
      this._observe({ ...unanswered, endedAtMs: end.atMs }, end.evidence)
      this._options.onCrashObserved()
    }
    if (end !== undefined || !isBroken) return
    const result = await this._options.probe(worker)
    if (result === ProbeResult.Refused) this._handleEnd(lifetime, CrashEvidence.ConnectionRefused)
    else this._options.write('crashNotConfirmed', { requestId: request.requestId, worker: worker.workerId, address: worker.address, probe: result })
  }

  /** Handles a worker whose entry was removed or has changed; `current` is the entry that there is now. */
  handleWorkerLost (previous: WorkerRegistration, current: WorkerRegistration | undefined, isPlanned: boolean): void {
    const lifetime = workerLifetimeOf(previous)
    if (current !== undefined) {
      if (current.startedAtMs !== previous.startedAtMs) this._handleEnd(lifetime, CrashEvidence.Restarted)
    } else if (isPlanned) {
      this._handlePlannedEnd(lifetime)
    } else {
      this._handleEnd(lifetime, CrashEvidence.EntryRemoved)
    }
  }

  /** Clears a suspect request, because a worker has served it without a crash. */
  recordServed (request: RoutedRequest): void {
    if (this._suspects.isEmpty && this._watch.isEmpty) return
    const fingerprint = fingerprintOf(request)
    this._watch.removeServed(fingerprint)
    this._options.reporter.endServed(fingerprint)
    if (!this._suspects.clear(fingerprint)) return
    this._forgetCrashes(fingerprint)
    this._options.write('requestCleared', { requestId: request.requestId, fingerprint })
  }

  /** Why the request must not be sent to a worker now; undefined if it may be sent. */
  findRefusal (request: RoutedRequest): PoisonRefusal | undefined {
    if (this._suspects.isEmpty) return undefined
    const fingerprint = fingerprintOf(request)
    if (this._suspects.isQuarantined(fingerprint)) return { isQuarantined: true, retryAfterMs: QUARANTINE_RETRY_AFTER_MS }
    const latestMs = this._suspects.latestOfSeveralCrashes(fingerprint)
    const pauseLeftMs = latestMs === undefined ? 0 : latestMs + SEVERAL_CRASHES_PAUSE_MS - steadyNowMs()
    return pauseLeftMs > 0 ? { isQuarantined: false, retryAfterMs: pauseLeftMs } : undefined
  }

  /** The fingerprint of a request under which a worker has crashed, which may be its cause or not; undefined for other requests. */
  findSuspect (request: RoutedRequest): string | undefined {
    if (this._suspects.isEmpty) return undefined
    const fingerprint = fingerprintOf(request)
    return this._suspects.hasCrashes(fingerprint) ? fingerprint : undefined
  }

  /** A worker that leaves serves for seconds, so that a connection that broke before may tell of a crash; a request that was given up does not. */
  private _handlePlannedEnd (lifetime: string): void {
    const broken = this._watch.forget(lifetime).filter(({ isBroken }) => isBroken)
    for (const request of broken) this._observe(request, CrashEvidence.EntryRemoved)
    if (broken.length > 0) this._options.onCrashObserved()
  }

  private _handleEnd (lifetime: string, evidence: CrashEvidence): void {
    const isKnown = this._watch.hasEnded(lifetime)
    const requests = this._watch.end(lifetime, evidence)
    for (const request of requests) this._observe(request, evidence)
    if (requests.length > 0) this._options.onCrashObserved()
    if (isKnown) return
    const endedAtMs = steadyNowMs()
    this._reportedAtEnded.push(...this._options.reported.listAt(lifetime).map(entry => ({ ...entry, worker: lifetime, endedAtMs })))
    this._countReported()
  }

  /** Counts the end of a worker against the requests that lost peers had there; those that live tell of them. */
  private _countReported (): void {
    const nowMs = steadyNowMs()
    const remaining = this._reportedAtEnded.filter(({ endedAtMs }) => nowMs - endedAtMs < REPORTED_WATCH_MS)
    const lost = remaining.filter(({ sender }) => !this._options.isSenderAlive(sender))
    this._reportedAtEnded = remaining.filter(entry => !lost.includes(entry))
    const counted = lost.filter(({ sender, request }) => this._options.reported.take(sender, request))
    for (const { sender, request: { fingerprint, sentAtMs }, worker, endedAtMs } of counted) {
      this._options.write('workerCrashed', { worker, fingerprint, evidence: CrashEvidence.ReportedOpen, sender, agoMs: Math.round(nowMs - endedAtMs) })
      this._record({ fingerprint, worker, crashedAtMs: endedAtMs, sentAtMs })
    }
    if (counted.length > 0) this._options.onCrashObserved()
  }

  private _observe ({ fingerprint, requestId, worker, sentAtMs, endedAtMs, isBroken, open }: UnansweredRequest, evidence: CrashEvidence): void {
    this._options.write('workerCrashed', { requestId, worker, fingerprint, evidence, isBroken, agoMs: Math.round(steadyNowMs() - endedAtMs) })
    this._record({ fingerprint, worker, crashedAtMs: endedAtMs, sentAtMs })
    if (open !== undefined) this._options.reporter.end(open)
  }

  private _record (crash: RecordedCrash): void {
    this._observed.push(crash)
    if (this._observed.length > MAX_OBSERVED) this._observed.shift()
    this._addCrash(crash)
    this._records.recordCrash(crash)
  }

  private _forgetCrashes (fingerprint: string): void {
    this._observed = this._observed.filter(crash => crash.fingerprint !== fingerprint)
    this._records.removeCrashes(fingerprint)
    this._clearedAtMs.delete(fingerprint)
    this._clearedAtMs.set(fingerprint, steadyNowMs())
    if (this._clearedAtMs.size > MAX_CLEARED_REQUESTS) this._clearedAtMs.delete(this._clearedAtMs.keys().next().value as string)
  }

  private _addCrash ({ fingerprint, ...crash }: RecordedCrash): void {
    const clearedAtMs = this._clearedAtMs.get(fingerprint)
    if (clearedAtMs !== undefined && crash.crashedAtMs <= clearedAtMs) return
    if (!this._suspects.addCrash(fingerprint, crash)) return
    this._options.write('requestQuarantined', { fingerprint, workers: [...this._suspects.crashedWorkers(fingerprint)].join() })
    this._unrecordedQuarantines.set(fingerprint, steadyNowMs() + this._options.random.next() * RECORD_SPREAD_MS)
  }

  private _applyQuarantine (fingerprint: string): void {
    if (!this._suspects.quarantine(fingerprint)) return
    this._options.write('requestQuarantined', { fingerprint, workers: '' })
    this._unrecordedQuarantines.set(fingerprint, steadyNowMs() + this._options.random.next() * RECORD_SPREAD_MS)
  }

  private _recordQuarantines (): void {
    const nowMs = steadyNowMs()
    for (const [fingerprint, dueMs] of this._unrecordedQuarantines) {
      if (nowMs < dueMs) continue
      this._unrecordedQuarantines.delete(fingerprint)
      if (!this._records.isQuarantineRecorded(fingerprint)) this._records.recordQuarantine(fingerprint)
    }
  }
}

function toObservedCrash ({ fingerprint, worker, crashedAtMs, sentAtMs }: RecordedCrash, nowMs: number): ObservedCrash {
  return { fingerprint, worker, agoMs: Math.round(nowMs - crashedAtMs), sentAgoMs: sentAtMs === undefined ? undefined : Math.round(nowMs - sentAtMs) }
}
