/** One row of figures for a policy in an experiment. */
import { type ExperimentSpec, isWithinTarget, latencyPercentile, type Measurement, select, tokenRate, wastedShare } from '@trefoilshunt/testing'

/** The figures that tables and reports show, for the programs that arrive in the experiment's window. */
export function toSummaryRow (spec: ExperimentSpec, measurement: Measurement): Record<string, string | number> {
  const urgent = select(measurement, spec.window, sample => sample.rank === 'urgent')
  const other = select(measurement, spec.window, sample => sample.rank === 'other')
  const within = (samples: typeof urgent) => `${samples.filter(isWithinTarget).length}/${samples.length}`
  const refused = (samples: typeof urgent) => samples.filter(sample => sample.isRefused).length
  return {
    policy: measurement.policy,
    'urgent within': within(urgent),
    'refused ': refused(urgent),
    'p50 ms': latencyPercentile(urgent, 50),
    'p95 ms': latencyPercentile(urgent, 95),
    'other within': within(other),
    refused: refused(other),
    'other p95 ms': latencyPercentile(other, 95),
    'tokens/s': Math.round(tokenRate(measurement.series, spec.window.fromMs, spec.window.untilMs)),
    recomputed: measurement.recomputedTokens,
    wasted: Number(wastedShare(measurement).toFixed(4)),
    retries: measurement.retries
  }
}
