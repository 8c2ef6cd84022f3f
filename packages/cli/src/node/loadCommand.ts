/** `trefoilshunt load`: open-loop load on nodes over real sockets, bounded in time. */
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

export interface LoadOptions extends OutputOptions {
  programsPerSecond: number
  seconds: number
  seed: number
}

/** Loads a fleet of Harrow & Lisle's size in this process and prints what came of it. */
export async function runLoad (options: LoadOptions): Promise<void> {
  if (options.seconds > MAX_SECONDS) return printError(`a run lasts ${MAX_SECONDS} s at most`, ExitCode.Usage)
  const document = parseDocument(parse(readFileSync(DOCUMENT, 'utf8'))).unsafeCoerce()
  const fleet = new LocalFleet({ zones: ['regina', 'saskatoon', 'brandon'], nodesPerZone: 3, workers: { 'tailor-models': 8, 'shop-ledger': 5 }, document })
  await fleet.start()
  const record = new RunRecord()
  await drive(fleet, record, document, options)
  const status = fleet.daemons.map(daemon => daemon.status())
  await fleet.close()
  const databases = [...fleet.databases.values()]
  const engines = fleet.engines.map(server => server.engine)
  const violations = checkRun({ record, databases, engines, budgets: new Map(document.workKinds.map(kind => [kind.name, kind.budget])) })
  const summary = summarizeRun(record, databases, engines)
  const appends = status.reduce((sum, node) => sum + (node?.journalAppends ?? 0), 0)
  const text = () => `${summary.table}\nlog appends: ${appends}\n${violations.length} promises broken`
  printResult(options, { summary, appends, violations }, text, violations.length === 0 ? ExitCode.Ok : ExitCode.Failed)
}

async function drive (fleet: LocalFleet, record: RunRecord, document: ConfigurationDocument, options: LoadOptions): Promise<void> {
  const targets = Object.fromEntries(document.workKinds.map(kind => [kind.name, { targetMs: kind.targetMs, rank: kind.rank }]))
  const driver = new ProgramDriver({ world: fleet.callerWorld, record, targets, streamEvery: 2 })
  const perStream = options.programsPerSecond / 2
  const arrivals = createArrivals([
    { name: 'fitting', shape: { ...FITTING_SHAPE, meanPauseMs: 300 }, rates: [{ fromMs: 0, perSecond: perStream }] },
    { name: 'follow-up', shape: { ...FOLLOW_UP_SHAPE, meanPauseMs: 300 }, rates: [{ fromMs: 0, perSecond: perStream }] }
  ], options.seconds * 1_000, options.seed)
  await Promise.all(arrivals.map(async arrival => {
    await fleet.callerWorld.host.sleep(arrival.atMs)
    await driver.run(arrival.plan)
  }))
}
