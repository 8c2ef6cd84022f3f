/** Exit codes of the command line. */
export const ExitCode = {
  Ok: 0,
  /** The command ran and found something wrong, or was refused. */
  Failed: 1,
  /** The command line or a file is wrong. */
  Usage: 2
} as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]
