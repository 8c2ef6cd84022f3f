import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SuspectRequests } from '@trefoilshunt/core'

test('a request is quarantined after the configured number of crashes of different workers', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
  assert.not(suspects.addCrash('f', 'w1', 0))
  assert.not(suspects.addCrash('f', 'w1', 10), 'the same worker counts once')
  assert.ok(suspects.isSuspect('f', 20))
  assert.not(suspects.isQuarantined('f'))
  assert.ok(suspects.addCrash('f', 'w2', 30))
  assert.ok(suspects.isQuarantined('f'))
  assert.not(suspects.addCrash('f', 'w3', 40), 'the quarantine is reported once')
  assert.equal([...suspects.crashedWorkers('f')], ['w1', 'w2', 'w3'])
})

test('crashes close together count once, in whatever order they are added', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 3, spacingMs: 500 })
  for (const [worker, atMs] of [['w1', 1_000], ['w2', 1_010], ['w3', 1_400], ['w4', 400]] as const) suspects.addCrash('f', worker, atMs)
  assert.not(suspects.isQuarantined('f'))
  assert.ok(suspects.addCrash('f', 'w5', 2_000))
})

test('a request is no longer suspect once a worker has served it or 10 minutes after its first crash', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
  suspects.addCrash('f', 'w1', 0)
  assert.not(suspects.isSuspect('f', 700_000))
  assert.ok(suspects.clear('f'))
  assert.ok(suspects.isEmpty)
  suspects.addCrash('f', 'w2', 0)
  assert.not(suspects.isQuarantined('f'), 'crashes from before do not count')
})

test('a request stays quarantined after its crashes were cleared, and the set is not empty', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
  suspects.addCrash('f', 'w1', 0)
  suspects.addCrash('f', 'w2', 1)
  suspects.clear('f')
  assert.ok(suspects.isQuarantined('f'))
  assert.not(suspects.isEmpty)
})

test.run()
