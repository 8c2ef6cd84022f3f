/** Guarantees of a partition's owner while the log loses answers, is down, or gets a newer owner. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EPOCHS_PER_GENERATION, type GrantRequest, type RetainedTurn, SeededRandom, type TurnEnd } from '@trefoilshunt/core'
import { PartitionOwner, TURN_TOPIC } from '../../../../src/node/routed/owners/partitionOwner.js'
import { LogResponseTime } from '../../../../src/node/routed/logResponseTime.js'
import { FakeLog } from '../fakeLog.js'
import { VirtualTime } from '../virtualTime.js'

const MAX_RECORD_BYTES = 4_096
const MAX_CALL_BYTES = 100_000

interface CreateOptions { generation?: number, seed?: number, sinceLogResponseMs?: number, onLost?: (detail: string) => void }

function createOwner (log: FakeLog, { generation = 1, seed = 1, sinceLogResponseMs = 0, onLost }: CreateOptions = {}): PartitionOwner {
  return new PartitionOwner({
    partition: 0,
    generation,
    log,
    responseTime: new LogResponseTime(),
    maxRecordBytes: MAX_RECORD_BYTES,
    maxAppendBytes: MAX_CALL_BYTES,
    sinceLogResponseMs: () => sinceLogResponseMs,
    random: new SeededRandom(seed),
    onLost: (owner, detail) => {
      owner.lose(detail)
      onLost?.(detail)
    },
    onServing: () => {},
    write: () => {}
  })
}

function createEnd (turnId: string, previousTurnId?: string, { programId = 'p', inputBytes = 10 } = {}): TurnEnd {
  const turn: RetainedTurn = { turnId, programId, previousTurnId, input: Buffer.alloc(inputBytes, turnId), output: Buffer.from('out'), keepMs: 60_000 }
  return { programId, requestId: turnId, usedTokens: 10, worker: 'w', prompt: [], turn }
}

function createGrant (requestId: string, fields: Partial<GrantRequest> = {}): GrantRequest {
  return { programId: 'p', requestId, prompt: [], budgetTokens: 1_000, maxTokens: 100, ...fields }
}

async function wait (ms: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, ms) })
}

test('a repeated report of an end waits, like the first one, until the turn is recorded', async () => {
  const log = new FakeLog()
  const owner = createOwner(log)
  await owner.recover()
  log.isDown = true
  const outcomes: string[] = []
  void owner.end(createEnd('a')).then(outcome => outcomes.push(outcome))
  await wait(20)
  void owner.end(createEnd('a')).then(outcome => outcomes.push(outcome))
  await wait(60)
  assert.equal(outcomes, [], 'nothing is confirmed before the record is in the log')
  log.isDown = false
  await wait(300)
  assert.equal(outcomes, ['recorded', 'recorded'])
  const successor = createOwner(log, { generation: 2 })
  await successor.recover()
  assert.is(successor.chainOf('a')?.length, 1)
})

test('an end that is not recorded when the partition is lost is reported as lost', async () => {
  const log = new FakeLog()
  const owner = createOwner(log)
  await owner.recover()
  log.isDown = true
  const outcome = owner.end(createEnd('a'))
  await wait(10)
  owner.lose('test')
  assert.is(await outcome, 'lost')
})

test('a recovery whose first answers are lost serves within a second', async () => {
  const log = new FakeLog()
  const owner = createOwner(log)
  log.lostAppendAnswers = 1
  log.lostPages = 1
  const startedMs = performance.now()
  await owner.recover()
  assert.ok(owner.isServing)
  assert.ok(performance.now() - startedMs < 1_000, `took ${Math.round(performance.now() - startedMs)} ms`)
})

test('an append whose answer was lost is repeated and stored once', async () => {
  const log = new FakeLog()
  const owner = createOwner(log)
  await owner.recover()
  log.lostAppendAnswers = 2
  assert.is(await owner.end(createEnd('a')), 'recorded')
  const records = log.log.read(TURN_TOPIC, 0, 0)?.records ?? []
  assert.is(records.filter(record => record.key.startsWith('t/a')).length, 1)
})

test('an owner that was replaced records nothing more', async () => {
  const log = new FakeLog()
  let lost = ''
  const first = createOwner(log, { onLost: detail => { lost = detail } })
  await first.recover()
  const second = createOwner(log, { generation: 2 })
  await second.recover()
  const grant = first.grant(createGrant('a'), true)
  assert.is(grant.type, 'granted')
  assert.is(grant.type === 'granted' ? await grant.recorded : true, false)
  assert.is(lost, 'fenced')
  assert.not.ok(await first.confirm())
})

test('a node that restarts within a generation gets a higher epoch than before', async () => {
  const log = new FakeLog()
  const epochs: number[] = []
  for (let start = 0; start < 12; start++) {
    const owner = createOwner(log, { seed: start })
    await owner.recover()
    assert.ok(owner.isServing)
    assert.is(await owner.end(createEnd(`t${start}`)), 'recorded')
    epochs.push(owner.epoch)
  }
  assert.equal(epochs, [...epochs].sort((left, right) => left - right))
  assert.is(new Set(epochs).size, epochs.length)
  assert.ok(epochs.every(epoch => epoch < 2 * EPOCHS_PER_GENERATION))
})

// Guards against turns that are confirmed and not in the log, because an earlier process has used the same epoch and the same numbers.
test('the records of processes that start one after the other in a generation are never taken for one another, also late ones', async () => {
  const log = new FakeLog()
  const turnIds = Array.from({ length: 14 }, (_, start) => `t${start}`)
  for (const [start, turnId] of turnIds.entries()) {
    // With epochs drawn at random, these seeds gave two processes the same one.
    const owner = createOwner(log, { seed: 7_725 + start })
    await owner.recover()
    log.executeHeldAppends()
    assert.is(await owner.end(createEnd(turnId)), 'recorded')
    log.holdsAppends = true
    void owner.end(createEnd(`late-${turnId}`))
    await wait(20)
    owner.lose('its process has ended')
    log.holdsAppends = false
  }
  const successor = createOwner(log, { generation: 2 })
  await successor.recover()
  assert.equal(turnIds.filter(turnId => successor.chainOf(turnId) === undefined), [], 'turns that were confirmed and are not in the log')
  assert.equal(turnIds.filter(turnId => successor.chainOf(`late-${turnId}`) !== undefined), [], 'late records of ended processes')
})

test('while the log takes no records, no turn is granted that has to be recorded at its end', async () => {
  const log = new FakeLog()
  const owner = createOwner(log)
  await owner.recover()
  log.isDown = true
  void owner.end({ ...createEnd('a'), programId: 'q' })
  await wait(500)
  assert.is(owner.grant(createGrant('b'), true).type, 'stalled')
  assert.is(owner.grant(createGrant('c'), false).type, 'stalled', 'without a recorded account no tokens are allowed ahead')
  log.isDown = false
  await wait(300)
  assert.is(owner.grant(createGrant('b'), true).type, 'granted')
  owner.lose('end')
})

test('a program continues within the tokens allowed ahead while the log is down', async () => {
  const log = new FakeLog()
  const owner = createOwner(log)
  await owner.recover()
  const first = owner.grant(createGrant('a'), false)
  assert.ok(first.type === 'granted' && await first.recorded)
  log.isDown = true
  void owner.end({ ...createEnd('other'), programId: 'q' })
  await wait(500)
  const covered = owner.grant(createGrant('b'), false)
  assert.ok(covered.type === 'granted' && covered.recorded === undefined)
  owner.lose('end')
})

test('first turns are granted before the history is read, and no unread turn is reported as missing', async () => {
  const log = new FakeLog()
  const first = createOwner(log)
  await first.recover()
  await Promise.all(Array.from({ length: 120 }, async (_, index) => await first.end({ ...createEnd(`t${index}`), programId: `p${index}` })))
  const second = createOwner(log, { generation: 2 })
  const recovered = second.recover()
  while (!second.isServing) await wait(1)
  assert.not.ok(second.isHistoryComplete)
  assert.is(second.grant(createGrant('new', { programId: 'fresh' }), true).type, 'granted')
  assert.is(second.grant(createGrant('next', { previousTurnId: 't99' }), true).type, 'stalled')
  await recovered
  assert.is(second.grant(createGrant('next', { previousTurnId: 't99' }), true).type, 'granted')
  assert.is(second.grant(createGrant('none', { previousTurnId: 'unheard-of' }), true).type, 'noSuchTurn')
})

// Guards against a chain that the next owner doesn't find, because the owner that imported it was lost after the grant.
test('the answer of a turn that continues an imported chain is held back until the chain is in the log', async () => {
  const log = new FakeLog()
  const first = createOwner(log)
  await first.recover()
  const { turn } = createEnd('imported')
  assert.ok(turn !== undefined)
  first.importTurns([turn])
  const grants = [createGrant('a', { previousTurnId: 'imported', budgetTokens: undefined }), createGrant('b', { programId: 'q', previousTurnId: 'imported', budgetTokens: undefined })].map(request => first.grant(request, true))
  for (const grant of grants) assert.ok(grant.type === 'granted' && await grant.recorded)
  first.lose('test')
  const second = createOwner(log, { generation: 2 })
  await second.recover()
  assert.is(await second.end(createEnd('a', 'imported')), 'recorded')
  assert.is(second.chainOf('a')?.length, 2)
})

// Guards against turns that are removed early, because the time of day was changed.
for (const [name, recordingOffsetMs, expiryOffsetMs] of [['ahead while expired turns are removed', 0, 120_000], ['behind while the turn is recorded', -120_000, 0]] as const) {
  test(`a turn is retained in full when the time of day is ${name}`, async () => {
    const { now } = Date
    const owner = createOwner(new FakeLog())
    try {
      Date.now = () => now() + recordingOffsetMs
      await owner.recover()
      await owner.end(createEnd('a'))
      Date.now = () => now() + expiryOffsetMs
      owner.expire()
    } finally {
      Date.now = now
    }
    assert.is(owner.chainOf('a')?.length, 1)
  })
}

// Guards against a turn that is removed before its retention, counted from the end of its answer, because its record came late.
test('a turn is retained in full from the time at which it is recorded, also when that is reported once more', async () => {
  await VirtualTime.run(async time => {
    const log = new FakeLog()
    const owner = createOwner(log)
    void owner.recover()
    await time.advance(1_000)
    const { keepMs } = createEnd('a').turn ?? { keepMs: 0 }
    log.isDown = true
    const ended = owner.end(createEnd('a'))
    await time.advance(8_000)
    log.isDown = false
    await time.advance(1_000)
    assert.is(await ended, 'recorded')
    await time.advance(keepMs - 100)
    owner.expire()
    assert.is(owner.chainOf('a')?.length, 1)
    assert.is(await owner.end(createEnd('a')), 'recorded')
    await time.advance(keepMs - 100)
    owner.expire()
    assert.is(owner.chainOf('a')?.length, 1)
    owner.lose('end')
  })
})

function createLimitedLog (): FakeLog {
  return Object.assign(new FakeLog(), { maxRecordBytes: MAX_RECORD_BYTES, maxCallBytes: MAX_CALL_BYTES })
}

// Guards against a partition that stops for good, because one turn is larger than a call of the log.
test('a turn that is larger than a call takes several, and other programs are recorded between them', async () => {
  const log = createLimitedLog()
  log.answerMs = 10
  const owner = createOwner(log)
  await owner.recover()
  const order: string[] = []
  const large = owner.end(createEnd('large', undefined, { inputBytes: 12 * MAX_CALL_BYTES })).then(outcome => order.push(`large ${outcome}`))
  await wait(15)
  for (const turnId of ['a', 'b']) await owner.end(createEnd(turnId, undefined, { programId: 'q' })).then(outcome => order.push(`${turnId} ${outcome}`))
  await large
  assert.equal(order, ['a recorded', 'b recorded', 'large recorded'])
  assert.is(log.rejectedCount, 0)
  const successor = createOwner(log, { generation: 2 })
  await successor.recover()
  assert.is(successor.chainOf('large')?.at(0)?.input.length, 12 * MAX_CALL_BYTES)
  assert.is(successor.turnCount, 3)
})

test('an owner that takes over between two calls of a turn finds nothing of it, and records it on the next report', async () => {
  const log = createLimitedLog()
  log.answerMs = 10
  const end = createEnd('large', undefined, { inputBytes: 12 * MAX_CALL_BYTES })
  const first = createOwner(log)
  await first.recover()
  const outcome = first.end(end)
  await wait(60)
  const second = createOwner(log, { generation: 2 })
  await second.recover()
  assert.is(await outcome, 'lost')
  assert.ok(log.callBytes.some(bytes => bytes > MAX_CALL_BYTES / 2), 'the first owner has recorded a part')
  assert.is(second.turnCount, 0)
  assert.is(second.chainOf('large'), undefined)
  assert.is(await second.end(end), 'recorded')
  const third = createOwner(log, { generation: 3 })
  await third.recover()
  assert.is(third.chainOf('large')?.length, 1)
})

test('a chain that is larger than a call is imported in several', async () => {
  const log = createLimitedLog()
  const owner = createOwner(log)
  await owner.recover()
  const chain = ['a', 'b', 'c'].map((turnId, index, ids) => createEnd(turnId, ids[index - 1], { inputBytes: MAX_CALL_BYTES }).turn).filter(turn => turn !== undefined)
  owner.importTurns(chain)
  const grant = owner.grant(createGrant('d', { previousTurnId: 'c' }), true)
  assert.ok(grant.type === 'granted' && await grant.recorded)
  const successor = createOwner(log, { generation: 2 })
  await successor.recover()
  assert.is(successor.chainOf('c')?.length, 3)
})

test('ids of any length, and many open turns of one program, fit in the records of the log', async () => {
  const log = createLimitedLog()
  const owner = createOwner(log)
  await owner.recover()
  const turnId = 't'.repeat(3 * MAX_RECORD_BYTES)
  assert.is(await owner.end(createEnd(turnId, undefined, { inputBytes: 3 * MAX_RECORD_BYTES })), 'recorded')
  for (let index = 0; index < 60; index++) {
    const grant = owner.grant(createGrant(`${index}-${'r'.repeat(2_000)}`, { maxTokens: 10 }), true)
    assert.ok(grant.type === 'granted' && await (grant.recorded ?? true))
  }
  const successor = createOwner(log, { generation: 2 })
  await successor.recover()
  assert.is(successor.chainOf(turnId)?.length, 1)
  assert.is(log.rejectedCount, 0)
})

test('the removal of many expired turns at once takes several calls', async () => {
  await VirtualTime.run(async time => {
    const log = createLimitedLog()
    const owner = createOwner(log)
    void owner.recover()
    await time.advance(1_000)
    for (let index = 0; index < 4_000; index++) void owner.end(createEnd(`turn-${index}`))
    await time.advance(10_000)
    assert.is(owner.turnCount, 4_000)
    await time.advance(70_000)
    owner.expire()
    await time.advance(5_000)
    assert.is(owner.backlog, 0)
    assert.is(log.rejectedCount, 0)
    assert.is(log.log.newest(TURN_TOPIC, 0, undefined, 5_000).items.filter(({ key }) => key.startsWith('t/')).length, 0)
    owner.lose('end')
  })
})

test('what the log rejects fails alone: appends that were merged with it, and later ones, are recorded', async () => {
  const log = createLimitedLog()
  log.answerMs = 10
  log.isRejected = ({ key }) => key.startsWith('t/bad')
  const owner = createOwner(log)
  await owner.recover()
  const outcomes = await Promise.all(['a', 'bad', 'b', 'c'].map(async turnId => await owner.end(createEnd(turnId, undefined, { programId: turnId }))))
  assert.equal(outcomes, ['recorded', 'rejected', 'recorded', 'recorded'])
  assert.is(owner.chainOf('bad'), undefined)
  assert.is(await owner.end(createEnd('bad', undefined, { programId: 'bad' })), 'rejected', 'a repeated report is not taken for recorded')
  assert.is(await owner.end(createEnd('d')), 'recorded')
})

test('turns that are recorded stay when the log rejects one that is imported with them', async () => {
  const log = createLimitedLog()
  const first = createOwner(log)
  await first.recover()
  for (const end of [createEnd('a'), createEnd('b', 'a')]) assert.is(await first.end(end), 'recorded')
  const owner = createOwner(log, { generation: 2 })
  await owner.recover()
  log.isRejected = ({ key, value }) => key.startsWith('t/c') && value !== undefined
  const chain = [...owner.chainOf('b') ?? [], createEnd('c', 'b').turn].filter(turn => turn !== undefined)
  owner.importTurns(chain)
  await wait(600)
  assert.is(owner.chainOf('c'), undefined)
  const successor = createOwner(log, { generation: 3 })
  await successor.recover()
  assert.is(successor.chainOf('b')?.length, 2)
})

test('a turn is not granted while the log rejects the record of its account', async () => {
  const log = createLimitedLog()
  const owner = createOwner(log)
  await owner.recover()
  log.isRejected = ({ key }) => key.startsWith('p/')
  for (const requestId of ['a', 'b']) {
    const grant = owner.grant(createGrant(requestId), true)
    assert.is(grant.type === 'granted' ? await grant.recorded : undefined, false)
  }
  log.isRejected = () => false
  const grant = owner.grant(createGrant('c'), true)
  assert.is(grant.type === 'granted' ? await grant.recorded : undefined, true)
})

test('the parts of a turn whose owner was lost before the last one are removed in the end', async () => {
  await VirtualTime.run(async time => {
    const log = createLimitedLog()
    log.answerMs = 10
    const first = createOwner(log)
    void first.recover()
    await time.advance(1_000)
    void first.end(createEnd('large', undefined, { inputBytes: 12 * MAX_CALL_BYTES }))
    void first.end(createEnd('whole', undefined, { inputBytes: 3 * MAX_RECORD_BYTES, programId: 'q' }))
    await time.advance(60)
    const second = createOwner(log, { generation: 2 })
    void second.recover()
    await time.advance(10_000)
    assert.is(second.turnCount, 1)
    const keysOf = (turnId: string): number => log.log.newest(TURN_TOPIC, 0, undefined, 5_000).items.filter(({ key }) => key.startsWith(`t/${turnId}/`)).length
    assert.ok(keysOf('large') > 0)
    second.expire()
    await time.advance(2_000)
    assert.ok(keysOf('large') > 0, 'the caller may still report the end once more')
    await time.advance(50_000)
    second.expire()
    await time.advance(2_000)
    assert.is(keysOf('large'), 0)
    assert.ok(keysOf('whole') > 0)
    second.lose('end')
  })
})

test('an owner that closes withdraws the tokens that it had allowed ahead', async () => {
  const log = new FakeLog()
  const first = createOwner(log)
  await first.recover()
  const grant = first.grant(createGrant('a'), false)
  assert.ok(grant.type === 'granted' && await grant.recorded)
  await first.end({ programId: 'p', requestId: 'a', usedTokens: 20, prompt: [] })
  await first.close(500)
  assert.not.ok(first.isServing)
  first.lose('reassigned')
  const second = createOwner(log, { generation: 2 })
  await second.recover()
  const granted = Array.from({ length: 12 }, (_, index) => second.grant(createGrant(`n${index}`), false).type).filter(type => type === 'granted')
  assert.is(granted.length, 9, 'nine turns of 100 tokens fit in the budget of 1,000 beside the 20 used ones')
})

test('an older state of an account is never appended after a newer one', async () => {
  const log = new FakeLog()
  const first = createOwner(log)
  await first.recover()
  const opened = first.grant(createGrant('a'), false)
  assert.ok(opened.type === 'granted' && await opened.recorded)
  for (const requestId of ['b', 'c', 'd', 'e']) first.grant(createGrant(requestId), false)
  // One append is in flight and one is queued when the account changes, and the next turn needs a record of its own.
  void first.end({ ...createEnd('x'), programId: 'q' })
  void first.end({ ...createEnd('y'), programId: 'q' })
  await first.end({ programId: 'p', requestId: 'b', usedTokens: 100, prompt: [] })
  const extended = first.grant(createGrant('f'), false)
  assert.ok(extended.type === 'granted' && extended.recorded !== undefined && await extended.recorded)
  await wait(500)
  const second = createOwner(log, { generation: 2 })
  await second.recover()
  assert.ok(second.committedTokensOf('p') >= first.committedTokensOf('p'), `${second.committedTokensOf('p')} of ${first.committedTokensOf('p')} tokens`)
})

test.run()
