import { Packr } from 'msgpackr'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { type RetainedTurn, type KeyedRecord, PartitionState, TokenLedger, type TurnEnd, TurnTree } from '@trefoilshunt/core'

const MAX_RECORD_BYTES = 4_096

function createTurn (turnId: string, previousTurnId?: string, bytes = 10): RetainedTurn {
  return { turnId, programId: 'p', previousTurnId, input: new Uint8Array(bytes).fill(1), output: new Uint8Array(bytes).fill(2), keepMs: 1_000, worker: 'w' }
}

function createEnd (turnId: string, usedTokens: number, turn?: RetainedTurn): TurnEnd {
  return { programId: 'p', requestId: turnId, usedTokens, worker: 'w', prompt: [], turn }
}

/** A log that keeps the newest value of each key. */
function createLog (): { append: (records: KeyedRecord[]) => void, rebuild: () => PartitionState, size: () => number } {
  const newest = new Map<string, Uint8Array>()
  return {
    append: records => {
      for (const { key, value } of records) {
        if (value === undefined) newest.delete(key)
        else newest.set(key, value)
      }
    },
    rebuild: () => {
      const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
      for (const value of newest.values()) assert.ok(state.applyRecord(value, 0))
      return state
    },
    size: () => newest.size
  }
}

test('a reservation counts until its turn ends, also after a takeover', () => {
  const log = createLog()
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  const request = { programId: 'p', prompt: [], budgetTokens: 1_000, maxTokens: 400 }
  for (const requestId of ['a', 'b']) {
    const grant = state.grant({ ...request, requestId }, 0)
    assert.is(grant.type, 'granted')
    if (grant.type === 'granted') log.append(grant.records)
  }
  assert.is(state.grant({ ...request, requestId: 'c' }, 0).type, 'spent')
  log.append(state.recordEnd(createEnd('a', 100), 0))
  log.append(state.sealAccounts(0))
  const newOwner = log.rebuild()
  assert.is(newOwner.grant({ ...request, requestId: 'c' }, 0).type, 'granted')
  assert.is(newOwner.grant({ ...request, requestId: 'd' }, 0).type, 'spent')
})

test('an allowance counts as used after a takeover when the earlier owner did not withdraw it', () => {
  const log = createLog()
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  const request = { programId: 'p', prompt: [], budgetTokens: 1_000, maxTokens: 100 }
  const first = state.grant({ ...request, requestId: 'a' }, 0)
  if (first.type === 'granted') log.append(first.records)
  const covered = state.grant({ ...request, requestId: 'b' }, 0)
  assert.equal(covered.type === 'granted' ? covered.records : undefined, [], 'the second turn needs no record')
  const newOwner = log.rebuild()
  const granted = Array.from({ length: 10 }, (_, index) => newOwner.grant({ ...request, requestId: `n${index}` }, 0).type).filter(type => type === 'granted')
  assert.ok(granted.length <= 8, `${granted.length} turns in addition to two that may have run`)
})

test('the end of a turn allows no further tokens before its record is in the log', () => {
  const log = createLog()
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  const request = { programId: 'p', prompt: [], budgetTokens: 1_000, maxTokens: 100 }
  let given = 0
  for (const requestId of ['a', 'b', 'c', 'd', 'e', 'f', 'g']) {
    // The end is reported at once, but its record is lost with the owner.
    if (requestId === 'f') state.recordEnd(createEnd('a', 100), 0)
    const grant = state.grant({ ...request, requestId }, 0)
    if (grant.type !== 'granted') continue
    log.append(grant.records)
    given += 100
  }
  const newOwner = log.rebuild()
  for (let index = 0; index < 12; index++) {
    if (newOwner.grant({ ...request, requestId: `n${index}` }, 0).type === 'granted') given += 100
  }
  assert.ok(given <= 1_000, `${given} tokens of 1,000`)
})

test('a repeated report of the end of a turn changes nothing', () => {
  const ledger = new TokenLedger()
  ledger.reserve({ programId: 'p', requestId: 'a', budgetTokens: 100, maxTokens: 50 })
  assert.ok(ledger.reconcile('p', 'a', 30))
  assert.not.ok(ledger.reconcile('p', 'a', 30))
  assert.is(ledger.find('p')?.usedTokens, 30)
})

