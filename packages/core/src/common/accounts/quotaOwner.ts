/** Grants credits for the requests of accounts with a quota, as the owner of their partitions. */
import type { AccountQuota } from './clientAccount.js'
import { QuotaBucket } from './quotaBucket.js'
import type { QuotaGrant, QuotaHandover, QuotaTake } from './quotaMessages.js'

/**
 * How much an owner knows of the credits that were granted before it.
 *
 * `Ended`: the earlier owner grants nothing any more, and its buckets are lost. `Asked`: it has been asked for its buckets. `Unknown`: it may still be granting.
 */
export const EarlierOwner = { Ended: 'ended', Asked: 'asked', Unknown: 'unknown' } as const
export type EarlierOwner = typeof EarlierOwner[keyof typeof EarlierOwner]

export interface QuotaOwnerOptions {
  /** The quota of an account in the active document; undefined for an unknown account, 'none' for one without a limit. */
  quotaOf: (account: string) => AccountQuota | 'none' | undefined
  /** Time for which an earlier owner may go on granting: the time to live of a member. */
  ownerTtlMs: number
  /** Credits of each account that are granted in that time, by an owner that doesn't know whether there is another. */
  limitedCredits?: number
  /** Credits that a bucket holds beyond the burst of its account. */
  burstAllowance?: number
  /** Unused credits are taken back up to this time after they were granted. Those of a lease expire after 400 ms, so that nothing is taken back that still counts in a bucket of an earlier time. */
  maxReturnAgeMs?: number
}

const DEFAULT_LIMITED_CREDITS = 8
/**
 * With the limited credits of a later owner, within the 20 requests by which a window may exceed the quota. Most accounts have a quota of a few requests a second,
 * which a single program needs while it runs, so that without this programs of accounts far below their quota were refused.
 */
const DEFAULT_BURST_ALLOWANCE = 10
const DEFAULT_MAX_RETURN_AGE_MS = 500
/** The state of a partition that was given up is kept this long for the next owner. */
const RELEASED_RETENTION_MS = 10_000

interface OwnedPartition {
  earlierOwner: EarlierOwner
  ownedSinceMs: number
  /** Until then each account gets a limited number of credits. */
  limitedUntilMs: number
  /** When all buckets were empty. */
  emptySinceMs: number
  releasedAtMs: number | undefined
  buckets: Map<string, QuotaBucket>
  /** Credits granted to each account before `limitedUntilMs`. */
  limitedGrants: Map<string, number>
}

/**
 * The times are those of one clock that never goes back.
 *
 * @example
 * const owner = new QuotaOwner({ quotaOf: account => quotas.get(account), ownerTtlMs: 1_000 })
 * owner.acquire(3, EarlierOwner.Ended, nowMs)
 * owner.take(3, ['yard-7', [], [hash], 0, [], []], nowMs) // [[], [0], 0, nowMs, []] if the request may be sent
 */
export class QuotaOwner {
  private readonly _partitions = new Map<number, OwnedPartition>()

  constructor (private readonly _options: QuotaOwnerOptions) {}

  /** Number of accounts with a bucket, those of released partitions included. */
  get bucketCount (): number {
    let count = 0
    for (const { buckets } of this._partitions.values()) count += buckets.size
    return count
  }

  /** True if the partition's credits are granted here, or are kept for its next owner. */
  has (partition: number): boolean {
    return this._partitions.has(partition)
  }

  /** Begins to grant; what this node granted as an earlier owner of the partition is forgotten. */
  acquire (partition: number, earlierOwner: EarlierOwner, nowMs: number): void {
    const limitedUntilMs = earlierOwner === EarlierOwner.Ended ? nowMs : nowMs + this._options.ownerTtlMs
    this._partitions.set(partition, { earlierOwner, ownedSinceMs: nowMs, limitedUntilMs, emptySinceMs: limitedUntilMs, releasedAtMs: undefined, buckets: new Map(), limitedGrants: new Map() })
  }

  /** Applies the reply of the earlier owner that was asked: its buckets, or undefined if it has none. Without a reply, `earlierOwner` is `Unknown`. */
  resolveEarlierOwner (partition: number, outcome: { handover: QuotaHandover | undefined } | 'noReply', nowMs: number): void {
    const state = this._partitions.get(partition)
    if (state?.earlierOwner !== EarlierOwner.Asked) return
    if (outcome === 'noReply') {
      state.earlierOwner = EarlierOwner.Unknown
      return
    }
    state.earlierOwner = EarlierOwner.Ended
    const [emptySinceAgoMs, buckets] = outcome.handover ?? [0, []]
    state.emptySinceMs = nowMs - emptySinceAgoMs
    state.limitedUntilMs = Math.max(nowMs, state.emptySinceMs)
    if (state.limitedUntilMs > nowMs) return
    for (const bucket of buckets) {
      const [account] = bucket
      const quota = this._quotaOf(account)
      if (quota !== undefined && quota !== 'none') state.buckets.set(account, QuotaBucket.fromState(bucket, quota, state.limitedGrants.get(account) ?? 0, nowMs))
    }
  }

