/** Formats a log event as one line of key=value pairs. */
import type { LogFields } from '@trefoilshunt/core'

/** Fields that hold secrets; their values are written as `***`. */
const SECRET_FIELDS = new Set(['authorization', 'key', 'peerSecret'])

/**
 * Formats one event as a line without a line break. Fields that are undefined are left out; empty values and values with
 * spaces, quotes or equals signs are written as JSON strings.
 *
 * @example
 * formatLogLine('info', 'drainStarted', { programs: 3 }, '1970-01-01T00:00:00.000Z')
 * // time=1970-01-01T00:00:00.000Z level=info event=drainStarted programs=3
 */
export function formatLogLine (level: string, event: string, fields: LogFields, time: string): string {
  const pairs = [`time=${time}`, `level=${level}`, `event=${event}`]
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${name}=${SECRET_FIELDS.has(name) ? '***' : formatValue(value)}`)
  }
  return pairs.join(' ')
}

function formatValue (value: string | number | boolean): string {
  const text = String(value)
  return /^[^\s="]+$/.test(text) ? text : JSON.stringify(text)
}
