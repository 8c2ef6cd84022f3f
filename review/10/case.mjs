/** A machine's process is killed while it takes its partitions over, and the store carries some of its calls out late. */
import { newId } from '../standins-2/client.mjs'
import { runCase } from '../standins-2/case.mjs'
import { takeTurn } from '../standins-2/fleet.mjs'
import { logHostOf } from '../standins-2/node.mjs'
import { pause } from '../standins-2/worker.mjs'

const MAX_ROUNDS = 8
const LATE_SHARE = 0.35
/** Shorter than the 4.5 s of the site. */
const LATE_FOR_MS = 2_500
/** A process that starts raises its epochs within this time. */
const START_MS = 900
const AFTER_LATE_CALL_MS = 100
const STABLE_MS = 3_000
const PROGRAMS = 96
const TRIES = 5
/** Time of a long program, in which the tries lie. */
const AIM_MS = 15_000
const MIN_FIRST_TURNS = 0.9
const KILLED = 0

await runCase({
  recordFile: 'record.txt',
  fleet: { workMs: 40 },
  play: async ({ fleet, hasTrouble, record }) => {
    const { nodes, log } = fleet
    const victim = nodes[KILLED]
    const first = await Promise.all(Array.from({ length: PROGRAMS }, async (_, index) => {
      await pause(index * 20)
      const program = newId()
      const id = newId()
      const answer = await takeTurn(nodes[index % nodes.length].front, { program, id })
      return { program, id, isWhole: answer.isWhole && answer.status === 200 }
    }))
    const programs = first.filter(({ isWhole }) => isWhole)
    record(`first turns ${first.length}, answered whole ${programs.length}`)
    for (let round = 0; round < MAX_ROUNDS && log.lateEpochs.length === 0; round++) {
      if (hasTrouble) log.late = { host: logHostOf(KILLED), share: LATE_SHARE }
      const lateUntilMs = performance.now() + LATE_FOR_MS
      await killOnce(victim, record)
      // Its next process is killed while it takes over.
      const { lateRaises } = log
      const untilMs = performance.now() + START_MS
      while (performance.now() < untilMs && log.lateRaises === lateRaises) await pause(10)
      await pause(AFTER_LATE_CALL_MS)
      await killOnce(victim, record)
      await pause(Math.max(0, lateUntilMs - performance.now()))
      log.late = { host: undefined, share: 0 }
      record(`the store answers all calls again; calls to be carried out late: ${log.lateCount}`)
      while (log.lateCount > 0) await pause(50)
      if (!hasTrouble) break
    }
    for (const { part, earlier, epoch } of log.lateEpochs) record(`a call with epoch ${epoch} was carried out late in partition ${part}, after epoch ${earlier}`)
    await pause(STABLE_MS)
    const firstTurns = await Promise.all(Array.from({ length: PROGRAMS }, async (_, index) => {
      await pause(index * 20)
      return await isRun(fleet, { node: nodes[index % nodes.length], program: newId(), id: newId() })
    }))
    const servedShare = firstTurns.filter(Boolean).length / PROGRAMS
    const lost = (await Promise.all(programs.map(async (program, index) => {
      await pause(index * 10)
      return await continueProgram(fleet, program, index, record) ? [] : [program]
    }))).flat()
    record(`share of first turns that reach a worker ${servedShare.toFixed(3)}; programs that reach none in ${TRIES} tries ${lost.length} of ${programs.length}`)
    return lost.length > 0 && servedShare >= MIN_FIRST_TURNS ? `${lost.length} turns that continue an answered one reach no worker in ${TRIES} tries` : undefined
  }
})

async function killOnce (node, record) {
  record(`the process of ${node.name} is killed`)
  node.kill('SIGKILL')
  await pause(50)
}

async function isRun ({ workers }, { node, program, id, previous }) {
  await takeTurn(node.front, { program, id, previous, headers: { 'finish-ms': String(AIM_MS) } })
  return workers.some(({ runs }) => runs.some(run => run.id === id))
}

/** True if a turn reaches a worker in one of the tries, before the program's aim. */
async function continueProgram (fleet, { program, id: previous }, index, record) {
  const untilMs = performance.now() + AIM_MS
  let tries = 0
  while (performance.now() < untilMs) {
    const node = fleet.nodes[(index + tries) % fleet.nodes.length]
    const id = newId()
    if (await isRun(fleet, { node, program, id, previous })) return true
    record(`turn ${id} of program ${program}, which continues ${previous}, at ${node.name}: reached no worker`)
    if (++tries >= TRIES) return false
    await pause(250)
  }
  return true
}
