/** Finds the log lines of several nodes that explain one request or program, and merges them in order of time. */

/** A log line of key=value pairs. */
export interface LogLine {
  /** ISO 8601; empty when the line has none. */
  time: string
  event: string
  /** All pairs of the line, with `time` and `event`. */
  fields: Record<string, string>
}

/** Events that change a node's view of the cluster and so explain the decisions that follow them. */
const CLUSTER_EVENTS = new Set([
  'documentFresh', 'documentInForce', 'documentStale', 'groupJoinFailed', 'logLost', 'logRegained', 'nodeStarted', 'partitionComplete', 'partitionLost', 'partitionServing', 'partitionsAssigned',
  'peerConnected', 'peerLost', 'stopBegun', 'stopEnded', 'topicTruncated', 'uncaughtException', 'workerLost'
])
/** Cluster events this long before the first matching line are part of the trace. */
const CONTEXT_BEFORE_MS = 1_000

/**
 * Parses one line; undefined when it is not a log line or has no `event`. Text before the first `time=` or `level=`, such as a collector's
 * prefix, is ignored.
 *
 * @example
 * parseLogLine('time=1970-01-01T00:00:00.000Z level=info event=workerLost worker=w1')
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.search(/(^|\s)(time|level)=/)
  if (start < 0) return undefined
  const fields: Record<string, string> = {}
  for (const [, name, quoted, unquoted] of text.slice(start).matchAll(/([A-Za-z]\w*)=(?:("(?:[^"\\]|\\.)*")|([^\s]*))/g)) {
    fields[name] = quoted === undefined ? unquoted : readQuoted(quoted)
  }
  return fields.event === undefined ? undefined : { time: fields.time ?? '', event: fields.event, fields }
}

/**
 * The lines that mention a request id or a program id, and the cluster events from 1 s before the first to the last of them, in order of time.
 * A program id finds the lines of all requests of the program. Empty when no line mentions the id.
 */
export function traceLogs (lines: Iterable<string>, id: string): LogLine[] {
  const parsed = [...lines].flatMap(line => parseLogLine(line) ?? [])
  const matching = parsed.filter(line => mentions(line, id))
  if (matching.length === 0) return []
  const times = matching.map(line => Date.parse(line.time))
  const fromMs = Math.min(...times) - CONTEXT_BEFORE_MS
  const toMs = Math.max(...times)
  const clusterEvents = parsed.filter(line => CLUSTER_EVENTS.has(line.event) && Date.parse(line.time) >= fromMs && Date.parse(line.time) <= toMs)
  return [...new Set([...matching, ...clusterEvents])].sort((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0)
}

/** Formats a trace to be read by people, one line each: time of day, node, `!` unless the level is info, event and the other fields. */
export function formatTrace (lines: readonly LogLine[]): string {
  return lines.map(({ time, event, fields }) => {
    const { time: _time, level, event: _event, node, ...rest } = fields
    const details = Object.entries(rest).map(([name, value]) => `${name}=${value}`).join(' ')
    return `${time.slice(11, 23)} ${(node ?? '-').padEnd(18)} ${level === 'info' ? ' ' : '!'} ${event.padEnd(18)} ${details}`
  }).join('\n')
}

/** Whether a line is of this request, this program, or a turn that continues this one. */
function mentions ({ fields }: LogLine, id: string): boolean {
  return [fields.requestId, fields.program, fields.previousTurn].some(value => value === id || value?.endsWith(`/${id}`))
}

function readQuoted (text: string): string {
  try {
    return String(JSON.parse(text))
  } catch {
    return text
  }
}
