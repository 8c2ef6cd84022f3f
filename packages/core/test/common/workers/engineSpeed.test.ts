/** Tests placement at engines of different speeds, beside placement that does not learn them. `LOAD_REPORT=1` prints the figures. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_SERVICE_PLACEMENT, DEFAULT_WORKER_CHOICE, EngineSpeeds, SeededRandom, ServicePlacement, type SpeedObservation, WorkerChoice, type WorkerRegistration, WorkerStatistics, WorkerTokens } from '@trefoilshunt/core'
import { createCoordinatedPlacement } from './load/coordinatedPlacement.js'
import { type GrownFleetResult, runGrownFleet } from './load/grownFleet.js'
import { FAST, runUnevenFleet, SLOW, type UnevenFleetResult } from './load/unevenFleet.js'

/** Share of the turns of eight workers at `SLOW` and 24 at `FAST` that take equally long. */
const EQUAL_FINISH_SHARE = 8 * SLOW / (8 * SLOW + 24 * FAST)

function isSlow (index: number): boolean {
  return index % 4 === 0
}

function shareOf ({ placements }: UnevenFleetResult, isMeant: (index: number) => boolean, fromMs: number, toMs: number): number {
  const within = placements.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
  return within.filter(({ index }) => isMeant(index)).length / within.length
}

function report (...fields: unknown[]): void {
  if (process.env.LOAD_REPORT !== undefined) console.log(...fields)
}

function createWorkers (count: number): WorkerRegistration[] {
  return Array.from({ length: count }, (_, index): WorkerRegistration => ({
    workerId: `w${index}`, service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 12, isDraining: false, startedAtMs: 1, coldLeftMs: 0
  }))
}

function observationOf (tokenMs: number): SpeedObservation {
  return { times: [50, Math.round(6 * 36 * tokenMs), 7], tokensPerEvent: 36, readTokens: 840, running: 4, hasWaited: false }
}

test('slow engines get no more turns than they finish in equal time, and more programs are in time than without learned speeds', () => {
  for (const [seed, loadFactor] of [[1, 1], [2, 1], [1, 1.3], [2, 1.6]]) {
    const speedAt = (index: number): number => isSlow(index) ? SLOW : FAST
    const before = runUnevenFleet({ seed, speedAt, loadFactor, placement: { learnsSpeeds: false } })
    const after = runUnevenFleet({ seed, speedAt, loadFactor })
    const shares = [before, after].map(result => shareOf(result, isSlow, 2_000, 12_000))
    report(`seed ${seed}, load ${loadFactor}: in time ${before.inTimeShare}, learned ${after.inTimeShare}; turns at slow engines ${shares.join(', ')}, for equal times ${EQUAL_FINISH_SHARE}`)
    assert.ok(after.inTimeShare > before.inTimeShare, `seed ${seed}: ${after.inTimeShare} in time, before ${before.inTimeShare}`)
    assert.ok(shares[1] <= EQUAL_FINISH_SHARE, `seed ${seed}: ${shares[1]} of the turns`)
    assert.ok(shares[1] > 0.02, `seed ${seed}: slow engines stand idle, ${shares[1]} of the turns`)
  }
})

test('with equal engines, every request is placed as without learned speeds', () => {
  for (const seed of [7, 8, 9]) {
    const run = (learnsSpeeds: boolean): { result: GrownFleetResult, placed: string[] } => {
      const placed: string[] = []
      const coordinator = new ServicePlacement(new SeededRandom(1), { ...DEFAULT_SERVICE_PLACEMENT, learnsSpeeds })
      const result = runGrownFleet({ seed, nodeCount: 20, createPlacement: fleet => createCoordinatedPlacement(fleet, { coordinator: () => coordinator, onPlaced: workerId => placed.push(workerId) }) })
      return { result, placed }
    }
    assert.ok(JSON.stringify(run(true)) === JSON.stringify(run(false)), `seed ${seed}`)
  }
})

test('an engine that becomes slow gets fewer turns, and as many as others after it has recovered', () => {
  for (const seed of [1, 2, 3]) {
    const result = runUnevenFleet({ seed, speedAt: (index, nowMs) => index === 0 && nowMs >= 3_000 && nowMs < 6_000 ? 0.4 : 1 })
    const [slow, recovered] = [[4_000, 6_000], [9_000, 12_000]].map(([fromMs, toMs]) => 32 * shareOf(result, index => index === 0, fromMs, toMs))
    report(`seed ${seed}: turns relative to others, slow ${slow}, recovered ${recovered}`)
    assert.ok(slow < 0.5, `seed ${seed}: ${slow} of the turns of others`)
    assert.ok(recovered > 0.6, `seed ${seed}: ${recovered} of the turns of others after it`)
    assert.not(result.samples.at(-1)?.isUneven)
  }
})

