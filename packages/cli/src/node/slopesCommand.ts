/** `trefoilshunt experiment slopes`: the measured slopes behind docs/CAPACITY.md. */
import { readFileSync, writeFileSync } from 'node:fs'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { type IMeter, measureSlopes, type SlopeReport } from '@trefoilshunt/testing'
import { renderCapacity } from '../common/capacityTable.js'
import { formatTable } from '../common/table.js'
import { type OutputOptions, printResult } from './output.js'

const BEGIN_MARK = '<!-- begin of the measured figures -->'
const END_MARK = '<!-- end of the measured figures -->'

export interface SlopesOptions extends OutputOptions {
  seed: number
  /** Page in which to replace the measured figures. */
  write?: string
}

/** Measures, prints and, if asked, writes the figures into a page. */
export async function runSlopes (options: SlopesOptions): Promise<void> {
  const report = await measureSlopes(createMeter(), options.seed)
  if (options.write !== undefined) writeFigures(options.write, report)
  printResult(options, report, () => formatSlopes(report))
}

function createMeter (): IMeter {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  return {
    nowMs: () => performance.now(),
    heapBytes: () => {
      collect()
      return process.memoryUsage().heapUsed
    }
  }
}

function formatSlopes ({ slopes, costs }: SlopeReport): string {
  const rows = slopes.map(slope => [slope.name, slope.per, slope.slope.toPrecision(3), slope.intercept.toPrecision(3), slope.unit, `${(slope.residual * 100).toFixed(1)} %`])
  const costRows = costs.map(cost => [cost.name, cost.value.toPrecision(3), cost.unit])
  return `${formatTable(['measured', 'per', 'slope', 'at zero', 'unit', 'residual'], rows)}\n\n${formatTable(['measured', 'value', 'unit'], costRows)}`
}

function writeFigures (file: string, report: SlopeReport): void {
  const page = readFileSync(file, 'utf8')
  const begin = page.indexOf(BEGIN_MARK)
  const end = page.indexOf(END_MARK)
  if (begin < 0 || end < begin) throw new Error(`${file} has no place for the measured figures`)
  writeFileSync(file, `${page.slice(0, begin + BEGIN_MARK.length)}\n\n${renderCapacity(report)}\n\n${page.slice(end)}`)
}
