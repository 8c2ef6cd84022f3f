/** How partitions are assigned, recovered and handed over as members join, restart, crash or become isolated. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EPOCHS_PER_GENERATION, type LogFields, SeededRandom } from '@trefoilshunt/core'
import { KeyedLog } from '@trefoilshunt/standins'
import { PartitionHost } from '../../../../src/node/routed/owners/partitionHost.js'
import { TURN_TOPIC } from '../../../../src/node/routed/owners/partitionOwner.js'
import { FakeLog } from '../fakeLog.js'
import { VirtualTime } from '../virtualTime.js'

const PARTITIONS = 4
const TTL_MS = 400

interface HostOptions {
  hasLivePeers?: () => boolean
  memberTtlMs?: number
  hasUnservedPartition?: () => boolean
  seed?: number
  write?: (event: string, fields: LogFields) => void
}

function createHost (log: FakeLog, member: string, { hasLivePeers = () => true, memberTtlMs = TTL_MS, hasUnservedPartition, seed = member.length, write = () => {} }: HostOptions = {}): PartitionHost {
  return new PartitionHost({
    member,
    log,
    partitionCount: PARTITIONS,
    maxRecordBytes: 4_096,
    maxAppendBytes: 100_000,
    memberTtlMs,
    sinceLogResponseMs: () => 0,
    hasLivePeers,
    hasUnservedPartition,
    random: new SeededRandom(seed),
    onChanged: () => {},
    write: (event, fields) => {
      write(event, fields)
      if (process.env.DBG !== undefined) console.log(Math.round(performance.now()), member, event, JSON.stringify(fields))
    }
  })
}

async function waitFor (isTrue: () => boolean): Promise<void> {
  const endMs = performance.now() + 5_000
  while (!isTrue()) {
    if (performance.now() > endMs) throw new Error('the condition did not hold within 5 s')
    await new Promise<void>(resolve => { setTimeout(resolve, 5) })
  }
}

function servedPartitions (hosts: PartitionHost[]): number[] {
  return hosts.flatMap(host => host.served.map(owner => owner.partition)).sort((left, right) => left - right)
}

test('partitions are spread over the nodes, each with one owner, and move when a node leaves or crashes', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  const hosts = ['a', 'bb', 'ccc'].map(member => createHost(log, member))
  for (const host of hosts) host.start()
  await waitFor(() => servedPartitions(hosts).length === PARTITIONS && hosts.every(host => host.served.length > 0))
  assert.equal(servedPartitions(hosts), [0, 1, 2, 3])
  await hosts[0].stop(200)
  await waitFor(() => servedPartitions(hosts.slice(1)).length === PARTITIONS)
  hosts[1].close()
  await waitFor(() => hosts[2].served.length === PARTITIONS)
  hosts[2].close()
})

test('after a change of the membership, nodes whose partitions stay join at the usual period, so that a start costs the others little; partitions still move at once', async () => {
  const shared = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() })
  const ttlMs = 4_000
  const logs = Array.from({ length: 5 }, () => new FakeLog(shared))
  const hosts: PartitionHost[] = []
  const start = (member: string, index: number): void => {
    hosts.push(createHost(logs[index], member, { memberTtlMs: ttlMs, hasUnservedPartition: () => servedPartitions(hosts).length < PARTITIONS }))
    hosts[index].start()
  }
  ;['a', 'bb', 'ccc', 'dddd'].forEach(start)
  await waitFor(() => hosts.every(({ served }) => served.length === 1))
  await new Promise<void>(resolve => { setTimeout(resolve, 700) })
  logs[0].joinCount = 0
  start('eeeee', 4)
  await new Promise<void>(resolve => { setTimeout(resolve, 1_800) })
  assert.ok(logs[0].joinCount <= 3, `${logs[0].joinCount} joins of a node whose partitions stay`)
  await hosts[0].stop(200)
  const stoppedMs = performance.now()
  await waitFor(() => servedPartitions(hosts).length === PARTITIONS)
  const tookMs = performance.now() - stoppedMs
  for (const host of hosts) host.close()
  assert.ok(tookMs < ttlMs / 2, `the partition moved after ${Math.round(tookMs)} ms`)
})

test('a lost join or leave is repeated long before the membership expires', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  const [first, second] = ['a', 'bb'].map(member => createHost(log, member, { memberTtlMs: 4_000 }))
  log.lostJoins = 1
  const startedMs = performance.now()
  first.start()
  await waitFor(() => first.served.length === PARTITIONS)
  const startMs = performance.now() - startedMs
  second.start()
  await waitFor(() => second.served.length === PARTITIONS / 2)
  log.lostLeaves = 2
  const stoppedMs = performance.now()
  await first.stop(200)
  await waitFor(() => second.served.length === PARTITIONS)
  const handoverMs = performance.now() - stoppedMs
  second.close()
  assert.ok(startMs < 1_500, `the start took ${Math.round(startMs)} ms`)
  assert.ok(handoverMs < 2_500, `the handover took ${Math.round(handoverMs)} ms`)
})

test('a node that restarts under its name gets its partitions back before its old membership expires', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  const first = createHost(log, 'a')
  first.start()
  await waitFor(() => first.served.length === PARTITIONS)
  first.close()
  const startedMs = performance.now()
  const second = createHost(log, 'a')
  second.start()
  await waitFor(() => second.served.length === PARTITIONS)
  assert.ok(performance.now() - startedMs < TTL_MS)
  second.close()
})

test('a node whose calls the log refuses gives up the partitions that a peer serves under a higher epoch', async () => {
  const keyedLog = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() })
  const connectedLog = new FakeLog(keyedLog)
  const refusingLog = new FakeLog(keyedLog)
  const first = createHost(refusingLog, 'a')
  first.start()
  await waitFor(() => first.served.length === PARTITIONS)
  refusingLog.isDown = true
  const second = createHost(connectedLog, 'bb')
  second.start()
  await waitFor(() => second.served.length === PARTITIONS)
  assert.is(first.served.length, PARTITIONS, 'it has not learned of the new owner yet')
  first.applyPeerOwnership(second.served.map(owner => [owner.partition, owner.epoch]))
  assert.is(first.served.length, 0)
  second.applyPeerOwnership([[0, 1]])
  assert.is(second.served.length, PARTITIONS, 'an older owner changes nothing')
  for (const host of [first, second]) host.close()
})

test('a node that receives nothing from the other members hands its partitions to them', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  let isIsolated = false
  const hosts = [createHost(log, 'a', { hasLivePeers: () => !isIsolated }), createHost(log, 'bb'), createHost(log, 'ccc')]
  for (const host of hosts) host.start()
  await waitFor(() => servedPartitions(hosts).length === PARTITIONS && hosts.every(host => host.served.length > 0))
  isIsolated = true
  await waitFor(() => hosts[0].served.length === 0 && servedPartitions(hosts.slice(1)).length === PARTITIONS)
  isIsolated = false
  await waitFor(() => hosts[0].served.length > 0)
  for (const host of hosts) host.close()
})

test('the only remaining node serves all partitions although it has no peers', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  const host = createHost(log, 'a', { hasLivePeers: () => false })
  host.start()
  await waitFor(() => host.served.length === PARTITIONS)
  await new Promise<void>(resolve => { setTimeout(resolve, 1_800) })
  assert.is(host.served.length, PARTITIONS)
  host.close()
})

test('after all partitions are reassigned at once, each is served by its new owner', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  const hosts = ['a', 'bb'].map(member => createHost(log, member))
  for (const host of hosts) host.start()
  await waitFor(() => servedPartitions(hosts).length === PARTITIONS && hosts.every(host => host.served.length > 0))
  for (let round = 0; round < 3; round++) {
    log.log.rebalance('turn-owners')
    await waitFor(() => servedPartitions(hosts).length === PARTITIONS)
    await new Promise<void>(resolve => { setTimeout(resolve, 60) })
  }
  await waitFor(() => servedPartitions(hosts).length === PARTITIONS)
  for (const host of hosts) host.close()
})

/** 75 times the usual 4 ms; above the shortest time-outs of joins, appends and recoveries. */
const SLOW_ANSWER_MS = 300

