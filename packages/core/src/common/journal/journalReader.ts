/** Reads and folds the journals of other runs of the daemon. */
import { inject, injectable } from 'tsyringe'
import { ILogger } from '../kernel/effectQueue.js'
import { ILogService } from '../kernel/logPort.js'
import type { NodeRef } from '../kernel/node.js'
import type { StoredRecord } from '../kernel/logRecords.js'
import { createJournalState, foldJournalRecord, type JournalState } from './journalFold.js'
import { isJournalRecord } from './journalSchema.js'

/** Records of one read; other events are handled between two reads, so a long journal does not delay streamed tokens. */
const READ_PAGE_RECORDS = 100

/** Reads and folds whole journals. */
export interface IJournalReader {
  /** Folds a journal from its start, or continues `state` in place; `onRead` gets undefined when a read failed. Skips damaged records. */
  readJournal (stream: string, onRead: (state: JournalState | undefined) => void, state?: JournalState): void
}
export const IJournalReader = Symbol('IJournalReader')

@injectable()
export class JournalReader implements IJournalReader {
  constructor (
    @inject(ILogService) private readonly _log: ILogService,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

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
      for (const stored of outcome.records) {
        const isFolded = foldIfValid(state, stored)
        if (!isFolded) this._logger.warn('journalRecordSkipped', { journal: stream, offset: stored.offset })
      }
      if (outcome.records.length > 0 && state.nextOffset < outcome.endOffset) this.readJournal(stream, onRead, state)
      else onRead(state)
    })
  }
}

/**
 * Folds a record unless it is damaged: one damaged record must not stop a takeover.
 *
 * @returns false when the record was skipped.
 */
export function foldIfValid (state: JournalState, stored: StoredRecord): boolean {
  if (!isJournalRecord(stored.record)) {
    state.nextOffset = Math.max(state.nextOffset, stored.offset + 1)
    return false
  }
  foldJournalRecord(state, stored)
  return true
}

/** The node that a journal names as a program's new owner; undefined when it names none. */
export function newOwnerOf (state: JournalState, programId: string): NodeRef | undefined {
  return state.newOwners.get(programId)
}
