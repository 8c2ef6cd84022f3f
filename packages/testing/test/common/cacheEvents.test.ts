/** Cache events of engines, which arrive late and incomplete, and what nodes conclude from an eviction. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type EngineRequest, IProgramTable } from '@trefoilshunt/core'
import { ModelEngine, toPrompt } from '@trefoilshunt/standins'
import { createFirmFleet, EventQueue, FITTING_SHAPE, HARROW, DEFAULT_POLICY, ProgramDriver, applyFirmDocument, RunRecord } from '@trefoilshunt/testing'

function createRequest (session: string): EngineRequest {
  return { type: 'model', model: 'm', messages: [{ role: 'user', content: toPrompt('x', 5) }], maxTokens: 5, priority: 0, session, retainMs: 0 }
}

test('an engine reports cache events with a lag and loses every third', () => {
  const events = new EventQueue()
  const engine = new ModelEngine({ name: 'e', model: 'm', eventLagMs: 500, eventLossEvery: 3 }, events)
  for (let index = 0; index < 6; index++) engine.call(createRequest(`p${index}`), () => {})
  while (events.runNext(400)) { /* The calls run to their end. */ }
  assert.equal(engine.cacheEvents(0), [])
  while (events.runNext(5_000)) { /* Nothing but time passes. */ }
  assert.equal(engine.cacheEvents(0).map(event => event.sequence), [1, 2, 4, 5])
})

test('a program whose history was evicted is no longer bound to its worker', async () => {
  const fleet = createFirmFleet({ ...HARROW, engines: 2 }, DEFAULT_POLICY, 5)
  await applyFirmDocument(fleet, HARROW)
  const record = new RunRecord()
  const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets: { fitting: { targetMs: 60_000, rank: 'urgent' } } })
  const steps = [{ type: 'model', promptTokens: 100, answerTokens: 10 }, { type: 'pause', durationMs: 20_000 }, { type: 'model', promptTokens: 10, answerTokens: 10 }] as const
  const run = driver.run({ kind: 'fitting', customer: 'riders', service: FITTING_SHAPE.service, steps: [...steps] })
  await fleet.runUntil(fleet.events.nowMs() + 5_000)
  const programId = record.programs[0].programId as string
  const bound = () => fleet.liveNodes().flatMap(node => node.kernel.resolve<IProgramTable>(IProgramTable).get(programId)?.state.workers ?? [])
  assert.is(bound().length, 1)
  for (const engine of fleet.engines.values()) engine.cache.evict(1_000_000, fleet.events.nowMs())
  await fleet.runUntil(fleet.events.nowMs() + 4_000)
  assert.equal(bound(), [])
  await fleet.runWhile(run, fleet.events.nowMs() + 60_000)
  assert.ok(record.programs[0].isFinished)
})

test.run()
