import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SuspectRequests } from '@trefoilshunt/core'

test('a request is quarantined after the configured number of crashes of different workers', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
  assert.not(suspects.addCrash('f', { worker: 'w1', crashedAtMs: 0 }))
  assert.not(suspects.addCrash('f', { worker: 'w1', crashedAtMs: 10 }), 'the same worker counts once')
  assert.ok(suspects.isSuspect('f', 20))
  assert.not(suspects.isQuarantined('f'))
  assert.ok(suspects.addCrash('f', { worker: 'w2', crashedAtMs: 30 }))
  assert.ok(suspects.isQuarantined('f'))
  assert.not(suspects.addCrash('f', { worker: 'w3', crashedAtMs: 40 }), 'the quarantine is reported once')
  assert.equal([...suspects.crashedWorkers('f')], ['w1', 'w2', 'w3'])
})

test('crashes close together count once, in whatever order they are added', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 3, spacingMs: 500 })
  for (const [worker, atMs] of [['w1', 1_000], ['w2', 1_010], ['w3', 1_400], ['w4', 400]] as const) suspects.addCrash('f', { worker, crashedAtMs: atMs })
  assert.not(suspects.isQuarantined('f'))
  assert.ok(suspects.addCrash('f', { worker: 'w5', crashedAtMs: 2_000 }))
})

test('crashes close together count each if the request was sent after the crash before, and once if it was sent at the same time', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 3, spacingMs: 500 })
  for (const [worker, sentAtMs, crashedAtMs] of [['w1', 0, 10], ['w2', 5, 20], ['w3', 60, 80], ['w4', 120, 130]] as const) suspects.addCrash('f', { worker, sentAtMs, crashedAtMs })
  assert.not(suspects.isQuarantined('f'), 'two independent crashes')
  assert.ok(suspects.addCrash('f', { worker: 'w5', sentAtMs: 240, crashedAtMs: 250 }))
})

test('a quarantine that was recorded elsewhere holds until it is released', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 3 })
  assert.ok(suspects.quarantine('f'))
  assert.not(suspects.quarantine('f'), 'it is reported once')
  suspects.addCrash('f', { worker: 'w1', crashedAtMs: 0 })
  suspects.removeCrash('f', 'w1')
  assert.ok(suspects.isQuarantined('f'))
  suspects.release('f')
  assert.ok(suspects.isEmpty)
})

test('the latest crash is told once several are independent', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 3, spacingMs: 500 })
  suspects.addCrash('rack', { worker: 'w1', crashedAtMs: 5 })
  suspects.addCrash('rack', { worker: 'w2', crashedAtMs: 9 })
  assert.is(suspects.latestOfSeveralCrashes('rack'), undefined)
  suspects.addCrash('f', { worker: 'w1', crashedAtMs: 5 })
  assert.is(suspects.latestOfSeveralCrashes('f'), undefined)
  suspects.addCrash('f', { worker: 'w2', crashedAtMs: 705 })
  assert.is(suspects.latestOfSeveralCrashes('f'), 705)
})

test('a request is no longer suspect once a worker has served it or 10 minutes after its first crash', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
  suspects.addCrash('f', { worker: 'w1', crashedAtMs: 0 })
  assert.not(suspects.isSuspect('f', 700_000))
  assert.ok(suspects.clear('f'))
  assert.ok(suspects.isEmpty)
  suspects.addCrash('f', { worker: 'w2', crashedAtMs: 0 })
  assert.not(suspects.isQuarantined('f'), 'crashes from before do not count')
})

test('a request stays quarantined after its crashes were cleared, and the set is not empty', () => {
  const suspects = new SuspectRequests({ crashesToQuarantine: 2 })
  suspects.addCrash('f', { worker: 'w1', crashedAtMs: 0 })
  suspects.addCrash('f', { worker: 'w2', crashedAtMs: 1 })
  suspects.clear('f')
  assert.ok(suspects.isQuarantined('f'))
  assert.not(suspects.isEmpty)
})

test.run()
