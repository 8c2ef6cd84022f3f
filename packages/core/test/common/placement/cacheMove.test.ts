import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { isMoveCheaper, prefillMs, transferMs } from '@trefoilshunt/core'

test('short prompts are computed again, long ones are moved', () => {
  assert.not(isMoveCheaper(50))
  assert.ok(isMoveCheaper(200))
  assert.ok(transferMs(10_000) < prefillMs(10_000) / 10)
})

test.run()
