/** Checks a route document for errors, for entries without effect and for limits that contradict each other. */
import type { ClientAccount } from '../../accounts/clientAccount.js'
import { type Route, type RouteDocument, RouteKind } from '../../routing/routeDocument.js'

/** `Error`: requests fail, or an entry does something else than it says. `Warning`: an entry has no effect, or a limit can hardly be meant. */
export const FindingSeverity = { Error: 'error', Warning: 'warning' } as const
export type FindingSeverity = typeof FindingSeverity[keyof typeof FindingSeverity]

export interface DocumentFinding {
  severity: FindingSeverity
  /** Identifies the rule, for example `unknownService`. */
  rule: string
  /** Path of the entry in the document, for example `['routes', 2, 'service']`. */
  path: Array<string | number>
  /** What is wrong, and what would be right. Never holds an access key. */
  message: string
}

/** What is known of the deployment; checks that need an absent figure are left out. */
export interface DocumentCheckOptions {
  /** Memory of the smallest node. */
  memoryBytes?: number
  /** Nodes that share the connections to a worker. */
  nodeCount?: number
  /** Replaces an access key in messages. */
  digestKey: (accessKey: string) => string
}

/** A program has several turns; one that is continued must outlast at least the next turn and the pause before it. */
const MIN_RETAINED_TURNS = 2
/** A body is held once as read and once as sent to a worker. */
const COPIES_OF_BODY = 2

/**
 * @example
 * checkDocument(document, { digestKey }).filter(({ severity }) => severity === FindingSeverity.Error)
 */
export function checkDocument (document: RouteDocument, options: DocumentCheckOptions): DocumentFinding[] {
  return [
    ...checkRoutes(document),
    ...checkServices(document, options),
    ...checkAccounts(document.accounts ?? [], options),
    ...checkLimits(document, options)
  ]
}

function checkRoutes ({ routes, services }: RouteDocument): DocumentFinding[] {
  const names = new Set(services.map(({ name }) => name))
  const firstByPrefix = new Map<string, Route>()
  return routes.flatMap((route, index) => {
    const findings: DocumentFinding[] = []
    const add = (severity: FindingSeverity, rule: string, field: string, message: string): void => {
      findings.push({ severity, rule, path: ['routes', index, field], message: `route ${route.name}: ${message}` })
    }
    const key = `${route.host.toLowerCase()} ${route.pathPrefix}`
    const first = firstByPrefix.get(key)
    if (first === undefined) firstByPrefix.set(key, route)
    else add(FindingSeverity.Error, 'shadowedRoute', 'path_prefix', `never matches, because route ${first.name} has the same host and prefix; remove one of them or change its prefix`)
    if (!route.pathPrefix.endsWith('/')) add(FindingSeverity.Error, 'openPrefix', 'path_prefix', `never matches, because the prefix ${route.pathPrefix} does not end with a slash`)
    if (route.targets.length === 0) add(FindingSeverity.Error, 'noService', 'service', 'names no service; set "service" or "split"')
    else if (route.targets.every(({ weight }) => weight === 0)) add(FindingSeverity.Error, 'noWeight', 'split', 'all weights are 0, so that no service gets requests; set one above 0')
    for (const { service, weight } of route.targets) {
      if (!names.has(service)) add(FindingSeverity.Error, 'unknownService', 'service', `the service ${service} is not in the document; known are ${[...names].join(', ')}`)
      else if (weight === 0 && route.targets.length > 1) add(FindingSeverity.Warning, 'zeroWeight', 'split', `the service ${service} has the weight 0 and gets no requests`)
    }
    if (route.objectiveMs > route.timeoutMs) add(FindingSeverity.Error, 'objectiveOverTimeout', 'slo_ms', `the objective of ${route.objectiveMs} ms is above the time-out of ${route.timeoutMs} ms, at which requests end`)
    if (route.maxAttempts > 1 && !mayRepeat(route)) add(FindingSeverity.Warning, 'attemptsWithoutRepeat', 'attempts', `${route.maxAttempts} attempts have little effect: a ${route.kind} request of this route is sent again only if a worker refused it; 1 would say so`)
    if (route.retainsTurns && route.turnRetentionMs < MIN_RETAINED_TURNS * route.timeoutMs) add(FindingSeverity.Warning, 'shortRetention', 'retain_s', `turns are retained for ${route.turnRetentionMs} ms, less than two turns of ${route.timeoutMs} ms each may take; programs lose their history`)
    return findings
  })
}

