/** Learns how fast each model engine of a service generates and reads tokens, from the times of the events of its streams. */

/** Weight of a new observation; the averages of a worker cover about the last twenty. */
const SAMPLE_WEIGHT = 0.1
/** Weight of the first observation after `REMEASURE_MS` without one; the worker may have changed in the meantime. */
const REMEASURED_WEIGHT = 0.5
/** A slow worker that got no request for this long is chosen once as if it had the mean speed, and so measured again. */
const REMEASURE_MS = 2_000
/** Observations of a worker from which its speed is compared with that of others. */
const MIN_SAMPLES = 3
/** Observations of a worker from which its ratio tells how far further ones deviate, the deviations from which workers are compared, and the weight of one. */
const MIN_DEVIATION_SAMPLES = 2
const MIN_DEVIATIONS = 30
const VARIANCE_WEIGHT = 0.01
/** Observations of a service from which its prompt rate is used. */
const MIN_READ_SAMPLES = 100
/** Share of the regression that each observation leaves; it covers about the last 500. */
const REGRESSION_DECAY = 0.998
/** Standard errors by which two workers must differ; reads of other prompts delay tokens, so that single times differ among equal engines. */
const CONFIDENCE = 3
/** Ratios of the slowest to the fastest worker, less the errors, from which a service counts as uneven, and below which no longer. */
const UNEVEN_RATIO = 1.25
const EVEN_RATIO = 1.1
/**
 * Rate at which an engine reads alone, relative to the observed one: the steps of running requests go between the parts of a prompt. In the simulated
 * load, engines of 257 tokens a ms were observed at 214 to 229, engines of 471 at 341 to 406.
 */
const IDLE_READ_RATIO = 1.2
/** Ratio of the learned prompt rate to the assumed one from which it is used, and below which no longer. */
const READ_RATIO = 1.25
const READ_RATIO_END = 1.15
/** Single observations are limited to this multiple of the expected time, so that one interruption does not make a worker slow. */
const MAX_SAMPLE_RATIO = 4
/** Events of a stream from which the gaps between them are used; the last event may hold less than the others. */
const MIN_EVENTS = 3
/** The summary of all workers is computed at most this often. */
const SUMMARY_MS = 50

/** Times of a stream's events, in whole milliseconds because the end of each placement carries them. */
export type EventTimes = [
  /** From sending the request to the first event. */
  firstEventMs: number,
  /** From the first event to the last one. */
  eventsMs: number,
  events: number
]

/** A stream that a worker has completed. */
export interface SpeedObservation {
  times: EventTimes
  tokensPerEvent: number
  /** Prompt tokens that the worker had to read before the first event, as `recordAssignment` returned them. */
  readTokens: number
  /** Requests that ran at the worker with it. */
  running: number
  /** True if it may have waited for a slot at the worker, so that the time to its first event says nothing. */
  hasWaited: boolean
}

/** Learned speeds of a service; a part is absent while the assumed values are close enough. */
export interface LearnedSpeeds {
  /** Time of a token at the worker, relative to the median worker of the service. */
  slownessOf?: (workerId: string) => number
  /** Share by which each further request of the batch slows down a worker. */
  batchSlowdown?: number
  /** Prompt tokens that the worker reads in a millisecond. */
  prefillTokensPerMsOf?: (workerId: string) => number
}

/** Learned speeds for metrics and logs; times are those of a token on an idle worker. */
export interface SpeedSummary {
  isUneven: boolean
  fastestMs: number
  slowestMs: number
  meanMs: number
  /** Mean prompt tokens a millisecond; 0 while unknown. */
  prefillTokensPerMs: number
}

export interface EngineSpeedsOptions {
  /** Prompt tokens a millisecond that are assumed unless the learned rate differs by more than a quarter. */
  prefillTokensPerMs: number
}

/**
 * A regression over the whole service gives the time that is expected at a number of running requests, or for a number of prompt
 * tokens, and each worker has a ratio to it. So few observations of a worker suffice, whatever its load was.
 *
 * @example
 * speeds.observe('w1', { times: [60, 260, 7], tokensPerEvent: 36, readTokens: 840, running: 4, hasWaited: false }, nowMs)
 * speeds.current(nowMs).slownessOf?.('w1')
 */
