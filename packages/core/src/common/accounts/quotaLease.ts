/** Credits that a node holds for requests of accounts whose quotas other nodes own. */
import { ageOf, type ClockReading } from './documentFreshness.js'
import type { QuotaGrant, QuotaTake } from './quotaMessages.js'

/**
 * Validity of credits, counted from the moment at which the node asked for them. Requests of a window use credits that were granted at most this long before it. The bound on
 * requests allows for a tenth of a window of 5 s; the rest is for credits that are returned.
 */
export const LEASE_MS = 400
/** Credits for the requests expected in this time are asked for in advance. Shorter than the lease, so that few of them expire. */
const PREFETCH_HORIZON_MS = 250
/** The rate of requests is averaged over about this time. */
const RATE_AVERAGE_MS = 1_000
/** A program is known for this long after its last request here; less than at the owner, which learns of some requests later. */
const PROGRAM_MEMORY_MS = 25_000
/** Requests that used credits are reported after this time if no question has reported them. */
const REPORT_DELAY_MS = 1_000
/** Bounds the memory of an account whose caller begins programs without end. */
const MAX_PROGRAMS = 1_000

/** The right to send one request. */
export interface QuotaCredit {
  account: string
  /** The program that it is counted for; 0 for a request without one. */
  program: number
  /** The node that granted it. */
  owner: string
  stampMs: number
  askedAt: ClockReading
}

/** `used`: the request may be sent. `known` and `begin`: the owner must be asked, naming the program as one in progress or as a new one. */
export type QuotaUse = { type: 'used', credit: QuotaCredit } | { type: 'known' } | { type: 'begin' }

/** What an account's owner is to be told without a question. */
export interface QuotaReport {
  account: string
  owner: string
  counts: number[]
  returns: number[]
}

interface HeldCredits extends Omit<QuotaCredit, 'program'> {
  count: number
}

interface HeldProgram {
  lastAtMs: number
  isRestricted: boolean
}

interface AccountLease {
  held: HeldCredits[]
  expired: HeldCredits[]
  /** In order of their last requests. */
  programs: Map<number, HeldProgram>
  counts: Map<number, number>
  countsSinceMs: number
  owner: string
  /** Requests, each weighed less the longer ago it was. */
  recentRequests: number
  lastAtMs: number
  isPrefetching: boolean
}

/**
 * @example
 * if (lease.use('yard-7', program, now).type !== 'used') {
 *   const take = lease.compose('yard-7', { owner: 'n3', known: [program], begins: [] }, now)
 *   lease.apply(take, { owner: 'n3', askedAt: now }, grant)
 * }
 */
export class QuotaLease {
  private readonly _accounts = new Map<string, AccountLease>()

  /** Unused credits, the expired ones that are not returned yet included. */
  get creditCount (): number {
    let count = 0
    for (const { held, expired } of this._accounts.values()) for (const credits of [...held, ...expired]) count += credits.count
    return count
  }

  /** True if nothing is held, and nothing has to be reported. */
  get isIdle (): boolean {
    for (const { held, expired, counts } of this._accounts.values()) if (held.length + expired.length + counts.size > 0) return false
    return true
  }

  /** True while credits for later requests of the account are asked for. */
  isPrefetching (account: string): boolean {
    return this._accounts.get(account)?.isPrefetching === true
  }

  /** To be called once for each request, which uses a credit if there is one for it. `program` is 0 for a request without a program. */
  use (account: string, program: number, now: ClockReading): QuotaUse {
    const lease = this._leaseOf(account, now)
    lease.recentRequests = lease.recentRequests * Math.exp((lease.lastAtMs - now.steadyMs) / RATE_AVERAGE_MS) + 1
    lease.lastAtMs = now.steadyMs
    const held = lease.programs.get(program)
    const isKnown = held !== undefined && now.steadyMs - held.lastAtMs < PROGRAM_MEMORY_MS
    if (isKnown) {
      held.lastAtMs = now.steadyMs
      lease.programs.delete(program)
      lease.programs.set(program, held)
    }
    if (program === 0 || (isKnown && !held.isRestricted)) {
      const credit = this.useHeld(account, program, now)
      if (credit !== undefined) return { type: 'used', credit }
    }
    return { type: isKnown ? 'known' : 'begin' }
  }

  /** Uses a credit for a request that waits for one; undefined without any. */
  useHeld (account: string, program: number, now: ClockReading): QuotaCredit | undefined {
    const lease = this._leaseOf(account, now)
    this._removeExpired(lease, now)
    const credits = lease.held[0]
    if (credits === undefined || lease.programs.get(program)?.isRestricted === true) return undefined
    if (--credits.count === 0) lease.held.shift()
    countUse(lease, { program, requests: 1 }, now)
    return { account, program, owner: credits.owner, stampMs: credits.stampMs, askedAt: credits.askedAt }
  }

