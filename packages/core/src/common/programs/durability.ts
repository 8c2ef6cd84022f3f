/** Waits for the log, but not for ever. */
import type { IDisposable } from '../kernel/lifecycle.js'
import type { ITimers } from '../kernel/timers.js'
import type { IJournalEpoch, NewJournalRecord } from '../journal/journal.js'

export type Durability = 'durable' | 'notYet' | 'fenced'

export interface DurableAppend {
  journal: IJournalEpoch
  timers: ITimers
  record: NewJournalRecord
  /** Time after which the caller is answered without the log. */
  waitMs: number
  /** Called once. After `notYet` the record stays queued and lands later. */
  onSettled: (durability: Durability) => void
}

/** Appends a record and reports whether the log had it in time. */
export function appendWithin ({ journal, timers, record, waitMs, onSettled }: DurableAppend): void {
  let timeout: IDisposable | undefined
  let isSettled = false
  const settle = (durability: Durability) => {
    if (isSettled) return
    isSettled = true
    timeout?.dispose()
    onSettled(durability)
  }
  journal.append(record, outcome => settle(outcome.type === 'landed' ? 'durable' : 'fenced'))
  if (!isSettled) timeout = timers.after(waitMs, () => settle('notYet'))
}