test('tokens never exceed the budget in any order of turns, ends and takeovers', () => {
  const action = fc.oneof(
    fc.record({ type: fc.constant('grant' as const), id: fc.integer({ min: 0, max: 20 }), maxTokens: fc.integer({ min: 1, max: 300 }) }),
    fc.record({ type: fc.constant('end' as const), id: fc.integer({ min: 0, max: 20 }), share: fc.double({ min: 0, max: 1, noNaN: true }) }),
    fc.record({ type: fc.constant('flush' as const) }),
    fc.record({ type: fc.constant('takeover' as const) })
  )
  fc.assert(fc.property(fc.array(action, { maxLength: 60 }), actions => {
    const log = createLog()
    let state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
    const open = new Map<string, number>()
    let given = 0
    let unappended: KeyedRecord[] = []
    let usedRequestIds = new Set<string>()
    for (const step of actions) {
      if (step.type === 'takeover') {
        // Records of ends that were not appended yet are lost with the previous owner.
        state = log.rebuild()
        unappended = []
        continue
      }
      if (step.type === 'flush') {
        log.append(unappended.splice(0))
        continue
      }
      const requestId = `r${step.id}`
      if (step.type === 'grant') {
        if (usedRequestIds.has(requestId)) continue
        const grant = state.grant({ programId: 'p', requestId, prompt: [], budgetTokens: 1_000, maxTokens: step.maxTokens }, 0)
        if (grant.type !== 'granted') continue
        if (grant.records.length > 0) log.append([...unappended.splice(0), ...grant.records])
        usedRequestIds = new Set([...usedRequestIds, requestId])
        open.set(requestId, step.maxTokens)
      } else if (open.has(requestId)) {
        const used = Math.floor((open.get(requestId) ?? 0) * step.share)
        open.delete(requestId)
        given += used
        unappended.push(...state.recordEnd(createEnd(requestId, used), 0))
      }
    }
    return given <= 1_000
  }), { numRuns: 300 })
})

test('a chain is rebuilt from its records in order, also when a turn is split into several records', () => {
  const log = createLog()
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  log.append(state.recordEnd(createEnd('a', 0, createTurn('a')), 0))
  log.append(state.recordEnd(createEnd('b', 0, createTurn('b', 'a', 9_000)), 0))
  log.append(state.recordEnd(createEnd('c', 0, createTurn('c', 'a')), 0))
  assert.ok(log.size() > 4, 'the long turn is split')
  const newOwner = log.rebuild()
  assert.equal(newOwner.chainOf('b')?.map(turn => turn.turnId), ['a', 'b'])
  assert.equal(newOwner.chainOf('c')?.map(turn => turn.turnId), ['a', 'c'])
  assert.is(newOwner.chainOf('b')?.at(1)?.input.length, 9_000)
  assert.is(newOwner.grant({ programId: 'q', requestId: 'd', previousTurnId: 'x', prompt: [], maxTokens: 1 }, 0).type, 'noSuchTurn')
})

test('a turn is retained as long as any that continues it, and its records are removed with it', () => {
  const tree = new TurnTree()
  tree.add(createTurn('a'), 0)
  tree.add(createTurn('b', 'a'), 900)
  assert.equal(tree.expire(1_500), [])
  assert.ok(tree.chainOf('b'))
  assert.is(tree.expire(1_900).length, 2)
  assert.is(tree.bytes, 0)

  const log = createLog()
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  log.append(state.recordEnd(createEnd('a', 0, createTurn('a', undefined, 9_000)), 0))
  log.append(state.expire(1_000))
  assert.is(log.size(), 0)
})

// Guards against a 404 for a completed turn, because earlier turns of its chain expired while it ran.
test('a chain is retained from the grant of a turn that continues it until the retention of that turn has ended', () => {
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  state.recordEnd(createEnd('a', 0, createTurn('a')), 0)
  state.recordEnd(createEnd('b', 0, createTurn('b', 'a')), 100)
  const request = { programId: 'p', previousTurnId: 'b', prompt: [], maxTokens: 1, timeLeftMs: 3_000 }
  for (const requestId of ['c', 'd']) assert.is(state.grant({ ...request, requestId }, 1_090).type, 'granted')
  assert.equal(state.expire(4_080), [], 'the turns may still run')
  state.recordEnd(createEnd('c', 0, createTurn('c', 'b')), 4_080)
  state.expire(4_600)
  assert.is(state.chainOf('c')?.length, 3)
  state.recordEnd(createEnd('d', 0, createTurn('d', 'b')), 4_600)
  state.expire(5_590)
  assert.is(state.chainOf('c'), undefined)
  assert.is(state.chainOf('d')?.length, 3)
  state.expire(5_600)
  assert.is(state.turnCount, 0)
})

