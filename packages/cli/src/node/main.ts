/** The `trefoilshunt` command line: its commands, options and help texts. */
import { fileURLToPath } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import type { IDocumentReader } from '../common/documentReader.js'
import { ExitCode } from '../common/exitCodes.js'
import { runCheck } from './checkCommand.js'
import { runApply, runAudit, runDiff, runPrograms, runPromote, runStatus, runValidate } from './configCommands.js'
import { runDemo } from './demoCommand.js'
import { runExperiments, runScenarios, runSearch } from './experimentCommands.js'
import { runLoad } from './loadCommand.js'
import { runLogCost } from './logCostCommand.js'
import { printError } from './output.js'
import { runSlopes } from './slopesCommand.js'
import { runStandins } from './standinsCommand.js'
import { runTrace } from './traceCommand.js'

const SAMPLES = fileURLToPath(new URL('../../../../samples', import.meta.url))
const DEFAULT_ADDRESS = '127.0.0.1:7300'
const KEY_VARIABLE = 'TREFOILSHUNT_KEY'

const jsonOption = { type: 'boolean', default: false, describe: 'print the result as JSON' } as const
const addressOption = { type: 'string' as const, array: true as const, default: [DEFAULT_ADDRESS], describe: 'addresses of nodes, tried in turn' }
const keyOption = { type: 'string', default: process.env[KEY_VARIABLE] ?? '', describe: `operator's bearer key, or ${KEY_VARIABLE}` } as const
const environmentOption = { choices: ['trial', 'production'] as const, default: 'trial' as const, describe: 'environment' } as const
const baseOption = { type: 'number', describe: 'revision that the change is based on; the current one if absent' } as const
const seedOption = { type: 'number', default: 1, describe: 'seed of the random numbers' } as const

export interface MainOptions {
  /** Reads the route documents of a platform; without it there is no command `check`. */
  documentReader?: IDocumentReader
}

/**
 * Parses the command line and runs its command, which sets the exit code.
 *
 * @param argv all of `process.argv`, with the interpreter and the script. A wrong command line and a command that throws end the process with
 * `ExitCode.Usage`.
 */