test('a node that knows how slow the log is takes partitions over without a call in vain', async () => {
  const shared = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() })
  const logs = [new FakeLog(shared), new FakeLog(shared)]
  const [leaving, successor] = ['a', 'bb'].map((member, index) => createHost(logs[index], member, { memberTtlMs: 4_000 }))
  leaving.start()
  successor.start()
  await waitFor(() => servedPartitions([leaving, successor]).length === PARTITIONS && successor.served.length === PARTITIONS / 2)
  for (const log of logs) log.answerMs = SLOW_ANSWER_MS
  await Promise.all([leaving, successor].map(async host => { await host.served[0].confirm() }))
  logs[1].unansweredCount = 0
  const moved = leaving.served.map(({ partition }) => partition)
  await leaving.stop(2_000)
  await waitFor(() => successor.served.length === PARTITIONS)
  await Promise.all(moved.map(async partition => await successor.find(partition)?.confirm()))
  successor.close()
  assert.is(logs[1].unansweredCount, 0)
})

// Guards against quota buckets that are used on although another node has granted from the same quota in between.
test('a membership that may have expired while others served the partitions counts as lapsed, a short silence of the log does not', async () => {
  const log = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() })
  const [ownLog, otherLog] = [new FakeLog(log), new FakeLog(log)]
  const [host, other] = [createHost(ownLog, 'a'), createHost(otherLog, 'bb')]
  host.start()
  other.start()
  await waitFor(() => servedPartitions([host, other]).length === PARTITIONS && host.served.length > 0 && other.served.length > 0)
  const { lapseCount } = host
  ownLog.isDown = true
  await new Promise<void>(resolve => { setTimeout(resolve, TTL_MS / 4) })
  ownLog.isDown = false
  await waitFor(() => host.sinceLastJoinMs < TTL_MS / 8)
  assert.is(host.lapseCount, lapseCount)
  ownLog.isDown = true
  await waitFor(() => other.served.length === PARTITIONS)
  ownLog.isDown = false
  await waitFor(() => host.isMembershipFresh)
  assert.is(host.lapseCount, lapseCount + 1)
  host.close()
  other.close()
})

