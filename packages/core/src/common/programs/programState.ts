/** The durable state of a program, as its journal records it. */
import type { Budget, StepCall, StepResult, Turn } from '../kernel/callerMessages.js'
import { chainDigest, digestValue, initialDigest } from '../base/digest.js'

/** What the programs of one tree have used of the budget that they share. */
export interface Spending {
  tokens: number
  steps: number
  toolCalls: number
}

/** An intent record without a known result: the call of a non-repeatable step that may have been sent. */
export interface OpenIntent {
  step: number
  key: string
  /** Time at which the intent was recorded, in ms; its withdrawal names the same time. */
  attempt: number
  call: StepCall
  callDigest: string
}

/** A completed step with the digests that chain it to the history before it. */
export interface RecordedTurn extends Turn {
  callDigest: string
  /** Digest of the history up to and including this turn. */
  historyDigest: string
}

/** The recorded state of a program. */
export interface ProgramState {
  programId: string
  customer: string
  kind: string
  rank: string
  /** Idempotency key of the request that opened the program; empty after a rebuild from the caller's copy. */
  openKey: string
  /** The program that opened this one; absent for the root of a tree. */
  parent?: string
  /** The program whose budget this one uses; its own id for a root. */
  root: string
  /** Levels below the root; 0 for a root. */
  depth: number
  budget: Budget
  openedAtMs: number
  /** Time at which the program should be complete. */
  dueAtMs: number
  turns: RecordedTurn[]
  /** What the tree has used of its budget; kept at the root only. */
  spent: Spending
  /** Tokens that may have been used by a step that is not recorded. */
  reservedTokens: number
  /** Worker that holds the history in its cache, by model. */
  workers: Array<{ model: string, worker: string }>
  openClaim?: OpenIntent
  /** Why the program was closed; undefined while it is open. */
  closedReason?: string
}

/** Digest of the whole recorded history. */
export function historyDigestOf (program: ProgramState): string {
  return program.turns.at(-1)?.historyDigest ?? initialDigest(program.programId)
}

/** The worker that probably holds the program's history in its cache; undefined when no worker is recorded. */
export function cachedWorkerOf (program: ProgramState, model: string): string | undefined {
  return program.workers.find(entry => entry.model === model)?.worker
}

/** Records which worker served the program's last call of a model. */
export function setCachedWorker (program: ProgramState, model: string, worker: string): void {
  program.workers = [...program.workers.filter(entry => entry.model !== model), { model, worker }]
}

/** Number of the step that comes next. */
export function nextStepOf (program: ProgramState): number {
  return program.turns.length + 1
}

/** Appends a completed step to the history and clears the open intent. */
export function addTurn (program: ProgramState, turn: { step: number, key: string, call: StepCall, callDigest: string, result: StepResult }): RecordedTurn {
  const recorded: RecordedTurn = {
    ...turn,
    historyDigest: chainDigest(historyDigestOf(program), turn.step, turn.callDigest, digestValue(turn.result))
  }
  program.turns.push(recorded)
  program.openClaim = undefined
  return recorded
}

/** Computes the digests of a caller's copy of the turns; the caller of this function compares them with known ones. */
export function rebuildTurns (programId: string, turns: Turn[]): RecordedTurn[] {
  let digest = initialDigest(programId)
  return turns.map(turn => {
    const callDigest = digestValue(turn.call)
    digest = chainDigest(digest, turn.step, callDigest, digestValue(turn.result))
    return { ...turn, callDigest, historyDigest: digest }
  })
}

/** The run of the daemon that opened a program, and the program's number there; the parts of its id. */
export interface ProgramOrigin {
  node: string
  incarnation: string
  sequence: string
}

/** Formats the id of a program, which names the run of the daemon that opened it. */
export function toProgramId (origin: ProgramOrigin): string {
  return `${origin.node}.${origin.incarnation}.${origin.sequence}`
}

/** Parses a program id; undefined when the text is not one. */
export function parseProgramId (programId: string): ProgramOrigin | undefined {
  const parts = programId.split('.')
  if (parts.length !== 3 || parts.some(part => part === '')) return undefined
  return { node: parts[0], incarnation: parts[1], sequence: parts[2] }
}
