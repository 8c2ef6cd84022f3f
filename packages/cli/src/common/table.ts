/** Formats plain-text tables for the terminal. */

/** A value of a table; undefined is shown as `-`. */
export type Cell = string | number | undefined

/** Formats rows under their headings; columns that hold only numbers are aligned right. */
export function formatTable (headings: string[], rows: Cell[][]): string {
  const texts = rows.map(row => row.map(formatCell))
  const widths = headings.map((heading, column) => Math.max(heading.length, ...texts.map(row => (row[column] ?? '').length)))
  const isNumericColumn = headings.map((_heading, column) => rows.every(row => typeof row[column] === 'number' || row[column] === undefined))
  const formatRow = (cells: string[]) => cells
    .map((cell, column) => isNumericColumn[column] ? cell.padStart(widths[column]) : cell.padEnd(widths[column]))
    .join('  ').trimEnd()
  return [formatRow(headings), widths.map(width => '-'.repeat(width)).join('  '), ...texts.map(formatRow)].join('\n')
}

function formatCell (cell: Cell): string {
  if (cell === undefined) return '-'
  if (typeof cell === 'string') return cell
  return Number.isInteger(cell) ? String(cell) : cell.toFixed(Math.abs(cell) < 10 ? 3 : 1)
}
