/** Continues programs after one client has sent a turn whose input is larger than one call of the log may be, and smaller than the manifest's limit. */
import { pause, runCase } from '../standins/deployment.mjs'

const PROGRAMS = 96
const INPUT = Buffer.alloc(2_000, 'a')
/** body_bytes of the manifest is 4,194,304. */
const LARGE_INPUT = Buffer.alloc(2_200_000, 'b')
const STABLE_MS = 3_000
const TRIES = 6
const TRY_GAP_MS = 300
const MIN_FIRST_SHARE = 0.9
const MIN_TRIES = 5

await runCase(new URL('record.txt', import.meta.url), async (deployment, isTrouble) => {
  await deployment.start({ nodes: 3, workers: 4, slots: 12, retainS: 60 })
  await pause(4_000)
  const nodeAt = index => deployment.nodes[index % deployment.nodes.length]
  const programs = Array.from({ length: PROGRAMS }, (_, index) => ({ programId: `p${index}`, index }))
  for (const { programId, index } of programs) await deployment.sendTurn(nodeAt(index), { attemptId: `${programId}-t1`, programId, body: INPUT })
  const large = await deployment.sendTurn(nodeAt(0), { attemptId: 'large-t1', programId: 'large', body: isTrouble ? LARGE_INPUT : INPUT })
  deployment.note(`the large turn ended: status ${large.status}, ${large.isWhole ? 'whole' : 'not whole'}`)
  await pause(STABLE_MS + 500)
  // First turns of new programs, one try each.
  let firstReached = 0
  for (const { programId, index } of programs) {
    const { hasRun } = await deployment.sendTurn(nodeAt(index), { attemptId: `${programId}n-t1`, programId: `${programId}n`, body: INPUT, deadlineMs: 1_500 })
    if (hasRun) firstReached++
  }
  // The second turn of each program, whose first one was answered whole. A turn that fails is sent again.
  const starved = []
  await Promise.all(programs.map(async ({ programId, index }) => {
    await pause(index * 20)
    const answers = []
    for (let attempt = 0; attempt < TRIES; attempt++) {
      const answer = await deployment.sendTurn(nodeAt(index + attempt), { attemptId: `${programId}-t2-${attempt}`, programId, previousTurnId: `${programId}-t1`, body: INPUT, finishMs: 30_000 })
      answers.push(answer.status)
      if (answer.hasRun) return
      await pause(TRY_GAP_MS)
    }
    starved.push({ programId, answers })
  }))
  const firstShare = firstReached / PROGRAMS
  const summary = `${firstReached} of ${PROGRAMS} first turns reached a worker; ${starved.length} second turns reached none in ${TRIES} tries each: ${starved.map(({ programId, answers }) => `${programId} ${answers.join('/')}`).join(', ')}`
  if (firstShare < MIN_FIRST_SHARE) throw new Error(`too few first turns reached a worker: ${summary}`)
  return { hasHeld: starved.length * TRIES < MIN_TRIES, summary }
})
