/** Entry point of `trefoilshuntd`. */
import { readFileSync } from 'node:fs'
import { type Either, Left, Right } from 'purify-ts'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatDiagnostic, parseJsonc } from '@trefoilshunt/protocol'
import { type Settings, settingsSchema } from '../common/settings.js'
import { Daemon } from './daemon.js'

const EXIT_USAGE = 2
const EXIT_FAILED = 1
const MIN_SECRET_CHARACTERS = 16

/** Runs the daemon until it is told to stop; `onHandled` is called once it takes signals itself. */
export async function main (argv: string[], onHandled: () => void = () => {}): Promise<void> {
  const options = await yargs(hideBin(argv))
    .scriptName('trefoilshuntd')
    .usage('Usage: $0 --settings FILE\n\nRuns one node of trefoilshunt.')
    .option('settings', { type: 'string', demandOption: true, describe: 'settings file, JSON with comments' })
    .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
    .strict()
    .fail((message, error) => fail(message ?? error.message, EXIT_USAGE))
    .parse()
  const settings = loadSettings(options.settings)
  if (settings.isLeft()) {
    fail((settings.extract() as string[]).join('\n'), EXIT_USAGE)
    return
  }
  if (options.check) {
    process.stdout.write('the settings are valid\n')
    return
  }
  await run(settings.extract() as Settings, onHandled)
}

/** Reads and checks a settings file; the problems name file, line and column. */
export function loadSettings (file: string): Either<string[], Settings> {
  try {
    return parseJsonc(file, readFileSync(file, 'utf8'), settingsSchema).mapLeft(problems => problems.map(formatDiagnostic))
  } catch (error) {
    return Left([`${file}: ${(error as Error).message}`])
  }
}

/** The secret that peers share, from the settings or from the file that they name. */
export function loadPeerSecret (settings: Settings): Either<string, string> {
  const { peerSecret, peerSecretFile } = settings.credentials
  if (peerSecret !== undefined) return Right(peerSecret)
  if (peerSecretFile === undefined) return Left('credentials: one of "peerSecret" and "peerSecretFile" is needed')
  try {
    const secret = readFileSync(peerSecretFile, 'utf8').trim()
    return secret.length >= MIN_SECRET_CHARACTERS ? Right(secret) : Left(`${peerSecretFile}: the secret needs at least ${MIN_SECRET_CHARACTERS} characters`)
  } catch (error) {
    return Left(`${peerSecretFile}: ${(error as Error).message}`)
  }
}

async function run (settings: Settings, onHandled: () => void): Promise<void> {
  const secret = loadPeerSecret(settings)
  if (secret.isLeft()) {
    fail(secret.extract(), EXIT_USAGE)
    return
  }
  const daemon = new Daemon({ settings, peerSecret: secret.extract(), onExit: () => process.exit(0) })
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => daemon.stop())
  onHandled()
  try {
    await daemon.start()
  } catch (error) {
    fail((error as Error).message, EXIT_FAILED)
  }
}

function fail (message: string, code: number): void {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}
