/** Start-up, abandoned calls, idle programs, budgets and address lists of a fleet in virtual time. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CallerReply, CallerRequest, CoreSettings } from '@trefoilshunt/core'
import { toPrompt } from '@trefoilshunt/standins'
import { Fleet, type FleetOptions, HARROW_DOCUMENT } from '@trefoilshunt/testing'

const REQUEST_TIMEOUT_MS = 60_000

async function startFleet (options: Partial<FleetOptions> = {}): Promise<Fleet> {
  const fleet = new Fleet({ nodesPerZone: 1, seed: 2, ...options })
  fleet.addEngines('tailor-models', 3)
  fleet.addServices('shop-ledger', 2)
  fleet.startNodes()
  await fleet.runUntil(3_000)
  const reply = await sendRequest(fleet, 'regina-1', { type: 'apply', environment: 'production', baseRevision: 0, document: { ...HARROW_DOCUMENT, idleTimeoutMs: 30_000 }, by: 'operator' })
  assert.is(reply.type, 'accepted')
  await fleet.runUntil(fleet.events.nowMs() + 3_000)
  return fleet
}

async function sendRequest (fleet: Fleet, node: string, request: CallerRequest): Promise<CallerReply> {
  const sent = fleet.send(`${node}:7300`, request, { timeoutMs: REQUEST_TIMEOUT_MS })
  await fleet.runWhile(sent, fleet.events.nowMs() + REQUEST_TIMEOUT_MS)
  const result = await sent
  if (result.type !== 'reply') throw new Error(`no reply: ${result.detail}`)
  return result.reply
}

async function openProgram (fleet: Fleet, node = 'regina-1'): Promise<{ programId: string, historyDigest: string, owner: string }> {
  const reply = await sendRequest(fleet, node, { type: 'open', customer: 'riders', kind: 'fitting', key: `open-${fleet.events.nowMs()}` })
  if (reply.type !== 'opened') throw new Error(JSON.stringify(reply))
  return { programId: reply.programId, historyDigest: reply.historyDigest, owner: reply.home.node }
}

function createStepRequest (program: { programId: string, historyDigest: string }, tokens: number, overrides: Partial<Extract<CallerRequest, { type: 'step' }>> = {}): Extract<CallerRequest, { type: 'step' }> {
  return {
    type: 'step',
    customer: 'riders',
    programId: program.programId,
    step: 1,
    key: 'k1',
    historyDigest: program.historyDigest,
    call: { type: 'model', messages: [{ role: 'user', content: toPrompt('hello', tokens) }], maxTokens: tokens },
    isResend: false,
    isStreamed: false,
    timeoutMs: REQUEST_TIMEOUT_MS,
    ...overrides
  }
}

test('a node that starts while the log is down serves with the configuration of its peers', async () => {
  const fleet = await startFleet()
  fleet.killNode('brandon-1')
  await fleet.runUntil(fleet.events.nowMs() + 1_000)
  fleet.log.setDown(true)
  const node = fleet.startNode('brandon-1', 'brandon')
  await fleet.runUntil(fleet.events.nowMs() + 5_000)
  assert.is(node.kernel.status().revision, 1)
  assert.ok(node.kernel.status().isReady)
})

test('a node with neither log nor peers refuses a program as not ready', async () => {
  const fleet = new Fleet({ nodesPerZone: 1, zones: ['regina'] })
  fleet.log.setDown(true)
  fleet.startNodes()
  await fleet.runUntil(5_000)
  const reply = await sendRequest(fleet, 'regina-1', { type: 'open', customer: 'riders', kind: 'fitting', key: 'k' })
  assert.is(reply.type === 'notRun' && reply.reason, 'notReady')
})

test('a model call whose caller has left is cancelled after the grace time, and its tokens count as spent', async () => {
  const fleet = await startFleet()
  const program = await openProgram(fleet)
  const tokens = 2_000
  void fleet.send(`${program.owner}:7300`, createStepRequest(program, tokens), { timeoutMs: 1_000 })
  await fleet.runUntil(fleet.events.nowMs() + 3_000)
  const active = () => [...fleet.engines.values()].reduce((sum, engine) => sum + engine.activeCount, 0)
  assert.is(active(), 1)
  await fleet.runUntil(fleet.events.nowMs() + 5_000)
  assert.is(active(), 0)
  const reply = await sendRequest(fleet, program.owner, createStepRequest(program, 5, { key: 'k2' }))
  assert.is(reply.type, 'done')
  const view = await sendRequest(fleet, program.owner, { type: 'program', customer: 'riders', programId: program.programId, withHistory: false })
  assert.ok(view.type === 'programView' && view.spent.tokens >= tokens)
})

test('a caller that resends a step within the grace time gets the result of the call in flight', async () => {
  const fleet = await startFleet()
  const program = await openProgram(fleet)
  void fleet.send(`${program.owner}:7300`, createStepRequest(program, 200), { timeoutMs: 1_000 })
  await fleet.runUntil(fleet.events.nowMs() + 3_000)
  const reply = await sendRequest(fleet, program.owner, createStepRequest(program, 200, { isResend: true }))
  assert.ok(reply.type === 'done' && reply.result.type === 'model' && reply.result.completionTokens === 200)
  assert.is([...fleet.engines.values()].reduce((sum, engine) => sum + engine.counters.startedCalls, 0), 1)
})

test('an abandoned program is closed and leaves no engine memory', async () => {
  const fleet = await startFleet()
  const program = await openProgram(fleet)
  await sendRequest(fleet, program.owner, createStepRequest(program, 20))
  assert.ok([...fleet.engines.values()].some(engine => engine.heldSessions().length > 0))
  await fleet.runUntil(fleet.events.nowMs() + 60_000)
  assert.equal([...fleet.engines.values()].flatMap(engine => engine.heldSessions()), [])
  const view = await sendRequest(fleet, program.owner, { type: 'program', customer: 'riders', programId: program.programId, withHistory: false })
  assert.is(view.type === 'programView' && view.state, 'closed')
})

test('an idle program is recorded again before its records expire, and survives a crash of its owner', async () => {
  const retentionMs = 100_000
  const settings: Partial<CoreSettings> = { logRetentionMs: retentionMs }
  const fleet = new Fleet({ nodesPerZone: 1, seed: 2, settings, log: { retentionMs } })
  fleet.addEngines('tailor-models', 3)
  fleet.addServices('shop-ledger', 2)
  fleet.startNodes()
  await fleet.runUntil(3_000)
  await sendRequest(fleet, 'regina-1', { type: 'apply', environment: 'production', baseRevision: 0, document: { ...HARROW_DOCUMENT, idleTimeoutMs: 900_000 }, by: 'operator' })
  await fleet.runUntil(6_000)
  const program = await openProgram(fleet)
  const first = await sendRequest(fleet, program.owner, createStepRequest(program, 10))
  assert.is(first.type, 'done')
  await fleet.runUntil(fleet.events.nowMs() + 4 * retentionMs)
  fleet.killNode(program.owner)
  await fleet.runUntil(fleet.events.nowMs() + 10_000)
  const survivor = fleet.liveNodes()[0].identity.node
  const next = await sendRequest(fleet, survivor, createStepRequest(program, 10, { step: 2, key: 'k2', historyDigest: first.type === 'done' ? first.historyDigest : '' }))
  assert.is(next.type, 'done')
  assert.is(fleet.liveNodes()[0].kernel.status().revision, 1)
})

test('a step beyond the step budget is refused as budgetExceeded', async () => {
  const fleet = await startFleet()
  const program = await openProgram(fleet)
  let digest = program.historyDigest
  for (let number = 1; number <= HARROW_DOCUMENT.workKinds[0].budget.steps; number++) {
    const reply = await sendRequest(fleet, program.owner, createStepRequest(program, 1, { step: number, key: `k${number}`, historyDigest: digest }))
    if (reply.type !== 'done') throw new Error(JSON.stringify(reply))
    digest = reply.historyDigest
  }
  const last = HARROW_DOCUMENT.workKinds[0].budget.steps + 1
  const refused = await sendRequest(fleet, program.owner, createStepRequest(program, 1, { step: last, key: `k${last}`, historyDigest: digest }))
  assert.is(refused.type === 'notRun' && refused.reason, 'budgetExceeded')
})

test('opening again with the same key opens no second program', async () => {
  const fleet = await startFleet()
  const request = { type: 'open', customer: 'riders', kind: 'fitting', key: 'same' } as const
  const first = await sendRequest(fleet, 'regina-1', request)
  const second = await sendRequest(fleet, first.type === 'opened' ? first.home.node : '', request)
  assert.ok(first.type === 'opened' && second.type === 'opened' && first.programId === second.programId)
})

test('callers are given addresses of their own zone first, never of a draining node', async () => {
  const fleet = await startFleet()
  const list = await sendRequest(fleet, 'regina-1', { type: 'addresses', zone: 'brandon' })
  assert.ok(list.type === 'addressList' && list.addresses[0].zone === 'brandon')
  fleet.nodes.get('brandon-1')?.handle({ type: 'stopRequested' })
  await fleet.runUntil(fleet.events.nowMs() + 2_000)
  const after = await sendRequest(fleet, 'regina-1', { type: 'addresses', zone: 'brandon' })
  assert.ok(after.type === 'addressList' && after.addresses.every(entry => entry.node !== 'brandon-1'))
})

test.run()
