import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runExample } from './embedded.js'

test('the core runs in a host of one\'s own', async () => {
  assert.is(await runExample(), 'hello')
})

test.run()
