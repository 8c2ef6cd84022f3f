/** Describes what a new route document changes for callers and workers. */
import type { AccountQuota } from '../../accounts/clientAccount.js'
import type { Route, RouteDocument, RoutedService, WeightedService } from '../../routing/routeDocument.js'

/** One effect of a new document. */
export interface DocumentChange {
  /** The entry that differs, for example `route orders`. */
  subject: string
  /** What happens when the document is applied. Never holds an access key. */
  effect: string
}

export interface DocumentChangesOptions {
  /** Replaces an access key in messages. */
  digestKey: (accessKey: string) => string
}

/**
 * @example
 * describeChanges(active, edited, { digestKey }) // [{ subject: 'account yard-7', effect: 'the quota falls from 20 to 10 requests a second' }]
 */
export function describeChanges (before: RouteDocument, after: RouteDocument, { digestKey }: DocumentChangesOptions): DocumentChange[] {
  const changes: DocumentChange[] = []
  const add = (subject: string, effect: string): void => { changes.push({ subject, effect }) }
  if (after.version <= before.version) add('document', `nodes ignore version ${after.version}, because version ${before.version} is active`)
  compareByName(before.routes, after.routes, {
    removed: ({ name, host, pathPrefix }) => add(`route ${name}`, `requests to ${host}${pathPrefix} match a shorter prefix or get 404`),
    added: ({ name, host, pathPrefix, targets }) => add(`route ${name}`, `requests to ${host}${pathPrefix} are served by ${formatTargets(targets)}`),
    both: (earlier, later) => { for (const effect of routeEffects(earlier, later)) add(`route ${later.name}`, effect) }
  })
  compareByName(before.services, after.services, {
    removed: ({ name }) => add(`service ${name}`, 'its workers get no further requests'),
    added: ({ name }) => add(`service ${name}`, 'its workers may get requests'),
    both: (earlier, later) => { for (const effect of serviceEffects(earlier, later)) add(`service ${later.name}`, effect) }
  })
  if (before.accounts === undefined && after.accounts !== undefined) add('accounts', 'requests need an access key from now on')
  if (before.accounts !== undefined && after.accounts === undefined) add('accounts', 'requests need no access key any more')
  compareByName(before.accounts ?? [], after.accounts ?? [], {
    removed: ({ name, accessKeys }) => add(`account ${name}`, `is removed; requests with its ${accessKeys.length} keys get 401`),
    added: ({ name, accessKeys, quota }) => add(`account ${name}`, `is added with ${accessKeys.length} keys and ${formatQuota(quota)}`),
    both: (earlier, later) => {
      const subject = `account ${later.name}`
      for (const key of earlier.accessKeys) if (!later.accessKeys.includes(key)) add(subject, `the key with the digest ${digestKey(key)} is withdrawn; requests with it get 401`)
      for (const key of later.accessKeys) if (!earlier.accessKeys.includes(key)) add(subject, `a key with the digest ${digestKey(key)} is added`)
      if (formatQuota(earlier.quota) !== formatQuota(later.quota)) add(subject, `the quota ${directionOf(earlier.quota, later.quota)} from ${formatQuota(earlier.quota)} to ${formatQuota(later.quota)}`)
      if (earlier.priority !== later.priority) add(subject, `its requests get the priority ${later.priority ?? 'of their route'} in place of ${earlier.priority ?? 'that of their route'}`)
    }
  })
  for (const [name, value] of Object.entries(after.limits)) {
    const earlier = before.limits[name as keyof typeof before.limits]
    if (earlier !== value) add('limits', `${name} ${value > earlier ? 'rises' : 'falls'} from ${earlier} to ${value}`)
  }
  return changes
}

function * routeEffects (before: Route, after: Route): Generator<string> {
  if (before.host.toLowerCase() !== after.host.toLowerCase() || before.pathPrefix !== after.pathPrefix) yield `serves ${after.host}${after.pathPrefix} in place of ${before.host}${before.pathPrefix}`
  if (formatTargets(before.targets) !== formatTargets(after.targets)) yield `its requests go to ${formatTargets(after.targets)} in place of ${formatTargets(before.targets)}`
  if (before.kind !== after.kind) yield `its requests count as ${after.kind} in place of ${before.kind}, which changes whether they may be repeated`
  if (before.timeoutMs !== after.timeoutMs) yield `requests end after ${after.timeoutMs} ms in place of ${before.timeoutMs} ms`
  if (before.objectiveMs !== after.objectiveMs) yield `the objective is ${after.objectiveMs} ms in place of ${before.objectiveMs} ms`
  if (before.priority !== after.priority) yield `the priority is ${after.priority} in place of ${before.priority}`
  if (before.maxAttempts !== after.maxAttempts) yield `a request may go to ${after.maxAttempts} workers in place of ${before.maxAttempts}`
  if (before.retainsTurns !== after.retainsTurns) yield after.retainsTurns ? 'turns are retained, so that later ones can continue them' : 'turns are no longer retained; those that continue an earlier one get 404'
  if (after.retainsTurns && before.turnRetentionMs !== after.turnRetentionMs) yield `new turns are retained for ${after.turnRetentionMs} ms in place of ${before.turnRetentionMs} ms`
  if (before.canResume !== after.canResume) yield after.canResume ? 'broken streams may continue at another worker' : 'broken streams end'
  if ((before.isOpen === true) !== (after.isOpen === true)) yield after.isOpen === true ? 'requests need no access key' : 'requests need an access key'
}

function * serviceEffects (before: RoutedService, after: RoutedService): Generator<string> {
  if (before.maxConnections !== after.maxConnections) yield `a worker accepts ${after.maxConnections} connections in place of ${before.maxConnections}`
  if (before.healthPath !== after.healthPath) yield `the health check is ${after.healthPath} in place of ${before.healthPath}`
  if (JSON.stringify(before.engine) !== JSON.stringify(after.engine)) yield 'the properties of its engines differ, and with them how many requests a worker gets at once'
}

interface Comparison<T> {
  removed: (earlier: T) => void
  added: (later: T) => void
  both: (earlier: T, later: T) => void
}

function compareByName<T extends { name: string }> (before: readonly T[], after: readonly T[], { removed, added, both }: Comparison<T>): void {
  const later = new Map(after.map(entry => [entry.name, entry]))
  const earlierNames = new Set(before.map(({ name }) => name))
  for (const entry of before) {
    const match = later.get(entry.name)
    if (match === undefined) removed(entry)
    else both(entry, match)
  }
  for (const entry of after) if (!earlierNames.has(entry.name)) added(entry)
}

function formatTargets (targets: readonly WeightedService[]): string {
  const used = targets.filter(({ weight }) => weight > 0)
  const total = used.reduce((sum, { weight }) => sum + weight, 0)
  if (used.length === 0) return 'no service'
  return used.map(({ service, weight }) => used.length === 1 ? service : `${service} (${Math.round(100 * weight / total)}%)`).join(' and ')
}

function formatQuota (quota: AccountQuota | undefined): string {
  return quota === undefined ? 'no limit' : `${quota.ratePerS} requests a second with a burst of ${quota.burst}`
}

function directionOf (before: AccountQuota | undefined, after: AccountQuota | undefined): string {
  const rateOf = (quota: AccountQuota | undefined): number => quota?.ratePerS ?? Number.POSITIVE_INFINITY
  return rateOf(after) < rateOf(before) ? 'is lowered' : rateOf(after) > rateOf(before) ? 'is raised' : 'changes'
}
