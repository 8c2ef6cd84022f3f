/** Tests of the checkers: each test breaks one method of the core and expects the violation that this causes. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { type Effect, VmState } from '@trefoilshunt/core'
import { type Fault, HARROW_DOCUMENT, runScenario, type Scenario, type ScenarioOptions, scenarioSchema } from '@trefoilshunt/testing'
import { Configuration } from '../../../../core/src/common/configuration/configuration.js'
import { Drain } from '../../../../core/src/common/drain/drain.js'
import { EngineCacheCleanup } from '../../../../core/src/common/engines/engineCacheCleanup.js'
import { CallerPort } from '../../../../core/src/common/kernel/callerPort.js'
import { Membership } from '../../../../core/src/common/membership/membership.js'
import { Journal, JournalEpoch } from '../../../../core/src/common/journal/journal.js'
import { ModelDispatch } from '../../../../core/src/common/dispatch/modelDispatch.js'
import { ProgramTable } from '../../../../core/src/common/programs/programTable.js'
import { ServiceSteps } from '../../../../core/src/common/programs/serviceSteps.js'
import { StepEnding } from '../../../../core/src/common/programs/stepEnding.js'

/** Replaces a method while `action` runs. */
async function withReplacedMethod<T> (prototype: object, name: string, createReplacement: (original: (...args: never[]) => unknown) => unknown, action: () => Promise<T>): Promise<T> {
  const methods = prototype as Record<string, (...args: never[]) => unknown>
  const original = methods[name]
  methods[name] = createReplacement(original) as (...args: never[]) => unknown
  try {
    return await action()
  } finally {
    methods[name] = original
  }
}

function createScenario (faults: Fault[], seed: number, overrides: Partial<Scenario> = {}): Scenario {
  return scenarioSchema.parse({ name: 'broken', seed, faults, workload: { programs: 10, meanArrivalMs: 1_000 }, ...overrides })
}

/** True when a run with one of the seeds 1 to 25 violates the rule. */
async function isDetected (rule: string, faults: (seed: number) => Fault[], options: ScenarioOptions = {}, overrides: Partial<Scenario> = {}): Promise<boolean> {
  for (let seed = 1; seed <= 25; seed++) {
    const { violations } = await runScenario(createScenario(faults(seed), seed, overrides), options)
    if (violations.some(violation => violation.rule === rule)) return true
  }
  return false
}

/** True when runs with the seeds 1 to 5 violate nothing; shows that the faults alone do not cause a violation. */
async function hasNoViolations (faults: (seed: number) => Fault[], options: ScenarioOptions = {}, overrides: Partial<Scenario> = {}): Promise<boolean> {
  for (let seed = 1; seed <= 5; seed++) {
    const { violations } = await runScenario(createScenario(faults(seed), seed, overrides), options)
    if (violations.length > 0) return false
  }
  return true
}

/** Service calls long enough for a node to crash during one. */
const SLOW_TOOLS = { toolLatencyMs: 3_000 }

const createKills = (seed: number): Fault[] => [3_000, 9_000, 15_000].map((atMs, index) => ({ type: 'killNode', atMs: atMs + seed * 97, node: ['regina-1', 'saskatoon-1', 'brandon-1'][index], restartAfterMs: 4_000 }))

test('a skipped intent record is detected', async () => {
  const skip = () => function (this: { _dispatchService: (started: unknown, call: unknown) => void }, started: unknown, call: unknown) { this._dispatchService(started, call) }
  assert.ok(await withReplacedMethod(ServiceSteps.prototype, '_recordIntent', skip, async () => await isDetected('runs at most once', createKills, {}, SLOW_TOOLS)))
  assert.ok(await hasNoViolations(createKills, {}, SLOW_TOOLS))
})

test('an ignored fence is detected', async () => {
  const pauses = (seed: number): Fault[] => [4_000, 18_000].flatMap((atMs, index): Fault[] => {
    const node = ['regina-1', 'saskatoon-1'][index]
    return [
      { type: 'pauseNode', atMs: atMs + seed * 131, node, forMs: 10_000 },
      { type: 'dropConnections', atMs: atMs + seed * 131 + 2_000, node }
    ]
  })
  const ignore = () => function () {}
  assert.ok(await withReplacedMethod(Journal.prototype, '_handleFenced', ignore, async () => await withReplacedMethod(JournalEpoch.prototype, '_setFenced', ignore, async () => {
    return await isDetected('runs at most once', pauses, {}, SLOW_TOOLS) || await isDetected('history is whole', pauses)
  })))
  assert.ok(await hasNoViolations(pauses))
})

test('a configuration that reverts to an older revision is detected', async () => {
  const faults = (): Fault[] => [{ type: 'raceOperators', atMs: 2_000, operators: 2 }, { type: 'raceOperators', atMs: 8_000, operators: 2 }]
  const revert = (original: () => { revision: number } | undefined) => function (this: object) {
    const newest = original.call(this)
    return newest !== undefined && newest.revision >= 3 ? { ...newest, revision: 1 } : newest
  }
  assert.ok(await withReplacedMethod(Configuration.prototype, '_newestEnvironment', revert as never, async () => await isDetected('configuration never reverts', faults)))
  assert.ok(await hasNoViolations(faults))
})

