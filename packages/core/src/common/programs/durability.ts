/** Appends a journal record with a bounded wait for the log. */
import type { IDisposable } from '../kernel/lifecycle.js'
import type { ITimers } from '../kernel/timers.js'
import type { IJournalEpoch, NewJournalRecord } from '../journal/journal.js'

/** Whether a record is in the log. `notYet`: not within the wait. `fenced`: the journal was fenced first. */
export type Durability = 'durable' | 'notYet' | 'fenced'

/** Input of `appendWithin`. */
export interface DurableAppend {
  journal: IJournalEpoch
  timers: ITimers
  record: NewJournalRecord
  /** Time after which `notYet` is reported. */
  waitMs: number
  /** Called once. After `notYet` the record stays queued: it may still land, or be fenced. */
  onSettled: (durability: Durability) => void
}

/** Appends a record and reports whether the log had it in time. */
export function appendWithin ({ journal, timers, record, waitMs, onSettled }: DurableAppend): void {
  let timeout: IDisposable | undefined
  let isSettled = false
  const settleOnce = (durability: Durability) => {
    if (isSettled) return
    isSettled = true
    timeout?.dispose()
    onSettled(durability)
  }
  journal.append(record, outcome => settleOnce(outcome.type === 'landed' ? 'durable' : 'fenced'))
  if (!isSettled) timeout = timers.after(waitMs, () => settleOnce('notYet'))
}
