/** What commands print: for people, or JSON. */
import { ExitCode } from '../common/exitCodes.js'

export interface OutputOptions {
  json: boolean
}

/** Prints a result and sets the exit code. */
export function printResult (options: OutputOptions, value: unknown, text: () => string, exitCode: ExitCode = ExitCode.Ok): void {
  process.stdout.write(options.json ? `${JSON.stringify(value, null, 2)}\n` : `${text()}\n`)
  process.exitCode = exitCode
}

export function printError (message: string, exitCode: ExitCode = ExitCode.Failed): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = exitCode
}
