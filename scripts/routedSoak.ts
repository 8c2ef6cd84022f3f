/**
 * Soak of the routed daemon: real processes under random faults from outside, one fleet for each seed. Prints a line for each seed and ends with
 * code 1 if a check failed; the logs of such a seed are kept.
 *
 * Usage: npm run soak:routed -- [--seeds 50] [--seed 1] [--seconds 30] [--nodes 4] [--callers 8] [--production FOLDER]
 */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runSoak } from '../platform/test/soak/routedSoak.js'

const MS_PER_S = 1_000
const MAX_NODES = 100

const options = await yargs(hideBin(process.argv))
  .options({
    seeds: { type: 'number', default: 1, describe: 'number of seeds, one after the other' },
    seed: { type: 'number', default: 1, describe: 'the first seed' },
    seconds: { type: 'number', default: 30, describe: 'seconds with faults, for each seed' },
    nodes: { type: 'number', default: 4, describe: `processes, ${MAX_NODES} at most` },
    production: { type: 'string', describe: 'folder of an earlier version with its build, which the nodes run until their first planned stop' },
    callers: { type: 'number', default: 8, describe: 'callers at the same time' }
  })
  .check(({ nodes, seeds, seconds, callers }) => {
    if (!(nodes >= 2 && nodes <= MAX_NODES)) throw new Error(`--nodes must be 2 to ${MAX_NODES}`)
    if (!(seeds >= 1 && seconds >= 1 && callers >= 1)) throw new Error('--seeds, --seconds and --callers must be at least 1')
    return true
  })
  .strict()
  .parse()

// The end of this process ends the daemons that it has started.
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.once(signal, () => process.exit(1))

let failedSeeds = 0
for (let seed = options.seed; seed < options.seed + options.seeds; seed++) {
  const { requests, complete, continuations, takenUpTurns, crashes, runsInCalm, injected, violations, folder } = await runSoak({ seed, durationMs: options.seconds * MS_PER_S, nodes: options.nodes, callers: options.callers, productionFolder: options.production })
  process.stdout.write(`seed ${seed}: ${injected.length} faults, ${requests} requests, ${complete} complete, ${continuations} streams and ${takenUpTurns} turns taken up, ${crashes} crashes, ${runsInCalm} runs in calm, ${violations.length} violations\n`)
  if (violations.length === 0) continue
  failedSeeds++
  const command = `npm run soak:routed -- --seed ${seed} --seconds ${options.seconds} --nodes ${options.nodes} --callers ${options.callers}${options.production === undefined ? '' : ` --production ${options.production}`}`
  process.stdout.write(`${[...violations.map(violation => `BROKEN ${violation}`), ...injected, `logs: ${folder}`, `again: ${command}`].join('\n')}\n`)
}
process.stdout.write(`${options.seeds - failedSeeds} seeds passed, ${failedSeeds} failed\n`)
process.exit(failedSeeds === 0 ? 0 : 1)
