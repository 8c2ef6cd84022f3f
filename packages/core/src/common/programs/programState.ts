/** The durable state of a program, as its journal records it. */
import type { Budget, StepCall, StepResult, Turn } from '../kernel/callerMessages.js'
import { chainDigest, digestValue, initialDigest } from '../base/digest.js'

/** What the programs of one tree have used of the budget that they share. */
export interface Spending {
  tokens: number
  steps: number
  toolCalls: number
}

/** A claim for which no result is known. */
export interface OpenIntent {
  step: number
  key: string
  attempt: number
  call: StepCall
  callDigest: string
}

export interface RecordedTurn extends Turn {
  callDigest: string
  /** Digest of the history up to and including this turn. */
  historyDigest: string
}

export interface ProgramState {
  programId: string
  customer: string
  kind: string
  rank: string
  openKey: string
  /** The program that opened this one; absent for the root of a tree. */
  parent?: string
  /** The program whose budget this one uses; its own id for a root. */
  root: string
  depth: number
  budget: Budget
  openedAtMs: number
  /** Time at which the program should be complete. */
  dueAtMs: number
  turns: RecordedTurn[]
  /** Use of the tree's budget; kept at the root only. */
  spent: Spending
  /** Tokens that may have been used by a step that is not recorded. */
  reservedTokens: number
  /** Worker that holds the history in its cache, by model. */
  workers: Array<{ model: string, worker: string }>
  openClaim?: OpenIntent
  closedReason?: string
}

/** Digest of the whole recorded history. */
export function historyDigestOf (program: ProgramState): string {
  return program.turns.at(-1)?.historyDigest ?? initialDigest(program.programId)
}

/** The worker that probably holds the program's history in its cache. */
export function cachedWorkerOf (program: ProgramState, model: string): string | undefined {
  return program.workers.find(entry => entry.model === model)?.worker
}

/** Notes which worker has served the program last. */
export function setCachedWorker (program: ProgramState, model: string, worker: string): void {
  program.workers = [...program.workers.filter(entry => entry.model !== model), { model, worker }]
}

/** Number of the step that comes next. */
export function nextStepOf (program: ProgramState): number {
  return program.turns.length + 1
}

/** Appends a completed step to the history. */
export function addTurn (program: ProgramState, turn: { step: number, key: string, call: StepCall, callDigest: string, result: StepResult }): RecordedTurn {
  const recorded: RecordedTurn = {
    ...turn,
    historyDigest: chainDigest(historyDigestOf(program), turn.step, turn.callDigest, digestValue(turn.result))
  }
  program.turns.push(recorded)
  program.openClaim = undefined
  return recorded
}

/** Rebuilds recorded turns from a caller's copy; their digests prove or disprove it. */
export function rebuildTurns (programId: string, turns: Turn[]): RecordedTurn[] {
  let digest = initialDigest(programId)
  return turns.map(turn => {
    const callDigest = digestValue(turn.call)
    digest = chainDigest(digest, turn.step, callDigest, digestValue(turn.result))
    return { ...turn, callDigest, historyDigest: digest }
  })
}

/** Where a program was opened, read from its id. */
export interface ProgramOrigin {
  node: string
  incarnation: string
  sequence: string
}

/** Makes the id of a program; it names the node and run that opened it. */
export function toProgramId (origin: ProgramOrigin): string {
  return `${origin.node}.${origin.incarnation}.${origin.sequence}`
}

/** Reads a program id; undefined when it is none. */
export function parseProgramId (programId: string): ProgramOrigin | undefined {
  const parts = programId.split('.')
  if (parts.length !== 3 || parts.some(part => part === '')) return undefined
  return { node: parts[0], incarnation: parts[1], sequence: parts[2] }
}
