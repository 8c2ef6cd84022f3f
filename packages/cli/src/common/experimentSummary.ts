/** Summarizes the measurement of a policy in an experiment as one row of figures. */
import { type ExperimentSpec, isWithinTarget, latencyPercentile, type Measurement, selectSamples, tokenRate, wastedShare } from '@trefoilshunt/testing'

/**
 * The figures by their headings, for the programs that arrive in the experiment's window. The key `'refused '` of the urgent programs ends with a
 * space because `refused` is the one of the other programs.
 */
export function toSummaryRow (spec: ExperimentSpec, measurement: Measurement): Record<string, string | number> {
  const urgent = selectSamples(measurement, spec.window, sample => sample.rank === 'urgent')
  const other = selectSamples(measurement, spec.window, sample => sample.rank === 'other')
  const withinTarget = (samples: typeof urgent) => `${samples.filter(isWithinTarget).length}/${samples.length}`
  const countRefused = (samples: typeof urgent) => samples.filter(sample => sample.isRefused).length
  return {
    policy: measurement.policy,
    'urgent within': withinTarget(urgent),
    'refused ': countRefused(urgent),
    'p50 ms': latencyPercentile(urgent, 50),
    'p95 ms': latencyPercentile(urgent, 95),
    'other within': withinTarget(other),
    refused: countRefused(other),
    'other p95 ms': latencyPercentile(other, 95),
    'tokens/s': Math.round(tokenRate(measurement.series, spec.window.fromMs, spec.window.untilMs)),
    recomputed: measurement.recomputedTokens,
    wasted: Number(wastedShare(measurement).toFixed(4)),
    retries: measurement.retries
  }
}
