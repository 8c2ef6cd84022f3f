/** Counters and latency histograms in the Prometheus text format. */
import hdr from 'hdr-histogram-js'

/** Longer durations are recorded in the histogram as this one. */
const MAX_TRACKABLE_MS = 3_600_000
const SIGNIFICANT_DIGITS = 2
const QUANTILES = [0.5, 0.9, 0.95, 0.99]
const PREFIX = 'trefoilshunt_'

type Labels = Record<string, string>

interface HistogramSeries {
  labels: Labels
  histogram: hdr.Histogram
  sumMs: number
}

/** The counters and duration summaries of one process. */
export class Metrics {
  private readonly _counters = new Map<string, Map<string, { labels: Labels, value: number }>>()
  private readonly _histograms = new Map<string, Map<string, HistogramSeries>>()

  /** Adds `amount` to a counter; a counter exists from its first use. */
  count (name: string, labels: Labels = {}, amount = 1): void {
    const series = getOrCreate(this._counters, name, () => new Map<string, { labels: Labels, value: number }>())
    getOrCreate(series, formatLabels(labels), () => ({ labels, value: 0 })).value += amount
  }

  /** Records a duration, which is rendered as a Prometheus summary with quantiles. */
  observeMs (name: string, durationMs: number, labels: Labels = {}): void {
    const series = getOrCreate(this._histograms, name, () => new Map<string, HistogramSeries>())
    const entry = getOrCreate(series, formatLabels(labels), () => ({
      labels,
      histogram: hdr.build({ highestTrackableValue: MAX_TRACKABLE_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS }),
      sumMs: 0
    }))
    entry.histogram.recordValue(Math.min(MAX_TRACKABLE_MS, Math.max(0, Math.round(durationMs))))
    entry.sumMs += durationMs
  }

  /** Renders all metrics in the Prometheus text format; `gauges` holds the current value of each gauge by name, or by `formatSeries`; series of one gauge follow each other. */
  render (gauges: Record<string, number>): string {
    const lines: string[] = []
    let lastFamily = ''
    for (const [name, value] of Object.entries(gauges)) {
      const [family] = name.split('{')
      if (family !== lastFamily) lines.push(`# TYPE ${PREFIX}${family} gauge`)
      lines.push(`${PREFIX}${name} ${value}`)
      lastFamily = family
    }
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

/**
 * The name of one series of a gauge with labels.
 *
 * @example
 * formatSeries('account_programs', { account: 'yard-7' }) // account_programs{account="yard-7"}
 */
export function formatSeries (name: string, labels: Record<string, string>): string {
  return `${name}${formatLabels(labels)}`
}

function renderHistogram (name: string, { labels, histogram, sumMs }: HistogramSeries): string[] {
  const quantiles = QUANTILES.map(quantile => {
    const value = histogram.getValueAtPercentile(quantile * 100)
    return `${PREFIX}${name}${formatLabels({ ...labels, quantile: String(quantile) })} ${value}`
  })
  const suffix = formatLabels(labels)
  return [...quantiles, `${PREFIX}${name}_sum${suffix} ${sumMs}`, `${PREFIX}${name}_count${suffix} ${histogram.totalCount}`]
}

/** Labels as they follow the name of a metric. */
export function formatLabels (labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${value.replace(/[\\"\n]/g, '_')}"`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}

function getOrCreate<K, V> (map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key)
  if (value === undefined) {
    value = create()
    map.set(key, value)
  }
  return value
}
