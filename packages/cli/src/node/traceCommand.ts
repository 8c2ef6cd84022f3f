/** `trefoilshunt trace`: why a request or a program went as it did, from the nodes' logs. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { ExitCode } from '../common/exitCodes.js'
import { formatTrace, traceLogs } from './traceLogs.js'
import { type OutputOptions, printError, printResult } from './output.js'

export interface TraceOptions extends OutputOptions {
  /** Request id or program id. */
  id: string
  /** Log files of any number of nodes; standard input if there are none. */
  files: string[]
}

export async function runTrace (options: TraceOptions): Promise<void> {
  const lines: string[] = []
  const sources = options.files.length === 0 ? [process.stdin] : options.files.map(file => createReadStream(file))
  try {
    for (const source of sources) {
      for await (const line of createInterface({ input: source, crlfDelay: Infinity })) lines.push(line)
    }
  } catch (error) {
    printError((error as Error).message, ExitCode.Usage)
    return
  }
  const trace = traceLogs(lines, options.id)
  if (trace.length === 0) printError(`no line among ${lines.length} concerns ${options.id}`, ExitCode.Failed)
  else printResult(options, trace, () => formatTrace(trace))
}
