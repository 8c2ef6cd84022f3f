/** The sample scenarios, and a short search with a fixed seed. */
import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { parseJsonc } from '@trefoilshunt/protocol'
import { runScenario, scenarioSchema, searchSchedules } from '@trefoilshunt/testing'

const FOLDER = 'samples/scenarios'
const SEARCH_RUNS = 30

for (const file of readdirSync(FOLDER).sort()) {
  test(`the scenario ${file} passes`, async () => {
    const scenario = parseJsonc(file, readFileSync(`${FOLDER}/${file}`, 'utf8'), scenarioSchema).unsafeCoerce()
    const { violations } = await runScenario(scenario)
    assert.equal(violations, [])
  })
}

test('random fault schedules of a fixed seed violate no invariant', async () => {
  const result = await searchSchedules({ runs: SEARCH_RUNS, seed: 20 })
  assert.equal(result.counterexample, undefined)
  assert.is(result.runs, SEARCH_RUNS)
})

test.run()
