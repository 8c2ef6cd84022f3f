import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { checkDocument, type ClientAccount, describeChanges, type Route, type RouteDocument, RouteKind } from '../../../../src/index.js'

const options = { digestKey: (accessKey: string) => `digest of ${accessKey.length}`, memoryBytes: 100_000_000, nodeCount: 79 }
const ROUTE: Route = {
  name: 'r', host: 'h', pathPrefix: '/a/', kind: RouteKind.Safe, timeoutMs: 3_000, objectiveMs: 200, priority: 1, targets: [{ service: 's', weight: 1 }], maxAttempts: 2, retainsTurns: false, turnRetentionMs: 60_000, isSticky: false, canResume: false, maxEventGapMs: 300
}
const SERVICE = { name: 's', healthPath: '/health', maxConnections: 530 }

function createDocument (changes: Partial<RouteDocument> = {}): RouteDocument {
  return { version: 2, routes: [ROUTE], services: [SERVICE], limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }, ...changes }
}

function rulesOf (changes: Partial<RouteDocument>): string[] {
  return checkDocument(createDocument(changes), options).map(({ severity, rule }) => `${severity} ${rule}`)
}

function withRoute (changes: Partial<Route>): Partial<RouteDocument> {
  return { routes: [{ ...ROUTE, ...changes }] }
}

test('a sound document has no findings', () => {
  assert.equal(rulesOf({ accounts: [{ name: 'a', accessKeys: ['k'], quota: { ratePerS: 1, burst: 1 } }] }), [])
})

test('each mistake has its own finding', () => {
  const split = (first: number, second: number) => [{ service: 's', weight: first }, { service: 't', weight: second }]
  const services = [SERVICE, { ...SERVICE, name: 't' }]
  assert.equal(rulesOf({ routes: [ROUTE, { ...ROUTE, name: 'q', host: 'H' }] }), ['error shadowedRoute'])
  assert.equal(rulesOf(withRoute({ pathPrefix: '/a' })), ['error openPrefix'])
  assert.equal(rulesOf(withRoute({ targets: [] })), ['error noService', 'warning unusedService'])
  assert.equal(rulesOf({ ...withRoute({ targets: split(0, 0) }), services }), ['error noWeight', 'warning zeroWeight', 'warning zeroWeight', 'warning unusedService', 'warning unusedService'])
  assert.equal(rulesOf(withRoute({ targets: split(1, 1) })), ['error unknownService'])
  assert.equal(rulesOf(withRoute({ objectiveMs: 4_000 })), ['error objectiveOverTimeout'])
  assert.equal(rulesOf(withRoute({ kind: RouteKind.Unsafe })), ['warning attemptsWithoutRepeat'])
  assert.equal(rulesOf(withRoute({ kind: RouteKind.Stream, canResume: true, retainsTurns: true, turnRetentionMs: 5_000 })), ['warning shortRetention'])
  assert.equal(rulesOf({ services: [SERVICE, SERVICE] }), ['error duplicateService'])
  assert.equal(rulesOf({ services: [{ ...SERVICE, maxConnections: 20 }] }), ['warning fewConnections'])
  assert.equal(rulesOf({ accounts: [{ name: 'a', accessKeys: ['k'] }, { name: 'b', accessKeys: ['k'] }] }), ['error sharedKey'])
  assert.equal(rulesOf({ accounts: [{ name: 'a', accessKeys: ['k'] }, { name: 'a', accessKeys: [] }] }), ['error duplicateAccount'])
  assert.equal(rulesOf({ accounts: [{ name: 'a', accessKeys: [], quota: { ratePerS: 2, burst: 0.5 } }] }), ['warning quotaWithoutKey', 'error burstBelowOne'])
  assert.equal(rulesOf({ limits: { headerBytes: 70_000_000, bodyBytes: 60_000_000, headerTimeoutMs: 20_000, idleTimeoutMs: 15_000 } }), ['error bodyOverMemory', 'warning headerOverBody', 'warning headerOverIdle'])
})

test('changes are described by their effect, and without access keys', () => {
  const accounts = (a: Partial<ClientAccount>): ClientAccount[] => [{ name: 'a', accessKeys: ['secret-1', 'secret-2'], quota: { ratePerS: 20, burst: 5 }, ...a }]
  const before = createDocument({ accounts: accounts({}) })
  const after = createDocument({ version: 3, routes: [{ ...ROUTE, targets: [{ service: 't', weight: 1 }] }, { ...ROUTE, name: 'new', pathPrefix: '/b/' }], services: [SERVICE, { ...SERVICE, name: 't' }], accounts: accounts({ accessKeys: ['secret-1'], quota: { ratePerS: 10, burst: 5 } }) })
  assert.equal(describeChanges(before, after, options).map(({ subject, effect }) => `${subject}: ${effect}`), [
    'route r: its requests go to t in place of s',
    'route new: requests to h/b/ are served by s',
    'service t: its workers may get requests',
    'account a: the key with the digest digest of 8 is withdrawn; requests with it get 401',
    'account a: the quota is lowered from 20 requests a second with a burst of 5 to 10 requests a second with a burst of 5'
  ])
  assert.equal(describeChanges(after, before, options).at(0)?.effect, 'nodes ignore version 2, because version 3 is active')
  assert.equal(describeChanges(before, before, options).length, 1)
})

test.run()
