/** Obtains credits for the requests of accounts with a quota, from this node or from the peer that owns the quota. */
import { ageOf, hash32, type IRouteTable, LEASE_MS, type LogFields, type QuotaCredit, type QuotaGrant, QuotaLease, type QuotaTake } from '@trefoilshunt/core'
import type { Metrics } from '../../../common/metrics.js'
import type { QuotaReturn } from '../../../common/routed/routedPeerMessages.js'
import { type Refusal, RefusalReason, type RoutedRequest } from '../../../common/routed/routedRequest.js'
import { readClocks, steadyNowMs } from '../../steadyClock.js'
import type { NodeDirectory } from '../nodeDirectory.js'
import type { PeerMesh } from '../peerMesh.js'
import type { QuotaService } from './quotaService.js'

/** Longest time for which a request waits for the owner of its quota, and the share of its time. */
const MAX_WAIT_MS = 300
const MAX_WAIT_SHARE = 0.2
/** Retry-after while the owner is unavailable. */
const UNAVAILABLE_RETRY_AFTER_MS = 300
/** Pause before a question that nobody could answer is repeated. */
const RETRY_MS = 50
/** Owners of partitions are looked up this often; each look-up reads the statuses of all peers. */
const OWNER_CACHE_MS = 50
/** Period at which expired credits are returned: well within the 100 ms in which the owner takes them back. */
const EXPIRY_PERIOD_MS = 50
/** Refusals of an account, and lost leases, are logged at most this often. */
const LOG_PERIOD_MS = 1_000

/** A credit for a request, to be given back if the request is not sent; or a refusal. */
export type QuotaOutcome = { type: 'granted', credit: QuotaCredit } | { type: 'refused', refusal: Refusal }

export interface QuotaClientOptions {
  node: string
  routes: IRouteTable
  service: QuotaService
  directory: NodeDirectory
  mesh: PeerMesh
  metrics: Metrics
  /** The label of an account in metrics. */
  labelOf: (account: string) => string
  write: (event: string, fields: LogFields) => void
}

interface Waiter {
  account: string
  program: number
  isKnown: boolean
  timer: NodeJS.Timeout
  /** Undefined once it is decided. */
  resolve: ((outcome: QuotaOutcome) => void) | undefined
}

/** The requests that a question is for, in its order. */
interface Question {
  take: QuotaTake
  known: Waiter[]
  begins: Waiter[]
}

/**
 * @example
 * const outcome = quotas.take(request, timeLeftMs) // undefined for a request without a quota
 * if (outcome?.type === 'granted') quotas.giveBack(outcome.credit)
 */
export class QuotaClient {
  private readonly _lease = new QuotaLease()
  /** Requests that no question is under way for, by account. */
  private readonly _waiting = new Map<string, Set<Waiter>>()
  private readonly _owners = new Map<number, { owner: string | undefined, atMs: number }>()
  private readonly _refused = new Map<string, { requests: number, writtenAtMs: number }>()
  private _lapseWrittenAtMs = Number.NEGATIVE_INFINITY
  private _isFlushScheduled = false
  private _retryTimer: NodeJS.Timeout | undefined
  private _expiryTimer: NodeJS.Timeout | undefined
  private _openCount = 0

  constructor (private readonly _options: QuotaClientOptions) {}

  /** Unused credits of other owners. */
  get creditCount (): number {
    return this._lease.creditCount
  }

  /** Requests that wait for a decision. */
  get waitingCount (): number {
    return this._openCount
  }

  /** Decides at once where it can; undefined if the request has no quota. */
  take ({ account, program: context }: RoutedRequest, timeLeftMs: number): QuotaOutcome | Promise<QuotaOutcome> | undefined {
    const { routes, service } = this._options
    if (account === undefined || routes.accounts?.find(account)?.quota === undefined) return undefined
    const program = context === undefined ? 0 : hash32(context.programId) || 1
    const use = this._lease.use(account, program, readClocks())
    if (use.type === 'used') return { type: 'granted', credit: use.credit }
    const isKnown = use.type === 'known'
    const outcome = service.isOwnerOf(account) ? this._takeHere({ account, program, isKnown }) : undefined
    return outcome ?? this._wait({ account, program, isKnown }, Math.min(MAX_WAIT_MS, MAX_WAIT_SHARE * timeLeftMs))
  }

  /** Returns the credit of a request that was not sent. */
  giveBack (credit: QuotaCredit): void {
    if (credit.owner === this._options.node) {
      this._options.service.giveBack(credit.account, [1, credit.stampMs], [credit.program, -1])
    } else {
      this._lease.giveBack(credit, readClocks())
      this._scheduleExpiry()
    }
  }

  /** Forgets accounts without requests for some time. */
  removeInactive (): void {
    this._returnExpired()
  }