function mayRepeat ({ kind, canResume }: Route): boolean {
  return kind === RouteKind.Safe || (kind === RouteKind.Stream && canResume)
}

function checkServices ({ routes, services }: RouteDocument, { nodeCount }: DocumentCheckOptions): DocumentFinding[] {
  const used = new Set(routes.flatMap(({ targets }) => targets.filter(({ weight }) => weight > 0).map(({ service }) => service)))
  const seen = new Set<string>()
  return services.flatMap(({ name, maxConnections }, index) => {
    const findings: DocumentFinding[] = []
    const add = (severity: FindingSeverity, rule: string, field: string, message: string): void => {
      findings.push({ severity, rule, path: ['services', index, field], message: `service ${name}: ${message}` })
    }
    if (seen.has(name)) add(FindingSeverity.Error, 'duplicateService', 'name', 'stands twice; the last entry counts')
    seen.add(name)
    if (!used.has(name)) add(FindingSeverity.Warning, 'unusedService', 'name', 'no route sends requests to it')
    if (nodeCount !== undefined && maxConnections < nodeCount) add(FindingSeverity.Warning, 'fewConnections', 'max_conns', `a worker accepts ${maxConnections} connections, fewer than one for each of ${nodeCount} nodes`)
    return findings
  })
}

function checkAccounts (accounts: readonly ClientAccount[], { digestKey }: DocumentCheckOptions): DocumentFinding[] {
  const holderByKey = new Map<string, string>()
  const names = new Set<string>()
  return accounts.flatMap(({ name, accessKeys, quota }, index) => {
    const findings: DocumentFinding[] = []
    const add = (severity: FindingSeverity, rule: string, field: string, message: string): void => {
      findings.push({ severity, rule, path: ['tenants', index, field], message: `account ${name}: ${message}` })
    }
    if (names.has(name)) add(FindingSeverity.Error, 'duplicateAccount', 'name', 'stands twice; the quota of the first entry counts')
    names.add(name)
    for (const key of accessKeys) {
      const holder = holderByKey.get(key)
      if (holder === undefined) holderByKey.set(key, name)
      else add(holder === name ? FindingSeverity.Warning : FindingSeverity.Error, 'sharedKey', 'api_keys', `the key with the digest ${digestKey(key)} is held by account ${holder} already, which its requests count for`)
    }
    if (quota !== undefined && accessKeys.length === 0) add(FindingSeverity.Warning, 'quotaWithoutKey', 'rate_per_s', 'has a quota and no access key, so that nobody can use it')
    if (quota !== undefined && quota.burst < 1) add(FindingSeverity.Error, 'burstBelowOne', 'burst', `a burst of ${quota.burst} holds no request, so that all are refused; set at least 1`)
    return findings
  })
}

function checkLimits ({ limits: { headerBytes, bodyBytes, headerTimeoutMs, idleTimeoutMs } }: RouteDocument, { memoryBytes }: DocumentCheckOptions): DocumentFinding[] {
  const findings: DocumentFinding[] = []
  const add = (severity: FindingSeverity, rule: string, field: string, message: string): void => { findings.push({ severity, rule, path: ['limits', field], message }) }
  if (memoryBytes !== undefined && COPIES_OF_BODY * bodyBytes > memoryBytes) add(FindingSeverity.Error, 'bodyOverMemory', 'body_bytes', `a body of ${bodyBytes} bytes, held twice, does not fit into the ${memoryBytes} bytes of the smallest node`)
  if (headerBytes > bodyBytes) add(FindingSeverity.Warning, 'headerOverBody', 'header_bytes', `heads of ${headerBytes} bytes may be larger than bodies of ${bodyBytes}`)
  if (headerTimeoutMs > idleTimeoutMs) add(FindingSeverity.Warning, 'headerOverIdle', 'header_timeout_ms', `a head may take ${headerTimeoutMs} ms, and a connection without a request is closed after ${idleTimeoutMs} ms`)
  return findings
}
