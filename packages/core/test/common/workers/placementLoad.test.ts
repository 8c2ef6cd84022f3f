/** Plays the load of a grown site against the placement of requests. `LOAD_REPORT=1` prints each result beside that of nodes which choose by themselves. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoordinatedPlacement } from './load/coordinatedPlacement.js'
import { type GrownFleetResult, runGrownFleet } from './load/grownFleet.js'
import { createLocalPlacement } from './load/localPlacement.js'

const NODE_COUNT = 74
/** Floor of each class on a quiet day. */
const QUIET_DAY_FLOOR = 0.5

function report (label: string, { consult, remeasure, refusedByEngines, sharedReadShare }: GrownFleetResult): void {
  if (process.env.LOAD_REPORT !== undefined) console.log(label, JSON.stringify({ consult, remeasure, refusedByEngines, sharedReadShare }))
}

test('no engine gets more requests than its queue holds, however many nodes send them', () => {
  assert.is(runGrownFleet({ seed: 10, nodeCount: NODE_COUNT, createPlacement: createCoordinatedPlacement }).refusedByEngines, 0)
})

test('without a burst, both classes earn the floor of a quiet day on a fleet of 74 nodes', () => {
  const { consult, remeasure } = runGrownFleet({ seed: 11, nodeCount: NODE_COUNT, createPlacement: createCoordinatedPlacement, hasBursts: false })
  if (process.env.LOAD_REPORT !== undefined) report('seed 11, by each node', runGrownFleet({ seed: 11, nodeCount: NODE_COUNT, createPlacement: createLocalPlacement, hasBursts: false }))
  assert.ok(consult.earnedShare >= QUIET_DAY_FLOOR, `consult earned ${consult.earnedShare}`)
  assert.ok(remeasure.earnedShare >= QUIET_DAY_FLOOR, `remeasure earned ${remeasure.earnedShare}`)
})

test.run()
