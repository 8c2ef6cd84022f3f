/** Chooses the worker for one routed request by the expected time to its answer. */
import { inject, injectable } from 'tsyringe'
import { hash32 } from '../base/rendezvous.js'
import { IRandom } from '../kernel/random.js'
import type { CachedPart, PromptPart } from '../turns/promptCache.js'
import { IWorkerStatistics } from './workerStatistics.js'
import type { WorkerRegistration } from './workerRegistry.js'

export interface WorkerChoiceQuery {
  candidates: readonly WorkerRegistration[]
  excluded: ReadonlySet<string>
  zone: string
  /** Expected duration of the request on an idle worker. */
  durationMs: number
  /** The prompt's parts in order; empty for plain services. */
  prompt: readonly PromptPart[]
  /** Parts of the prompt that are known to be cached, besides what this node's statistics tell. */
  cached: readonly CachedPart[]
  /** True for a worker that this node can call without opening a connection. */
  isConnected: (worker: WorkerRegistration) => boolean
  nowMs: number
}

/** How workers are chosen; the alternatives are baselines of the experiments. */
export const WorkerChoicePolicy = {
  ExpectedTime: 'expectedTime',
  RoundRobin: 'roundRobin',
  LeastConnections: 'leastConnections',
  SessionAffinity: 'sessionAffinity'
} as const
export type WorkerChoicePolicy = typeof WorkerChoicePolicy[keyof typeof WorkerChoicePolicy]

export interface WorkerChoiceOptions {
  policy: WorkerChoicePolicy
  /** Prompt tokens that an engine reads in a millisecond; the users' sheets state 471. */
  prefillTokensPerMs: number
  /** Share by which each further request of the batch slows down an engine; the sheets state 0.0154 of 1.18 ms. */
  batchSlowdown: number
  /** Round trip to another availability zone and the worth of the bytes that cross. */
  crossZoneMs: number
  /** Workers on which a shared prompt part is wanted; more of them spread a hot part, fewer save reading it again. */
  prefixCopies: number
  /** Time that a new connection costs, in packets and in slots that it may hold. */
  connectMs: number
  /** Ties between equal workers are broken within this, so that nodes don't all choose the same. */
  jitterMs: number
  /** Mean duration relative to the route's from which on a worker counts as slow. */
  minSlowness: number
  /** Time that a certain failure costs. */
  failureMs: number
}
export const WorkerChoiceOptions = Symbol('WorkerChoiceOptions')

export const DEFAULT_WORKER_CHOICE: WorkerChoiceOptions = {
  policy: WorkerChoicePolicy.ExpectedTime,
  prefillTokensPerMs: 471,
  batchSlowdown: 0.013,
  crossZoneMs: 6,
  connectMs: 12,
  prefixCopies: 3,
  jitterMs: 2,
  minSlowness: 1.8,
  failureMs: 1_500
}

export interface IWorkerChoice {
  /** The best worker; undefined when no candidate is left. */
  chooseWorker (query: WorkerChoiceQuery): WorkerRegistration | undefined
}
export const IWorkerChoice = Symbol('IWorkerChoice')

/**
 * Answers the load of many programs on few engines: sessions stay where their prompt is cached, shared prompts settle on
 * a few engines each, and both give way to a shorter queue.
 *
 * @example
 * choice.chooseWorker({ candidates, excluded: new Set(), zone: 'regina', durationMs: 300, prompt, nowMs })
 */
@injectable()
export class WorkerChoice implements IWorkerChoice {
  private _turn = 0

  constructor (
    @inject(WorkerChoiceOptions) private readonly _options: WorkerChoiceOptions,
    @inject(IWorkerStatistics) private readonly _statistics: IWorkerStatistics,
    @inject(IRandom) private readonly _random: IRandom
  ) {}