/** A process of the node 'a'; the log knows those of one name as one member. */
function startProcess (log: FakeLog, seed: number): PartitionHost {
  const host = createHost(log, 'a', { seed })
  host.start()
  return host
}

/** True if a turn of the partition is granted and recorded in one of five tries; the first one may find that the partition has another owner. */
async function recordsTurn (host: PartitionHost, partition: number, turnId: string): Promise<boolean> {
  for (let tries = 0; tries < 5; tries++) {
    const turn = { turnId, programId: turnId, input: new Uint8Array(1), output: new Uint8Array(1), keepMs: 60_000 }
    if (await host.find(partition)?.end({ programId: turnId, requestId: turnId, usedTokens: 1, worker: 'w', prompt: [], turn }) === 'recorded') return true
    await new Promise<void>(resolve => { setTimeout(resolve, 100) })
  }
  return false
}

// Guards against a partition without an owner after a call of an earlier process of the node has raised the epoch late.
test('a takeover of an ended process that the log executes late leaves the partitions with the process that serves them', async () => {
  const shared = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() })
  const [firstLog, endedLog, log] = [new FakeLog(shared), new FakeLog(shared), new FakeLog(shared)]
  const first = startProcess(firstLog, 4)
  await waitFor(() => first.served.length === PARTITIONS)
  for (let partition = 0; partition < PARTITIONS; partition++) assert.ok(await recordsTurn(first, partition, `before-${partition}`))
  first.close()
  endedLog.holdsAppends = true
  const ended = startProcess(endedLog, 3)
  await waitFor(() => endedLog.heldAppendCount >= 3)
  ended.close()
  const host = startProcess(log, 4)
  await waitFor(() => host.served.length === PARTITIONS)
  endedLog.executeHeldAppends()
  for (let partition = 0; partition < PARTITIONS; partition++) {
    assert.ok(await recordsTurn(host, partition, `after-${partition}`), `partition ${partition} records no turn`)
    assert.is(host.find(partition)?.chainOf(`before-${partition}`)?.length, 1)
  }
  host.close()
})

