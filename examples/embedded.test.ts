/** Runs the embedding example as a test. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runExample } from './embedded.js'

test('the core runs in a custom host', async () => {
  assert.is(await runExample(), 'hello')
})

test.run()