  chooseWorker (query: WorkerChoiceQuery): WorkerRegistration | undefined {
    const candidates = query.candidates.filter(candidate => !query.excluded.has(candidate.workerId))
    if (candidates.length === 0) return undefined
    const previous = candidates.find(candidate => candidate.workerId === query.cached.at(-1)?.worker)
    switch (this._options.policy) {
      case WorkerChoicePolicy.RoundRobin: return candidates[this._turn++ % candidates.length]
      case WorkerChoicePolicy.LeastConnections: return this._lowest(candidates, candidate => this._statistics.inFlightOf(candidate.workerId))
      case WorkerChoicePolicy.SessionAffinity: return previous ?? this._lowest(candidates, candidate => this._statistics.inFlightOf(candidate.workerId))
      default: {
        const homes = this._homesOf(query.prompt[0]?.id, query.candidates)
        return this._lowest(candidates, candidate => this._expectedMs(candidate, query, homes))
      }
    }
  }

  /** Expected time until the worker has answered, in milliseconds. */
  private _expectedMs (worker: WorkerRegistration, query: WorkerChoiceQuery, homes: ReadonlySet<string>): number {
    const { prefillTokensPerMs, batchSlowdown, crossZoneMs, connectMs, failureMs } = this._options
    const inFlight = this._statistics.inFlightOf(worker.workerId)
    const slots = Math.max(1, worker.slots)
    const running = Math.min(inFlight, slots)
    const runningMs = query.durationMs * this._slowness(worker) * (1 + batchSlowdown * running)
    const waitMs = inFlight < slots ? 0 : runningMs * (inFlight - slots + 1) / slots
    // Reading a prompt holds up the tokens of every request of the batch.
    const prefillMs = this._missingTokens(worker, query, homes) / prefillTokensPerMs * (1 + running)
    const zoneMs = worker.zone === query.zone ? 0 : crossZoneMs
    const connectionMs = query.isConnected(worker) ? 0 : connectMs
    const riskMs = failureMs * this._statistics.failureRateOf(worker.workerId, query.nowMs)
    return runningMs + waitMs + prefillMs + zoneMs + connectionMs + riskMs
  }

  /** Answers differ in length by chance, so a worker counts as slow only when it is clearly so. */
  private _slowness (worker: WorkerRegistration): number {
    const slowness = this._statistics.slownessOf(worker.workerId)
    return slowness < this._options.minSlowness ? 1 : slowness
  }

  /** Tokens that the worker has to read: from the first gap in its cache on. */
  private _missingTokens (worker: WorkerRegistration, { prompt, cached }: WorkerChoiceQuery, homes: ReadonlySet<string>): number {
    let missing = 0
    for (const [index, part] of prompt.entries()) {
      const isShared = index === 0 && homes.has(worker.workerId)
      const cachedTokens = missing > 0 ? 0 : isShared ? part.tokens : this._cachedTokens(worker, part, cached)
      missing += Math.max(0, part.tokens - cachedTokens)
    }
    return missing
  }

  private _cachedTokens (worker: WorkerRegistration, part: PromptPart, cached: readonly CachedPart[]): number {
    const told = cached.find(known => known.id === part.id && known.worker === worker.workerId)?.tokens ?? 0
    const seen = this._statistics.cachedTokensOf(worker.workerId, part.id)
    return Math.max(told, seen)
  }

  /** The few workers on which a shared part is read on purpose; every node names the same ones. */
  private _homesOf (partId: string | undefined, candidates: readonly WorkerRegistration[]): ReadonlySet<string> {
    if (partId === undefined) return new Set()
    const weighed = candidates.map(({ workerId }) => ({ workerId, weight: hash32(`${partId} ${workerId}`) }))
    weighed.sort((left, right) => right.weight - left.weight)
    return new Set(weighed.slice(0, this._options.prefixCopies).map(({ workerId }) => workerId))
  }

  private _lowest (candidates: readonly WorkerRegistration[], costOf: (candidate: WorkerRegistration) => number): WorkerRegistration {
    let best = candidates[0]
    let bestCost = Number.POSITIVE_INFINITY
    for (const candidate of candidates) {
      const cost = costOf(candidate) + this._random.next() * this._options.jitterMs
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }
}
