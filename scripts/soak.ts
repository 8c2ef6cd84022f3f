/**
 * Time-limited soak test: real daemons as separate processes under load, with kills, freezes, planned stops, broken
 * connections and log outages. The history checkers verify what callers and stand-ins recorded. Exits with code 1 on a violation.
 *
 * Usage: npm run soak -- [seconds] [seed]
 */
import { SeededRandom } from '@trefoilshunt/core'
import { checkRun, createPlan, FITTING_SHAPE, FOLLOW_UP_SHAPE, HARROW_DOCUMENT, ProgramDriver, RunRecord, type Violation } from '@trefoilshunt/testing'
import { isHealthy, SoakFleet, type SoakNode } from './soakFleet.js'

const ZONES = ['regina', 'saskatoon', 'brandon']
const NODES_PER_ZONE = 2
const DEFAULT_SECONDS = 150
const MAX_SECONDS = 900
const MEAN_FAULT_GAP_MS = 350
const MEAN_ARRIVAL_MS = 1_000
const STEP_TIMEOUT_MS = 60_000
const FREEZE_MS = 3_500
const LOG_OUTAGE_MS = 4_000
const MAX_DOWN_NODES = 3
const TARGETS = { fitting: { targetMs: 60_000, rank: 'urgent' }, 'follow-up': { targetMs: 180_000, rank: 'other' } }

type FaultName = 'kill' | 'freeze' | 'stop' | 'dropEngineConnections' | 'crashEngine' | 'loseToolAnswer' | 'logOutage' | 'loseAppendAnswer'
const PROCESS_FAULTS: ReadonlySet<FaultName> = new Set(['kill', 'freeze', 'stop'])
/** Faults are drawn uniformly from this list; repeated entries make a fault more frequent. */
const WEIGHTED_FAULTS: FaultName[] = [
  'kill', 'kill', 'kill', 'kill', 'kill', 'freeze', 'freeze', 'freeze', 'freeze', 'stop', 'stop', 'stop', 'stop', 'stop',
  'dropEngineConnections', 'crashEngine', 'loseToolAnswer', 'logOutage', 'loseAppendAnswer', 'loseAppendAnswer'
]

async function main (): Promise<void> {
  const seconds = Math.min(MAX_SECONDS, Number(process.argv[2] ?? DEFAULT_SECONDS))
  const random = new SeededRandom(Number(process.argv[3] ?? 1))
  const fleet = new SoakFleet({ ...HARROW_DOCUMENT, idleTimeoutMs: 120_000 }, ZONES, NODES_PER_ZONE)
  await fleet.start()
  const faultCounts = new Map<FaultName, number>()
  const violations: Violation[] = []
  const record = new RunRecord()
  const endMs = Date.now() + seconds * 1_000
  const injector = injectFaults(fleet, random, faultCounts, violations, endMs)
  await runPrograms(fleet, record, random, endMs)
  await injector
  const budgets = new Map(HARROW_DOCUMENT.workKinds.map(kind => [kind.name, kind.budget]))
  violations.push(...checkRun({ record, databases: fleet.databases, engines: fleet.engines.map(server => server.engine), budgets }))
  await fleet.close()
  printReport(record, faultCounts, violations)
}

async function runPrograms (fleet: SoakFleet, record: RunRecord, random: SeededRandom, endMs: number): Promise<void> {
  const driver = new ProgramDriver({ access: fleet.callerAccess, record, targets: TARGETS, streamEvery: 2, stepTimeoutMs: STEP_TIMEOUT_MS, retriesOverload: true, openTimeoutMs: STEP_TIMEOUT_MS })
  const runs: Array<Promise<unknown>> = []
  while (Date.now() < endMs) {
    const shape = random.next() < 0.5 ? FITTING_SHAPE : FOLLOW_UP_SHAPE
    runs.push(driver.run(createPlan({ ...shape, maxTurns: 8, meanPauseMs: 400, toolShare: 0.8 }, random)))
    await fleet.callerAccess.host.sleep(random.nextExponential(MEAN_ARRIVAL_MS))
  }
  await Promise.all(runs)
}

async function injectFaults (fleet: SoakFleet, random: SeededRandom, faultCounts: Map<FaultName, number>, violations: Violation[], endMs: number): Promise<void> {
  const pendingFaults: Array<Promise<void>> = []
  while (Date.now() < endMs) {
    await fleet.callerAccess.host.sleep(random.nextExponential(MEAN_FAULT_GAP_MS))
    const name = WEIGHTED_FAULTS[random.nextInt(WEIGHTED_FAULTS.length)]
    const node = random.sample(fleet.nodes.filter(candidate => candidate.exitStatus === undefined && !candidate.isStopped), 1).at(0)
    const unavailableNodes = fleet.nodes.filter(candidate => candidate.exitStatus !== undefined || candidate.isStopped).length
    if (PROCESS_FAULTS.has(name) && (node === undefined || unavailableNodes >= MAX_DOWN_NODES)) continue
    faultCounts.set(name, (faultCounts.get(name) ?? 0) + 1)
    pendingFaults.push(injectFault(name, fleet, node, random, violations))
  }
  await Promise.all(pendingFaults)
}