// Guards against a partition without an owner after it was fenced within a generation of the group, for example by a process of an earlier build.
test('a fenced partition is taken over again while the group assigns it to the node, and no turn is lost', async () => {
  const shared = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() })
  const host = startProcess(new FakeLog(shared), 1)
  await waitFor(() => host.served.length === PARTITIONS)
  assert.ok(await recordsTurn(host, 2, 'before'))
  for (let round = 0; round < 2; round++) {
    const epoch = host.find(2)?.epoch ?? 0
    shared.append(TURN_TOPIC, 2, [], { producer: 'owner', epoch: epoch + 100_000 })
    assert.ok(await recordsTurn(host, 2, `after-${round}`), `no turn is recorded after fence ${round}`)
    assert.ok((host.find(2)?.epoch ?? 0) > epoch + 100_000)
  }
  assert.is(host.find(2)?.chainOf('before')?.length, 1)
  assert.equal(host.unserved, [])
  host.close()
})

test('when the epochs of a generation are used up, the node starts a new generation and serves again', async () => {
  const shared = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() })
  const host = startProcess(new FakeLog(shared), 1)
  await waitFor(() => host.served.length === PARTITIONS)
  assert.ok(await recordsTurn(host, 2, 'before'))
  shared.append(TURN_TOPIC, 2, [], { producer: 'owner', epoch: 2 * EPOCHS_PER_GENERATION - 1 })
  assert.ok(await recordsTurn(host, 2, 'after'))
  assert.is(host.find(2)?.chainOf('before')?.length, 1)
  await waitFor(() => host.served.length === PARTITIONS)
  host.close()
})

// Guards against two processes of one name that fence each other without a pause, so that neither serves.
test('two processes of one name replace each other ever less often, and the one that stays serves', async () => {
  await VirtualTime.run(async time => {
    const shared = new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => time.nowMs })
    const [first, second] = [1, 2].map(seed => startProcess(new FakeLog(shared), seed))
    let takeovers = 0
    let latestEpoch = 0
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 20) {
      for (const host of [first, second]) void host.find(1)?.confirm()
      await time.advance(20)
      const epoch = Math.max(...[first, second].map(host => host.find(1)?.epoch ?? 0))
      if (epoch > latestEpoch) takeovers++
      latestEpoch = Math.max(latestEpoch, epoch)
    }
    assert.ok(takeovers <= 20, `${takeovers} takeovers of a partition in 20 s`)
    first.close()
    await time.advance(4_500)
    assert.is(second.served.length, PARTITIONS)
    second.close()
  })
})

// Guards against a partition that is assigned here and refuses all turns, while nothing in the log says so.
test('a partition that is assigned and not served is listed with the reason and its age, and logged every five seconds', async () => {
  await VirtualTime.run(async time => {
    const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => time.nowMs }))
    const lines: LogFields[] = []
    log.holdsAppends = true
    const host = createHost(log, 'a', { write: (event, fields) => { if (event === 'partitionUnserved' && fields.partition === 0) lines.push(fields) } })
    host.start()
    await time.advance(900)
    assert.is(lines.length, 0)
    await time.advance(6_000)
    assert.equal(lines.map(({ reason }) => reason), ['recovering', 'recovering'])
    const [{ partition, reason, ageMs }] = host.unserved
    assert.equal([partition, reason], [0, 'recovering'])
    assert.ok(ageMs > 6_500 && ageMs < 7_000, `${ageMs} ms`)
    log.holdsAppends = false
    await time.advance(4_000)
    assert.equal(host.unserved, [])
    assert.is(lines.length, 2)
    host.close()
  })
})

test.run()
