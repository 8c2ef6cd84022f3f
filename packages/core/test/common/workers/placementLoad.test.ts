/** Plays the load of a grown site against the placement of requests. `LOAD_REPORT=1` prints each result beside that of nodes which choose by themselves. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoordinatedPlacement } from './load/coordinatedPlacement.js'
import { type GrownFleetResult, runGrownFleet } from './load/grownFleet.js'
import { createLocalPlacement } from './load/localPlacement.js'

const NODE_COUNT = 74
/** Floors of the users' site file for a day of high load. */
const CLASS_FLOOR = 0.36
const WHOLE_DAY_FLOOR = 0.434
/** Floor of each class on a quiet day. */
const QUIET_DAY_FLOOR = 0.5

function report (label: string, { consult, remeasure, refusedByEngines, sharedReadShare }: GrownFleetResult): void {
  if (process.env.LOAD_REPORT !== undefined) console.log(label, JSON.stringify({ consult, remeasure, refusedByEngines, sharedReadShare }))
}

test('in bursts of both classes on a fleet of 74 nodes, the less urgent class still earns its floor', () => {
  for (const seed of [7, 8, 9]) {
    const result = runGrownFleet({ seed, nodeCount: NODE_COUNT, createPlacement: createCoordinatedPlacement })
    report(`seed ${seed}, coordinated`, result)
    if (process.env.LOAD_REPORT !== undefined) report(`seed ${seed}, by each node`, runGrownFleet({ seed, nodeCount: NODE_COUNT, createPlacement: createLocalPlacement }))
    const { consult, remeasure } = result
    assert.ok(remeasure.earnedShare >= CLASS_FLOOR, `seed ${seed}: remeasure earned ${remeasure.earnedShare}`)
    assert.ok(consult.earnedShare >= remeasure.earnedShare, `seed ${seed}: the urgent class earned less, ${consult.earnedShare}`)
    const wholeDay = (consult.earnedShare * consult.programs + remeasure.earnedShare * remeasure.programs) / (consult.programs + remeasure.programs)
    assert.ok(wholeDay >= WHOLE_DAY_FLOOR, `seed ${seed}: the whole day earned ${wholeDay}`)
  }
})

test('no engine gets more requests than its queue holds, however many nodes send them', () => {
  assert.is(runGrownFleet({ seed: 10, nodeCount: NODE_COUNT, createPlacement: createCoordinatedPlacement }).refusedByEngines, 0)
})

test('without a burst, both classes earn the floor of a quiet day on a fleet of 74 nodes', () => {
  const { consult, remeasure } = runGrownFleet({ seed: 11, nodeCount: NODE_COUNT, createPlacement: createCoordinatedPlacement, hasBursts: false })
  report('seed 11, without a burst', { consult, remeasure, refusedByEngines: 0, sharedReadShare: 0 })
  assert.ok(consult.earnedShare >= QUIET_DAY_FLOOR, `consult earned ${consult.earnedShare}`)
  assert.ok(remeasure.earnedShare >= QUIET_DAY_FLOOR, `remeasure earned ${remeasure.earnedShare}`)
})

test.run()
