/** Tests the selection of workers when slots and the end of a request coincide. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type Route, RouteKind, type WorkerRegistration } from '@trefoilshunt/core'
import { Metrics, type RoutedRequest } from '@trefoilshunt/node/routed'
import type { RoutedCallDependencies } from '../../../src/node/routed/routedCallDependencies.js'
import type { SlotOutcome } from '../../../src/node/routed/slotClient.js'
import { WorkerSelector, type WorkerSelection } from '../../../src/node/routed/workerSelector.js'

const WORKER: WorkerRegistration = { workerId: 'w', service: 'engines', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 1, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }
const ROUTE = { name: 'r', kind: RouteKind.Stream, priority: 0, objectiveMs: 100, targets: [{ service: 'engines', weight: 1 }] } as unknown as Route
const STATE = { cached: [], excluded: new Set<string>(), hasBegun: false, timeLeftMs: 1_000 }

function createSelector (outcome: SlotOutcome, hasEngine = true): { selector: WorkerSelector, selections: WorkerSelection[] } {
  const dependencies = {
    zone: 'a',
    routes: { drawServices: () => ['engines'], findService: () => ({ name: 'engines', engine: hasEngine ? {} : undefined }) },
    registry: { workersOf: () => [WORKER] },
    notices: { rateOf: () => undefined },
    ownRates: { filter: (workers: WorkerRegistration[]) => workers, take: () => {} },
    choice: { chooseWorker: ({ candidates }: { candidates: WorkerRegistration[] }) => candidates[0] },
    durations: { expectedMs: () => 100 },
    workers: { isAvailable: true, hasIdleConnection: () => true },
    slots: { request: () => ({ outcome: Promise.resolve(outcome), cancel: () => {} }) },
    metrics: new Metrics()
  } as unknown as RoutedCallDependencies
  return { selector: new WorkerSelector({ dependencies, request: { prompt: [] } as unknown as RoutedRequest, route: ROUTE, log: () => {} }), selections: [] }
}

async function flush (): Promise<void> {
  await new Promise<void>(resolve => { setImmediate(resolve) })
}

test('a slot that is assigned when its request has just ended is returned, and no worker gets the request', async () => {
  let releasedCount = 0
  const { selector, selections } = createSelector({ type: 'placed', worker: WORKER, release: () => { releasedCount++ } })
  selector.select(STATE, selection => selections.push(selection))
  selector.cancel()
  await flush()
  assert.equal(selections, [])
  assert.is(releasedCount, 1)
})

test('without a decision of the coordinator, this node selects a worker', async () => {
  const { selector, selections } = createSelector({ type: 'unavailable', detail: 'no coordinator is known' })
  selector.select(STATE, selection => selections.push(selection))
  await flush()
  assert.equal(selections.map(selection => selection.type === 'selected' ? selection.worker.workerId : selection.type), ['w'])
  assert.is(selections[0].type === 'selected' && selections[0].release, undefined)
})

test('workers that are no engines are selected at once and without a slot', () => {
  const { selector, selections } = createSelector({ type: 'refused', retryAfterMs: 1 }, false)
  selector.select(STATE, selection => selections.push(selection))
  assert.equal(selections.map(({ type }) => type), ['selected'])
})

test.run()
