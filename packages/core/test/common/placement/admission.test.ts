import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AdmitAll, AdmitByWork, ConcurrencyLimit, KindProfiles, Rank, ActivePrograms } from '@trefoilshunt/core'

const FLOORS = { urgent: 0.3, other: 0.2 }
const TARGET_MS = 60_000

interface Load { urgent: number, other: number }

function isAdmitted (rank: Rank, load: Load, limit = 10): boolean {
  const profiles = new KindProfiles()
  for (let round = 0; round < 200; round++) {
    profiles.recordWork('fitting', 20_000)
    profiles.recordService('fitting', 4_000)
    profiles.recordPause('fitting', 1_000)
  }
  const activePrograms = new ActivePrograms(profiles)
  for (let index = 0; index < load.urgent; index++) activePrograms.recordActivity(`u${index}`, 'fitting', Rank.Urgent, 0)
  for (let index = 0; index < load.other; index++) activePrograms.recordActivity(`o${index}`, 'fitting', Rank.Other, 0)
  return new AdmitByWork({ tailFactor: 1.2, minSlack: 0.1 }).isAdmitted({ rank, kind: 'fitting', targetMs: TARGET_MS, limit, fullLimit: limit, floors: FLOORS, activePrograms, profiles })
}

test('an idle worker admits both ranks', () => {
  assert.ok(isAdmitted(Rank.Urgent, { urgent: 0, other: 0 }))
  assert.ok(isAdmitted(Rank.Other, { urgent: 0, other: 0 }))
})

test('a program is refused when the remaining work would exceed the target', () => {
  // 25 s per program without queues, times the tail factor: 30 s. 10 slots * 30 s of slack = 300 s of work, 20 s per program.
  assert.ok(isAdmitted(Rank.Urgent, { urgent: 13, other: 0 }))
  assert.not(isAdmitted(Rank.Urgent, { urgent: 16, other: 0 }))
})

test('an overload of other work does not exclude urgent programs', () => {
  assert.ok(isAdmitted(Rank.Urgent, { urgent: 5, other: 200 }))
})

test('the other rank keeps its floor under an overload of urgent work', () => {
  assert.ok(isAdmitted(Rank.Other, { urgent: 200, other: 1 }))
  assert.not(isAdmitted(Rank.Other, { urgent: 200, other: 5 }))
})

test('an idle worker admits a program whose work is assumed to exceed its target', () => {
  const profiles = new KindProfiles()
  const query = { rank: Rank.Other, kind: 'unknown', targetMs: 100, limit: 1, fullLimit: 1, floors: { urgent: 0, other: 0 }, activePrograms: new ActivePrograms(profiles), profiles }
  assert.ok(new AdmitByWork({ tailFactor: 1.5, minSlack: 0.25 }).isAdmitted(query))
})

test('the baseline admits everything', () => {
  assert.ok(new AdmitAll().isAdmitted())
})

test('programs without activity for long no longer count', () => {
  const activePrograms = new ActivePrograms(new KindProfiles())
  activePrograms.recordActivity('p1', 'fitting', Rank.Urgent, 0)
  activePrograms.removeInactive(1_000)
  assert.is(activePrograms.count, 1)
  activePrograms.removeInactive(600_000)
  assert.is(activePrograms.count, 0)
})

test('the limit is the concurrency at which the fitted gap meets the target', () => {
  const limit = new ConcurrencyLimit({ initial: 4, min: 2 })
  assert.is(limit.limitFor(50, 64), 4)
  for (let concurrency = 1; concurrency <= 30; concurrency++) {
    for (let round = 0; round < 5; round++) limit.recordCall(concurrency, 16 + 1.5 * concurrency)
  }
  assert.ok(Math.abs(limit.limitFor(46, 64) - 20) <= 1)
  assert.is(limit.limitFor(46, 8), 8)
})

test('the limit exceeds the highest concurrency seen by at most two', () => {
  const limit = new ConcurrencyLimit({ initial: 4, min: 2 })
  for (let round = 0; round < 50; round++) limit.recordCall(4, 20)
  assert.ok(limit.limitFor(1_000, 64) <= 6)
})

test.run()