/** Injects one fault; resolves when the fault is over. */
async function injectFault (name: FaultName, fleet: SoakFleet, node: SoakNode | undefined, random: SeededRandom, violations: Violation[]): Promise<void> {
  const sleep = async (ms: number) => await fleet.callerAccess.host.sleep(ms)
  const engine = fleet.engines[random.nextInt(fleet.engines.length)]
  switch (name) {
    case 'kill':
      if (node === undefined) return
      node.isStopped = true
      node.process.kill('SIGKILL')
      await sleep(500 + random.nextInt(1_500))
      fleet.restart(node)
      return
    case 'freeze':
      if (node === undefined) return
      node.isStopped = true
      node.process.kill('SIGSTOP')
      await sleep(FREEZE_MS)
      node.process.kill('SIGCONT')
      node.isStopped = false
      return
    case 'stop': return await stopPlanned(fleet, node, violations)
    case 'dropEngineConnections': return engine.server.dropConnections()
    case 'crashEngine':
      engine.engine.crash()
      await sleep(1_000)
      engine.engine.restart()
      return
    case 'loseToolAnswer': return fleet.tools[random.nextInt(fleet.tools.length)].service.dropAnswers(1)
    case 'logOutage':
      fleet.platform.log.setDown(true)
      await sleep(LOG_OUTAGE_MS)
      fleet.platform.log.setDown(false)
      return
    case 'loseAppendAnswer': return fleet.platform.log.addFaults(random.next() < 0.5 ? 'loseAnswer' : 'landLate', 1)
  }
}

/** Stops a node with SIGTERM and restarts it. Records a violation unless the process exits with code 0 within 150 s. */
async function stopPlanned (fleet: SoakFleet, node: SoakNode | undefined, violations: Violation[]): Promise<void> {
  if (node === undefined) return
  node.isStopped = true
  // Until the daemon has installed its SIGTERM handler, the signal would kill it, so wait up to 10 s for it to respond.
  for (let waits = 0; !await isHealthy(node) && waits < 100; waits++) await fleet.callerAccess.host.sleep(100)
  node.process.kill('SIGTERM')
  for (let waits = 0; node.exitStatus === undefined && waits < 1_500; waits++) await fleet.callerAccess.host.sleep(100)
  if (node.exitStatus?.code !== 0) violations.push({ rule: 'planned stops end cleanly', detail: `${node.name} ended with ${JSON.stringify(node.exitStatus)}` })
  if (node.exitStatus === undefined) node.process.kill('SIGKILL')
  await fleet.callerAccess.host.sleep(200)
  fleet.restart(node)
}

function printReport (record: RunRecord, faultCounts: Map<FaultName, number>, violations: Violation[]): void {
  const steps = record.steps
  const nonRepeatable = steps.filter(step => !step.isRepeatable)
  const unknown = nonRepeatable.filter(step => step.result?.type === 'unknown' || step.error?.type === 'unknown')
  const unfinished = record.programs.filter(program => !program.isFinished)
  const reasons = unfinished.map(program => JSON.stringify(program.refusal ?? program.steps.at(-1)?.error ?? 'a sub-agent did not finish'))
  const total = [...faultCounts.values()].reduce((sum, count) => sum + count, 0)
  const processFaults = [...faultCounts].filter(([name]) => PROCESS_FAULTS.has(name)).reduce((sum, [, count]) => sum + count, 0)
  const lines = [
    `programs ${record.programs.length}, finished ${record.programs.length - unfinished.length}`,
    `requests ${steps.reduce((sum, step) => sum + step.attempts.length, 0)}, steps ${steps.length}, non-repeatable ${nonRepeatable.length}, of them unknown ${unknown.length}`,
    `faults ${total}, of processes ${processFaults}: ${[...faultCounts].map(([name, count]) => `${name} ${count}`).join(', ')}`,
    ...[...new Set(reasons)].slice(0, 10).map(reason => `not finished: ${reason}`),
    ...violations.map(violation => `BROKEN ${violation.rule}: ${violation.detail}`),
    `violations ${violations.length}`
  ]
  process.stdout.write(`${lines.join('\n')}\n`)
  process.exit(violations.length === 0 ? 0 : 1)
}

await main()
