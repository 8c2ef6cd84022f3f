/** Compares two documents and lists the differences by path. */

/** A leaf that differs; `before` or `after` is undefined where the document does not have it. */
export interface Difference {
  /** Names from the root, joined by dots. */
  path: string
  before: unknown
  after: unknown
}

/**
 * Lists every leaf that differs; items of lists are matched by their `name`, or by their index where they have none.
 *
 * @example
 * diffDocuments({ a: 1 }, { a: 2 }) // [{ path: 'a', before: 1, after: 2 }]
 */
export function diffDocuments (before: unknown, after: unknown, path = ''): Difference[] {
  if (isRecord(before) && isRecord(after)) {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    return names.flatMap(name => diffDocuments(before[name], after[name], path === '' ? name : `${path}.${name}`))
  }
  if (Array.isArray(before) && Array.isArray(after)) return diffDocuments(byName(before), byName(after), path)
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ path, before, after }]
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function byName (items: unknown[]): Record<string, unknown> {
  return Object.fromEntries(items.map((item, index) => [isRecord(item) && typeof item.name === 'string' ? item.name : String(index), item]))
}
