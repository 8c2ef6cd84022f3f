/** `trefoilshunt trace`: the log lines of all nodes that explain one request or program. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { ExitCode } from '../common/exitCodes.js'
import { formatTrace, traceLogs } from './traceLogs.js'
import { type OutputOptions, printError, printResult } from './output.js'

/** Options of `trefoilshunt trace`. */
export interface TraceOptions extends OutputOptions {
  /** Request id or program id. */
  id: string
  /** Log files of any number of nodes; standard input if there are none. */
  files: string[]
}

/** Prints the trace; fails when no line mentions the id or a file cannot be read. */
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
  if (trace.length === 0) printError(`none of ${lines.length} log lines mentions ${options.id}`, ExitCode.Failed)
  else printResult(options, trace, () => formatTrace(trace))
}
