/** Nodes that choose workers by themselves, from their own requests and the periodic load reports of their peers. */
import { DEFAULT_WORKER_CHOICE, type IRandom, PromptCacheIndex, SeededRandom, WorkerChoice, type WorkerRegistration, WorkerStatistics } from '@trefoilshunt/core'
import type { StartAttempt } from './programLoad.js'
import type { EngineRequest, SimulatedEngine } from './simulatedEngine.js'
import type { EventQueue } from '@trefoilshunt/testing'

/** Retry-after of a refusal by a full worker. */
const BUSY_RETRY_AFTER_MS = 120
const EXPECTED_MS = 320
const REPORT_MS_PER_NODE = 16

export interface SimulatedFleet {
  events: EventQueue
  random: IRandom
  workers: readonly WorkerRegistration[]
  engines: ReadonlyMap<string, SimulatedEngine>
  nodeCount: number
}

/** Time of a message between two nodes, or a node and a worker. */
export function drawWayMs (random: IRandom): number {
  return random.next() < 1 / 3 ? 0.4 : 1.6
}

export function createLocalPlacement ({ events, random, workers, engines, nodeCount }: SimulatedFleet): StartAttempt {
  const nodes = Array.from({ length: nodeCount }, (_, index) => {
    const statistics = new WorkerStatistics()
    return { statistics, choice: new WorkerChoice(DEFAULT_WORKER_CHOICE, statistics, new SeededRandom(index)) }
  })
  const sessions = new PromptCacheIndex()
  for (const [index, { statistics }] of nodes.entries()) {
    const report = (): void => {
      const load = statistics.ownLoad()
      for (const peer of nodes) {
        if (peer.statistics !== statistics) peer.statistics.setPeerLoad(String(index), load)
      }
      events.after(REPORT_MS_PER_NODE * nodeCount, report)
    }
    events.after(REPORT_MS_PER_NODE * nodeCount * random.next(), report)
  }
  return attempt => {
    const { statistics, choice } = nodes[random.nextInt(nodeCount)]
    const { prompt } = attempt
    const worker = choice.chooseWorker({ candidates: workers, excluded: new Set(), zone: 'a', durationMs: EXPECTED_MS, prompt, cached: sessions.find(prompt), isConnected: () => true, nowMs: events.nowMs() }) as WorkerRegistration
    const engine = engines.get(worker.workerId) as SimulatedEngine
    statistics.beginRequest(worker.workerId)
    statistics.recordPrompt(worker.workerId, prompt)
    let isOpen = true
    const end = (then: () => void): void => {
      if (!isOpen) return
      isOpen = false
      statistics.endRequest(worker.workerId)
      then()
    }
    const request: EngineRequest = {
      prompt,
      outputTokens: attempt.outputTokens,
      urgency: attempt.priority * 2 + (attempt.isFirstTurn ? 1 : 0),
      onFirstToken: attempt.onFirstToken,
      onEnd: () => end(() => {
        sessions.recordPrompt(worker.workerId, prompt)
        attempt.onEnd()
      }),
      onRefused: () => end(() => {
        statistics.recordFailure(worker.workerId, events.nowMs(), 0.5)
        attempt.onRefused(BUSY_RETRY_AFTER_MS)
      })
    }
    events.after(drawWayMs(random), () => { if (isOpen) engine.submit(request) })
    return () => end(() => engine.cancel(request))
  }
}
