/** Formats a log event as one line of key=value pairs. */
import type { LogFields } from '@trefoilshunt/core'

/** Fields that hold secrets; their values are written as `***`. */
const SECRET_FIELDS = new Set(['authorization', 'key', 'peerSecret'])
const UNSAFE_CHARACTER = /[\s="]/

/**
 * Formats one event as a line without a line break. Fields that are undefined are left out; empty values and values with
 * spaces, quotes or equals signs are written as JSON strings.
 *
 * @example
 * formatLogLine('info', 'drainStarted', { programs: 3 }, '1970-01-01T00:00:00.000Z')
 * // time=1970-01-01T00:00:00.000Z level=info event=drainStarted programs=3
 */
export function formatLogLine (level: string, event: string, fields: LogFields, time: string): string {
  let line = `time=${time} level=${level} event=${event}`
  for (const name in fields) {
    const value = fields[name]
    if (value !== undefined) line += ` ${name}=${SECRET_FIELDS.has(name) ? '***' : formatValue(value)}`
  }
  return line
}

function formatValue (value: string | number | boolean): string {
  if (typeof value !== 'string') return String(value)
  return value === '' || UNSAFE_CHARACTER.test(value) ? JSON.stringify(value) : value
}
