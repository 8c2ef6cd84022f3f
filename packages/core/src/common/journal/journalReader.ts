/** Reads the journals of other runs of the daemon. */
import { inject, injectable } from 'tsyringe'
import type { LogRecord, StoredRecord } from '../kernel/events.js'
import { ILogService } from '../kernel/logPort.js'
import type { NodeRef } from '../kernel/node.js'
import { createJournalState, foldJournalRecord, type JournalState } from './journalFold.js'

/** Records folded between two other events, so that the takeover of a long journal does not hold up tokens. */
const READ_PAGE_RECORDS = 100

/** Reads whole journals. */
export interface IJournalReader {
  /** Folds a journal from its start, or goes on from `state`; gets undefined when the log did not answer. */
  readJournal (stream: string, onRead: (state: JournalState | undefined) => void, state?: JournalState): void
}
export const IJournalReader = Symbol('IJournalReader')

@injectable()
export class JournalReader implements IJournalReader {
  constructor (@inject(ILogService) private readonly _log: ILogService) {}

  readJournal (stream: string, onRead: (state: JournalState | undefined) => void, state: JournalState = createJournalState()): void {
    this._log.read(stream, state.nextOffset, READ_PAGE_RECORDS, outcome => {
      if (outcome.type === 'failed') {
        onRead(undefined)
        return
      }
      if (outcome.firstOffset > state.nextOffset) {
        state.nextOffset = outcome.firstOffset
        state.firstOffset = outcome.firstOffset
      }
      for (const stored of outcome.records) foldIfValid(state, stored)
      if (outcome.records.length > 0 && state.nextOffset < outcome.endOffset) this.readJournal(stream, onRead, state)
      else onRead(state)
    })
  }
}

/** Skips what is no record: a damaged entry must not stop a takeover. */
function foldIfValid (state: JournalState, stored: StoredRecord<LogRecord>): void {
  const record = stored.record as Partial<LogRecord> | null
  if (typeof record?.id !== 'string' || typeof record.type !== 'string') {
    state.nextOffset = stored.offset + 1
    return
  }
  foldJournalRecord(state, stored)
}

/** The node that a journal names as a program's new home, if it names one. */
export function adopterOf (state: JournalState, programId: string): NodeRef | undefined {
  return state.adoptions.get(programId)
}
