/** The credits of one account at the owner of its quota, and the programs that use them. */
import { Ewma } from '../base/ewma.js'
import { TokenBucket } from '../base/tokenBucket.js'
import type { AccountQuota } from './clientAccount.js'
import type { QuotaBucketState, QuotaGrant, QuotaTake } from './quotaMessages.js'

/** A program is remembered as begun for this long after its last request. */
const PROGRAM_MEMORY_MS = 30_000
/** A program without requests for this long counts as ended when the mean number of requests is learned. Pauses for tool calls are shorter. */
const PROGRAM_IDLE_MS = 5_000
const SWEEP_PERIOD_MS = 1_000
const INITIAL_MEAN_REQUESTS = 10
const MEAN_WEIGHT = 0.05
/** A program with more requests than this multiple of the mean may be in a loop, and gets credits only from the upper half of the bucket. */
const LOOP_FACTOR = 8
/** A program may begin when the start bucket holds this share of what a program needs, so that two programs of a small account may begin close together. */
const START_SHARE = 0.5
/** A bucket filled to this share shows that the account is below its quota; programs then begin whatever the start bucket holds. */
const AMPLE_SHARE = 0.75
/** Share of the bucket that is kept from new programs, for requests of those in progress. */
const RESERVE_SHARE = 0.125
/** A prefetch gets this share of the bucket at most, because its credits may stay unused for the time of a lease while other nodes have requests. */
const PREFETCH_SHARE = 0.25
/** A bucket must be able to hold one credit. */
const MIN_BURST = 1
/** Bounds the memory of an account whose caller begins programs without end. */
const MAX_PROGRAMS = 10_000
/** Programs of an account that are handed over at most, the latest ones. */
const MAX_HANDOVER_PROGRAMS = 2_000

interface ProgramUse {
  requests: number
  lastAtMs: number
  isCounted: boolean
}

/**
 * Decides on credits by two token buckets: the whole one holds the quota, and the start bucket is charged with the mean number of requests of a program for each
 * program that begins, so that programs which have begun find credits.
 *
 * @example
 * const bucket = new QuotaBucket({ ratePerS: 20, burst: 40 }, { tokens: 0, atMs: 1_000 })
 * bucket.take(['yard-7', [], [hash], 0, [], []], 2_000)
 */
export class QuotaBucket {
  private readonly _whole: TokenBucket
  private readonly _start: TokenBucket
  private _mean = new Ewma(MEAN_WEIGHT, INITIAL_MEAN_REQUESTS)
  /** In order of their last requests. */
  private readonly _programs = new Map<number, ProgramUse>()
  private _sweptAtMs = 0
  private _quota: AccountQuota

  constructor (quota: AccountQuota, initial: { tokens: number, startTokens?: number, atMs: number }) {
    this._quota = toUsable(quota)
    const { ratePerS: ratePerSecond, burst } = this._quota
    this._whole = new TokenBucket({ ratePerSecond, burst, initial: { tokens: Math.min(burst, initial.tokens), atMs: initial.atMs } })
    // The start bucket is no part of the bound on requests, and an owner without the state of the earlier one must let programs continue that it doesn't know.
    this._start = new TokenBucket({ ratePerSecond, burst, initial: { tokens: Math.min(burst, initial.startTokens ?? burst), atMs: initial.atMs } })
  }

  /** Applies the quota of a newer document. */
  setQuota (quota: AccountQuota, nowMs: number): void {
    const usable = toUsable(quota)
    if (usable.ratePerS === this._quota.ratePerS && usable.burst === this._quota.burst) return
    this._quota = usable
    this._whole.setRate(usable.ratePerS, nowMs, usable.burst)
    this._start.setRate(usable.ratePerS, nowMs, usable.burst)
  }

  /** Mean number of requests of a program. */
  get meanRequests (): number {
    return Math.max(1, this._mean.value)
  }

  /** True if nothing is lost when the bucket is dropped: it is full, and no program is remembered. */
  isIdle (nowMs: number): boolean {
    this._sweep(nowMs)
    return this._programs.size === 0 && this._whole.tokensAt(nowMs) >= this._quota.burst
  }

  take ([, known, begins, prefetch, counts]: QuotaTake, nowMs: number): QuotaGrant {
    this._sweep(nowMs)
    this.countAll(counts, nowMs)
    const restricted: number[] = []
    const knownReplies = known.map(program => {
      if (this._mayLoop(program)) restricted.push(program)
      return this._takeForProgram(program, nowMs)
    })
    const beginReplies = begins.map(program => this._programs.has(program) ? this._takeForProgram(program, nowMs) : this._takeForStart(program, nowMs))
    const extra = Math.max(0, Math.min(prefetch, Math.floor(PREFETCH_SHARE * this._whole.tokensAt(nowMs))))
    if (extra > 0) this._whole.charge(nowMs, extra)
    return [knownReplies, beginReplies, extra, Math.floor(nowMs), restricted]
  }