test('the retention of a turn and its chain can begin anew', () => {
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES, retentionMarginMs: 50 })
  state.recordEnd(createEnd('a', 0, createTurn('a')), 0)
  state.recordEnd(createEnd('b', 0, createTurn('b', 'a')), 0)
  state.restartRetention(createTurn('b', 'a'), 900)
  state.expire(1_940)
  assert.is(state.chainOf('b')?.length, 2)
  state.expire(1_950)
  assert.is(state.turnCount, 0)
})

test('a chain that was imported from another partition is retained from the grant on as well', () => {
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  state.importTurns([createTurn('a'), createTurn('b', 'a')], 0)
  assert.is(state.grant({ programId: 'q', requestId: 'c', previousTurnId: 'b', prompt: [], maxTokens: 1 }, 990).type, 'granted')
  state.expire(1_900)
  state.recordEnd({ ...createEnd('c', 0, createTurn('c', 'b')), programId: 'q' }, 1_900)
  assert.is(state.chainOf('c')?.length, 3)
})

test('a grant names the worker that has cached the session, for a turn of the same session or of a sub-agent', () => {
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  state.recordEnd({ ...createEnd('a', 0), prompt: [{ id: 'shared', tokens: 900 }, { id: 'own', tokens: 300 }] }, 0)
  const next = state.grant({ programId: 'p', requestId: 'b', prompt: [{ id: 'shared', tokens: 900 }, { id: 'own', tokens: 350 }, { id: 'child', tokens: 50 }], maxTokens: 1 }, 0)
  assert.equal(next.type === 'granted' ? next.cached : [], [{ id: 'own', tokens: 300, worker: 'w' }])
})

test('damaged records are reported, not thrown', () => {
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  fc.assert(fc.property(fc.uint8Array({ maxLength: 60 }), bytes => typeof state.applyRecord(bytes, 0) === 'boolean'))
})

test('the tokens of a turn whose end is not known count for longer than an account without one is kept', () => {
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  const grant = (requestId: string): string => state.grant({ programId: 'p', requestId, prompt: [], budgetTokens: 1_000, maxTokens: 900 }, 0).type
  assert.is(grant('a'), 'granted')
  state.expire(400_000)
  assert.is(grant('b'), 'spent')
  assert.ok(state.expire(4_000_000).length > 0, 'the account is removed in the end')
})

test('damaged records are reported as such, whatever fields they lack', () => {
  const packr = new Packr({ useRecords: false })
  const damaged: unknown[] = [
    { t: 'a', i: 0, n: -1, b: new Uint8Array(1) },
    { t: 'a', i: 2, n: 1, b: new Uint8Array(1) },
    { t: 'a', i: 0, n: 1e9, b: new Uint8Array(1) },
    { t: 'a', i: 0.5, n: 2, b: new Uint8Array(1) },
    { p: 'p', o: [] },
    { p: 'p', u: -1, o: [], a: 0, b: 0, w: 0 },
    { p: 'p', u: 0, o: [['a', 'x']], a: 0, b: 0, w: 0 },
    { p: 'p', u: 0, o: 'x', a: 0, b: 0, w: 0 }
  ]
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  for (const fields of damaged) assert.is(state.applyRecord(packr.pack(fields), 0), false, JSON.stringify(fields))
})

test('parts of a turn that name different numbers of parts are damaged', () => {
  const packr = new Packr({ useRecords: false })
  const state = new PartitionState({ maxRecordBytes: MAX_RECORD_BYTES })
  assert.ok(state.applyRecord(packr.pack({ t: 'a', i: 0, n: 2, b: new Uint8Array(1) }), 0))
  assert.is(state.applyRecord(packr.pack({ t: 'a', i: 2, n: 3, b: new Uint8Array(1) }), 0), false)
})

test('a turn is held as long as the turns that continue it, in whichever order they are added', () => {
  fc.assert(fc.property(fc.shuffledSubarray(['a', 'b', 'c', 'd'], { minLength: 4 }), fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 4, maxLength: 4 }), fc.nat(60), (order, keepMs, nowMs) => {
    const previousOf: Record<string, string | undefined> = { b: 'a', c: 'b', d: 'b' }
    const tree = new TurnTree()
    for (const turnId of order) tree.add({ ...createTurn(turnId, previousOf[turnId]), keepMs: keepMs['abcd'.indexOf(turnId)] }, 0)
    tree.expire(nowMs)
    for (const turnId of order) {
      if (tree.has(turnId)) assert.ok(tree.chainOf(turnId) !== undefined, `the chain of ${turnId}`)
    }
  }))
})

test.run()
