/** Finds the events that a caller holds of a stream, from what its earlier attempts forwarded. */
import { EventFrameSplitter } from './eventFrames.js'

/** One of the attempts of a caller that brought events of a stream, or may have. */
export interface StreamAttempt {
  attemptId: string
  /** Id of the event after which it took the stream up; absent for the attempt that began the stream. */
  resumedAfter?: string
  /** Attempts whose events it continues, the first one included. */
  ancestors: string[]
  /** The stream's events that earlier attempts brought, then its own, as they were forwarded. Events that are not known yet may follow. */
  events: Uint8Array
  /** True if it has ended and `events` are all of them. */
  isEnded: boolean
}

/** The events that the caller holds. */
export interface EarlierEvents {
  /** As they were forwarded. */
  events: Uint8Array
  /** The data of each event and a line feed. */
  output: Uint8Array
  eventCount: number
  /** Attempts that brought these events. */
  ancestors: string[]
}

/** `unknown`: it isn't certain which events the caller holds; `isFinal` if further events of the attempts can't change that. */
export type EarlierEventsOutcome = { type: 'known' } & EarlierEvents | { type: 'unknown', detail: string, isFinal: boolean }

/** One attempt with the positions of its events. */
interface ParsedAttempt extends StreamAttempt {
  ids: Array<string | undefined>
  endOffsets: number[]
  data: string[]
}

/**
 * Events up to `lastEventId` count. A run that went on elsewhere may differ from the one before it: what an attempt forwarded after the event at
 * which a later one took over does not count, and attempts of which neither continues the other must agree.
 *
 * @example
 * resolveEarlierEvents([{ attemptId: 'a', ancestors: [], events: Buffer.from('id: 1\ndata: x\n\n'), isEnded: false }], '1') // output: 'x\n'
 */
export function resolveEarlierEvents (attempts: readonly StreamAttempt[], lastEventId: string): EarlierEventsOutcome {
  const parsed = mergeAttempts(attempts).filter(attempt => !isWithdrawn(attempt)).map(parseAttempt)
  const holding = parsed.filter(attempt => positionOf(attempt, lastEventId) >= 0)
  const candidates = holding.filter(attempt => !isSuperseded(attempt, parsed, lastEventId))
  const [first] = candidates
  if (parsed.length === 0) return { type: 'unknown', detail: 'the stream is not known', isFinal: false }
  if (holding.length === 0) return { type: 'unknown', detail: 'the last event is not known', isFinal: false }
  if (first === undefined) return { type: 'unknown', detail: 'the last event was superseded', isFinal: false }
  const earlier = eventsThrough(first, lastEventId)
  for (const other of candidates.slice(1)) {
    const { output, eventCount } = eventsThrough(other, lastEventId)
    if (eventCount !== earlier.eventCount || Buffer.compare(output, earlier.output) !== 0) return { type: 'unknown', detail: 'attempts with different events may have brought the last one', isFinal: true }
  }
  if (parsed.some(attempt => mayHaveBrought(attempt, candidates, lastEventId))) return { type: 'unknown', detail: 'an attempt whose events are not all known may have brought the last one', isFinal: false }
  const lines = candidates.map(({ ancestors, attemptId }) => [...ancestors, attemptId])
  return { type: 'known', ...earlier, ancestors: lines[0].filter(id => lines.every(line => line.includes(id))) }
}

/** True for an attempt that has ended without an event, so that the caller holds nothing of it. */
function isWithdrawn ({ events, isEnded }: StreamAttempt): boolean {
  return isEnded && events.length === 0
}

/** True if the attempt went on beyond the event at which one that continues it took over, and `lastEventId` lies there. */
function isSuperseded (attempt: ParsedAttempt, all: readonly ParsedAttempt[], lastEventId: string): boolean {
  return all.some(({ ancestors, resumedAfter }) => resumedAfter !== undefined && ancestors.includes(attempt.attemptId) && positionOf(attempt, resumedAfter) < positionOf(attempt, lastEventId))
}

/** True for an attempt that is on none of the candidates' lines and may have brought the last event, as not all of its events are known. */
function mayHaveBrought (attempt: ParsedAttempt, candidates: readonly ParsedAttempt[], lastEventId: string): boolean {
  const { attemptId, resumedAfter, isEnded } = attempt
  if (isEnded || resumedAfter === undefined || positionOf(attempt, lastEventId) >= 0) return false
  return candidates.every(candidate => !candidate.ancestors.includes(attemptId) && positionOf(candidate, resumedAfter) < positionOf(candidate, lastEventId))
}

/** Joins what several nodes know of the same attempt; each knows its events from the first one on. */
function mergeAttempts (attempts: readonly StreamAttempt[]): StreamAttempt[] {
  const merged = new Map<string, StreamAttempt>()
  for (const attempt of attempts) {
    const known = merged.get(attempt.attemptId)
    merged.set(attempt.attemptId, known === undefined
      ? attempt
      : {
          attemptId: attempt.attemptId,
          resumedAfter: known.resumedAfter ?? attempt.resumedAfter,
          ancestors: [...new Set([...known.ancestors, ...attempt.ancestors])],
          events: attempt.events.length > known.events.length ? attempt.events : known.events,
          isEnded: known.isEnded || attempt.isEnded
        })
  }
  return [...merged.values()]
}

function parseAttempt (attempt: StreamAttempt): ParsedAttempt {
  const { events } = new EventFrameSplitter().push(attempt.events)
  return { ...attempt, ids: events.map(({ id }) => id), endOffsets: events.map(({ endOffset }) => endOffset), data: events.map(({ data }) => data) }
}

/** Position of the event with an id among the known ones; -1 without it. */
function positionOf ({ ids }: ParsedAttempt, eventId: string): number {
  return ids.lastIndexOf(eventId)
}

function eventsThrough (attempt: ParsedAttempt, lastEventId: string): Omit<EarlierEvents, 'ancestors'> {
  const eventCount = positionOf(attempt, lastEventId) + 1
  const output = Buffer.from(attempt.data.slice(0, eventCount).map(data => `${data}\n`).join(''), 'latin1')
  return { events: attempt.events.subarray(0, attempt.endOffsets[eventCount - 1]), output, eventCount }
}
