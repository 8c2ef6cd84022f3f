/** Checks the order of the events of one stream, which several attempts may bring. */

/** Ids with more digits can't be compared as numbers. */
const MAX_ID_DIGITS = 15

/**
 * Events carry increasing ids. A worker that continues a stream begins with the event after the last one that the caller has, and at
 * least with one: it may have repeated an earlier answer, begun anew or lost events.
 *
 * @example
 * const sequence = new EventSequence()
 * sequence.accept('1') // undefined
 * sequence.beginAttempt()
 * sequence.accept('1') // 'event 1 after event 1'
 */
export class EventSequence {
  private _lastId: number | undefined
  /** Difference of all ids so far; undefined without two of them, or if the differences vary. */
  private _step: number | undefined
  private _hasVaryingSteps = false
  private _isContinuation = false
  private _acceptedInAttempt = 0

  /** `lastEventId` is the id of the event after which the caller resumes the stream. */
  constructor (lastEventId?: string) {
    this._lastId = parseId(lastEventId)
  }

  /** Must be called before the events of each attempt; `isContinuation` if the answer has begun. */
  beginAttempt (isContinuation = true): void {
    this._isContinuation = isContinuation
    this._acceptedInAttempt = 0
  }

  /** Returns why the next event can't follow the ones before, or undefined if it can. Ids that are no whole numbers are accepted. */
  accept (eventId: string | undefined): string | undefined {
    const id = parseId(eventId)
    const isFirst = this._acceptedInAttempt++ === 0
    if (id === undefined) return undefined
    const lastId = this._lastId
    this._lastId = id
    if (lastId === undefined) return undefined
    const step = id - lastId
    if (step <= 0) return `event ${id} after event ${lastId}`
    if (this._isContinuation && isFirst && this._step !== undefined && step !== this._step) return `event ${id} in place of event ${lastId + this._step}`
    this._recordStep(step)
    return undefined
  }

  /** Returns why the attempt's answer isn't complete although it ended, or undefined. */
  endAttempt (): string | undefined {
    return this._isContinuation && this._acceptedInAttempt === 0 ? 'a continuation without events' : undefined
  }

  private _recordStep (step: number): void {
    if (this._hasVaryingSteps) return
    if (this._step !== undefined && this._step !== step) this._hasVaryingSteps = true
    this._step = this._hasVaryingSteps ? undefined : step
  }
}

function parseId (eventId: string | undefined): number | undefined {
  return eventId !== undefined && eventId.length <= MAX_ID_DIGITS && /^\d+$/.test(eventId) ? Number(eventId) : undefined
}
