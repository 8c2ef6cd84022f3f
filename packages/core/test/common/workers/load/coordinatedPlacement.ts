/** Nodes that request a slot of a worker from the coordinator of the service. */
import { DEFAULT_SERVICE_PLACEMENT, type EventTimes, PlacementOrder, PromptCacheIndex, SeededRandom, ServicePlacement, type PlacementEnd, type PlacementService, type SlotPlacement } from '@trefoilshunt/core'
import { drawWayMs, type SimulatedFleet } from './localPlacement.js'
import { type StartAttempt, TOKENS_PER_EVENT } from './programLoad.js'
import { GROWN_ENGINE, type EngineRequest, type SimulatedEngine } from './simulatedEngine.js'

const BUSY_RETRY_AFTER_MS = 120
const EXPECTED_MS = 320
const DEADLINE_MS = 3_000
const DECISION_PERIOD_MS = 20
const EXPIRY_PERIOD_MS = 1_000

export interface CoordinatedPlacementOptions {
  /** The present coordinator; another one may take its place while requests are open. */
  coordinator: () => ServicePlacement
  service: PlacementService
  /** Order of the requests that wait, without `coordinator`. */
  placementOrder: PlacementOrder
  /** Called with each worker that gets a request. */
  onPlaced: (workerId: string) => void
}

export function createCoordinatedPlacement ({ events, random, workers, engines }: SimulatedFleet, options: Partial<CoordinatedPlacementOptions> = {}): StartAttempt {
  const service = options.service ?? { workers, cacheTokens: GROWN_ENGINE.kvTokens, ratesPerS: new Map<string, number>(), tokensPerEvent: TOKENS_PER_EVENT }
  const onlyCoordinator = new ServicePlacement(new SeededRandom(1), { ...DEFAULT_SERVICE_PLACEMENT, placementOrder: options.placementOrder ?? PlacementOrder.Rank })
  const resolveCoordinator = options.coordinator ?? (() => onlyCoordinator)
  const sessions = new PromptCacheIndex()
  const waiting = new Map<string, (placement: SlotPlacement) => void>()
  let lastId = 0
  const reply = (placement: SlotPlacement): void => {
    const onPlacement = waiting.get(placement.placementId)
    waiting.delete(placement.placementId)
    events.after(drawWayMs(random), () => onPlacement?.(placement))
  }
  const decide = (): void => {
    resolveCoordinator().decideQueued(service, events.nowMs()).forEach(reply)
    events.after(DECISION_PERIOD_MS, decide)
  }
  decide()
  const removeExpired = (): void => {
    resolveCoordinator().removeExpired(events.nowMs())
    events.after(EXPIRY_PERIOD_MS, removeExpired)
  }
  removeExpired()
  return attempt => {
    const placementId = String(++lastId)
    const { prompt } = attempt
    let isOpen = true
    const release = (end: PlacementEnd): void => {
      events.after(drawWayMs(random), () => resolveCoordinator().release(placementId, end, service, events.nowMs()).forEach(reply))
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
      onFirstToken: () => {
        firstTokenAtMs = events.nowMs()
        attempt.onFirstToken()
      },
      onEnd: () => close({ durationRatio: 1, eventTimes: toEventTimes(sentAtMs, firstTokenAtMs, events.nowMs(), attempt.outputTokens) }, () => attempt.onEnd()),
      onRefused: () => close({ failureSeverity: 0.5 }, () => attempt.onRefused(BUSY_RETRY_AFTER_MS))
    }
    let engine: SimulatedEngine | undefined
    let sentAtMs = 0
    let firstTokenAtMs = 0
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
      sentAtMs = events.nowMs()
      options.onPlaced?.(placement.workerId)
      sessions.recordPrompt(placement.workerId, prompt)
      events.after(drawWayMs(random), () => { if (isOpen) engine?.submit(request) })
    })
    events.after(drawWayMs(random), () => {
      resolveCoordinator().place({
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

/** Times of the events as a node measures them: an event follows every `TOKENS_PER_EVENT` tokens. */
function toEventTimes (sentAtMs: number, firstTokenAtMs: number, endAtMs: number, outputTokens: number): EventTimes {
  const events = outputTokens / TOKENS_PER_EVENT
  const eventMs = (endAtMs - firstTokenAtMs) / Math.max(1, outputTokens - 1) * TOKENS_PER_EVENT
  const eventsMs = (events - 1) * eventMs
  return [Math.round(endAtMs - eventsMs - sentAtMs), Math.round(eventsMs), events]
}
