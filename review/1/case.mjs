/** Workers answer without a length, and some of their answers are reset on the way. */
import { pause, runCase } from '../standins/deployment.mjs'

const REQUESTS = 300
const GAP_MS = 20
/** One in 33 answers: the share of 0.03 that the site names. */
const RESET_EVERY = 33
const BODY = 'an answer of 800 bytes '.repeat(35).slice(0, 800)

await runCase(new URL('record.txt', import.meta.url), async (deployment, isTrouble) => {
  await deployment.start({ nodes: 3, workers: 1, slots: 12, retainS: 60 })
  await deployment.addResettingWorkers(4, { body: BODY, resetEvery: isTrouble ? RESET_EVERY : 0 })
  await pause(3_000)
  const short = []
  const answers = await Promise.all(Array.from({ length: REQUESTS }, async (_, index) => {
    await pause(index * GAP_MS)
    const attemptId = `a${index}`
    const answer = await deployment.sendLookup(deployment.nodes[index % deployment.nodes.length], attemptId)
    if (answer.status === 200 && answer.isWhole && answer.body !== BODY) short.push(`${attemptId} ${answer.body.length} B`)
    return answer
  }))
  const whole = answers.filter(({ status, isWhole }) => status === 200 && isWhole).length
  const reset = deployment.plainWorkers.reduce((total, worker) => total + worker.reset.size, 0)
  const summary = `${whole} of ${REQUESTS} answers are complete successes; ${reset} answers were reset by their workers, ${short.length} of these came as complete: ${short.join(', ')}`
  if (whole < REQUESTS / 2 || (isTrouble && reset === 0)) throw new Error(`too few answers: ${summary}`)
  return { hasHeld: short.length === 0, summary }
})
