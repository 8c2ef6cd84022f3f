/** Renders a self-contained HTML report of one experiment. */
import type { ExperimentResult, ExperimentSpec, Measurement } from '@trefoilshunt/testing'
import { toSummaryRow } from './experimentSummary.js'
import { escapeXml, type PlotLine, renderPlot } from './svg.js'

const CDF_POINTS = 100
const STYLE = 'body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse;font-size:.85em}td,th{border:1px solid #ccc;padding:.2em .5em;text-align:right}.MISS{color:#c0392b}'

/** Renders the bounds of all seeds, and the figures and plots of the first seed's run. */
export function renderReport (spec: ExperimentSpec, results: ExperimentResult[]): string {
  const { figures } = results[0]
  const measurements = [figures.ours, ...figures.baselines]
  const bounds = results.flatMap(result => result.bounds.map(bound => ({ seed: result.figures.ours.seed, ...bound })))
  const boundRows = bounds.map(bound => `<tr class="${bound.isMet ? 'pass' : 'MISS'}"><td>${bound.seed}</td><td>${bound.isMet ? 'pass' : 'MISS'}</td><td style="text-align:left">${escapeXml(bound.bound)}</td><td>${bound.measured.toFixed(4)}</td><td>${bound.direction}</td><td>${bound.limit}</td></tr>`)
  const summaryRows = measurements.map(measurement => toSummaryRow(spec, measurement))
  const headCells = Object.keys(summaryRows[0]).map(name => `<th>${escapeXml(name)}</th>`).join('')
  const bodyRows = summaryRows.map(row => `<tr>${Object.values(row).map(value => `<td>${escapeXml(String(value))}</td>`).join('')}</tr>`).join('')
  const plots = [
    renderPlot('Latency of finished urgent programs', 'seconds', 'share', measurements.map(measurement => toCdf(measurement, 'urgent'))),
    renderPlot('Latency of finished other programs', 'seconds', 'share', measurements.map(measurement => toCdf(measurement, 'other'))),
    renderPlot('Steps waiting for a worker', 'seconds', 'steps', [
      { label: 'urgent', points: figures.ours.series.map(point => ({ x: point.atMs / 1_000, y: point.waitingUrgent })) },
      { label: 'other', points: figures.ours.series.map(point => ({ x: point.atMs / 1_000, y: point.waitingOther })) }
    ]),
    renderPlot('Prompt tokens served from cache', 'seconds', 'share', measurements.map(toCacheHitLine))
  ]
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>${escapeXml(spec.name)}</title><style>${STYLE}</style></head><body>` +
    `<h1>${escapeXml(spec.name)}</h1><p>${escapeXml(spec.purpose)}; firm ${escapeXml(spec.firm.name)}</p>` +
    `<table><tr><th>seed</th><th>verdict</th><th>bound</th><th>measured</th><th></th><th>limit</th></tr>${boundRows.join('')}</table>` +
    `<p>Oracle: ${figures.oracle.goodputInOrder} programs within target in the order of arrival, ${figures.oracle.goodputShortestFirst} when it may prefer short ones.</p>` +
    `<table><tr>${headCells}</tr>${bodyRows}</table>${plots.map(plot => `<p>${plot}</p>`).join('')}</body></html>\n`
}

/** Cumulative distribution of the latencies of the finished programs of a rank. */
function toCdf (measurement: Measurement, rank: string): PlotLine {
  const latencies = measurement.samples.filter(sample => sample.rank === rank && sample.isFinished).map(sample => sample.latencyMs).sort((left, right) => left - right)
  const points = Array.from({ length: CDF_POINTS + 1 }, (_, index) => ({
    x: (latencies[Math.min(latencies.length - 1, Math.floor(index / CDF_POINTS * latencies.length))] ?? 0) / 1_000,
    y: index / CDF_POINTS
  }))
  return { label: measurement.policy, points }
}

/** Share of the prompt tokens that came from the cache, over time. */
function toCacheHitLine (measurement: Measurement): PlotLine {
  const points = measurement.series.map(point => ({ x: point.atMs / 1_000, y: point.cachedTokens / Math.max(1, point.cachedTokens + point.prefillTokens) }))
  return { label: measurement.policy, points }
}