export async function main (argv: string[], { documentReader }: MainOptions = {}): Promise<void> {
  const parser = yargs(hideBin(argv))
  if (documentReader !== undefined) {
    parser.command('check <file>', 'check a route document before it is sent, and show what it changes', command => command
      .positional('file', { type: 'string', demandOption: true })
      .option('against', { type: 'string', describe: 'file with the active document' })
      .option('strict', { type: 'boolean', default: false, describe: 'treat warnings as errors' })
      .option('memory-mb', { type: 'number', describe: 'memory of the smallest node' })
      .option('nodes', { type: 'number', describe: 'nodes that share the connections to a worker' })
      .option('json', jsonOption), args => runCheck(args, documentReader))
  }
  await parser
    .scriptName('trefoilshunt')
    .option('json', jsonOption)
    .command('demo', 'run sample programs through nodes and stand-ins on loopback', command => command
      .option('samples', { type: 'string', default: SAMPLES, describe: 'folder with documents and programs' })
      .option('firm', { choices: ['harrow', 'plecionka'] as const, default: 'harrow' as const, describe: 'sample firm whose fleet size and document are used' })
      .option('programs', { type: 'number', default: 60, describe: 'programs to run' }), async args => await runDemo(args))
    .command('config', 'check, change and show configuration documents', command => command
      .command('validate <file>', 'check a document', file => file.positional('file', { type: 'string', demandOption: true }), args => runValidate(args))
      .command('diff <file>', 'show what a document would change', file => file.positional('file', { type: 'string', demandOption: true }).option('environment', environmentOption).option('address', addressOption).option('key', keyOption), async args => await runDiff(args))
      .command('apply <file>', 'make a document the active configuration of an environment', file => file.positional('file', { type: 'string', demandOption: true }).option('environment', environmentOption).option('base', baseOption).option('address', addressOption).option('key', keyOption), async args => await runApply(args))
      .command('promote', 'make a revision of one environment the active one of another', promote => promote.option('from', { type: 'string', default: 'trial' }).option('to', { type: 'string', default: 'production' }).option('revision', { type: 'number', demandOption: true, describe: 'revision to promote' }).option('base', baseOption).option('address', addressOption).option('key', keyOption), async args => await runPromote(args))
      .command('status', 'show the active revision of each environment and node', status => status.option('address', addressOption).option('key', keyOption), async args => await runStatus(args))
      .command('history', 'show the configuration changes in the audit trail', history => history.option('limit', { type: 'number', default: 100 }).option('address', addressOption).option('key', keyOption), async args => await runAudit({ ...args, onlyConfiguration: true }))
      .demandCommand(1, 'name a config command'))
    .command('audit', 'show the audit trail', command => command.option('limit', { type: 'number', default: 100 }).option('address', addressOption).option('key', keyOption), async args => await runAudit({ ...args, onlyConfiguration: false }))
    .command('programs', 'list the programs that each given node owns', command => command.option('address', addressOption).option('key', keyOption), async args => await runPrograms(args))
    .command('load', 'measure a local fleet of nodes over real sockets', command => command
      .option('programs-per-second', { type: 'number', default: 10, describe: 'arrival rate, independent of how fast programs finish' })
      .option('seconds', { type: 'number', default: 15, describe: 'length of the run, at most 120' })
      .option('seed', seedOption), async args => await runLoad(args))
    .command('experiment', 'measurements in virtual time', command => command
      .command('run <name>', 'run the named experiment, or all except the large ones', run => run
        .positional('name', { type: 'string', demandOption: true })
        .option('seed', seedOption)
        .option('seeds', { type: 'number', default: 1, describe: 'number of seeds to run' })
        .option('baseline', { type: 'boolean', default: true, describe: 'run the baselines too' })
        .option('report', { type: 'string', describe: 'folder for HTML and JSON reports' }), async args => await runExperiments(args))
      .command('search', 'search for fault schedules that break an invariant', search => search.option('runs', { type: 'number', default: 100 }).option('seed', seedOption), async args => await runSearch(args))
      .command('log', 'measure the cost of the log and which steps run during an outage of it', log => log.option('seed', seedOption), async args => await runLogCost(args))
      .command('slopes', 'measure how cost grows with nodes, workers and programs', slopes => slopes.option('seed', seedOption).option('write', { type: 'string', describe: 'Markdown page in which to replace the measured figures' }), async args => await runSlopes(args))
      .demandCommand(1, 'name an experiment command'))
    .command('scenario <files..>', 'run scenario files in virtual time', command => command.positional('files', { type: 'string', array: true, demandOption: true }), async args => await runScenarios(args))
    .command('trace <id> [files..]', 'show the log lines of all nodes about one request or program', command => command
      .positional('id', { type: 'string', demandOption: true, describe: 'request id or program id' })
      .positional('files', { type: 'string', array: true, default: [] as string[], describe: 'log files; standard input if there are none' }), async args => await runTrace(args))
    .command('standins', 'serve stand-ins for the platform and the back ends on loopback', command => command
      .option('document', { type: 'string', default: `${SAMPLES}/harrow.jsonc`, describe: 'document whose back ends to serve' })
      .option('port', { type: 'number', default: 7100, describe: 'port of the log service and VM list' })
      .option('workers', { type: 'number', default: 2, describe: 'workers of each back end' })
      .option('zone', { type: 'string', default: 'regina', describe: 'availability zone of the workers' })
      .option('node', { type: 'string' as const, array: true as const, default: [] as string[], describe: 'entry VM for the VM list, NAME:ZONE:CALLERPORT:PEERPORT' }), async args => await runStandins(args))
    .demandCommand(1, 'name a command')
    .strict()
    .fail((message, error) => {
      printError(message ?? String(error?.stack ?? error), ExitCode.Usage)
      process.exit(ExitCode.Usage)
    })
    .parse()
}
