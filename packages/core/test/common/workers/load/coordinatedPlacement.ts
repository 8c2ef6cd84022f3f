/** Nodes that request a slot of a worker from the coordinator of the service. */
import { DEFAULT_SERVICE_PLACEMENT, PlacementOrder, PromptCacheIndex, SeededRandom, ServicePlacement, type PlacementEnd, type SlotPlacement } from '@trefoilshunt/core'
import { drawWayMs, type SimulatedFleet } from './localPlacement.js'
import type { StartAttempt } from './programLoad.js'
import { GROWN_ENGINE, type EngineRequest, type SimulatedEngine } from './simulatedEngine.js'

const BUSY_RETRY_AFTER_MS = 120
const EXPECTED_MS = 320
const DEADLINE_MS = 3_000
const DECISION_PERIOD_MS = 20
const EXPIRY_PERIOD_MS = 1_000

export function createCoordinatedPlacement ({ events, random, workers, engines }: SimulatedFleet, placementOrder: PlacementOrder = PlacementOrder.Rank): StartAttempt {
  const service = { workers, cacheTokens: GROWN_ENGINE.kvTokens, ratesPerS: new Map<string, number>() }
  const coordinator = new ServicePlacement(new SeededRandom(1), { ...DEFAULT_SERVICE_PLACEMENT, placementOrder })
  const sessions = new PromptCacheIndex()
  const waiting = new Map<string, (placement: SlotPlacement) => void>()
  let lastId = 0
  const reply = (placement: SlotPlacement): void => {
    const onPlacement = waiting.get(placement.placementId)
    waiting.delete(placement.placementId)
    events.after(drawWayMs(random), () => onPlacement?.(placement))
  }
  const decide = (): void => {
    coordinator.decideQueued(service, events.nowMs()).forEach(reply)
    events.after(DECISION_PERIOD_MS, decide)
  }
  decide()
  const removeExpired = (): void => {
    coordinator.removeExpired(events.nowMs())
    events.after(EXPIRY_PERIOD_MS, removeExpired)
  }
  removeExpired()
  return attempt => {
    const placementId = String(++lastId)
    const { prompt } = attempt
    let isOpen = true
    const release = (end: PlacementEnd): void => {
      events.after(drawWayMs(random), () => coordinator.release(placementId, end, service, events.nowMs()).forEach(reply))
    }
    const close = (end: PlacementEnd, then: () => void): void => {
      if (!isOpen) return
      isOpen = false
      release(end)
      then()
    }
    const request: EngineRequest = {
      prompt,
      outputTokens: attempt.outputTokens,
      urgency: attempt.priority * 2 + (attempt.isFirstTurn ? 1 : 0),
      onFirstToken: attempt.onFirstToken,
      onEnd: () => close({ durationRatio: 1 }, () => attempt.onEnd()),
      onRefused: () => close({ failureSeverity: 0.5 }, () => attempt.onRefused(BUSY_RETRY_AFTER_MS))
    }
    let engine: SimulatedEngine | undefined
    waiting.set(placementId, placement => {
      if (placement.type === 'refused') {
        close({}, () => attempt.onRefused(placement.retryAfterMs))
        return
      }
      if (!isOpen) {
        release({})
        return
      }
      engine = engines.get(placement.workerId)
      sessions.recordPrompt(placement.workerId, prompt)
      events.after(drawWayMs(random), () => { if (isOpen) engine?.submit(request) })
    })
    events.after(drawWayMs(random), () => {
      coordinator.place({
        placementId,
        programId: attempt.programId,
        account: attempt.account,
        hasBegun: !attempt.isFirstTurn,
        priority: attempt.priority,
        objectiveMs: attempt.objectiveMs,
        durationMs: EXPECTED_MS,
        timeLeftMs: DEADLINE_MS,
        finishMs: attempt.finishMs,
        zone: attempt.zone,
        prompt,
        cached: sessions.find(prompt),
        excluded: []
      }, service, events.nowMs()).forEach(reply)
    })
    return () => close({}, () => engine?.cancel(request))
  }
}
