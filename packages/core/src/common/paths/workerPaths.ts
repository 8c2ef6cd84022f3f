/** Which workers this node reaches over its own links, and whether it is cut off from all of them. */
import { Emitter } from '../kernel/emitter.js'
import type { IRandom } from '../kernel/random.js'
import type { WorkerRegistration } from '../workers/workerRegistry.js'
import { WorkerContact } from './workerContact.js'

export interface WorkerPathsOptions {
  /** Silence of all workers, while calls wait, from which the links are probed. */
  silenceMs: number
  /** Workers that refuse or ignore connections, without an answer of any worker meanwhile, from which the links are probed. */
  failedWorkers: number
  /** Workers to which a round of probes connects. */
  probesPerRound: number
  /** Time between two rounds while the node is cut off, and least time between two rounds on suspicion. */
  roundIntervalMs: number
  suspicionIntervalMs: number
  /** Rounds in a row that reach a worker, after which the node is not cut off any more. */
  roundsToRestore: number
  /** Time between two rounds while no peer reaches the workers either; a single reached worker is enough then. */
  urgentRoundIntervalMs: number
  /** Time between two probes of a single worker that can't be connected to. */
  workerProbeIntervalMs: number
}

/** Default options. */
export const DEFAULT_WORKER_PATHS: WorkerPathsOptions = {
  silenceMs: 250,
  failedWorkers: 2,
  probesPerRound: 3,
  roundIntervalMs: 500,
  suspicionIntervalMs: 1_000,
  roundsToRestore: 2,
  urgentRoundIntervalMs: 150,
  workerProbeIntervalMs: 1_000
}

/** Result of an attempt to connect to a worker. */
export const ProbeResult = {
  Connected: 'connected',
  Refused: 'refused',
  /** No answer in time. */
  Silent: 'silent'
} as const
export type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult]

export interface WorkerProbe {
  workerId: string
  result: ProbeResult
}

/** The node was cut off, or reaches workers again. */
export interface CutOffChange {
  isCutOff: boolean
  /** Time for which no worker has been heard. */
  silenceMs: number
}

/**
 * A worker may be silent for a second and go on, and workers crash; so a node counts as cut off only if it hears no worker at all, and
 * can't connect to any of several.
 *
 * @example
 * paths.contact.beginWait(nowMs)
 * const probed = paths.beginRound(() => workers, nowMs)
 * paths.endRound(await probe(probed), hasRelay, nowMs)
 * paths.isCutOff
 */
export class WorkerPaths {
  readonly contact = new WorkerContact()
  /** Workers that could not be connected to, with the time of their next probe. */
  private readonly _lost = new Map<string, number>()
  /** Workers that could not be connected to since a worker was last heard. */
  private readonly _failedSinceHeard = new Set<string>()
  private readonly _onDidChange = new Emitter<CutOffChange>()
  /** Times of the latest probes; a worker that was never probed comes first. */
  private readonly _probedAtMs = new Map<string, number>()
  private _isCutOff = false
  private _isRoundOpen = false
  /** False if the open round only probes workers that can't be connected to. */
  private _isRoundDecisive = false
  private _nextRoundAtMs = 0
  private _soundRounds = 0

  readonly onDidChange = this._onDidChange.event

  constructor (private readonly _random: IRandom, private readonly _options: WorkerPathsOptions = DEFAULT_WORKER_PATHS) {}

  /** True while this node reaches no worker. */
  get isCutOff (): boolean {
    return this._isCutOff
  }

  /** True while probes are due or may become due although there is no call. */
  get needsProbes (): boolean {
    return this._isCutOff || this._isRoundOpen || this._lost.size > 0 || this._failedSinceHeard.size > 0
  }

  /** False if new connections to the worker fail. */
  mayConnect (workerId: string): boolean {
    return !this._isCutOff && !this._lost.has(workerId)
  }

  /** A worker has sent something. */
  recordHeard (nowMs: number): void {
    this.contact.recordBytes(nowMs)
    this._failedSinceHeard.clear()
    if (this._isCutOff) this._nextRoundAtMs = Math.min(this._nextRoundAtMs, nowMs)
  }

