/** Tests of the rebuild of a program from the caller's copy of its history. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { addTurn, type CallerReply, createCoreSettings, createLiveProgram, digestValue, historyDigestOf, type ICallers, type IClock, type IConfiguration, type IJournal, type IJournalEpoch, type ILogger, type IProgramTable, type ITimers, type LiveProgram, type NewJournalRecord, type NodeIdentity, type ProgramState, Reason, type StepCall, type StepRequest, type Turn } from '@trefoilshunt/core'
import { HARROW_DOCUMENT } from '@trefoilshunt/testing'
import { ProgramRebuilder } from '../../../src/common/programs/programRebuilder.js'
import { StepEnding } from '../../../src/common/programs/stepEnding.js'

const KIND = HARROW_DOCUMENT.workKinds[0]
const CALL: StepCall = { type: 'model', messages: [{ role: 'user', content: 'hello' }], maxTokens: 5 }
const NOW_MS = 1_000
const CLOCK: IClock = { nowMs: () => NOW_MS }
const IDENTITY: NodeIdentity = { node: 'regina-2', incarnation: 'a', address: 'regina-2:1', peerAddress: 'regina-2:2', zone: 'regina', environment: 'live' }

/** A program at its former owner, with completed steps. */
function createFormerProgram (steps: number): LiveProgram {
  const state: ProgramState = {
    programId: 'regina-1.a.1',
    customer: 'riders',
    kind: KIND.name,
    rank: KIND.rank,
    openKey: 'k',
    root: 'regina-1.a.1',
    depth: 0,
    budget: KIND.budget,
    openedAtMs: 0,
    dueAtMs: KIND.targetMs,
    turns: [],
    spent: { tokens: 0, steps: 0, toolCalls: 0 },
    reservedTokens: 0,
    workers: []
  }
  for (let step = 1; step <= steps; step++) {
    addTurn(state, { step, key: `k${step}`, call: CALL, callDigest: digestValue(CALL), result: { type: 'model', text: `answer ${step}`, promptTokens: 1, completionTokens: 1, cachedTokens: 0 } })
  }
  return createLiveProgram(state, {} as IJournalEpoch, 0)
}

/** Rebuilds a program at this node from a whole copy; also returns what the table and the journal received. */
function rebuildFromCopy ({ state }: LiveProgram): { program: LiveProgram | undefined, added: LiveProgram[], records: NewJournalRecord[] } {
  const added: LiveProgram[] = []
  const records: NewJournalRecord[] = []
  const epoch = { append: (record: NewJournalRecord) => { records.push(record) } } as unknown as IJournalEpoch
  const configuration = { findKind: (name: string) => name === KIND.name ? KIND : undefined } as unknown as IConfiguration
  const programs = { add: (program: LiveProgram) => { added.push(program) } } as unknown as IProgramTable
  const logger: ILogger = { info: () => {}, warn: () => {} }
  const rebuilder = new ProgramRebuilder(CLOCK, configuration, { current: epoch } as unknown as IJournal, programs, logger)
  const history: Turn[] = state.turns.map(({ step, key, call, result }) => ({ step, key, call, result }))
  const program = rebuilder.rebuild({
    programId: state.programId,
    customer: state.customer,
    kind: state.kind,
    history,
    steps: history.length,
    historyDigest: historyDigestOf(state),
    possiblyUsedTokens: 0
  })
  return { program, added, records }
}

/** The reply to a request for the program's next step that is refused before it starts. */
function refuseNextStep (program: LiveProgram, isResend: boolean): CallerReply {
  const replies: CallerReply[] = []
  const callers = { reply: (_requestId: string, reply: CallerReply) => { replies.push(reply) } } as unknown as ICallers
  const ending = new StepEnding(IDENTITY, createCoreSettings(), CLOCK, {} as ITimers, callers)
  const step = program.state.turns.length + 1
  const { programId, customer } = program.state
  const request: StepRequest = { type: 'step', customer, programId, step, key: `k${step}`, historyDigest: historyDigestOf(program.state), call: CALL, isResend, isStreamed: false, timeoutMs: 1_000 }
  ending.refuse({ requestId: 'r1', request, hops: 0 }, program, Reason.BudgetExceeded, 'the budget is used up')
  assert.is(replies.length, 1)
  return replies[0]
}

for (const steps of [0, 2]) {
  test(`a program rebuilt from a copy of ${steps} steps has a former owner`, () => {
    const former = createFormerProgram(steps)
    const { program, added, records } = rebuildFromCopy(former)
    assert.ok(program !== undefined)
    assert.is(program.hasFormerOwner, true)
    assert.is(historyDigestOf(program.state), historyDigestOf(former.state))
    assert.is(added.length, 1)
    assert.is(added[0], program)
    assert.equal(records.map(record => record.type), ['programSnapshot'])
  })

  test(`a refused resend is "unknown" after a rebuild from a copy of ${steps} steps, a refused first copy is "not run"`, () => {
    const { program } = rebuildFromCopy(createFormerProgram(steps))
    assert.ok(program !== undefined)
    assert.is(refuseNextStep(program, true).type, 'unknown')
    assert.is(refuseNextStep(program, false).type, 'notRun')
  })
}

test.run()