  /** The question for requests that wait; `mayPrefetch` false if the owner is so near that nothing is asked for in advance. */
  compose (account: string, { owner, known, begins, mayPrefetch = true }: { owner: string, known: number[], begins: number[], mayPrefetch?: boolean }, now: ClockReading): QuotaTake {
    const lease = this._leaseOf(account, now)
    this._removeExpired(lease, now)
    const expected = lease.recentRequests * Math.exp((lease.lastAtMs - now.steadyMs) / RATE_AVERAGE_MS) * PREFETCH_HORIZON_MS / RATE_AVERAGE_MS
    const prefetch = mayPrefetch && !lease.isPrefetching && expected >= 1 ? Math.ceil(expected) : 0
    if (prefetch > 0) lease.isPrefetching = true
    const { counts, returns } = takeReport(lease, owner)
    return [account, known, begins, prefetch, counts, returns]
  }

  /** Applies the reply to a question, or undefined if there was none. */
  apply ([account, known, begins, prefetch]: QuotaTake, { owner, askedAt }: { owner: string, askedAt: ClockReading }, grant: QuotaGrant | undefined): void {
    const lease = this._leaseOf(account, askedAt)
    if (prefetch > 0) lease.isPrefetching = false
    if (grant === undefined) return
    const [, beginReplies, granted, stampMs, restricted] = grant
    if (granted > 0) lease.held.push({ account, owner, stampMs, askedAt, count: granted })
    for (const [index, program] of begins.entries()) {
      if (program !== 0 && beginReplies[index] === 0) lease.programs.set(program, { lastAtMs: askedAt.steadyMs, isRestricted: false })
    }
    for (const program of known) {
      const held = lease.programs.get(program)
      if (held !== undefined) held.isRestricted = restricted.includes(program)
    }
    for (const [program, { lastAtMs }] of lease.programs) {
      if (lease.programs.size <= MAX_PROGRAMS && askedAt.steadyMs - lastAtMs < PROGRAM_MEMORY_MS) break
      lease.programs.delete(program)
    }
  }

  /** Takes a credit back whose request was not sent; it serves another request until it expires. */
  giveBack ({ program, ...credit }: QuotaCredit, now: ClockReading): void {
    const lease = this._leaseOf(credit.account, now)
    lease.held.push({ ...credit, count: 1 })
    countUse(lease, { program, requests: -1 }, now)
  }

  /** Moves expired credits out of use, and returns what owners should be told now, because no question has told them. */
  expire (now: ClockReading): QuotaReport[] {
    const reports: QuotaReport[] = []
    for (const [account, lease] of this._accounts) {
      this._removeExpired(lease, now)
      const isDue = lease.counts.size > 0 && now.steadyMs - lease.countsSinceMs > REPORT_DELAY_MS
      const owners = new Set(lease.expired.map(({ owner }) => owner))
      if (isDue && lease.owner !== '') owners.add(lease.owner)
      for (const owner of owners) reports.push({ account, owner, ...takeReport(lease, owner) })
      if (now.steadyMs - lease.lastAtMs > PROGRAM_MEMORY_MS && lease.held.length === 0) this._accounts.delete(account)
    }
    return reports
  }

  private _leaseOf (account: string, { steadyMs }: ClockReading): AccountLease {
    let lease = this._accounts.get(account)
    if (lease === undefined) {
      lease = { held: [], expired: [], programs: new Map(), counts: new Map(), countsSinceMs: steadyMs, owner: '', recentRequests: 0, lastAtMs: steadyMs, isPrefetching: false }
      this._accounts.set(account, lease)
    }
    return lease
  }

  private _removeExpired (lease: AccountLease, now: ClockReading): void {
    if (lease.held.length === 0) return
    const expired = lease.held.filter(({ askedAt }) => ageOf(askedAt, now) >= LEASE_MS)
    if (expired.length === 0) return
    lease.expired.push(...expired)
    lease.held = lease.held.filter(credits => !expired.includes(credits))
  }
}

function countUse (lease: AccountLease, { program, requests }: { program: number, requests: number }, { steadyMs }: ClockReading): void {
  if (lease.counts.size === 0) lease.countsSinceMs = steadyMs
  const count = (lease.counts.get(program) ?? 0) + requests
  if (count === 0) lease.counts.delete(program)
  else lease.counts.set(program, count)
}

/** Removes from a lease what its owner is to be told. */
function takeReport (lease: AccountLease, owner: string): { counts: number[], returns: number[] } {
  lease.owner = owner
  const counts = [...lease.counts].flat()
  lease.counts.clear()
  const returns = lease.expired.filter(credits => credits.owner === owner).flatMap(({ count, stampMs }) => [count, stampMs])
  lease.expired = lease.expired.filter(credits => credits.owner !== owner)
  return { counts, returns }
}
