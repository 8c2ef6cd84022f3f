/** Runs one case: starts a small deployment, plays the case, writes its record and exits with 0 (held), 1 (broken) or 2 (could not run). */
import { writeFileSync } from 'node:fs'
import { startFleet } from './fleet.mjs'

const MAX_RUN_MS = 112_000

/**
 * `play` gets the deployment, `hasTrouble` and a function that adds a line to the record; it returns what broke the rule, or undefined.
 */
export async function runCase ({ recordFile, fleet: fleetOptions, play }) {
  const hasTrouble = process.env.TROUBLE !== '0'
  const startedMs = performance.now()
  const lines = [`disruption: ${hasTrouble ? 'yes' : 'no'}`]
  const record = line => lines.push(`${((performance.now() - startedMs) / 1_000).toFixed(3)} ${line}`)
  let fleet
  const finish = async (code, verdict) => {
    lines.push(verdict)
    writeFileSync(recordFile, `${lines.join('\n')}\n`)
    console.log(verdict)
    await fleet?.stop()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { void finish(2, `not run: ${signal}`) })
  setTimeout(() => { void finish(2, 'not run: out of time') }, MAX_RUN_MS)
  try {
    fleet = await startFleet(fleetOptions)
  } catch (error) {
    await finish(2, `not run: ${error.stack}`)
  }
  try {
    const broken = await play({ fleet, hasTrouble, record })
    for (const { name, ends } of fleet.nodes) if (ends.length > 0) record(`ends of the process of ${name}: ${ends.join(', ')}`)
    await finish(broken === undefined ? 0 : 1, broken === undefined ? 'rule held' : `rule broken: ${broken}`)
  } catch (error) {
    await finish(2, `not run: ${error.stack}`)
  }
}
