/** Checks the access key of each request, before it is handled and again before it is sent to a worker. */
import { createHash } from 'node:crypto'
import { type AccessDecision, decideAccess, type IRouteTable, type LogFields, type Route, scopeId } from '@trefoilshunt/core'
import type { Metrics } from '../../../common/metrics.js'
import { type Refusal, RefusalReason, type RoutedRequest } from '../../../common/routed/routedRequest.js'

/** Retry-after while the document may be out of date; a read of the log takes a few milliseconds. */
const STALE_RETRY_AFTER_MS = 300
/** Digits of the digest by which a log line names a refused key. */
const DIGEST_DIGITS = 8
/** Accounts with metrics of their own; the others are counted together. */
const MAX_METRIC_ACCOUNTS = 256
const OTHER_ACCOUNTS = 'other'
/** While the document is older than this share of the limit on withdrawn keys, a read of the log is tried in addition to the periodic ones. */
const REFRESH_AGE_SHARE = 0.65
const REFRESH_INTERVAL_MS = 200

export interface AccessControlOptions {
  routes: IRouteTable
  metrics: Metrics
  /** Longest time for which a withdrawn access key may be served; undefined without a limit. */
  withdrawnKeyLimitMs: number | undefined
  documentAgeMs: () => number
  /** Reads the log now; true if the active document is the newest one. */
  confirmDocument: () => Promise<boolean>
  /** Asks the peers for the age of their documents; the replies change `documentAgeMs`. */
  askPeers: () => void
  nowMs: () => number
  write: (event: string, fields: LogFields) => void
}

/** A request that may be handled, with the ids of its account's scope, or a refusal. */
export type AccessOutcome = { type: 'allowed', request: RoutedRequest, route: Route } | { type: 'refused', refusal: Refusal }

/**
 * @example
 * const outcome = await access.authorize(request, route)
 * access.recheck(request, route) // undefined while the request may be sent to a worker
 */
export class AccessControl {
  private readonly _metricAccounts = new Set<string>()
  private _isStale = false
  private _lastRefreshAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _options: AccessControlOptions) {}

  /** Returns at once unless the key is unknown; then the log is asked whether there is a newer document that knows it. */
  authorize (request: RoutedRequest, route: Route): AccessOutcome | Promise<AccessOutcome> {
    const decision = this._decide(request, route)
    return decision.type === 'uncertain' ? this._authorizeByLog(request, route) : this._toOutcome(decision, request, route)
  }

  /** The refusal of a request whose key was withdrawn, or may have been, since it was authorized; undefined if it may be sent. */
  recheck (request: RoutedRequest, route: Route): Refusal | undefined {
    if (request.account === undefined) return undefined
    const decision = this._decide(request, route)
    if (decision.type === 'account' && decision.account.name === request.account) return undefined
    return decision.type === 'unauthorized' ? UNAUTHORIZED : STALE
  }

  /** Counts the end of a request in the metrics of its account. */
  countEnd (account: string | undefined, outcome: string, status: number): void {
    if (account !== undefined) this._options.metrics.count('account_requests_total', { account: this.labelOf(account), outcome, status: String(status) })
  }

  /** The label of an account in metrics; the same for all accounts beyond a bounded number. */
  labelOf (account: string): string {
    const isCounted = this._metricAccounts.has(account) || this._metricAccounts.size < MAX_METRIC_ACCOUNTS
    if (isCounted) this._metricAccounts.add(account)
    return isCounted ? account : OTHER_ACCOUNTS
  }

  private async _authorizeByLog (request: RoutedRequest, route: Route): Promise<AccessOutcome> {
    const isNewest = await this._options.confirmDocument()
    // The document may have changed meanwhile, and with it the account of the key.
    const decision = this._decide(request, route)
    return this._toOutcome(decision.type === 'uncertain' && isNewest ? { type: 'unauthorized' } : decision, request, route)
  }

  private _decide ({ accessKeys = [] }: RoutedRequest, route: Route): AccessDecision {
    const { routes, withdrawnKeyLimitMs, documentAgeMs } = this._options
    if (routes.accounts === undefined) return { type: 'open' }
    const ageMs = documentAgeMs()
    const decision = decideAccess({ directory: routes.accounts, isOpenRoute: route.isOpen === true, accessKeys, documentAgeMs: ageMs, withdrawnKeyLimitMs })
    if (withdrawnKeyLimitMs !== undefined && ageMs > REFRESH_AGE_SHARE * withdrawnKeyLimitMs) this._refresh()
    if (decision.type === 'account' || decision.type === 'stale') this._reportStaleness(decision.type === 'stale', ageMs)
    return decision
  }

  private _refresh (): void {
    const { nowMs, confirmDocument, askPeers } = this._options
    if (nowMs() - this._lastRefreshAtMs < REFRESH_INTERVAL_MS) return
    this._lastRefreshAtMs = nowMs()
    void confirmDocument()
    askPeers()
  }

  private _reportStaleness (isStale: boolean, ageMs: number): void {
    if (isStale === this._isStale) return
    this._isStale = isStale
    this._options.write(isStale ? 'documentStale' : 'documentFresh', { ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined })
  }

  private _toOutcome (decision: AccessDecision, request: RoutedRequest, route: Route): AccessOutcome {
    switch (decision.type) {
      case 'open': return { type: 'allowed', request: this._openRequest(request), route }
      case 'account': {
        const { name, priority } = decision.account
        return { type: 'allowed', request: scopeRequest(request, name), route: priority === undefined ? route : { ...route, priority } }
      }
      case 'unauthorized':
        this._options.write('accessRefused', { requestId: request.requestId, keys: request.accessKeys?.length ?? 0, keyDigest: digestOf(request.accessKeys?.[0]) })
        return { type: 'refused', refusal: UNAUTHORIZED }
      case 'stale':
      case 'uncertain': return { type: 'refused', refusal: STALE }
    }
  }

  /** Where the document has no accounts, the headers of accounts go on to the worker like any other. */
  private _openRequest (request: RoutedRequest): RoutedRequest {
    const { accountHeaders = [], headers } = request
    if (this._options.routes.accounts !== undefined || accountHeaders.length === 0) return request
    return { ...request, headers: [...headers, ...accountHeaders] }
  }
}

const UNAUTHORIZED: Refusal = { status: 401, reason: RefusalReason.Unauthorized }
const STALE: Refusal = { status: 503, reason: RefusalReason.DocumentStale, retryAfterMs: STALE_RETRY_AFTER_MS }

/** The request with its account, and with the ids inside the system that no other account's request has. */
function scopeRequest (request: RoutedRequest, account: string): RoutedRequest {
  const { requestId, resumedRequestId, program } = request
  const scope = (id: string | undefined): string | undefined => id === undefined ? undefined : scopeId(account, id)
  return {
    ...request,
    account,
    internalId: requestId === '' ? undefined : scopeId(account, requestId),
    resumedRequestId: scope(resumedRequestId),
    program: program === undefined ? undefined : { ...program, programId: scopeId(account, program.programId), previousTurnId: scope(program.previousTurnId) }
  }
}

function digestOf (key: string | undefined): string | undefined {
  return key === undefined || key === '' ? undefined : createHash('sha256').update(key).digest('hex').slice(0, DIGEST_DIGITS)
}
