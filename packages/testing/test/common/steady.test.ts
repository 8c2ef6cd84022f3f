/** A fleet without faults: programs finish, engine memory is released and runs are repeatable. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '@trefoilshunt/core'
import { checkRun, createPlan, FITTING_SHAPE, Fleet, FOLLOW_UP_SHAPE, HARROW_DOCUMENT, ProgramDriver, RunRecord } from '@trefoilshunt/testing'

const TARGETS = { fitting: { targetMs: 60_000, rank: 'urgent' }, 'follow-up': { targetMs: 180_000, rank: 'other' } }

async function runSteady (seed: number): Promise<{ fleet: Fleet, record: RunRecord }> {
  const fleet = new Fleet({ seed })
  fleet.addEngines('tailor-models', 8)
  fleet.addServices('shop-ledger', 5)
  fleet.startNodes()
  await fleet.runUntil(2_000)
  const applied = fleet.send('regina-1:7300', { type: 'apply', environment: 'production', baseRevision: 0, document: HARROW_DOCUMENT, by: 'operator' }, { timeoutMs: 10_000 })
  await fleet.runWhile(applied, 10_000)
  await fleet.runUntil(6_000)
  const record = new RunRecord()
  const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets: TARGETS, streamEvery: 2 })
  const random = new SeededRandom(seed)
  const runs = Array.from({ length: 40 }, (_, index) => createPlan(index % 2 === 0 ? FITTING_SHAPE : FOLLOW_UP_SHAPE, random))
    .map(async (plan, index) => {
      await fleet.clientHost.sleep(index * 200)
      return await driver.run(plan)
    })
  assert.ok(await fleet.runWhile(Promise.all(runs), 600_000))
  await fleet.runUntil(fleet.events.nowMs() + 30_000)
  return { fleet, record }
}

test('a fleet without faults finishes every program and violates no invariant', async () => {
  const { fleet, record } = await runSteady(3)
  assert.ok(record.programs.every(program => program.isFinished && program.wasClosed))
  const budgets = new Map(HARROW_DOCUMENT.workKinds.map(kind => [kind.name, kind.budget]))
  assert.equal(checkRun({ record, databases: [...fleet.databases.values()], engines: [...fleet.engines.values()], budgets }), [])
})

test('engines hold no memory for closed programs', async () => {
  const { fleet } = await runSteady(4)
  assert.equal([...fleet.engines.values()].flatMap(engine => engine.heldSessions()), [])
})

test('the same seed gives the same run', async () => {
  const first = await runSteady(5)
  const second = await runSteady(5)
  assert.is(first.fleet.counters.events, second.fleet.counters.events)
  assert.equal(first.record.programs.map(program => program.endedAtMs), second.record.programs.map(program => program.endedAtMs))
})

test.run()