  /** A connection to the worker was refused or not established in time. */
  recordConnectFailure (workerId: string, nowMs: number): void {
    this._failedSinceHeard.add(workerId)
    if (!this._isCutOff && !this._lost.has(workerId)) this._lost.set(workerId, nowMs + this._options.workerProbeIntervalMs)
  }

  removeWorker (workerId: string): void {
    this._lost.delete(workerId)
    this._failedSinceHeard.delete(workerId)
    this._probedAtMs.delete(workerId)
  }

  /** The workers to connect to now, out of those that `listWorkers` returns; none if there is no reason, or a round is open. After the probes of a round that isn't empty, `endRound` must be called. */
  beginRound (listWorkers: () => readonly WorkerRegistration[], nowMs: number): WorkerRegistration[] {
    if (this._isRoundOpen) return []
    const isDue = nowMs >= this._nextRoundAtMs && (this._isCutOff || this._isSuspicious(nowMs))
    if (!isDue && this._lost.size === 0) return []
    const probed = isDue ? this._drawWorkers(listWorkers()) : this._lostWorkers(listWorkers(), nowMs)
    for (const { workerId } of probed) this._probedAtMs.set(workerId, nowMs)
    this._isRoundOpen = probed.length > 0
    this._isRoundDecisive = isDue
    return probed
  }

  /** `hasRelay` if a peer reaches the workers. */
  endRound (probes: readonly WorkerProbe[], hasRelay: boolean, nowMs: number): void {
    this._isRoundOpen = false
    for (const { workerId, result } of probes) {
      if (result === ProbeResult.Connected) this._lost.delete(workerId)
      else if (this._lost.has(workerId)) this._lost.set(workerId, nowMs + this._options.workerProbeIntervalMs)
    }
    if (!this._isRoundDecisive) return
    const isReached = probes.some(({ result }) => result === ProbeResult.Connected)
    if (this._isCutOff) this._continueCutOff(isReached, hasRelay, nowMs)
    else if (isReached || !this._isSuspicious(nowMs)) this._dismissSuspicion(nowMs)
    else this._setCutOff(true, nowMs)
  }

  private _continueCutOff (isReached: boolean, hasRelay: boolean, nowMs: number): void {
    const { roundIntervalMs, urgentRoundIntervalMs, roundsToRestore } = this._options
    this._soundRounds = isReached ? this._soundRounds + 1 : 0
    this._nextRoundAtMs = nowMs + (hasRelay ? roundIntervalMs : urgentRoundIntervalMs)
    if (this._soundRounds >= (hasRelay ? roundsToRestore : 1)) this._setCutOff(false, nowMs)
  }

  private _dismissSuspicion (nowMs: number): void {
    this._failedSinceHeard.clear()
    this._nextRoundAtMs = nowMs + this._options.suspicionIntervalMs
  }

  private _setCutOff (isCutOff: boolean, nowMs: number): void {
    this._isCutOff = isCutOff
    this._soundRounds = 0
    this._lost.clear()
    this._failedSinceHeard.clear()
    this._nextRoundAtMs = nowMs + (isCutOff ? this._options.urgentRoundIntervalMs : this._options.suspicionIntervalMs)
    this._onDidChange.fire({ isCutOff, silenceMs: this.contact.silenceMs(nowMs) })
  }

  private _isSuspicious (nowMs: number): boolean {
    return this.contact.silenceMs(nowMs) >= this._options.silenceMs || this._failedSinceHeard.size >= this._options.failedWorkers
  }

  /** Different workers at random, so that a few failed ones don't decide; first those whose last probe is the longest ago. */
  private _drawWorkers (workers: readonly WorkerRegistration[]): WorkerRegistration[] {
    const probedAtMs = ({ workerId }: WorkerRegistration): number => this._probedAtMs.get(workerId) ?? 0
    return this._random.sample(workers, workers.length).sort((left, right) => probedAtMs(left) - probedAtMs(right)).slice(0, this._options.probesPerRound)
  }

  private _lostWorkers (workers: readonly WorkerRegistration[], nowMs: number): WorkerRegistration[] {
    return workers.filter(({ workerId }) => nowMs >= (this._lost.get(workerId) ?? Number.POSITIVE_INFINITY)).slice(0, this._options.probesPerRound)
  }
}
