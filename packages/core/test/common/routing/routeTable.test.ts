import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { type Route, type RouteDocument, RouteKind, RouteTable, SeededRandom } from '@trefoilshunt/core'

function createRoute (name: string, pathPrefix: string, targets = [{ service: 's', weight: 1 }]): Route {
  return {
    name,
    host: 'Shop.example',
    pathPrefix,
    kind: RouteKind.Safe,
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 0,
    targets,
    maxAttempts: 1,
    retainsTurns: false,
    turnRetentionMs: 0,
    isSticky: false,
    canResume: false,
    maxEventGapMs: 200
  }
}

function createDocument (version: number, routes: Route[]): RouteDocument {
  return { version, routes, services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}

test('a path resolves to the route of its host with the longest matching prefix', () => {
  const table = new RouteTable(new SeededRandom(1))
  table.apply(createDocument(1, [createRoute('all', '/'), createRoute('orders', '/orders/'), createRoute('archive', '/orders/old/')]))
  assert.is(table.resolveRoute('shop.example', '/orders/17')?.name, 'orders')
  assert.is(table.resolveRoute('SHOP.example:80', '/orders/old/3')?.name, 'archive')
  assert.is(table.resolveRoute('shop.example', '/orders')?.name, 'all')
  assert.is(table.resolveRoute('other.example', '/orders/17'), undefined)
})

test('the route is the longest prefix that begins the path, as a search of all routes finds it', () => {
  const segment = fc.constantFrom('a', 'b', 'ab', '')
  const path = fc.array(segment, { maxLength: 5 }).map(segments => `/${segments.join('/')}`)
  const prefix = path.map(text => text.endsWith('/') ? text : `${text}/`)
  fc.assert(fc.property(fc.array(prefix, { maxLength: 8 }), path, fc.constantFrom('', '?x=/a/', '/?y'), (prefixes, drawn, query) => {
    const routes = prefixes.map((pathPrefix, index) => createRoute(`r${index}`, pathPrefix))
    const table = new RouteTable(new SeededRandom(1))
    table.apply(createDocument(1, routes))
    const found = [...routes].sort((left, right) => right.pathPrefix.length - left.pathPrefix.length).find(({ pathPrefix }) => (drawn + query).startsWith(pathPrefix))
    assert.is(table.resolveRoute('shop.example', drawn + query)?.name, found?.name)
  }))
})

test('an older document never replaces a newer one', () => {
  const table = new RouteTable(new SeededRandom(1))
  assert.ok(table.apply(createDocument(7, [createRoute('new', '/')])))
  assert.not.ok(table.apply(createDocument(3, [createRoute('old', '/')])))
  assert.not.ok(table.apply(createDocument(7, [createRoute('same', '/')])))
  assert.is(table.resolveRoute('shop.example', '/')?.name, 'new')
  assert.is(table.version, 7)
})

test('services are drawn by weight, and those with weight 0 are never drawn', () => {
  const table = new RouteTable(new SeededRandom(5))
  const route = createRoute('split', '/', [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }, { service: 'c', weight: 0 }])
  const first = Array.from({ length: 2_000 }, () => table.drawServices(route)[0])
  const share = first.filter(service => service === 'a').length / first.length
  assert.ok(share > 0.87 && share < 0.93, `share ${share}`)
  assert.not.ok(table.drawServices(route).includes('c'))
  assert.is(table.drawServices(route).length, 2)
})

test.run()
