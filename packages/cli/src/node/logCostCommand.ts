/** `trefoilshunt experiment log`: latency that the log adds to steps, and the steps that run during an outage of the log. */
import { measureStepLatency, measureOutage } from '@trefoilshunt/testing'
import { formatTable } from '../common/table.js'
import { type OutputOptions, printResult } from './output.js'

/** Measures in virtual time and prints a table of each measurement. */
export async function runLogCost (options: OutputOptions & { seed: number }): Promise<void> {
  const latencies = await measureStepLatency(options.seed)
  const outage = await measureOutage(options.seed)
  const text = () => [
    formatTable(['situation', 'steps', 'count', 'p50 ms', 'p95 ms'], latencies.map(row => [row.situation, row.stepClass, row.steps, row.p50Ms, row.p95Ms])),
    'steps that began in a 60 s outage of the log:',
    formatTable(['steps', 'count', 'done in the outage', 'done later', 'not run', 'unknown'], outage.map(row => [row.stepClass, row.steps, row.doneInOutage, row.doneLater, row.notRun, row.unknown]))
  ].join('\n\n')
  printResult(options, { latencies, outage }, text)
}
