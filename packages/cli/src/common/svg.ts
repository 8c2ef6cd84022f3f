/** Renders small line plots as SVG text. */

/** A line of a plot with the label of its legend entry. */
export interface PlotLine {
  label: string
  points: Array<{ x: number, y: number }>
}

const WIDTH = 640
const HEIGHT = 260
const MARGIN = 44
const COLORS = ['#1b6ca8', '#c0392b', '#27ae60', '#8e44ad', '#d68910', '#555555']
const TICKS = 5

/** Draws lines over common axes that begin at 0; the coordinates must not be negative. */
export function renderPlot (title: string, xLabel: string, yLabel: string, lines: PlotLine[]): string {
  const points = lines.flatMap(line => line.points)
  const maxX = Math.max(1e-9, ...points.map(point => point.x))
  const maxY = Math.max(1e-9, ...points.map(point => point.y))
  const toX = (x: number) => MARGIN + x / maxX * (WIDTH - 2 * MARGIN)
  const toY = (y: number) => HEIGHT - MARGIN - y / maxY * (HEIGHT - 2 * MARGIN)
  const ticks = Array.from({ length: TICKS + 1 }, (_, index) => index / TICKS)
  const grid = ticks.map(share => `<text x="${toX(share * maxX)}" y="${HEIGHT - MARGIN + 14}" text-anchor="middle">${formatTick(share * maxX)}</text>` +
    `<text x="${MARGIN - 4}" y="${toY(share * maxY) + 4}" text-anchor="end">${formatTick(share * maxY)}</text>` +
    `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${toY(share * maxY)}" y2="${toY(share * maxY)}" stroke="#ddd"/>`)
  const paths = lines.map((line, index) => {
    const path = line.points.map((point, position) => `${position === 0 ? 'M' : 'L'}${toX(point.x).toFixed(1)} ${toY(point.y).toFixed(1)}`).join('')
    const color = COLORS[index % COLORS.length]
    return `<path d="${path}" fill="none" stroke="${color}" stroke-width="1.5"/>` +
      `<text x="${WIDTH - MARGIN}" y="${MARGIN + 14 * index}" text-anchor="end" fill="${color}">${escapeXml(line.label)}</text>`
  })
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">` +
    `<text x="${WIDTH / 2}" y="16" text-anchor="middle" font-size="13">${escapeXml(title)}</text>${grid.join('')}${paths.join('')}` +
    `<text x="${WIDTH / 2}" y="${HEIGHT - 6}" text-anchor="middle">${escapeXml(xLabel)}</text>` +
    `<text x="12" y="${HEIGHT / 2}" transform="rotate(-90 12 ${HEIGHT / 2})" text-anchor="middle">${escapeXml(yLabel)}</text></svg>`
}

/** Escapes a text for element content and for attributes in double quotes. */
export function escapeXml (text: string): string {
  return text.replace(/[<>&"]/g, character => ({ '<': '&lt;', '>': '&gt;', '&': '&amp;', '"': '&quot;' })[character] as string)
}

function formatTick (value: number): string {
  return value >= 10_000 ? `${(value / 1_000).toFixed(0)}k` : Number(value.toPrecision(3)).toString()
}
