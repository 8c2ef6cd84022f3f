/** `trefoilshunt experiment slopes`: how cost grows with nodes, workers and programs, for docs/CAPACITY.md. */
import { readFileSync, writeFileSync } from 'node:fs'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { type IMeter, measureSlopes, type SlopeReport } from '@trefoilshunt/testing'
import { renderCapacity } from '../common/capacityTable.js'
import { formatTable } from '../common/table.js'
import { type OutputOptions, printResult } from './output.js'

const BEGIN_MARK = '<!-- begin of the measured figures -->'
const END_MARK = '<!-- end of the measured figures -->'

/** Options of `trefoilshunt experiment slopes`. */
export interface SlopesOptions extends OutputOptions {
  seed: number
  /** Page in which to replace the measured figures. */
  write?: string
}

/** Measures and prints the figures, and replaces those of the page `write` if it is given. */
export async function runSlopes (options: SlopesOptions): Promise<void> {
  const report = await measureSlopes(createMeter(), options.seed)
  if (options.write !== undefined) writeFigures(options.write, report)
  printResult(options, report, () => formatSlopes(report))
}

/** Reads the clock and the heap; the heap is measured after a garbage collection. */
function createMeter (): IMeter {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  return {
    nowMs: () => performance.now(),
    heapBytes: () => {
      collectGarbage()
      return process.memoryUsage().heapUsed
    }
  }
}

function formatSlopes ({ slopes, costs }: SlopeReport): string {
  const rows = slopes.map(slope => [slope.name, slope.per, slope.slope.toPrecision(3), slope.intercept.toPrecision(3), slope.unit, `${(slope.residual * 100).toFixed(1)} %`])
  const costRows = costs.map(cost => [cost.name, cost.value.toPrecision(3), cost.unit])
  return `${formatTable(['measured', 'per', 'slope', 'at zero', 'unit', 'residual'], rows)}\n\n${formatTable(['measured', 'value', 'unit'], costRows)}`
}

/** Replaces what stands between the two markers of a page; throws when they are missing. */
function writeFigures (file: string, report: SlopeReport): void {
  const page = readFileSync(file, 'utf8')
  const begin = page.indexOf(BEGIN_MARK)
  const end = page.indexOf(END_MARK)
  if (begin < 0 || end < begin) throw new Error(`${file} does not contain the markers of the measured figures`)
  writeFileSync(file, `${page.slice(0, begin + BEGIN_MARK.length)}\n\n${renderCapacity(report)}\n\n${page.slice(end)}`)
}
