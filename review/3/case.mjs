/** Programs that pause for nearly `retain_s` go on with a turn of a few seconds, and then with one more. */
import { pause, runCase } from '../standins/deployment.mjs'

const PROGRAMS = 24
const START_GAP_MS = 250
const RETAIN_S = 60
const LATE_PAUSE_MS = 59_600
const SHORT_PAUSE_MS = 50_000
const INPUT = Buffer.alloc(2_000, 'a')
const LONG_TURN = { events: 13, gapMs: 180 }

await runCase(new URL('record.txt', import.meta.url), async (deployment, isTrouble) => {
  await deployment.start({ nodes: 3, workers: 4, slots: 12, retainS: RETAIN_S })
  await pause(3_000)
  const nodeAt = index => deployment.nodes[index % deployment.nodes.length]
  const lost = []
  let counted = 0
  await Promise.all(Array.from({ length: PROGRAMS }, async (_, index) => {
    await pause(index * START_GAP_MS)
    const programId = `p${index}`
    const send = async (number, previousTurnId, options = {}) => await deployment.sendTurn(nodeAt(index + number), { attemptId: `${programId}-t${number}`, programId, previousTurnId, body: INPUT, finishMs: 90_000, ...options })
    const first = await send(1)
    if (first.status !== 200 || !first.isWhole) return
    await pause(isTrouble ? LATE_PAUSE_MS : SHORT_PAUSE_MS)
    const second = await send(2, `${programId}-t1`, LONG_TURN)
    if (second.sentAtMs - first.endedAtMs >= RETAIN_S * 1_000 || second.status !== 200 || !second.isWhole) return
    const third = await send(3, `${programId}-t2`)
    counted++
    if (third.status === 404 || third.status === 410) lost.push(`${programId}: ${third.status} ${Math.round(third.endedAtMs - second.endedAtMs)} ms after the previous turn was answered whole`)
  }))
  const summary = `${counted} programs sent a third turn; ${lost.length} were told that its previous turn does not exist: ${lost.join('; ')}`
  if (counted < PROGRAMS / 2) throw new Error(`too few programs came so far: ${summary}`)
  return { hasHeld: lost.length === 0, summary }
})
