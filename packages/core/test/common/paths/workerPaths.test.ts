/** Tests when a node concludes that it is cut off from the workers, and when it doesn't. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { DEFAULT_WORKER_PATHS, ProbeResult, SeededRandom, WorkerPaths, type WorkerRegistration } from '../../../src/index.js'

const { silenceMs, roundIntervalMs, roundsToRestore, suspicionIntervalMs, probesPerRound, urgentRoundIntervalMs } = DEFAULT_WORKER_PATHS
const START_MS = 10_000

function createWorkers (count: number): WorkerRegistration[] {
  return Array.from({ length: count }, (_, index) => ({ workerId: `w${index}`, service: 's', address: `10.0.0.${index}:1`, zone: 'a', softwareVersion: 'v1', slots: 4, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }))
}

function createPaths (): WorkerPaths {
  return new WorkerPaths(new SeededRandom(7))
}

/** Plays one round; `resultOf` decides what each probe finds. Returns the number of probes. */
function playRound (paths: WorkerPaths, workers: readonly WorkerRegistration[], nowMs: number, resultOf: (workerId: string) => ProbeResult, hasRelay = true): number {
  const probed = paths.beginRound(() => workers, nowMs)
  if (probed.length > 0) paths.endRound(probed.map(({ workerId }) => ({ workerId, result: resultOf(workerId) })), hasRelay, nowMs)
  return probed.length
}

const test = suite('worker paths')

test('a node that hears no worker and connects to none is cut off, until rounds in a row reach workers again', () => {
  const paths = createPaths()
  const workers = createWorkers(2_400)
  const changes: boolean[] = []
  paths.onDidChange(({ isCutOff }) => changes.push(isCutOff))
  paths.contact.beginWait(START_MS)
  assert.is(playRound(paths, workers, START_MS + silenceMs - 1, () => ProbeResult.Silent), 0)
  assert.is(playRound(paths, workers, START_MS + silenceMs, () => ProbeResult.Silent), probesPerRound)
  assert.ok(paths.isCutOff)
  assert.not.ok(paths.mayConnect('w1'))
  let nowMs = START_MS + silenceMs
  for (let round = 0; round < roundsToRestore; round++) {
    assert.ok(paths.isCutOff)
    nowMs += roundIntervalMs
    assert.is(playRound(paths, workers, nowMs, () => ProbeResult.Connected), probesPerRound)
  }
  assert.not.ok(paths.isCutOff)
  assert.equal(changes, [true, false])
})

test('one reached worker is enough against a suspicion, and the next one is not checked at once', () => {
  const paths = createPaths()
  const workers = createWorkers(8)
  paths.contact.beginWait(START_MS)
  let reached = 0
  assert.is(playRound(paths, workers, START_MS + 1_000, () => reached++ === 0 ? ProbeResult.Connected : ProbeResult.Silent), probesPerRound)
  assert.not.ok(paths.isCutOff)
  assert.is(playRound(paths, workers, START_MS + 1_000 + suspicionIntervalMs - 1, () => ProbeResult.Silent), 0)
})

test('workers that are silent for a second while another one is heard raise no suspicion', () => {
  const paths = createPaths()
  for (let index = 0; index < 10; index++) paths.contact.beginWait(START_MS)
  for (let nowMs = START_MS; nowMs < START_MS + 2_000; nowMs += 100) {
    paths.recordHeard(nowMs)
    assert.is(playRound(paths, createWorkers(8), nowMs + 50, () => ProbeResult.Silent), 0)
  }
})

test('a worker that is heard while the probes run clears the suspicion', () => {
  const paths = createPaths()
  paths.contact.beginWait(START_MS)
  const probed = paths.beginRound(() => createWorkers(8), START_MS + silenceMs)
  paths.recordHeard(START_MS + silenceMs + 100)
  paths.endRound(probed.map(({ workerId }) => ({ workerId, result: ProbeResult.Silent })), true, START_MS + silenceMs + 200)
  assert.not.ok(paths.isCutOff)
})

test('refused connections to several workers are checked at once, also without a call that waits', () => {
  const paths = createPaths()
  const workers = createWorkers(8)
  paths.recordConnectFailure('w1', START_MS)
  assert.is(playRound(paths, workers, START_MS + 1, () => ProbeResult.Refused), 0)
  paths.recordConnectFailure('w2', START_MS + 2)
  assert.is(playRound(paths, workers, START_MS + 3, () => ProbeResult.Refused), probesPerRound)
  assert.ok(paths.isCutOff)
})

test('a single worker that refuses connections is avoided until a probe reaches it', () => {
  const paths = createPaths()
  const workers = createWorkers(8)
  paths.recordHeard(START_MS)
  paths.recordConnectFailure('w3', START_MS)
  assert.not.ok(paths.mayConnect('w3'))
  assert.ok(paths.mayConnect('w4'))
  const { workerProbeIntervalMs } = DEFAULT_WORKER_PATHS
  assert.is(playRound(paths, workers, START_MS + workerProbeIntervalMs - 1, () => ProbeResult.Connected), 0)
  assert.is(playRound(paths, workers, START_MS + workerProbeIntervalMs, () => ProbeResult.Refused), 1)
  assert.not.ok(paths.mayConnect('w3'))
  assert.is(playRound(paths, workers, START_MS + 2 * workerProbeIntervalMs, () => ProbeResult.Connected), 1)
  assert.ok(paths.mayConnect('w3'))
  assert.not.ok(paths.isCutOff)
})

test('without a peer that reaches the workers, the first worker that is reached ends the cut, and a new worker is probed first', () => {
  const paths = createPaths()
  const workers = createWorkers(12)
  paths.contact.beginWait(START_MS)
  let nowMs = START_MS + silenceMs
  for (let round = 0; round < 8; round++, nowMs += urgentRoundIntervalMs) assert.is(playRound(paths, workers, nowMs, () => ProbeResult.Refused, false), probesPerRound)
  assert.ok(paths.isCutOff)
  playRound(paths, [...workers, ...createWorkers(13).slice(12)], nowMs, workerId => workerId === 'w12' ? ProbeResult.Connected : ProbeResult.Refused, false)
  assert.not.ok(paths.isCutOff)
})

test('a node without calls probes nothing', () => {
  const paths = createPaths()
  for (let nowMs = START_MS; nowMs < START_MS + 60_000; nowMs += 500) assert.is(playRound(paths, createWorkers(8), nowMs, () => ProbeResult.Silent), 0)
})

test.run()