export class EngineSpeeds {
  private readonly _tokens = new RelativeTimes()
  private readonly _reads = new RelativeTimes()
  private readonly _assigned = new Map<string, AssignedReads>()
  private _isUneven = false
  private _isReadRateLearned = false
  private _medianRatio = 1
  private _summarizedAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _options: EngineSpeedsOptions) {}

  /** Adds a completed stream. */
  observe (workerId: string, { times: [firstEventMs, eventsMs, events], tokensPerEvent, readTokens, running, hasWaited }: SpeedObservation, nowMs: number): void {
    if (events < MIN_EVENTS || eventsMs <= 0 || tokensPerEvent <= 0) return
    const gapMs = eventsMs / (events - 1)
    this._tokens.add(workerId, running, gapMs / tokensPerEvent, nowMs)
    // The first event comes after the prompt is read and the tokens of one event are generated.
    const readMs = firstEventMs - gapMs
    if (!hasWaited && readMs > 0) this._reads.add(workerId, readTokens, readMs, nowMs)
  }

  /**
   * To be called when a request is assigned, with its tokens that are not cached. Returns those with what the worker has still to read before them: without
   * that, the learned rate was 163 tokens a ms where engines read 267, since prompts are read one after the other.
   */
  recordAssignment (workerId: string, missingTokens: number, nowMs: number): number {
    const assigned = this._assigned.get(workerId)
    const readSince = assigned === undefined ? 0 : (nowMs - assigned.atMs) * this._readRate
    const tokens = missingTokens + Math.max(0, (assigned?.tokens ?? 0) - readSince)
    this._assigned.set(workerId, { tokens, atMs: nowMs })
    return tokens
  }

  /** Forgets a worker that has left or restarted. */
  removeWorker (workerId: string): void {
    this._tokens.remove(workerId)
    this._reads.remove(workerId)
    this._assigned.delete(workerId)
  }

  /** What a choice at this time should use. */
  current (nowMs: number): LearnedSpeeds {
    this._summarize(nowMs)
    const speeds: LearnedSpeeds = {}
    if (this._isUneven) {
      speeds.slownessOf = workerId => this._slownessOf(workerId, nowMs)
      speeds.batchSlowdown = this._tokens.relativeSlope
    }
    const serviceRate = this._isReadRateLearned ? this._learnedReadRate : this._options.prefillTokensPerMs
    if (this._isUneven) speeds.prefillTokensPerMsOf = workerId => serviceRate / this._slownessOf(workerId, nowMs)
    else if (this._isReadRateLearned) speeds.prefillTokensPerMsOf = () => serviceRate
    return speeds
  }

  summary (nowMs: number): SpeedSummary {
    this._summarize(nowMs)
    const { ratios: known, idleMs } = this._tokens
    const ratios = known.length === 0 ? [0] : known
    return {
      isUneven: this._isUneven,
      fastestMs: Math.min(...ratios) * idleMs,
      slowestMs: Math.max(...ratios) * idleMs,
      meanMs: ratios.reduce((total, ratio) => total + ratio, 0) / ratios.length * idleMs,
      prefillTokensPerMs: this._reads.sampleCount < MIN_READ_SAMPLES ? 0 : this._learnedReadRate
    }
  }

  private get _readRate (): number {
    return this._reads.sampleCount < MIN_READ_SAMPLES ? this._options.prefillTokensPerMs : this._learnedReadRate
  }

  private get _learnedReadRate (): number {
    const { slope } = this._reads
    return slope > 0 ? IDLE_READ_RATIO / slope : this._options.prefillTokensPerMs
  }

  private _slownessOf (workerId: string, nowMs: number): number {
    const ratio = this._tokens.ratioOf(workerId)
    if (ratio === undefined) return this._tokens.meanRatio / this._medianRatio
    const slowness = ratio / this._medianRatio
    const lastAtMs = Math.max(this._assigned.get(workerId)?.atMs ?? Number.NEGATIVE_INFINITY, this._tokens.lastAtMs(workerId))
    return slowness > 1 && nowMs - lastAtMs >= REMEASURE_MS ? 1 : slowness
  }

  private _summarize (nowMs: number): void {
    if (nowMs - this._summarizedAtMs < SUMMARY_MS) return
    this._summarizedAtMs = nowMs
    const ratio = this._tokens.confidentSpread()
    this._isUneven = ratio >= (this._isUneven ? EVEN_RATIO : UNEVEN_RATIO)
    const ratios = this._tokens.ratios.sort((left, right) => left - right)
    this._medianRatio = ratios.length === 0 ? 1 : ratios[Math.floor((ratios.length - 1) / 2)]
    const assumed = this._options.prefillTokensPerMs
    const difference = this._reads.sampleCount < MIN_READ_SAMPLES ? 1 : Math.max(this._learnedReadRate / assumed, assumed / this._learnedReadRate)
    this._isReadRateLearned = difference > (this._isReadRateLearned ? READ_RATIO_END : READ_RATIO)
  }
}

/** Prompt tokens that a worker had to read at a time. */
interface AssignedReads {
  tokens: number
  atMs: number
}

interface RelativeTime {
  ratio: number
  sampleCount: number
  lastAtMs: number
}