  private _quotaOf (account: string): AccountQuota | 'none' | undefined {
    const quota = this._options.quotaOf(account)
    if (quota === undefined || quota === 'none') return quota
    return { ratePerS: quota.ratePerS, burst: quota.burst + (this._options.burstAllowance ?? DEFAULT_BURST_ALLOWANCE) }
  }

  /** Stops granting and keeps the buckets for the next owner. */
  release (partition: number, nowMs: number): void {
    const state = this._partitions.get(partition)
    if (state !== undefined) state.releasedAtMs ??= nowMs
  }

  /** Stops granting and returns the buckets; undefined if this node has none of the partition. */
  handOver (partition: number, nowMs: number): QuotaHandover | undefined {
    const state = this._partitions.get(partition)
    this._partitions.delete(partition)
    if (state === undefined) return undefined
    return [Math.round(nowMs - state.emptySinceMs), [...state.buckets].map(([account, bucket]) => bucket.toState(account, nowMs))]
  }

  /** Decides on credits; undefined if this node can't decide at the moment. */
  take (partition: number, take: QuotaTake, nowMs: number): QuotaGrant | undefined {
    const state = this._partitions.get(partition)
    if (state === undefined || state.releasedAtMs !== undefined) return undefined
    const [account, known, begins, prefetch, , returns] = take
    const quota = this._quotaOf(account)
    if (quota === undefined) return undefined
    if (quota === 'none') return [known.map(() => 0), begins.map(() => 0), prefetch, Math.floor(nowMs), []]
    if (nowMs < state.limitedUntilMs) return this._takeLimited(state, take, quota, nowMs)
    const bucket = this._bucketOf(state, account, quota)
    bucket.setQuota(quota, nowMs)
    this._takeBack(state, bucket, returns, nowMs)
    return bucket.take(take, nowMs)
  }

  /** Takes credits back, pairs of number and stamp, and counts requests that used credits, pairs of program and number. */
  giveBack (partition: number, account: string, returns: readonly number[], nowMs: number, counts: readonly number[] = []): void {
    const state = this._partitions.get(partition)
    const bucket = state?.buckets.get(account)
    if (state === undefined || bucket === undefined) return
    this._takeBack(state, bucket, returns, nowMs)
    bucket.countAll(counts, nowMs)
  }

  /** Forgets released partitions and buckets that are full. */
  removeInactive (nowMs: number): void {
    for (const [partition, { releasedAtMs, buckets }] of this._partitions) {
      if (releasedAtMs !== undefined && nowMs - releasedAtMs > RELEASED_RETENTION_MS) this._partitions.delete(partition)
      for (const [account, bucket] of buckets) if (bucket.isIdle(nowMs)) buckets.delete(account)
    }
  }

  private _takeLimited (state: OwnedPartition, [account, known, begins]: QuotaTake, { ratePerS, burst }: AccountQuota, nowMs: number): QuotaGrant | undefined {
    const { limitedGrants, limitedUntilMs, earlierOwner } = state
    const granted = limitedGrants.get(account) ?? 0
    let left = Math.max(0, Math.floor(Math.min(Math.max(1, burst), this._options.limitedCredits ?? DEFAULT_LIMITED_CREDITS)) - granted)
    if (earlierOwner === EarlierOwner.Asked && left < known.length + begins.length) return undefined
    const before = left
    const retryAfterMs = Math.ceil(limitedUntilMs - nowMs + 1000 / ratePerS)
    const decide = (): number => left-- > 0 ? 0 : retryAfterMs
    const grant: QuotaGrant = [known.map(decide), begins.map(decide), 0, Math.floor(nowMs), []]
    limitedGrants.set(account, granted + before - Math.max(0, left))
    return grant
  }

  private _bucketOf ({ buckets, emptySinceMs }: OwnedPartition, account: string, quota: AccountQuota): QuotaBucket {
    let bucket = buckets.get(account)
    if (bucket === undefined) {
      bucket = new QuotaBucket(quota, { tokens: 0, atMs: emptySinceMs })
      buckets.set(account, bucket)
    }
    return bucket
  }

  private _takeBack ({ ownedSinceMs }: OwnedPartition, bucket: QuotaBucket, returns: readonly number[], nowMs: number): void {
    const { maxReturnAgeMs = DEFAULT_MAX_RETURN_AGE_MS } = this._options
    for (let index = 0; index + 1 < returns.length; index += 2) {
      const stampMs = returns[index + 1]
      const ageMs = nowMs - stampMs
      if (ageMs >= 0 && ageMs <= maxReturnAgeMs && stampMs >= Math.floor(ownedSinceMs)) bucket.giveBack(returns[index], nowMs)
    }
  }
}
