/** Orders to the engines of a shared pool: which model each loads, and that an old order never replaces a newer one. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type ConfigurationDocument, IConfiguration, type LoadOrder, SeededRandom } from '@trefoilshunt/core'
import { WeightStore } from '@trefoilshunt/standins'
import { createPlan, FITTING_SHAPE, Fleet, HARROW_DOCUMENT, ProgramDriver, RunRecord } from '@trefoilshunt/testing'

const MODELS = ['cutter', 'stitcher']
const POOL = 'atelier'
const WORKERS = 6
const LOAD_BYTES_PER_SECOND = 2_000_000_000
const TARGETS = { fitting: { targetMs: 60_000, rank: 'urgent' } }
const ORDER_LIFETIME_MS = 10_000

interface ObservedOrder { worker: string, order: LoadOrder, atMs: number }

function createDocument (checksFencing: boolean): ConfigurationDocument {
  const engine = { ...HARROW_DOCUMENT.backends[0], checksFencing, orderLifetimeMs: ORDER_LIFETIME_MS, pool: POOL }
  return {
    ...HARROW_DOCUMENT,
    workKinds: [{ ...HARROW_DOCUMENT.workKinds[0], models: ['cutter'] }],
    backends: [...MODELS.map(name => ({ ...engine, name })), HARROW_DOCUMENT.backends[1]]
  }
}

async function startFleet (checksFencing: boolean): Promise<{ fleet: Fleet, orders: ObservedOrder[] }> {
  const fleet = new Fleet({ nodesPerZone: 1, seed: 4 })
  const weights = new WeightStore(LOAD_BYTES_PER_SECOND, fleet.events)
  fleet.addPool(POOL, MODELS, WORKERS, { checksFencing, weights })
  fleet.addServices('shop-ledger', 2)
  fleet.startNodes()
  const orders: ObservedOrder[] = []
  const run = fleet.run.bind(fleet)
  fleet.run = (node, effect) => {
    if (effect.type === 'callBackend' && effect.request.type === 'load') orders.push({ worker: effect.worker, order: effect.request, atMs: fleet.events.nowMs() })
    run(node, effect)
  }
  await fleet.runUntil(2_000)
  const applied = fleet.send('regina-1:7300', { type: 'apply', environment: 'production', baseRevision: 0, document: createDocument(checksFencing), by: 'operator' }, { timeoutMs: 10_000 })
  await fleet.runWhile(applied, 10_000)
  await fleet.runUntil(60_000)
  return { fleet, orders }
}

async function flood (fleet: Fleet, programs: number, gapMs: number): Promise<RunRecord> {
  const record = new RunRecord()
  const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets: TARGETS, retriesOverload: true, openTimeoutMs: 300_000 })
  const random = new SeededRandom(9)
  const runs = Array.from({ length: programs }, async (_, index) => {
    await fleet.clientHost.sleep(index * gapMs)
    return await driver.run(createPlan({ ...FITTING_SHAPE, childShare: 0 }, random))
  })
  await fleet.runWhile(Promise.all(runs), fleet.events.nowMs() + 900_000)
  return record
}

function assignedModels (fleet: Fleet): Map<string, string> {
  const state = fleet.liveNodes()[0].kernel.resolve<IConfiguration>(IConfiguration).state
  return new Map(state.engineOrders.map(order => [order.worker, order.model]))
}

function countCutters (fleet: Fleet): number {
  return [...fleet.engines.values()].filter(engine => engine.model === 'cutter').length
}

test('workers of a pool change to the model with queued calls, with no more orders than workers, and every program finishes', async () => {
  const { fleet, orders } = await startFleet(true)
  const before = countCutters(fleet)
  const ordersBefore = orders.length
  const record = await flood(fleet, 250, 300)
  assert.ok(record.programs.every(program => program.isFinished))
  assert.ok(countCutters(fleet) > before, `${before} workers of the model before, ${countCutters(fleet)} after`)
  assert.ok(orders.length - ordersBefore <= WORKERS, `${orders.length - ordersBefore} orders in the flood`)
  for (const [worker, model] of assignedModels(fleet)) assert.is(fleet.engines.get(worker)?.model, model)
})

test('the fencing numbers of one worker only grow, and engines hold the models that the log assigns, when coordinators crash and pause', async () => {
  const { fleet, orders } = await startFleet(true)
  const work = flood(fleet, 150, 300)
  fleet.events.after(10_000, () => fleet.killNode('regina-1'))
  fleet.events.after(16_000, () => { fleet.startNode('regina-1', 'regina') })
  fleet.events.after(25_000, () => fleet.nodes.get('brandon-1')?.pause())
  fleet.events.after(37_000, () => fleet.nodes.get('brandon-1')?.resume())
  const record = await work
  await fleet.runUntil(fleet.events.nowMs() + 60_000)
  assert.ok(record.programs.every(program => program.isFinished))
  const accepted = new Map<string, number>()
  for (const { worker, order } of orders) {
    assert.ok(order.fencingNumber >= (accepted.get(worker) ?? 0) || fleet.engines.get(worker)?.options.checksFencing === true)
    accepted.set(worker, Math.max(order.fencingNumber, accepted.get(worker) ?? 0))
  }
  for (const [worker, model] of assignedModels(fleet)) assert.is(fleet.engines.get(worker)?.model, model)
})

test('engines that ignore fencing numbers get an order only after older orders have expired', async () => {
  const { fleet, orders } = await startFleet(false)
  await flood(fleet, 150, 300)
  const controlRecords = fleet.log.recordsOf('control').map(stored => stored.record as { id: string, type: string, worker?: string, atMs: number })
  assert.ok(orders.length > 0)
  for (const { worker, order, atMs } of orders) {
    const orderRecord = controlRecords[order.fencingNumber]
    assert.is(orderRecord.type, 'engineOrdered')
    assert.is(orderRecord.worker, worker)
    assert.ok(atMs - orderRecord.atMs >= ORDER_LIFETIME_MS, `${worker} was ordered ${atMs - orderRecord.atMs} ms after its control record`)
  }
})

test.run()
