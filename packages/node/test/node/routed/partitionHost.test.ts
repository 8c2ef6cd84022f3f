import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '@trefoilshunt/core'
import { KeyedLog } from '@trefoilshunt/standins'
import { PartitionHost } from '../../../src/node/routed/partitionHost.js'
import { FakeLog } from './fakeLog.js'

const PARTITIONS = 4
const TTL_MS = 400

function createHost (log: FakeLog, member: string): PartitionHost {
  return new PartitionHost({
    member,
    log,
    partitionCount: PARTITIONS,
    maxRecordBytes: 4_096,
    maxAppendBytes: 100_000,
    memberTtlMs: TTL_MS,
    logSilenceMs: () => 0,
    random: new SeededRandom(member.length),
    onChanged: () => {},
    write: () => {}
  })
}

async function waitFor (isTrue: () => boolean): Promise<void> {
  const endMs = performance.now() + 5_000
  while (!isTrue()) {
    if (performance.now() > endMs) throw new Error('not in time')
    await new Promise<void>(resolve => { setTimeout(resolve, 5) })
  }
}

function servedBy (hosts: PartitionHost[]): number[] {
  return hosts.flatMap(host => host.served.map(owner => owner.partition)).sort((left, right) => left - right)
}

test('partitions spread over the nodes, each with one owner, and move when a node leaves or dies', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  const hosts = ['a', 'bb', 'ccc'].map(member => createHost(log, member))
  for (const host of hosts) host.start()
  await waitFor(() => servedBy(hosts).length === PARTITIONS && hosts.every(host => host.served.length > 0))
  assert.equal(servedBy(hosts), [0, 1, 2, 3])
  await hosts[0].stop(200)
  await waitFor(() => servedBy(hosts.slice(1)).length === PARTITIONS)
  hosts[1].close()
  await waitFor(() => hosts[2].served.length === PARTITIONS)
  hosts[2].close()
})

test('a node that restarts under its name has its partitions back without waiting for its old membership to lapse', async () => {
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

test('after all partitions are dealt anew at once, each is served again by its new owner', async () => {
  const log = new FakeLog(new KeyedLog({ partitionCount: PARTITIONS, nowMs: () => performance.now() }))
  const hosts = ['a', 'bb'].map(member => createHost(log, member))
  for (const host of hosts) host.start()
  await waitFor(() => servedBy(hosts).length === PARTITIONS && hosts.every(host => host.served.length > 0))
  for (let round = 0; round < 3; round++) {
    log.log.rebalance('turn-owners')
    await waitFor(() => servedBy(hosts).length === PARTITIONS)
    await new Promise<void>(resolve => { setTimeout(resolve, 60) })
  }
  await waitFor(() => servedBy(hosts).length === PARTITIONS)
  for (const host of hosts) host.close()
})

test.run()
