/**
 * Processor time of the routed daemon by cause, of this build and of another one in the same run: each span is measured on a fleet of either build at the
 * same time, so that other load of the machine changes both. Prints the figures of both builds and their ratio.
 *
 * Usage: npm run profile:routed -- [--baseline FOLDER] [--nodes 8] [--seconds 8] [--rounds 2] [--starts 4] [--causes FOLDER]
 */
import { mkdirSync, readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { ProfiledFleet, type ProfiledSpan } from '../platform/test/profile/profiledFleet.js'

const MS_PER_S = 1_000
const US_PER_MS = 1_000
const MAX_NODES = 40
const SMALL_FLEET = 3
const CALLS_PER_S = 15
const TURNS_PER_S = 4
const SHORT_TURN_EVENTS = 2
const LONG_TURN_EVENTS = 22
const SETTLE_MS = 3_000
const SHOWN_CAUSES = 40

const options = await yargs(hideBin(process.argv))
  .options({
    baseline: { type: 'string', describe: 'folder of another version with its build, to compare with' },
    nodes: { type: 'number', default: 8, describe: `processes of each build, ${MAX_NODES} at most` },
    seconds: { type: 'number', default: 8, describe: 'length of each span' },
    rounds: { type: 'number', default: 2, describe: 'spans of each kind' },
    starts: { type: 'number', default: 4, describe: 'starts of each build' },
    traffic: { type: 'boolean', default: true, describe: 'measure calls and turns too' },
    causes: { type: 'string', describe: 'folder for profiles of this build; its functions with the most processor time are printed' }
  })
  .check(({ nodes, seconds, rounds }) => {
    if (!(nodes > SMALL_FLEET && nodes <= MAX_NODES)) throw new Error(`--nodes must be ${SMALL_FLEET + 1} to ${MAX_NODES}`)
    if (!(seconds >= 1 && rounds >= 1)) throw new Error('--seconds and --rounds must be at least 1')
    return true
  })
  .strict()
  .parse()

// The end of this process ends the daemons that it has started.
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.once(signal, () => process.exit(1))

/** Figures of one build by their names, one for each round. */
type Figures = Map<string, number[]>

interface Build {
  large: ProfiledFleet
  small: ProfiledFleet
  figures: Figures
}

const durationMs = options.seconds * MS_PER_S
if (options.causes === undefined) await compareBuilds()
else await printCauses(options.causes)
process.exit(0)

async function compareBuilds (): Promise<void> {
  const folders = options.baseline === undefined ? [undefined] : [undefined, options.baseline]
  const builds: Build[] = []
  for (const folder of folders) builds.push({ large: await ProfiledFleet.start({ nodes: options.nodes, folder }), small: await ProfiledFleet.start({ nodes: SMALL_FLEET, folder }), figures: new Map() })
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
  for (let round = 0; round < options.rounds; round++) await Promise.all(builds.map(async build => await measureRound(build)))
  for (let index = 0; index < options.starts; index++) {
    // One after the other, with the order changed each time: a start uses a whole core.
    for (const build of index % 2 === 0 ? builds : [...builds].reverse()) await measureStart(build, index)
  }
  printTable(builds.map(({ figures }) => figures))
  for (const { large, small } of builds) await Promise.all([large.stop(), small.stop()])
}

async function measureRound ({ large, small, figures }: Build): Promise<void> {
  const [idle, idleSmall] = await Promise.all([large.measureIdle(durationMs), small.measureIdle(durationMs)])
  const idleMsPerS = msPerNodeSecond(idle, large)
  add(figures, 'idle, ms a node and second', idleMsPerS)
  add(figures, `idle, ms a node and second, ${SMALL_FLEET} nodes`, msPerNodeSecond(idleSmall, small))
  add(figures, 'idle, calls to the log a node and second', idle.logCalls / large.size / idle.durationMs * MS_PER_S)
  if (!options.traffic) return
  const costOf = ({ processorMs, durationMs: spanMs, served }: ProfiledSpan): number => (processorMs - idleMsPerS * large.size * spanMs / MS_PER_S) / served
  const calls = await large.measureCalls(durationMs, CALLS_PER_S)
  add(figures, 'a call, ms', costOf(calls))
  const shortTurns = await large.measureTurns(durationMs, TURNS_PER_S, SHORT_TURN_EVENTS)
  add(figures, `a turn of ${SHORT_TURN_EVENTS} events, ms`, costOf(shortTurns))
  const longTurns = await large.measureTurns(durationMs, TURNS_PER_S, LONG_TURN_EVENTS)
  add(figures, 'an event of a stream, us', US_PER_MS * (costOf(longTurns) - costOf(shortTurns)) / (LONG_TURN_EVENTS - SHORT_TURN_EVENTS))
  add(figures, 'a turn, calls to the log', shortTurns.logCalls / shortTurns.served - idle.logCalls / idle.durationMs * shortTurns.durationMs / shortTurns.served)
  add(figures, 'requests not answered 200', calls.failed + shortTurns.failed + longTurns.failed)
}

async function measureStart ({ large, figures }: Build, index: number): Promise<void> {
  const { ownMs, othersMs, logCalls } = await large.measureStart(index)
  add(figures, 'a start, ms', ownMs)
  add(figures, 'a start, ms of the other nodes together', othersMs)
  add(figures, 'calls to the log of all nodes around a start', logCalls)
}

function add (figures: Figures, name: string, value: number): void {
  figures.set(name, [...figures.get(name) ?? [], value])
}

function msPerNodeSecond ({ processorMs, durationMs: spanMs }: ProfiledSpan, { size }: ProfiledFleet): number {
  return processorMs / size / spanMs * MS_PER_S
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  const middle = Math.floor(sorted.length / 2)
  return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2
}

/** Prints the median of each figure, with the least and the largest ratio of the rounds in brackets. */
function printTable ([own, baseline]: Figures[]): void {
  process.stdout.write(`${options.nodes} nodes, ${options.rounds} rounds of ${options.seconds} s, ${options.starts} starts${baseline === undefined ? '' : `; baseline ${options.baseline}`}\n`)
  for (const [name, values] of own) {
    const earlier = baseline?.get(name)
    if (earlier === undefined) {
      process.stdout.write(`${name.padEnd(46)} ${median(values).toFixed(3)}\n`)
      continue
    }
    const ratios = values.map((value, round) => value / earlier[round]).sort((left, right) => left - right)
    process.stdout.write(`${name.padEnd(46)} baseline ${median(earlier).toFixed(3).padStart(9)}  this ${median(values).toFixed(3).padStart(9)}  ratio ${(median(values) / median(earlier)).toFixed(3)} (${ratios[0].toFixed(3)} to ${ratios[ratios.length - 1].toFixed(3)})\n`)
  }
}

/** Runs one fleet of this build under the profiler of V8 and prints the functions that use the most processor time themselves. */
async function printCauses (folder: string): Promise<void> {
  mkdirSync(folder, { recursive: true })
  const fleet = await ProfiledFleet.start({ nodes: options.nodes, folder: options.baseline, nodeFlags: ['--cpu-prof', `--cpu-prof-dir=${folder}`] })
  await fleet.measureIdle(durationMs)
  if (options.traffic) {
    await fleet.measureCalls(durationMs, CALLS_PER_S)
    await fleet.measureTurns(durationMs, TURNS_PER_S, LONG_TURN_EVENTS)
  }
  await fleet.stop({ isPlanned: true })
  const selfMs = new Map<string, number>()
  for (const file of readdirSync(folder).filter(name => name.endsWith('.cpuprofile'))) addSelfTimes(selfMs, readFileSync(join(folder, file), 'utf8'))
  const sorted = [...selfMs].filter(([name]) => !/^\((idle|program|root)\)/.test(name)).sort(([, left], [, right]) => right - left)
  const totalMs = sorted.reduce((total, [, ms]) => total + ms, 0)
  process.stdout.write(`${options.nodes} nodes: ${Math.round(totalMs)} ms in all profiles\n`)
  for (const [name, ms] of sorted.slice(0, SHOWN_CAUSES)) process.stdout.write(`${(100 * ms / totalMs).toFixed(1).padStart(5)}%  ${name}\n`)
}

interface Profile {
  nodes: Array<{ id: number, callFrame: { functionName: string, url: string, lineNumber: number } }>
  samples: number[]
  timeDeltas: number[]
}

function addSelfTimes (selfMs: Map<string, number>, json: string): void {
  const { nodes, samples, timeDeltas } = JSON.parse(json) as Profile
  const names = new Map(nodes.map(({ id, callFrame: { functionName, url, lineNumber } }) => [id, `${functionName || '(anonymous)'} ${url.split('/').at(-1) ?? ''}:${lineNumber + 1}`]))
  for (const [index, id] of samples.entries()) {
    const name = names.get(id) ?? ''
    selfMs.set(name, (selfMs.get(name) ?? 0) + timeDeltas[index] / US_PER_MS)
  }
}
