/** Random sequences of requests, ends and checks at the coordinator of a small service. */
import { type IRandom, type PlacementRequest, type PlacementService, SeededRandom, ServicePlacement, type SlotPlacement } from '@trefoilshunt/core'

const STEPS = 400

function drawRequest (random: IRandom, placementId: string): PlacementRequest {
  const hasFinish = random.next() < 0.7
  return {
    placementId,
    programId: random.next() < 0.1 ? undefined : `p${random.nextInt(60)}`,
    hasBegun: random.next() < 0.4,
    priority: random.nextInt(3),
    objectiveMs: 200 + 200 * random.nextInt(2),
    durationMs: 50 + random.nextInt(400),
    timeLeftMs: 300 + random.nextInt(2_700),
    finishMs: hasFinish ? random.nextInt(3_000) - 200 : undefined,
    zone: 'a',
    prompt: random.next() < 0.5 ? [] : [{ id: `shared${random.nextInt(3)}`, tokens: 4_000 }],
    cached: [],
    excluded: random.next() < 0.1 ? ['w0'] : [],
    softwareVersion: random.next() < 0.05 ? 'v2' : undefined
  }
}

/** All decisions of a sequence, with steps shorter than `stepMs`. */
export function playPlacementSequence (seed: number, stepMs = 40): SlotPlacement[] {
  const random = new SeededRandom(seed)
  const placement = new ServicePlacement(new SeededRandom(seed + 1_000))
  const workers = Array.from({ length: 1 + random.nextInt(4) }, (_, index) => ({
    workerId: `w${index}`, service: 's', address: '127.0.0.1:1', zone: 'a', softwareVersion: 'v1', slots: 2, isDraining: false, startedAtMs: 1, coldLeftMs: 0
  }))
  const rated = random.next() < 0.3 ? workers : []
  const service: PlacementService = { workers, cacheTokens: 20_000, ratesPerS: new Map(rated.map(({ workerId }) => [workerId, 10])) }
  const open: string[] = []
  const decisions: SlotPlacement[] = []
  let nowMs = 0
  for (let step = 0; step < STEPS; step++) {
    nowMs += random.nextInt(stepMs)
    const action = random.next()
    if (action < 0.6) {
      open.push(String(step))
      decisions.push(...placement.place(drawRequest(random, String(step)), service, nowMs))
    } else if (action < 0.9 && open.length > 0) {
      const [placementId] = open.splice(random.nextInt(open.length), 1)
      decisions.push(...placement.release(placementId, { durationRatio: 0.5 + random.next() }, service, nowMs))
    } else {
      placement.removeExpired(nowMs)
      decisions.push(...placement.decideQueued(service, nowMs))
    }
  }
  return decisions
}
