/** The deterministic fold of a journal: which programs it holds, in which state, and which node owns them next. */
import type { LogRecord, StoredRecord } from '../kernel/logRecords.js'
import type { NodeRef } from '../kernel/node.js'
import { addTurn, type ProgramState, setCachedWorker } from '../programs/programState.js'
import type { JournalRecord } from './journalRecords.js'

/** State folded from one journal. */
export interface JournalState {
  /** Offset of the next record to fold. */
  nextOffset: number
  programs: Map<string, ProgramState>
  /** Name of the journal that each program taken over was in before, by program id. */
  adoptedFrom: Map<string, string>
  /** The first fence. */
  fence?: { offset: number, by: NodeRef }
  /** New owners that this journal names, by program id; the first record for a program counts. */
  newOwners: Map<string, NodeRef>
  /** Ids of the records folded so far: a record that was appended twice counts once. */
  recordIds: Set<string>
  /** Offset at which reading went on after older records had been removed; 0 when none had been. */
  firstOffset: number
}

/** The state of an empty journal. */
export function createJournalState (): JournalState {
  return { nextOffset: 0, programs: new Map(), adoptedFrom: new Map(), newOwners: new Map(), recordIds: new Set(), firstOffset: 0 }
}

/** Applies one record to the state, in place. Records of an unknown type change no program; the fields are not checked, see `foldIfValid`. */
export function foldJournalRecord (state: JournalState, stored: StoredRecord<LogRecord>): void {
  if (stored.offset < state.nextOffset) return
  state.nextOffset = stored.offset + 1
  const record = stored.record as JournalRecord
  if (state.recordIds.has(record.id)) return
  state.recordIds.add(record.id)
  switch (record.type) {
    case 'fenced':
      state.fence ??= { offset: stored.offset, by: record.by }
      return
    case 'adopted':
      foldOwnershipTransfer(state, record.programIds, record.to)
      return
    case 'turnCompleted':
      foldTurn(state, record)
      return
  }
  if (state.fence !== undefined) return
  foldWriterRecord(state, record)
}

/** The ownership of a program may also be transferred after the fence, by the node that fenced or by a later one: the first record counts. */
function foldOwnershipTransfer (state: JournalState, programIds: string[], to: NodeRef): void {
  for (const programId of programIds) {
    if (!state.newOwners.has(programId)) state.newOwners.set(programId, to)
  }
}

/** After the fence a turn counts only as the result of an intent recorded before the fence. */
function foldTurn (state: JournalState, record: Extract<JournalRecord, { type: 'turnCompleted' }>): void {
  const program = state.programs.get(record.programId)
  if (program === undefined || record.step !== program.turns.length + 1) return
  const isIntentResult = program.openClaim?.step === record.step && program.openClaim.key === record.key
  if (state.fence !== undefined && !isIntentResult) return
  addTurn(program, record)
  program.reservedTokens = record.reservedTokens
  if (record.ranOn !== undefined) setCachedWorker(program, record.ranOn.model, record.ranOn.worker)
  const root = state.programs.get(program.root) ?? program
  root.spent.steps++
  root.spent.tokens += record.spentTokens
  if (record.call.type === 'service') root.spent.toolCalls++
}

/** Applies a record that counts only before the fence. */
function foldWriterRecord (state: JournalState, record: JournalRecord): void {
  switch (record.type) {
    case 'programSnapshot':
      state.programs.set(record.program.programId, cloneProgram(record.program))
      if (record.adoptedFrom !== undefined) state.adoptedFrom.set(record.program.programId, record.adoptedFrom)
      return
    case 'stepClaimed': {
      const program = state.programs.get(record.programId)
      if (program === undefined || record.step !== program.turns.length + 1) return
      program.openClaim = { step: record.step, key: record.key, attempt: record.attempt, call: record.call, callDigest: record.callDigest }
      return
    }
    case 'claimWithdrawn': {
      const program = state.programs.get(record.programId)
      const intent = program?.openClaim
      if (program !== undefined && intent?.step === record.step && intent.attempt <= record.attempt) program.openClaim = undefined
      return
    }
    case 'tokensReserved': {
      const program = state.programs.get(record.programId)
      if (program !== undefined) program.reservedTokens = Math.max(program.reservedTokens, record.tokens)
      return
    }
    case 'programClosed': {
      const program = state.programs.get(record.programId)
      if (program !== undefined) program.closedReason = record.reason
    }
  }
}

/** Copies a program's state; the copy shares no part with the original that is changed in place. */
export function cloneProgram (program: ProgramState): ProgramState {
  return {
    ...program,
    turns: [...program.turns],
    spent: { ...program.spent },
    openClaim: program.openClaim === undefined ? undefined : { ...program.openClaim }
  }
}
