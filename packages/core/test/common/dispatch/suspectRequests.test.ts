import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SuspectRequests } from '@trefoilshunt/core'

test('a request is quarantined after so many crashes of different workers', () => {
  const suspicions = new SuspectRequests({ crashesToQuarantine: 2 })
  assert.not(suspicions.add('f', 'w1', 0))
  assert.not(suspicions.add('f', 'w1', 10), 'the same worker counts once')
  assert.ok(suspicions.isSuspect('f', 20))
  assert.not(suspicions.isQuarantined('f'))
  assert.ok(suspicions.add('f', 'w2', 30))
  assert.ok(suspicions.isQuarantined('f'))
  assert.not(suspicions.add('f', 'w3', 40), 'told once')
  assert.equal([...suspicions.crashedWorkers('f')], ['w1', 'w2', 'w3'])
})

test('crashes at one moment count once, whatever the order in which they are told', () => {
  const suspicions = new SuspectRequests({ crashesToQuarantine: 3, spacingMs: 500 })
  for (const [worker, atMs] of [['w1', 1_000], ['w2', 1_010], ['w3', 1_400], ['w4', 400]] as const) suspicions.add('f', worker, atMs)
  assert.not(suspicions.isQuarantined('f'))
  assert.ok(suspicions.add('f', 'w5', 2_000))
})

test('a suspect that is served, or of which nothing is heard for long, is suspect no more', () => {
  const suspicions = new SuspectRequests({ crashesToQuarantine: 2 })
  suspicions.add('f', 'w1', 0)
  assert.not(suspicions.isSuspect('f', 700_000))
  assert.ok(suspicions.clear('f'))
  assert.ok(suspicions.isEmpty)
  suspicions.add('f', 'w2', 0)
  assert.not(suspicions.isQuarantined('f'), 'crashes from before do not count')
})

test.run()
