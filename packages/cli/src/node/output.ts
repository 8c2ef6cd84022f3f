/** Prints the results and errors of commands, as text or JSON. */
import { ExitCode } from '../common/exitCodes.js'

/** Options that all commands share. */
export interface OutputOptions {
  /** Prints results as JSON. */
  json: boolean
}

/** Prints a result to standard output and sets the exit code. `text` is called only when the output is not JSON. */
export function printResult (options: OutputOptions, value: unknown, text: () => string, exitCode: ExitCode = ExitCode.Ok): void {
  process.stdout.write(options.json ? `${JSON.stringify(value, null, 2)}\n` : `${text()}\n`)
  process.exitCode = exitCode
}

/** Prints a message to standard error, never as JSON, and sets the exit code. */
export function printError (message: string, exitCode: ExitCode = ExitCode.Failed): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = exitCode
}
