/** `trefoilshunt load`: open-loop load on a local fleet of nodes over real sockets, for a limited time. */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { parse } from 'jsonc-parser'
import { parseDocument, type ConfigurationDocument } from '@trefoilshunt/core'
import { createArrivals, FITTING_SHAPE, FOLLOW_UP_SHAPE, ProgramDriver, RunRecord, checkRun } from '@trefoilshunt/testing'
import { ExitCode } from '../common/exitCodes.js'
import { summarizeRun } from '../common/runSummary.js'
import { LocalFleet } from './localFleet.js'
import { type OutputOptions, printError, printResult } from './output.js'

const MAX_SECONDS = 120
const DOCUMENT = fileURLToPath(new URL('../../../../samples/harrow.jsonc', import.meta.url))

/** Options of `trefoilshunt load`. */
export interface LoadOptions extends OutputOptions {
  /** Arrival rate, independent of how fast programs finish. */
  programsPerSecond: number
  /** Time during which programs arrive. */
  seconds: number
  seed: number
}

/** Starts a fleet of Harrow & Lisle's size in this process, runs the programs, prints the figures and fails when an invariant was broken. */
export async function runLoad (options: LoadOptions): Promise<void> {
  if (options.seconds > MAX_SECONDS) return printError(`a run lasts ${MAX_SECONDS} s at most`, ExitCode.Usage)
  const document = parseDocument(parse(readFileSync(DOCUMENT, 'utf8'))).unsafeCoerce()
  const fleet = new LocalFleet({ zones: ['regina', 'saskatoon', 'brandon'], nodesPerZone: 3, workers: { 'tailor-models': 8, 'shop-ledger': 5 }, document })
  await fleet.start()
  const record = new RunRecord()
  await runArrivals(fleet, record, document, options)
  const statuses = fleet.daemons.map(daemon => daemon.status())
  await fleet.close()
  const databases = [...fleet.databases.values()]
  const engines = fleet.engines.map(server => server.engine)
  const violations = checkRun({ record, databases, engines, budgets: new Map(document.workKinds.map(kind => [kind.name, kind.budget])) })
  const summary = summarizeRun(record, databases, engines)
  const appends = statuses.reduce((sum, node) => sum + (node?.journalAppends ?? 0), 0)
  const text = () => `${summary.table}\nlog appends: ${appends}\n${violations.length} invariants broken`
  printResult(options, { summary, appends, violations }, text, violations.length === 0 ? ExitCode.Ok : ExitCode.Failed)
}

async function runArrivals (fleet: LocalFleet, record: RunRecord, document: ConfigurationDocument, options: LoadOptions): Promise<void> {
  const targets = Object.fromEntries(document.workKinds.map(kind => [kind.name, { targetMs: kind.targetMs, rank: kind.rank }]))
  const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets, streamEvery: 2 })
  const programsPerSecondOfStream = options.programsPerSecond / 2
  const arrivals = createArrivals([
    { name: 'fitting', shape: { ...FITTING_SHAPE, meanPauseMs: 300 }, rates: [{ fromMs: 0, perSecond: programsPerSecondOfStream }] },
    { name: 'follow-up', shape: { ...FOLLOW_UP_SHAPE, meanPauseMs: 300 }, rates: [{ fromMs: 0, perSecond: programsPerSecondOfStream }] }
  ], options.seconds * 1_000, options.seed)
  await Promise.all(arrivals.map(async arrival => {
    await fleet.callerAccess.host.sleep(arrival.atMs)
    await driver.run(arrival.plan)
  }))
}
