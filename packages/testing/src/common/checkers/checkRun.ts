/** Checks what callers, services and engines observed of a run against the invariants of the system. */
import type { Budget } from '@trefoilshunt/core'
import { rebuildTurns } from '@trefoilshunt/core'
import { expectedAnswer, type ModelEngine, type ToolDatabase } from '@trefoilshunt/standins'
import type { ProgramObservation, RunRecord, StepObservation } from '../workload/runRecord.js'
import type { Violation } from './violation.js'

/** Reserved tokens of calls in flight and of crashed program owners count as used, so a budget can be exhausted before its last token is generated. */
const NEAR_BUDGET_FACTOR = 2

/** Everything that the checks of this file read. */
export interface RunEvidence {
  record: RunRecord
  databases: ToolDatabase[]
  engines: ModelEngine[]
  /** Budget of each work kind. */
  budgets: Map<string, Budget>
}

/** Runs all checks of this file; an empty result means that no invariant was broken. */
export function checkRun (evidence: RunEvidence): Violation[] {
  return [
    ...checkAtMostOnce(evidence),
    ...checkNotRun(evidence),
    ...checkDone(evidence),
    ...checkWholeAnswers(evidence),
    ...checkOrder(evidence),
    ...checkHistories(evidence),
    ...checkBudgets(evidence)
  ]
}

function executionsOf (databases: ToolDatabase[], checkId: string): number {
  return databases.reduce((sum, database) => sum + (database.executions.get(checkId) ?? 0), 0)
}

function createStepViolation (rule: string, step: StepObservation, detail: string): Violation {
  return { rule, detail: `${step.programId} step ${step.step}: ${detail}` }
}

/** A non-repeatable request runs at most once. */
export function checkAtMostOnce ({ record, databases }: RunEvidence): Violation[] {
  return record.steps
    .filter(step => !step.isRepeatable && executionsOf(databases, step.checkId) > 1)
    .map(step => createStepViolation('runs at most once', step, `ran ${executionsOf(databases, step.checkId)} times`))
}

/** A "not run" reply is true: the step did not run before the reply, and never ran if the reply was the last one. */
export function checkNotRun ({ record, databases }: RunEvidence): Violation[] {
  const firstRunAtMs = new Map<string, number>()
  for (const { executionLog } of databases) {
    for (const { checkId, atMs } of executionLog) firstRunAtMs.set(checkId, Math.min(atMs, firstRunAtMs.get(checkId) ?? Infinity))
  }
  return record.steps.filter(step => step.checkId !== '').flatMap(step => {
    const ranAtMs = firstRunAtMs.get(step.checkId)
    if (ranAtMs === undefined) return []
    const falseReply = step.attempts.find((attempt, index) => {
      if (attempt.reply?.type !== 'notRun') return false
      const isLast = index === step.attempts.length - 1
      return isLast || ranAtMs < attempt.endedAtMs
    })
    return falseReply === undefined ? [] : [createStepViolation('"not run" is true', step, `ran at ${ranAtMs}, but "not run" was answered at ${falseReply.endedAtMs}`)]
  })
}

/** A service call that has a result did run. */
export function checkDone ({ record, databases }: RunEvidence): Violation[] {
  return record.steps
    .filter(step => step.checkId !== '' && step.result?.type === 'service' && executionsOf(databases, step.checkId) === 0)
    .map(step => createStepViolation('done is true', step, 'was answered, but never ran'))
}

/** Each caller gets the complete answer to its own request. */
export function checkWholeAnswers (evidence: RunEvidence): Violation[] {
  const treesNearBudget = findTreesNearBudget(evidence)
  return evidence.record.programs.flatMap(program => program.steps.flatMap(step => {
    const { result } = step
    if (result?.type === 'model') return checkModelAnswer(step, result.text, result.completionTokens, treesNearBudget.has(program.root ?? ''))
    if (result?.type !== 'service') return []
    const { checkId } = result.body as { checkId?: string }
    return checkId === step.checkId ? [] : [createStepViolation('own answer', step, `got the answer of ${checkId ?? 'another call'}`)]
  }))
}

/** Roots of the program trees whose token budget may not cover what they request; an answer near the end of a budget may be shorter than requested. */
function findTreesNearBudget ({ record, budgets }: RunEvidence): Set<string> {
  const requestedByTree = new Map<string, number>()
  for (const program of record.programs) {
    const tokens = program.steps.reduce((sum, step) => sum + requestedTokens(step) + Math.ceil(step.prompt.length / 4), 0)
    requestedByTree.set(program.root ?? '', (requestedByTree.get(program.root ?? '') ?? 0) + tokens)
  }
  const trees = record.programs.filter(program => (requestedByTree.get(program.root ?? '') ?? 0) * NEAR_BUDGET_FACTOR > (budgets.get(program.kind)?.tokens ?? Infinity))
  return new Set(trees.map(program => program.root ?? ''))
}

