/** Tests the shares of client accounts in workers that are short. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AccountDirectory, AccountShares } from '@trefoilshunt/core'

test('an account without a quota has the mean share, and no share is 0: programs in progress are divided by it', () => {
  const shares = new AccountShares(new AccountDirectory([
    { name: 'a', accessKeys: [], quota: { ratePerS: 2, burst: 1 } },
    { name: 'b', accessKeys: [], quota: { ratePerS: 10, burst: 1 } },
    { name: 'c', accessKeys: [] }
  ]))
  assert.equal(['a', 'b', 'c', 'gone'].map(name => shares.shareOf(name)), [2, 10, 6, 6])
  assert.is(new AccountShares(new AccountDirectory([{ name: 'a', accessKeys: [], quota: { ratePerS: 0, burst: 0 } }])).shareOf('a') > 0, true)
})

test.run()
