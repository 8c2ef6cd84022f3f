/** Counters and latency histograms in the Prometheus text format. */
import hdr from 'hdr-histogram-js'

const HIGHEST_MS = 3_600_000
const SIGNIFICANT_DIGITS = 2
const QUANTILES = [0.5, 0.9, 0.95, 0.99]
const PREFIX = 'trefoilshunt_'

type Labels = Record<string, string>

interface HistogramSeries {
  labels: Labels
  histogram: hdr.Histogram
  sumMs: number
}

/** The metrics of one process. */
export class Metrics {
  private readonly _counters = new Map<string, Map<string, { labels: Labels, value: number }>>()
  private readonly _histograms = new Map<string, Map<string, HistogramSeries>>()

  /** Adds to a counter. */
  count (name: string, labels: Labels = {}, amount = 1): void {
    const series = resolve(this._counters, name, () => new Map<string, { labels: Labels, value: number }>())
    resolve(series, formatLabels(labels), () => ({ labels, value: 0 })).value += amount
  }

  /** Adds a duration to a histogram. */
  observeMs (name: string, durationMs: number, labels: Labels = {}): void {
    const series = resolve(this._histograms, name, () => new Map<string, HistogramSeries>())
    const entry = resolve(series, formatLabels(labels), () => ({
      labels,
      histogram: hdr.build({ highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS }),
      sumMs: 0
    }))
    entry.histogram.recordValue(Math.min(HIGHEST_MS, Math.max(0, Math.round(durationMs))))
    entry.sumMs += durationMs
  }

  /** The text that a scraper gets; `gauges` are read at that moment. */
  render (gauges: Record<string, number>): string {
    const lines: string[] = []
    for (const [name, value] of Object.entries(gauges)) lines.push(`# TYPE ${PREFIX}${name} gauge`, `${PREFIX}${name} ${value}`)
    for (const [name, series] of this._counters) {
      lines.push(`# TYPE ${PREFIX}${name} counter`)
      for (const [labels, { value }] of series) lines.push(`${PREFIX}${name}${labels} ${value}`)
    }
    for (const [name, series] of this._histograms) {
      lines.push(`# TYPE ${PREFIX}${name} summary`)
      for (const entry of series.values()) lines.push(...renderHistogram(name, entry))
    }
    return `${lines.join('\n')}\n`
  }
}

function renderHistogram (name: string, { labels, histogram, sumMs }: HistogramSeries): string[] {
  const quantiles = QUANTILES.map(quantile => {
    const value = histogram.getValueAtPercentile(quantile * 100)
    return `${PREFIX}${name}${formatLabels({ ...labels, quantile: String(quantile) })} ${value}`
  })
  const suffix = formatLabels(labels)
  return [...quantiles, `${PREFIX}${name}_sum${suffix} ${sumMs}`, `${PREFIX}${name}_count${suffix} ${histogram.totalCount}`]
}

function formatLabels (labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${value.replace(/[\\"\n]/g, '_')}"`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}

function resolve<K, V> (map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key)
  if (value === undefined) {
    value = create()
    map.set(key, value)
  }
  return value
}
