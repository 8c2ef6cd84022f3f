/** Plain-text tables for the terminal. */

export type Cell = string | number | undefined

/** Lays out rows under their headings; numbers are aligned right. */
export function formatTable (headings: string[], rows: Cell[][]): string {
  const texts = rows.map(row => row.map(formatCell))
  const widths = headings.map((heading, column) => Math.max(heading.length, ...texts.map(row => (row[column] ?? '').length)))
  const isNumeric = headings.map((_heading, column) => rows.every(row => typeof row[column] === 'number' || row[column] === undefined))
  const layOut = (cells: string[]) => cells
    .map((cell, column) => isNumeric[column] ? cell.padStart(widths[column]) : cell.padEnd(widths[column]))
    .join('  ').trimEnd()
  return [layOut(headings), widths.map(width => '-'.repeat(width)).join('  '), ...texts.map(layOut)].join('\n')
}

function formatCell (cell: Cell): string {
  if (cell === undefined) return '-'
  if (typeof cell === 'string') return cell
  return Number.isInteger(cell) ? String(cell) : cell.toFixed(Math.abs(cell) < 10 ? 3 : 1)
}
