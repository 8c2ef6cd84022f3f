/** Entry point of the `trefoilshunt` command line. */
import { fileURLToPath } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { ExitCode } from '../common/exitCodes.js'
import { runDemo } from './demoCommand.js'
import { printError } from './output.js'

const SAMPLES = fileURLToPath(new URL('../../../../samples', import.meta.url))

/** Runs one command. */
export async function main (argv: string[]): Promise<void> {
  await yargs(hideBin(argv))
    .scriptName('trefoilshunt')
    .option('json', { type: 'boolean', default: false, describe: 'print the result as JSON' })
    .command('demo', 'run sample programs through nodes and stand-ins on loopback', command => command
      .option('samples', { type: 'string', default: SAMPLES, describe: 'folder with documents and programs' })
      .option('firm', { choices: ['harrow', 'plecionka'] as const, default: 'harrow' as const, describe: 'whose size and document to use' })
      .option('programs', { type: 'number', default: 60, describe: 'programs to run' }), async args => await runDemo(args))
    .demandCommand(1, 'name a command')
    .strict()
    .fail((message, error) => {
      printError(message ?? String(error?.stack ?? error), ExitCode.Usage)
      process.exit(ExitCode.Usage)
    })
    .parse()
}
