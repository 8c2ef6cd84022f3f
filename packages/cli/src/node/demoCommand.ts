/** `trefoilshunt demo`: sample programs through nodes and stand-ins on loopback, with the fleet size of a sample firm. */
import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import type { ProgramPlan, ProgramObservation, Violation } from '@trefoilshunt/testing'
import { checkRun, ProgramDriver, RunRecord } from '@trefoilshunt/testing'
import type { ConfigurationDocument } from '@trefoilshunt/core'
import { ExitCode } from '../common/exitCodes.js'
import { programPlanSchema } from '../common/planFile.js'
import { summarizeRun, type RunSummary } from '../common/runSummary.js'
import { readDocument, readJsonc } from './files.js'
import { LocalFleet } from './localFleet.js'
import { type OutputOptions, printError, printResult } from './output.js'

const PROGRESS_INTERVAL_MS = 1_000
const ARRIVAL_INTERVAL_MS = 60
/** Wait after the last program, in which calls that are still in progress end before the run is checked. */
const FINAL_WAIT_MS = 1_500

/** Options of `trefoilshunt demo`. */
export interface DemoOptions extends OutputOptions {
  /** Folder with the firms' documents and, in `programs`, the sample programs. */
  samples: string
  /** Sample firm whose fleet size and document are used. */
  firm: 'harrow' | 'plecionka'
  /** Number of programs to run; the sample programs are used in turn. */
  programs: number
}

interface FirmSize {
  zones: string[]
  nodesPerZone: number
  /** Workers of each back end, by its name. */
  workers: Record<string, number>
}

const FIRM_SIZES: Record<DemoOptions['firm'], FirmSize> = {
  harrow: { zones: ['regina', 'saskatoon', 'brandon'], nodesPerZone: 3, workers: { 'tailor-models': 8, 'shop-ledger': 5 } },
  plecionka: { zones: ['krk-a', 'krk-b', 'nts-a', 'zak-a'], nodesPerZone: 2, workers: { 'braid-models': 8, 'workshop-app': 8 } }
}

/** Runs sample programs through real nodes, prints the figures and fails when an invariant was broken. */
export async function runDemo (options: DemoOptions): Promise<void> {
  const document = readDocument(join(options.samples, `${options.firm}.jsonc`))
  if (document.isLeft()) {
    printError((document.extract() as string[]).join('\n'), ExitCode.Usage)
    return
  }
  const plans = readPlans(options.samples, document.extract() as ConfigurationDocument)
  const fleet = new LocalFleet({ ...FIRM_SIZES[options.firm], document: document.extract() as ConfigurationDocument })
  const printProgress = (text: string) => { if (!options.json) process.stdout.write(`${text}\n`) }
  printProgress(`starting ${FIRM_SIZES[options.firm].zones.length * FIRM_SIZES[options.firm].nodesPerZone} nodes and their stand-ins on loopback`)
  await fleet.start()
  const record = new RunRecord()
  const violations = await runPrograms(fleet, record, plans, document.extract() as ConfigurationDocument, options.programs, printProgress)
  await fleet.close()
  const summary = summarizeRun(record, [...fleet.databases.values()], fleet.engines.map(server => server.engine))
  const exitCode = violations.length === 0 ? ExitCode.Ok : ExitCode.Failed
  printResult(options, { summary, violations }, () => formatDemo(summary, violations), exitCode)
}

/** Reads the sample programs of the document's work kinds, ordered by file name. Files that are not valid plans are skipped. */
function readPlans (samples: string, document: ConfigurationDocument): ProgramPlan[] {
  const folder = join(samples, 'programs')
  const kinds = new Set(document.workKinds.map(kind => kind.name))
  return readdirSync(folder).sort()
    .flatMap(file => readJsonc(join(folder, file), programPlanSchema).map(plan => [plan]).orDefault([]))
    .filter(plan => kinds.has(plan.kind))
}

async function runPrograms (fleet: LocalFleet, record: RunRecord, plans: ProgramPlan[], document: ConfigurationDocument, count: number, printProgress: (text: string) => void): Promise<Violation[]> {
  const targets = Object.fromEntries(document.workKinds.map(kind => [kind.name, { targetMs: kind.targetMs, rank: kind.rank }]))
  const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets, streamEvery: 2 })
  const runningPrograms: Array<Promise<ProgramObservation>> = []
  const progress = setInterval(() => {
    const finished = record.programs.filter(program => program.isFinished).length
    printProgress(`programs arrived ${record.programs.length}, finished ${finished}, steps ${record.steps.length}`)
  }, PROGRESS_INTERVAL_MS)
  for (let index = 0; index < count; index++) {
    runningPrograms.push(driver.run(plans[index % plans.length]))
    await fleet.callerAccess.host.sleep(ARRIVAL_INTERVAL_MS)
  }
  await Promise.all(runningPrograms)
  clearInterval(progress)
  await fleet.callerAccess.host.sleep(FINAL_WAIT_MS)
  const budgets = new Map(document.workKinds.map(kind => [kind.name, kind.budget]))
  return checkRun({ record, databases: [...fleet.databases.values()], engines: fleet.engines.map(server => server.engine), budgets })
}

function formatDemo (summary: RunSummary, violations: Violation[]): string {
  const verdict = violations.length === 0
    ? 'no invariant was broken'
    : violations.map(violation => `BROKEN ${violation.rule}: ${violation.detail}`).join('\n')
  return `\n${summary.table}\n\n${verdict}`
}