test('a new coordinator learns the speeds within a second of load', () => {
  for (const seed of [1, 2, 3]) {
    const { samples } = runUnevenFleet({ seed, speedAt: index => isSlow(index) ? SLOW : FAST, replacedAtMs: 5_000 })
    const learnedAtMs = samples.find(({ atMs, isUneven }) => atMs >= 5_000 && isUneven)?.atMs ?? Number.POSITIVE_INFINITY
    report(`seed ${seed}: learned after ${learnedAtMs - 5_000} ms`)
    assert.ok(learnedAtMs <= 6_000, `seed ${seed}: ${learnedAtMs - 5_000} ms`)
  }
})

test('the learned prompt rate is within a quarter of the engines\' rate under load', () => {
  const { samples } = runUnevenFleet({ seed: 1, speedAt: () => 1 })
  const { prefillTokensPerMs } = samples[100]
  assert.ok(prefillTokensPerMs > 257 / 1.25 && prefillTokensPerMs < 257 * 1.25, String(prefillTokensPerMs))
})

test('an unknown or restarted engine counts as one of mean speed, and a slow one without requests is tried with one at a time', () => {
  const speeds = new EngineSpeeds({ prefillTokensPerMs: 471 })
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    for (const [workerId, tokenMs] of [['w0', 2.4], ['w1', 1.1], ['w2', 1.1]] as const) speeds.observe(workerId, observationOf(tokenMs), nowMs)
  }
  const slownessOf = (workerId: string, nowMs: number): number => speeds.current(nowMs).slownessOf?.(workerId) ?? 0
  assert.ok(slownessOf('w0', 1_000) > 2)
  assert.ok(slownessOf('new', 1_000) > 1.1 && slownessOf('new', 1_000) < 2)
  assert.is(slownessOf('w0', 3_100), 1, 'it is due for a measurement')
  speeds.recordAssignment('w0', 0, 3_100)
  assert.ok(slownessOf('w0', 3_101) > 2, 'the request that measures it has been assigned')
  speeds.removeWorker('w0')
  assert.is(speeds.current(3_200).slownessOf, undefined, 'a restarted worker has lost its speed')
})

test('a turn in a hurry gets a fast engine, one with time to spare leaves it to others while these are busy', () => {
  const statistics = new WorkerStatistics()
  const choice = new WorkerChoice(DEFAULT_WORKER_CHOICE, statistics, new SeededRandom(1))
  const speeds = { slownessOf: (workerId: string) => workerId === 'w0' ? 2 : 1, batchSlowdown: 0 }
  for (let index = 0; index < 11; index++) statistics.beginRequest('w1')
  const choose = (extraMs: number, weight: number): string | undefined => choice.chooseWorker({
    candidates: createWorkers(2), excluded: new Set(), zone: 'a', durationMs: 300, prompt: [{ id: 'shared', tokens: 4_710 }], cached: [{ id: 'shared', tokens: 4_710, worker: 'w0' }, { id: 'shared', tokens: 4_710, worker: 'w1' }], isConnected: () => true, nowMs: 0, speeds, slack: { extraMs, weight }
  })?.workerId
  assert.is(choose(200, 0), 'w1', 'it would lose 300 ms of the 200 ms that it can')
  assert.is(choose(400, 1), 'w1', 'the fast ones are not needed by others')
  for (let index = 0; index < 2; index++) statistics.beginRequest('w1')
  assert.is(choose(400, 0.1), 'w0')
})

test('a request gets no engine whose memory is taken by those in flight while another has room', () => {
  const service = { workers: createWorkers(2), cacheTokens: 50_000, ratesPerS: new Map<string, number>(), tokensPerEvent: 36, limitsTokens: true }
  const placement = new ServicePlacement(new SeededRandom(1))
  let lastId = 0
  const place = (tokens: number, excluded: string[] = []): string => {
    const [placed] = placement.place({
      placementId: String(++lastId), hasBegun: true, priority: 1, objectiveMs: 400, durationMs: 300, timeLeftMs: 3_000, zone: 'a', prompt: [{ id: 'shared', tokens: 12_000 }, { id: `own${lastId}`, tokens }], cached: [], excluded
    }, service, 0)
    return placed?.type === 'placed' ? placed.workerId : 'none'
  }
  place(15_000, ['w1'])
  place(15_000, ['w1'])
  assert.is(place(15_000), 'w1', 'w0 caches the shared part, but has no room')
  place(30_000, ['w0'])
  assert.is.not(place(15_000), 'none', 'no worker has room')
})

test('a part that requests share counts once, until the last of them has ended', () => {
  const tokens = new WorkerTokens()
  const prompts = ['a', 'b'].map(id => [{ id: 'shared', tokens: 1_000 }, { id, tokens: 100 }])
  for (const prompt of prompts) tokens.begin('w', prompt, 10)
  assert.is(tokens.tokensWith('w', [{ id: 'shared', tokens: 1_000 }], 0), 1_220)
  tokens.end('w', prompts[0], 10)
  assert.is(tokens.tokensWith('w', [], 0), 1_110)
  tokens.end('w', prompts[1], 10)
  assert.is(tokens.tokensWith('w', [], 0), 0)
  for (let index = 0; index < 2; index++) tokens.begin('w', [], 10)
  tokens.end('w', [], 10)
  assert.is(tokens.tokensWith('w', [], 0), 10, 'the output of a request without a known prompt')
})

test.run()