  dispose (): void {
    clearTimeout(this._retryTimer)
    clearTimeout(this._expiryTimer)
    for (const waiters of this._waiting.values()) for (const { timer } of waiters) clearTimeout(timer)
  }

  /** Asks this node, as the owner; undefined if it can't decide at the moment. */
  private _takeHere ({ account, program, isKnown }: Pick<Waiter, 'account' | 'program' | 'isKnown'>): QuotaOutcome | undefined {
    const { node: owner, service } = this._options
    const askedAt = readClocks()
    const take = this._lease.compose(account, { owner, known: isKnown ? [program] : [], begins: isKnown ? [] : [program], mayPrefetch: false }, askedAt)
    const grant = service.take(take)
    this._lease.apply(take, { owner, askedAt }, grant)
    if (grant === undefined) return undefined
    const [known, begins, , stampMs] = grant
    const retryAfterMs = isKnown ? known[0] : begins[0]
    return retryAfterMs === 0 ? { type: 'granted', credit: { account, program, owner, stampMs, askedAt } } : this._refuse(account, retryAfterMs)
  }

  private async _wait (request: Pick<Waiter, 'account' | 'program' | 'isKnown'>, maxWaitMs: number): Promise<QuotaOutcome> {
    const startedMs = steadyNowMs()
    this._openCount++
    const outcome = await new Promise<QuotaOutcome>(resolve => {
      const waiter: Waiter = { ...request, resolve, timer: setTimeout(() => this._settle(waiter, this._refuse(request.account)), maxWaitMs) }
      this._enqueue(waiter)
      this._scheduleFlush()
    })
    this._openCount--
    this._options.metrics.observeMs('quota_wait_ms', steadyNowMs() - startedMs, { outcome: outcome.type })
    return outcome
  }

  private _enqueue (waiter: Waiter): void {
    const waiters = this._waiting.get(waiter.account)
    if (waiters === undefined) this._waiting.set(waiter.account, new Set([waiter]))
    else waiters.add(waiter)
  }

  private _settle (waiter: Waiter, outcome: QuotaOutcome): void {
    const { resolve, account, timer } = waiter
    if (resolve === undefined) {
      if (outcome.type === 'granted') this.giveBack(outcome.credit)
      return
    }
    waiter.resolve = undefined
    clearTimeout(timer)
    const waiters = this._waiting.get(account)
    if (waiters?.delete(waiter) === true && waiters.size === 0) this._waiting.delete(account)
    resolve(outcome)
  }

  /** Requests that arrive at the same moment share a question. */
  private _scheduleFlush (): void {
    if (this._isFlushScheduled) return
    this._isFlushScheduled = true
    setImmediate(() => {
      this._isFlushScheduled = false
      this._flush()
    })
  }

  private _flush (): void {
    const questions = new Map<string, Question[]>()
    for (const [account, waiters] of [...this._waiting]) {
      for (const waiter of [...waiters]) this._serveFromLease(waiter)
      if (waiters.size === 0) continue
      if (this._options.service.isOwnerOf(account)) {
        for (const waiter of [...waiters]) {
          const outcome = this._takeHere(waiter)
          if (outcome !== undefined) this._settle(waiter, outcome)
        }
        if (waiters.size > 0) this._scheduleRetry()
        continue
      }
      const owner = this._ownerOf(account)
      if (owner === undefined) this._scheduleRetry()
      else this._addQuestion(questions, owner, account, waiters)
    }
    for (const [owner, list] of questions) this._ask(owner, list)
  }

  private _addQuestion (questions: Map<string, Question[]>, owner: string, account: string, waiters: Set<Waiter>): void {
    // Requests of programs in progress wait for the credits that are under way.
    const isPrefetching = this._lease.isPrefetching(account)
    const begins = [...waiters].filter(({ isKnown }) => !isKnown)
    const known = isPrefetching ? [] : [...waiters].filter(({ isKnown }) => isKnown)
    if (begins.length + known.length === 0) return
    for (const waiter of [...begins, ...known]) waiters.delete(waiter)
    if (waiters.size === 0) this._waiting.delete(account)
    const take = this._lease.compose(account, { owner, known: known.map(({ program }) => program), begins: begins.map(({ program }) => program) }, readClocks())
    const list = questions.get(owner)
    if (list === undefined) questions.set(owner, [{ take, known, begins }])
    else list.push({ take, known, begins })
  }

