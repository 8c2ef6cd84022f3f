import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SeededRandom } from '@trefoilshunt/core'
import type { NodeAddress, NodeStatus } from '../../../src/common/routed/routedPeerMessages.js'
import { NodeDirectory, type OwnState } from '../../../src/node/routed/nodeDirectory.js'
import { heartbeatTimeoutMs } from '../../../src/node/routed/statusPeriod.js'

const PERIOD_MS = 200
const SELF_STATE: OwnState = { isReady: false, reachesWorkers: true, cores: 1, busyShare: 0 }

function createAddress (node: string, zone = 'a'): NodeAddress {
  return { node, zone, incarnation: '1', peerAddress: `${node}:1`, callerAddress: node }
}

function createStatus (node: string, fields: Partial<NodeStatus> = {}): NodeStatus {
  return { type: 'status', from: createAddress(node), periodMs: PERIOD_MS, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores: 1, logSilenceMs: 0, busyShare: 0, load: {}, ...fields }
}

function createDirectory (clock: { nowMs: number }): NodeDirectory {
  return new NodeDirectory({ self: createAddress('self'), nowMs: () => clock.nowMs, onAdded: () => {}, onRemoved: () => {} })
}

test('the heartbeat timeout of a peer follows from the status period that it sends', () => {
  const clock = { nowMs: 0 }
  const directory = createDirectory(clock)
  directory.applyStatus(createStatus('fast'))
  directory.applyStatus(createStatus('slow', { periodMs: 2_000 }))
  clock.nowMs = 1_000
  assert.equal(directory.alive.map(({ from }) => from.node), ['slow'])
  clock.nowMs = 10_000
  assert.is(directory.alive.length, 0)
})

test('a peer whose connection closed is not alive and owns no partition until its next status', () => {
  const clock = { nowMs: 0 }
  const directory = createDirectory(clock)
  directory.applyStatus(createStatus('peer', { owned: [[3, 7]] }))
  assert.is(directory.ownerOf(3), 'peer')
  directory.markDisconnected('peer')
  assert.is(directory.ownerOf(3), undefined)
  assert.equal(directory.callerAddresses('a', { ...SELF_STATE, isReady: true }), ['self'])
  directory.applyStatus(createStatus('peer', { owned: [[3, 7]] }))
  assert.is(directory.ownerOf(3), 'peer')
})

test('each answer to callers names 64 of 150 nodes, and successive answers cover all of them', () => {
  const directory = createDirectory({ nowMs: 0 })
  for (let index = 0; index < 150; index++) directory.applyStatus(createStatus(`n${index}`))
  const timesReturned = new Map<string, number>()
  for (let round = 0; round < 30; round++) {
    const addresses = directory.callerAddresses('a', SELF_STATE)
    assert.is(new Set(addresses).size, 64)
    for (const address of addresses) timesReturned.set(address, (timesReturned.get(address) ?? 0) + 1)
  }
  assert.is(timesReturned.size, 150)
  assert.ok(Math.min(...timesReturned.values()) >= 10, `one address was returned only ${Math.min(...timesReturned.values())} times of 30`)
})

test('195 nodes of two sizes in five zones: callers of a zone get its large nodes, and all of its nodes while the large ones are too few', () => {
  const ZONES = ['a', 'b', 'c', 'd', 'e']
  const LARGE_IN_ZONE = 8
  const clock = { nowMs: 0 }
  const directory = createDirectory(clock)
  const nameOf = (zone: string, index: number): string => `${zone}${index}`
  for (const zone of ZONES) {
    for (let index = 0; index < 39; index++) directory.applyStatus(createStatus(nameOf(zone, index), { from: createAddress(nameOf(zone, index), zone), cores: index < LARGE_IN_ZONE ? 1.35 : 0.324, busyShare: 0.1 }))
  }
  const large = (zone: string): string[] => Array.from({ length: LARGE_IN_ZONE }, (_, index) => nameOf(zone, index))
  for (const zone of ZONES) assert.equal(directory.callerAddresses(zone, SELF_STATE).sort(), large(zone))
  for (const node of large('c').slice(3)) directory.markDisconnected(node)
  assert.is(directory.callerAddresses('c', SELF_STATE).length, 34)
  assert.equal(directory.callerAddresses('d', SELF_STATE).sort(), large('d'))
})

test('the list of live peers, which is kept between uses, has no peer that is late, lost or gone, and the newest status of each other one', () => {
  for (let seed = 0; seed < 50; seed++) {
    const random = new SeededRandom(seed)
    const clock = { nowMs: 0 }
    const directory = createDirectory(clock)
    const expected = new Map<string, { status: NodeStatus, untilMs: number }>()
    for (let step = 0; step < 300; step++) {
      const node = `n${random.nextInt(6)}`
      clock.nowMs += random.nextInt(random.nextInt(40) === 0 ? 70_000 : 300)
      const event = random.nextInt(5)
      if (event === 0) {
        directory.markDisconnected(node)
        expected.delete(node)
      } else if (event === 1) {
        directory.removeInactive()
      } else {
        const status = createStatus(node, { periodMs: 200 + random.nextInt(2_000), documentVersion: step })
        directory.applyStatus(status)
        expected.set(node, { status, untilMs: clock.nowMs + heartbeatTimeoutMs(status.periodMs) })
      }
      const byNode = (left: NodeStatus, right: NodeStatus): number => left.from.node.localeCompare(right.from.node)
      const live = [...expected.values()].filter(({ untilMs }) => clock.nowMs <= untilMs).map(({ status }) => status)
      assert.equal([...directory.alive].sort(byNode), live.sort(byNode), `seed ${seed}, step ${step}`)
    }
  }
})

test.run()