test('a budget that sub-agents do not share is detected', async () => {
  const kinds = HARROW_DOCUMENT.workKinds.map(kind => ({ ...kind, budget: { ...kind.budget, toolCalls: 3 } }))
  const options = { document: { ...HARROW_DOCUMENT, workKinds: kinds, idleTimeoutMs: 60_000 } }
  const returnProgram = () => function (program: unknown) { return program }
  assert.ok(await withReplacedMethod(ProgramTable.prototype, 'rootOf', returnProgram, async () => await isDetected('budget', () => [], options)))
  assert.ok(await hasNoViolations(() => [], options))
})

test('engine memory that is never released is detected', async () => {
  assert.ok(await withReplacedMethod(EngineCacheCleanup.prototype, '_release', () => () => {}, async () => await isDetected('no memory for gone programs', () => [])))
})

test('a planned stop that does not wait for open requests is detected', async () => {
  const faults = (seed: number): Fault[] => [{ type: 'stopNode', atMs: 3_000 + seed * 50, node: 'regina-1', restartAfterMs: 2_000 }]
  const exit = () => function (this: { _effects: { emit: (effect: Effect) => void } }) { this._effects.emit({ type: 'exit' }) }
  assert.ok(await withReplacedMethod(Drain.prototype, '_round', exit, async () => await isDetected('planned stops cut off nothing', faults)))
  assert.ok(await hasNoViolations(faults))
})

test('new work for a leaving worker is detected', async () => {
  const faults = (): Fault[] => [{ type: 'leaveWorker', atMs: 2_000, worker: 'tailor-models-1' }]
  const ignore = (original: (entries: unknown) => void) => function (this: object, entries: Array<{ state: string }>) {
    original.call(this, entries.map(entry => ({ ...entry, state: VmState.Live })))
  }
  assert.ok(await withReplacedMethod(Membership.prototype, 'setVmList', ignore as never, async () => await isDetected('leaving workers get no new work', faults)))
  assert.ok(await hasNoViolations(faults))
})

test('an answer sent to another caller is detected', async () => {
  let heldReply: { requestId: string, reply: unknown } | undefined
  const swapReplies = (original: (requestId: string, reply: unknown) => void) => function (this: object, requestId: string, reply: { type: string, result?: { type: string } }) {
    const isModelAnswer = reply.type === 'done' && reply.result?.type === 'model'
    if (!isModelAnswer) {
      original.call(this, requestId, reply)
    } else if (heldReply === undefined) {
      heldReply = { requestId, reply }
    } else {
      original.call(this, requestId, heldReply.reply)
      original.call(this, heldReply.requestId, reply)
      heldReply = undefined
    }
  }
  assert.ok(await withReplacedMethod(CallerPort.prototype, 'reply', swapReplies as never, async () => await isDetected('whole answer', () => [], {}, { zones: ['regina'] })))
})

test('a truncated answer is detected', async () => {
  const halveTokens = (original: (job: { maxTokens: number }) => unknown) => function (this: object, job: { maxTokens: number }) {
    return original.call(this, { ...job, maxTokens: Math.ceil(job.maxTokens / 2) })
  }
  assert.ok(await withReplacedMethod(ModelDispatch.prototype, 'run', halveTokens as never, async () => await isDetected('whole answer', () => [])))
})

test('a "not run" reply for work that ran is detected', async () => {
  const faults = (): Fault[] => [{ type: 'loseToolAnswers', atMs: 2_000, worker: 'shop-ledger-1', count: 10 }, { type: 'loseToolAnswers', atMs: 2_000, worker: 'shop-ledger-2', count: 10 }]
  const reportNotRun = () => function (this: { _notRun: (started: unknown, reason: string, detail: string) => unknown }, started: unknown, reason: string, detail: string) {
    return { type: 'notRun', reason: 'noBackend', detail }
  }
  assert.ok(await withReplacedMethod(StepEnding.prototype, 'unknown', reportNotRun, async () => await isDetected('"not run" is true', faults)))
  assert.ok(await hasNoViolations(faults))
})

test('a history digest of another program is detected', async () => {
  let heldDigest: string | undefined
  const swapDigests = (original: (...args: unknown[]) => { historyDigest?: string }) => function (this: object, ...args: unknown[]) {
    const answer = original.apply(this, args)
    const other = heldDigest
    heldDigest = answer.historyDigest
    return { ...answer, historyDigest: other ?? answer.historyDigest }
  }
  assert.ok(await withReplacedMethod(StepEnding.prototype, 'toAnswer', swapDigests as never, async () => await isDetected('history is whole', () => [])))
})

test.run()