  private _ask (owner: string, questions: Question[]): void {
    const askedAt = readClocks()
    this._options.metrics.count('quota_questions_total')
    this._options.mesh.request(owner, { type: 'quotaTake', takes: questions.map(({ take }) => take) }, {
      timeoutMs: MAX_WAIT_MS,
      onReply: reply => {
        const isUsable = reply?.type === 'quotaGrants' && ageOf(askedAt, readClocks()) < LEASE_MS
        let isDecided = false
        for (const [index, question] of questions.entries()) {
          const grant = isUsable ? reply.grants[index] ?? undefined : undefined
          this._lease.apply(question.take, { owner, askedAt }, grant)
          if (grant === undefined) {
            this._repeat(question)
          } else {
            isDecided = true
            this._applyGrant(question, grant, { owner, askedAt })
          }
        }
        if (isDecided && this._waiting.size > 0) this._scheduleFlush()
      }
    })
  }

  private _applyGrant ({ take: [account], known, begins }: Question, [knownReplies, beginReplies, , stampMs]: QuotaGrant, { owner, askedAt }: Pick<QuotaCredit, 'owner' | 'askedAt'>): void {
    const replies = [...knownReplies, ...beginReplies]
    for (const [index, waiter] of [...known, ...begins].entries()) {
      const retryAfterMs = replies[index]
      if (retryAfterMs === 0) this._settle(waiter, { type: 'granted', credit: { account, program: waiter.program, owner, stampMs, askedAt } })
      else if (waiter.resolve !== undefined) this._settle(waiter, this._refuse(account, retryAfterMs))
    }
    this._scheduleExpiry()
  }

  /** Keeps the requests of a question that nobody has answered waiting for another owner. */
  private _repeat ({ take: [account], known, begins }: Question): void {
    this._owners.delete(this._options.service.partitionOf(account))
    for (const waiter of [...known, ...begins]) if (waiter.resolve !== undefined) this._enqueue(waiter)
    this._scheduleRetry()
  }

  private _serveFromLease (waiter: Waiter): void {
    if (!waiter.isKnown) return
    const credit = this._lease.useHeld(waiter.account, waiter.program, readClocks())
    if (credit !== undefined) this._settle(waiter, { type: 'granted', credit })
  }

  private _ownerOf (account: string): string | undefined {
    const { service, directory } = this._options
    const partition = service.partitionOf(account)
    const nowMs = steadyNowMs()
    const known = this._owners.get(partition)
    if (known !== undefined && nowMs - known.atMs < OWNER_CACHE_MS) return known.owner
    const owner = directory.ownerOf(partition)
    this._owners.set(partition, { owner, atMs: nowMs })
    return owner
  }

  /** A refusal for quota, or without a retry time because no owner has decided. */
  private _refuse (account: string, retryAfterMs?: number): QuotaOutcome {
    const { metrics, labelOf, write } = this._options
    const reason = retryAfterMs === undefined ? RefusalReason.QuotaUnavailable : RefusalReason.QuotaExceeded
    metrics.count('quota_refusals_total', { account: labelOf(account), reason })
    const nowMs = steadyNowMs()
    const refused = this._refused.get(account) ?? { requests: 0, writtenAtMs: Number.NEGATIVE_INFINITY }
    this._refused.set(account, refused)
    refused.requests++
    if (nowMs - refused.writtenAtMs >= LOG_PERIOD_MS) {
      write('quotaRefused', { account, reason, requests: refused.requests, retryAfterMs })
      refused.requests = 0
      refused.writtenAtMs = nowMs
    }
    if (retryAfterMs === undefined) return { type: 'refused', refusal: { status: 503, reason, retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS } }
    return { type: 'refused', refusal: { status: 429, reason, retryAfterMs } }
  }

  private _scheduleRetry (): void {
    this._retryTimer ??= setTimeout(() => {
      this._retryTimer = undefined
      this._flush()
    }, RETRY_MS)
  }

  private _scheduleExpiry (): void {
    if (this._lease.isIdle) return
    this._expiryTimer ??= setTimeout(() => {
      this._expiryTimer = undefined
      this._returnExpired()
      this._scheduleExpiry()
    }, EXPIRY_PERIOD_MS)
  }

  private _returnExpired (): void {
    const { mesh, service, node, write } = this._options
    const returns = new Map<string, QuotaReturn[]>()
    for (const { account, owner, returns: credits, counts } of this._lease.expire(readClocks())) {
      if (owner === node) service.giveBack(account, credits, counts)
      else returns.set(owner, [...returns.get(owner) ?? [], [account, credits, counts]])
    }
    for (const [owner, list] of returns) {
      if (mesh.isConnected(owner)) {
        mesh.notify(owner, { type: 'quotaReturn', returns: list })
      } else if (steadyNowMs() - this._lapseWrittenAtMs >= LOG_PERIOD_MS) {
        this._lapseWrittenAtMs = steadyNowMs()
        write('quotaLeaseLapsed', { owner, accounts: list.length, credits: list.reduce((total, [, credits]) => total + credits.reduce((sum, value, index) => index % 2 === 0 ? sum + value : sum, 0), 0) })
      }
    }
  }
}