/** Times as a line over a quantity for all workers, and the ratio of each worker to it. */
class RelativeTimes {
  private readonly _workers = new Map<string, RelativeTime>()
  private _meanRatio = 1
  /** Mean square of the relative deviations from the workers' ratios. */
  private _variance = 0
  private _deviationCount = 0
  private _count = 0
  private _weight = 0
  private _x = 0
  private _y = 0
  private _xx = 0
  private _xy = 0

  get sampleCount (): number {
    return this._count
  }

  get meanRatio (): number {
    return this._meanRatio
  }

  get slope (): number {
    return this._line.slope
  }

  /** Expected time at 0. */
  get idleMs (): number {
    return this._line.intercept
  }

  get relativeSlope (): number {
    const { slope, intercept } = this._line
    return intercept > 0 ? slope / intercept : 0
  }

  /** Ratios of the workers with enough observations. */
  get ratios (): number[] {
    return this._known.map(({ ratio }) => ratio)
  }

  add (workerId: string, x: number, y: number, nowMs: number): void {
    const { slope, intercept } = this._line
    const expected = this._count === 0 ? y : intercept + slope * x
    if (expected <= 0) return
    let worker = this._workers.get(workerId)
    if (worker === undefined) {
      worker = { ratio: this._meanRatio, sampleCount: 0, lastAtMs: nowMs }
      this._workers.set(workerId, worker)
    }
    const sample = Math.min(y / expected, MAX_SAMPLE_RATIO * worker.ratio)
    const isRemeasured = nowMs - worker.lastAtMs >= REMEASURE_MS
    const weight = isRemeasured ? REMEASURED_WEIGHT : Math.max(SAMPLE_WEIGHT, 1 / (worker.sampleCount + 2))
    if (!isRemeasured && worker.sampleCount >= MIN_DEVIATION_SAMPLES) this._addDeviation((sample - worker.ratio) / worker.ratio)
    worker.ratio += weight * (sample - worker.ratio)
    worker.sampleCount++
    worker.lastAtMs = nowMs
    this._meanRatio = this._resolveMeanRatio()
    this._addToLine(x, sample * expected * this._meanRatio / worker.ratio)
  }

  remove (workerId: string): void {
    this._workers.delete(workerId)
  }

  ratioOf (workerId: string): number | undefined {
    return this._workers.get(workerId)?.ratio
  }

  lastAtMs (workerId: string): number {
    return this._workers.get(workerId)?.lastAtMs ?? Number.NEGATIVE_INFINITY
  }

  /** Ratio of the slowest worker to the fastest one, each less its error; 1 while fewer than two are known. */
  confidentSpread (): number {
    if (this._deviationCount < MIN_DEVIATIONS) return 1
    let slowest = 0
    let fastest = Number.POSITIVE_INFINITY
    for (const { ratio, sampleCount } of this._known) {
      const share = Math.max(SAMPLE_WEIGHT / (2 - SAMPLE_WEIGHT), 1 / sampleCount)
      const error = CONFIDENCE * Math.sqrt(this._variance * share) * ratio
      slowest = Math.max(slowest, ratio - error)
      fastest = Math.min(fastest, ratio + error)
    }
    return Number.isFinite(fastest) ? Math.max(1, slowest / fastest) : 1
  }

  private get _known (): RelativeTime[] {
    return [...this._workers.values()].filter(({ sampleCount }) => sampleCount >= MIN_SAMPLES)
  }

  private _addDeviation (deviation: number): void {
    this._deviationCount++
    this._variance += Math.max(VARIANCE_WEIGHT, 1 / this._deviationCount) * (deviation ** 2 - this._variance)
  }

  private _resolveMeanRatio (): number {
    let total = 0
    for (const { ratio } of this._workers.values()) total += ratio
    return total / this._workers.size
  }

  private _addToLine (x: number, y: number): void {
    this._count++
    this._weight = this._weight * REGRESSION_DECAY + 1
    this._x = this._x * REGRESSION_DECAY + x
    this._y = this._y * REGRESSION_DECAY + y
    this._xx = this._xx * REGRESSION_DECAY + x * x
    this._xy = this._xy * REGRESSION_DECAY + x * y
  }

  private get _line (): { slope: number, intercept: number } {
    if (this._weight === 0) return { slope: 0, intercept: 0 }
    const meanX = this._x / this._weight
    const meanY = this._y / this._weight
    const variance = this._xx / this._weight - meanX ** 2
    const slope = variance > 1e-9 ? Math.max(0, (this._xy / this._weight - meanX * meanY) / variance) : 0
    const intercept = meanY - slope * meanX
    return intercept > 0 || meanX <= 0 ? { slope, intercept } : { slope: meanY / meanX, intercept: 0 }
  }
}
