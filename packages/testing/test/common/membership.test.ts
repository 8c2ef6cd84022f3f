/** Number of messages that failure detection sends. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Fleet } from '@trefoilshunt/testing'

const RUN_MS = 30_000
const SETTLED_MS = 10_000
const PERIODS = (RUN_MS - SETTLED_MS) / 1_000
/** A node's own probes and their replies, one more check of each suspect, and as many messages for the probes of others. */
const MESSAGES_PER_NODE_AND_PERIOD = 24

test('a cut between two zones does not multiply probe messages', async () => {
  const fleet = new Fleet({ nodesPerZone: 1 })
  fleet.startNodes()
  await fleet.runUntil(SETTLED_MS)
  fleet.cut('saskatoon', 'brandon')
  const before = fleet.counters.peerMessages
  await fleet.runUntil(RUN_MS)
  const perNode = (fleet.counters.peerMessages - before) / 3 / PERIODS
  assert.ok(perNode <= MESSAGES_PER_NODE_AND_PERIOD, `${perNode} messages a node and period`)
})

test('probe messages per node do not grow with the fleet', async () => {
  const perNode = async (nodesPerZone: number) => {
    const fleet = new Fleet({ nodesPerZone })
    fleet.startNodes()
    await fleet.runUntil(RUN_MS)
    return fleet.counters.peerMessages / (3 * nodesPerZone) / (RUN_MS / 1_000)
  }
  assert.ok(await perNode(20) <= await perNode(3) * 1.2)
})

test.run()