  /** Counts requests that used prefetched credits: pairs of program and number. */
  countAll (counts: readonly number[], nowMs: number): void {
    for (let index = 0; index + 1 < counts.length; index += 2) this._count(counts[index], counts[index + 1], nowMs)
  }

  /** Takes credits back that were not used. */
  giveBack (credits: number, nowMs: number): void {
    this._whole.tokensAt(nowMs)
    this._whole.deposit(credits)
  }

  toState (account: string, nowMs: number): QuotaBucketState {
    const programs = [...this._programs].slice(-MAX_HANDOVER_PROGRAMS).flatMap(([program, { requests, lastAtMs }]) => [program, requests, Math.round(nowMs - lastAtMs)])
    return [account, toTenths(this._whole.tokensAt(nowMs)), toTenths(this._start.tokensAt(nowMs)), toTenths(this.meanRequests), programs]
  }

  /** The bucket of an earlier owner; `granted` credits were granted meanwhile. */
  static fromState ([, tokens, startTokens, meanRequests, programs]: QuotaBucketState, quota: AccountQuota, granted: number, nowMs: number): QuotaBucket {
    const bucket = new QuotaBucket(quota, { tokens: tokens - granted, startTokens, atMs: nowMs })
    bucket._mean = new Ewma(MEAN_WEIGHT, meanRequests)
    for (let index = 0; index + 2 < programs.length; index += 3) {
      bucket._programs.set(programs[index], { requests: programs[index + 1], lastAtMs: nowMs - programs[index + 2], isCounted: false })
    }
    return bucket
  }

  /** Takes a credit for a request of a program in progress. */
  private _takeForProgram (program: number, nowMs: number): number {
    const needed = this._mayLoop(program) ? Math.min(this._quota.burst, this._quota.burst / 2 + 1) : 1
    const waitMs = this._whole.waitMs(nowMs, needed)
    if (waitMs > 0) return waitMs
    this._whole.charge(nowMs, 1)
    this._count(program, 1, nowMs)
    return 0
  }

  /** Takes a credit for the first request of a program, or for a request without a program, which counts as a program of one request. */
  private _takeForStart (program: number, nowMs: number): number {
    const { burst } = this._quota
    const cost = program === 0 ? 1 : this.meanRequests
    const reserve = program === 0 ? 0 : Math.min(cost, RESERVE_SHARE * burst)
    const waitForTokensMs = this._whole.waitMs(nowMs, Math.min(burst, 1 + reserve))
    const startNeed = program === 0 ? 1 : START_SHARE * Math.min(cost, burst)
    const waitForStartMs = Math.min(this._start.waitMs(nowMs, startNeed), this._whole.waitMs(nowMs, Math.max(1, AMPLE_SHARE * burst)))
    const waitMs = Math.max(waitForTokensMs, waitForStartMs)
    if (waitMs > 0) return waitMs
    this._whole.charge(nowMs, 1)
    this._start.charge(nowMs, cost)
    if (program !== 0) this._count(program, 1, nowMs)
    return 0
  }

  private _mayLoop (program: number): boolean {
    return (this._programs.get(program)?.requests ?? 0) > LOOP_FACTOR * this.meanRequests
  }

  private _count (program: number, requests: number, nowMs: number): void {
    if (program === 0) {
      this._start.charge(nowMs, requests)
      return
    }
    const use = this._programs.get(program) ?? { requests: 0, lastAtMs: nowMs, isCounted: false }
    this._programs.delete(program)
    this._programs.set(program, use)
    use.requests = Math.max(0, use.requests + requests)
    use.lastAtMs = nowMs
    if (this._programs.size > MAX_PROGRAMS) this._programs.delete(this._programs.keys().next().value as number)
  }

  /** Learns from programs that seem to have ended, and forgets old ones. */
  private _sweep (nowMs: number): void {
    if (nowMs - this._sweptAtMs < SWEEP_PERIOD_MS) return
    this._sweptAtMs = nowMs
    for (const [program, use] of this._programs) {
      const idleMs = nowMs - use.lastAtMs
      if (idleMs < PROGRAM_IDLE_MS) return
      // A program in a loop says nothing of the others.
      if (!use.isCounted && use.requests <= LOOP_FACTOR * this.meanRequests) this._mean.add(use.requests)
      use.isCounted = true
      if (idleMs >= PROGRAM_MEMORY_MS) this._programs.delete(program)
    }
  }
}

function toUsable ({ ratePerS, burst }: AccountQuota): AccountQuota {
  return { ratePerS, burst: Math.max(MIN_BURST, burst) }
}

function toTenths (value: number): number {
  return Math.floor(value * 10) / 10
}
