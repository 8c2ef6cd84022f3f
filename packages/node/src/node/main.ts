/** Entry point of `trefoilshuntd`: command line, settings and signals. */
import { readFileSync } from 'node:fs'
import { type Either, Left, Right } from 'purify-ts'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatDiagnostic, parseJsonc } from '@trefoilshunt/protocol'
import { type Settings, settingsSchema } from '../common/settings.js'
import { Daemon } from './daemon.js'

/** Exit code for a wrong command line or wrong settings. */
const EXIT_USAGE = 2
/** Exit code for a failed start. */
const EXIT_FAILED = 1
const MIN_PEER_SECRET_CHARACTERS = 16

/**
 * Starts the daemon, which runs until SIGTERM or SIGINT starts a planned stop. `onSignalsHandled` is called when the daemon has installed
 * its own signal handlers. Exits the process with a non-zero code on wrong arguments or settings, or if the start fails.
 */
export async function main (argv: string[], onSignalsHandled: () => void = () => {}): Promise<void> {
  const options = await yargs(hideBin(argv))
    .scriptName('trefoilshuntd')
    .usage('Usage: $0 --settings FILE\n\nRuns one node of trefoilshunt.')
    .option('settings', { type: 'string', demandOption: true, describe: 'settings file, JSON with comments' })
    .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
    .strict()
    .fail((message, error) => exitWithError(message ?? error.message, EXIT_USAGE))
    .parse()
  const settings = loadSettings(options.settings)
  if (settings.isLeft()) {
    exitWithError((settings.extract() as string[]).join('\n'), EXIT_USAGE)
    return
  }
  if (options.check) {
    process.stdout.write('the settings are valid\n')
    return
  }
  await runDaemon(settings.extract() as Settings, onSignalsHandled)
}

/** Reads and checks a settings file. Each problem in its text is reported with file, line and column. */
export function loadSettings (file: string): Either<string[], Settings> {
  try {
    return parseJsonc(file, readFileSync(file, 'utf8'), settingsSchema).mapLeft(problems => problems.map(formatDiagnostic))
  } catch (error) {
    return Left([`${file}: ${(error as Error).message}`])
  }
}

/** The secret that all nodes share, from the settings or from the file named there. */
export function loadPeerSecret (settings: Settings): Either<string, string> {
  const { peerSecret, peerSecretFile } = settings.credentials
  if (peerSecret !== undefined) return Right(peerSecret)
  if (peerSecretFile === undefined) return Left('credentials: one of "peerSecret" and "peerSecretFile" is required')
  try {
    const secret = readFileSync(peerSecretFile, 'utf8').trim()
    return secret.length >= MIN_PEER_SECRET_CHARACTERS ? Right(secret) : Left(`${peerSecretFile}: the secret must have at least ${MIN_PEER_SECRET_CHARACTERS} characters`)
  } catch (error) {
    return Left(`${peerSecretFile}: ${(error as Error).message}`)
  }
}

async function runDaemon (settings: Settings, onSignalsHandled: () => void): Promise<void> {
  const secret = loadPeerSecret(settings)
  if (secret.isLeft()) {
    exitWithError(secret.extract(), EXIT_USAGE)
    return
  }
  const daemon = new Daemon({ settings, peerSecret: secret.extract(), onExit: () => process.exit(0) })
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => daemon.stop())
  onSignalsHandled()
  try {
    await daemon.start()
  } catch (error) {
    exitWithError((error as Error).message, EXIT_FAILED)
  }
}

function exitWithError (message: string, code: number): void {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}
