/** Decides whether a request may be handled, by its access key and the age of the active document. */
import type { ClientAccount, IAccountDirectory } from './clientAccount.js'

/** Subtracted from the operator's limit on the use of withdrawn keys, for clocks that run at slightly different rates. */
const LIMIT_MARGIN_MS = 250
/** An unknown key is refused for good only if the document was the newest one this long ago; it may belong to a document that is on its way. */
const MAX_CERTAIN_AGE_MS = 500

export interface AccessQuery {
  /** Undefined if the active document has no accounts. */
  directory: IAccountDirectory | undefined
  /** True for a route that needs no key. */
  isOpenRoute: boolean
  /** The keys of the request; empty strings for credentials of another form. */
  accessKeys: readonly string[]
  documentAgeMs: number
  /** Longest time for which a withdrawn key may be served; undefined without a limit. */
  withdrawnKeyLimitMs: number | undefined
}

export type AccessDecision =
  | { type: 'open' }
  | { type: 'account', account: ClientAccount }
  /** The request has no key, several, or an unknown one. */
  | { type: 'unauthorized' }
  /** The same, but a newer document may know the key. */
  | { type: 'uncertain' }
  /** The key may have been withdrawn in the meantime. */
  | { type: 'stale' }

/**
 * @example
 * decideAccess({ directory, isOpenRoute: false, accessKeys: ['k1'], documentAgeMs: 900, withdrawnKeyLimitMs: 5_000 })
 */
export function decideAccess ({ directory, isOpenRoute, accessKeys, documentAgeMs, withdrawnKeyLimitMs }: AccessQuery): AccessDecision {
  if (directory === undefined || isOpenRoute) return { type: 'open' }
  const account = accessKeys.length === 1 ? directory.findByKey(accessKeys[0]) : undefined
  if (account === undefined) return { type: documentAgeMs <= MAX_CERTAIN_AGE_MS ? 'unauthorized' : 'uncertain' }
  if (withdrawnKeyLimitMs !== undefined && documentAgeMs >= withdrawnKeyLimitMs - LIMIT_MARGIN_MS) return { type: 'stale' }
  return { type: 'account', account }
}
