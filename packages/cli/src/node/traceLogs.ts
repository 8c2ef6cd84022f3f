/** Puts the log lines of several nodes together into the story of one request or program. */

/** One line of key=value pairs. */
export interface LogLine {
  /** ISO 8601; empty when the line has none. */
  time: string
  event: string
  fields: Record<string, string>
}

/** Events that change what a node believes: they explain decisions near them. */
const BELIEF_EVENTS = new Set([
  'documentInForce', 'groupJoinFailed', 'logLost', 'logRegained', 'nodeStarted', 'partitionComplete', 'partitionLost', 'partitionServing', 'partitionsAssigned',
  'peerConnected', 'peerLost', 'stopBegun', 'stopEnded', 'topicTruncated', 'uncaughtException', 'workerLost'
])
/** Belief changes this long before the first line of a request belong to its story. */
const BEFORE_MS = 1_000

/**
 * Reads one line; text in front of the first pair, such as a collector's prefix, is left out.
 *
 * @example
 * parseLogLine('time=1970-01-01T00:00:00.000Z level=info event=workerLost worker=w1')
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.search(/(^|\s)(time|level)=/)
  if (start < 0) return undefined
  const fields: Record<string, string> = {}
  for (const [, name, quoted, plain] of text.slice(start).matchAll(/([A-Za-z]\w*)=(?:("(?:[^"\\]|\\.)*")|([^\s]*))/g)) {
    fields[name] = quoted === undefined ? plain : readQuoted(quoted)
  }
  return fields.event === undefined ? undefined : { time: fields.time ?? '', event: fields.event, fields }
}

/**
 * The lines that concern a request id or a program id, with those of the program's other requests, and the changes of belief
 * around them, in order of time.
 */
export function traceLogs (lines: Iterable<string>, id: string): LogLine[] {
  const parsed = [...lines].flatMap(line => parseLogLine(line) ?? [])
  const own = parsed.filter(line => concerns(line, id))
  if (own.length === 0) return []
  const times = own.map(line => Date.parse(line.time))
  const fromMs = Math.min(...times) - BEFORE_MS
  const toMs = Math.max(...times)
  const beliefs = parsed.filter(line => BELIEF_EVENTS.has(line.event) && Date.parse(line.time) >= fromMs && Date.parse(line.time) <= toMs)
  return [...new Set([...own, ...beliefs])].sort((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0)
}

/** One line for a person: time, node, event and the other fields. */
export function formatTrace (lines: readonly LogLine[]): string {
  return lines.map(({ time, event, fields }) => {
    const { time: _time, level, event: _event, node, ...rest } = fields
    const details = Object.entries(rest).map(([name, value]) => `${name}=${value}`).join(' ')
    return `${time.slice(11, 23)} ${(node ?? '-').padEnd(18)} ${level === 'info' ? ' ' : '!'} ${event.padEnd(18)} ${details}`
  }).join('\n')
}

function concerns ({ fields }: LogLine, id: string): boolean {
  return fields.requestId === id || fields.program === id || fields.previousTurn === id
}

function readQuoted (text: string): string {
  try {
    return String(JSON.parse(text))
  } catch {
    return text
  }
}