function checkModelAnswer (step: StepObservation, text: string, tokens: number, isNearBudget: boolean): Violation[] {
  const requested = requestedTokens(step)
  if (tokens > requested) return [createStepViolation('whole answer', step, `${tokens} tokens where ${requested} were allowed`)]
  if (text !== expectedAnswer(step.prompt, tokens)) return [createStepViolation('whole answer', step, 'the text is not the answer to this prompt')]
  if (tokens < requested && !isNearBudget) return [createStepViolation('whole answer', step, `${tokens} of ${requested} tokens`)]
  const isStreamWrong = step.streamedText !== undefined && step.streamedText !== text
  return isStreamWrong ? [createStepViolation('whole answer', step, 'the streamed text differs from the result')] : []
}

function requestedTokens (step: StepObservation): number {
  const request = step.attempts.at(-1)?.request
  return request?.type === 'step' && request.call.type === 'model' ? request.call.maxTokens : 0
}

/** The service calls of one program run in the order of their step numbers, and its turns are numbered without gaps. */
export function checkOrder ({ record, databases }: RunEvidence): Violation[] {
  const lastStep = new Map<string, number>()
  const violations: Violation[] = []
  const seen = new Set<string>()
  for (const { checkId } of databases.flatMap(database => database.executionLog).sort((left, right) => left.atMs - right.atMs)) {
    const separator = checkId.lastIndexOf('/')
    if (separator < 0 || seen.has(checkId)) continue
    seen.add(checkId)
    const program = checkId.slice(0, separator)
    const step = Number(checkId.slice(separator + 1))
    if (step < (lastStep.get(program) ?? 0)) violations.push({ rule: 'stated order', detail: `${program}: step ${step} ran after step ${lastStep.get(program) ?? 0}` })
    lastStep.set(program, Math.max(step, lastStep.get(program) ?? 0))
  }
  for (const program of record.programs) {
    program.turns.forEach((turn, index) => {
      if (turn.step !== index + 1) violations.push({ rule: 'stated order', detail: `${program.programId ?? ''}: turn ${index + 1} has number ${turn.step}` })
    })
  }
  return violations
}

/** A history is never lost or mixed with another: the last digest from the fleet matches the caller's own turns, and the fleet neither refused the caller's history nor lost the program. */
export function checkHistories ({ record }: RunEvidence): Violation[] {
  return record.programs.flatMap(program => {
    if (program.programId === undefined || program.turns.length === 0) return []
    const rebuilt = rebuildTurns(program.programId, program.turns)
    const digest = rebuilt[rebuilt.length - 1].historyDigest
    const violations: Violation[] = []
    if (digest !== program.historyDigest) violations.push({ rule: 'history is whole', detail: `${program.programId}: the fleet's digest is not that of the caller's history` })
    const refusedStep = program.steps.find(step => isHistoryRefusal(step))
    if (refusedStep !== undefined) violations.push(createStepViolation('history is whole', refusedStep, 'the fleet refused the caller\'s history or lost the program'))
    return violations
  })
}

function isHistoryRefusal (step: StepObservation): boolean {
  const { error } = step
  if (error?.type === 'unknown') return error.reason === 'expired'
  return error?.type === 'notRun' && (error.reason === 'historyMismatch' || error.reason === 'keyReused')
}

/** A program tree never exceeds its budget of tokens, steps and tool calls. */
export function checkBudgets ({ record, databases, engines, budgets }: RunEvidence): Violation[] {
  const trees = new Map<string, ProgramObservation[]>()
  for (const program of record.programs) {
    if (program.root !== undefined) trees.set(program.root, [...(trees.get(program.root) ?? []), program])
  }
  return [...trees].flatMap(([root, programs]) => {
    const budget = budgets.get(programs[0].kind)
    if (budget === undefined) return []
    const ids = programs.flatMap(program => program.programId ?? [])
    const generated = ids.reduce((sum, id) => sum + engines.reduce((total, engine) => total + (engine.counters.generatedBySession.get(id) ?? 0), 0), 0)
    const steps = programs.reduce((sum, program) => sum + program.turns.length, 0)
    const toolCalls = programs.flatMap(program => program.steps).filter(step => step.checkId !== '' && executionsOf(databases, step.checkId) > 0).length
    const exceeded = (name: string, used: number, limit: number): Violation[] => used > limit ? [{ rule: 'budget', detail: `${root}: ${used} ${name} where ${limit} are allowed` }] : []
    return [...exceeded('tokens', generated, budget.tokens), ...exceeded('steps', steps, budget.steps), ...exceeded('tool calls', toolCalls, budget.toolCalls)]
  })
}
