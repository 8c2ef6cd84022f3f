/** Chooses the worker of a routed request by the expected time to its answer. */
import { inject, injectable } from 'tsyringe'
import { hash32 } from '../base/rendezvous.js'
import { IRandom } from '../kernel/random.js'
import type { CachedPart, PromptPart } from '../turns/promptCacheIndex.js'
import type { LearnedSpeeds } from './engineSpeed.js'
import { IWorkerStatistics, MIN_SLOWNESS } from './workerStatistics.js'
import type { WorkerRegistration } from './workerRegistry.js'

/** A routed request and the workers that may serve it. */
export interface WorkerChoiceQuery {
  candidates: readonly WorkerRegistration[]
  /** Ids of workers that must not be chosen. */
  excluded: ReadonlySet<string>
  /** Zone of this node. */
  zone: string
  /** Expected duration of the request on an idle worker, in milliseconds. */
  durationMs: number
  /** The prompt's parts in order; empty for plain services. */
  prompt: readonly PromptPart[]
  /** Parts of the prompt that are known to be cached, in addition to this node's statistics. */
  cached: readonly CachedPart[]
  /** True for a worker that this node can call without opening a connection. */
  isConnected: (worker: WorkerRegistration) => boolean
  nowMs: number
  /** Learned speeds, which replace the assumed ones. */
  speeds?: LearnedSpeeds
  /** Time that the request can lose at a slow worker, and the weight of this time, below 1 while the fast workers are needed by others. */
  slack?: { extraMs: number, weight: number }
}

/** Rule by which workers are chosen; all but `ExpectedTime` are baselines of the experiments. */
export const WorkerChoicePolicy = {
  ExpectedTime: 'expectedTime',
  RoundRobin: 'roundRobin',
  LeastConnections: 'leastConnections',
  SessionAffinity: 'sessionAffinity'
} as const
export type WorkerChoicePolicy = typeof WorkerChoicePolicy[keyof typeof WorkerChoicePolicy]

/** Parameters of the cost estimate. */
export interface WorkerChoiceOptions {
  policy: WorkerChoicePolicy
  /** Prompt tokens that an engine processes in a millisecond; the users' data sheets state 471. */
  prefillTokensPerMs: number
  /** Share by which each further request of the batch slows down an engine; the data sheets state 0.0154 of 1.18 ms. */
  batchSlowdown: number
  /** Cost of a worker in another availability zone: the round trip, and the cross-zone traffic expressed as time. */
  crossZoneMs: number
  /** Number of workers that should cache a shared prompt part; more spread the load of a popular part, fewer avoid processing it again. */
  prefixCopies: number
  /** Cost of a new connection: its packets, and the slots that it may hold, expressed as time. */
  connectMs: number
  /** Upper bound of the random time added to each worker's cost, which prevents all nodes from choosing the same of equal workers. */
  jitterMs: number
  /** Ratio of a worker's mean duration to the route's mean from which the worker counts as slow. */
  minSlowness: number
  /** Cost of a failure; multiplied by the failure rate. */
  failureMs: number
}
export const WorkerChoiceOptions = Symbol('WorkerChoiceOptions')

/** Default options. */
export const DEFAULT_WORKER_CHOICE: WorkerChoiceOptions = {
  policy: WorkerChoicePolicy.ExpectedTime,
  prefillTokensPerMs: 471,
  batchSlowdown: 0.013,
  crossZoneMs: 6,
  connectMs: 12,
  prefixCopies: 3,
  jitterMs: 2,
  minSlowness: MIN_SLOWNESS,
  failureMs: 1_500
}

/** Chooses the workers of routed requests. */
export interface IWorkerChoice {
  /** The worker with the lowest cost under the policy; undefined when no candidate remains. */
  chooseWorker (query: WorkerChoiceQuery): WorkerRegistration | undefined
}
export const IWorkerChoice = Symbol('IWorkerChoice')

/**
 * Balances prompt caching against load: a session stays at the worker that caches its prompt and a shared prompt part is
 * kept on a few workers, until the queue there costs more than processing the prompt elsewhere.
 *
 * @example
 * choice.chooseWorker({ candidates, excluded: new Set(), zone: 'regina', durationMs: 300, prompt, cached: [], isConnected: () => true, nowMs })
 */
@injectable()
export class WorkerChoice implements IWorkerChoice {
  private _roundRobinIndex = 0

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
      case WorkerChoicePolicy.RoundRobin: return candidates[this._roundRobinIndex++ % candidates.length]
      case WorkerChoicePolicy.LeastConnections: return this._lowestCost(candidates, candidate => this._statistics.inFlightOf(candidate.workerId))
      case WorkerChoicePolicy.SessionAffinity: return previous ?? this._lowestCost(candidates, candidate => this._statistics.inFlightOf(candidate.workerId))
      default: {
        const prefixWorkers = this._prefixWorkersOf(query.prompt[0]?.id, query.candidates)
        return this._lowestCost(candidates, candidate => this._expectedMs(candidate, query, prefixWorkers))
      }
    }
  }

  /** Tokens of the prompt that the worker probably has not cached. */
  missingTokensOf (worker: WorkerRegistration, request: Pick<WorkerChoiceQuery, 'prompt' | 'cached'>): number {
    return this._missingTokens(worker, request, new Set())
  }

  /** Expected time until the worker has answered, in milliseconds. */
  private _expectedMs (worker: WorkerRegistration, query: WorkerChoiceQuery, prefixWorkers: ReadonlySet<string>): number {
    const { crossZoneMs, connectMs, failureMs } = this._options
    const batchSlowdown = query.speeds?.batchSlowdown ?? this._options.batchSlowdown
    const prefillTokensPerMs = query.speeds?.prefillTokensPerMsOf?.(worker.workerId) ?? this._options.prefillTokensPerMs
    const inFlight = this._statistics.inFlightOf(worker.workerId)
    const slots = Math.max(1, worker.slots)
    const running = Math.min(inFlight, slots)
    const runningMs = query.durationMs * this._slowness(worker, query) * (1 + batchSlowdown * running)
    const waitMs = inFlight < slots ? 0 : runningMs * (inFlight - slots + 1) / slots
    // Processing a prompt delays the tokens of every request in the batch.
    const prefillMs = this._missingTokens(worker, query, prefixWorkers) / prefillTokensPerMs * (1 + running)
    const zoneMs = worker.zone === query.zone ? 0 : crossZoneMs
    const connectionMs = query.isConnected(worker) ? 0 : connectMs
    const riskMs = failureMs * this._statistics.failureRateOf(worker.workerId, query.nowMs)
    return runningMs + waitMs + prefillMs + zoneMs + connectionMs + riskMs
  }

  /** Without learned speeds, returns 1 below `minSlowness`, because durations also vary with the random length of answers. */
  private _slowness (worker: WorkerRegistration, { speeds, slack, durationMs, nowMs }: WorkerChoiceQuery): number {
    const learned = speeds?.slownessOf?.(worker.workerId)
    if (learned !== undefined) {
      const extra = learned - 1
      return extra > 0 && slack !== undefined && extra * durationMs <= slack.extraMs ? 1 + extra * slack.weight : learned
    }
    const slowness = this._statistics.slownessOf(worker.workerId, nowMs)
    return slowness < this._options.minSlowness ? 1 : slowness
  }

  /**
   * Tokens that the worker has to process. A worker that caches a part has processed the parts before it too, with the same
   * request. The first part counts as cached on its prefix workers, so that they are chosen for it.
   */
  private _missingTokens (worker: WorkerRegistration, { prompt, cached }: Pick<WorkerChoiceQuery, 'prompt' | 'cached'>, prefixWorkers: ReadonlySet<string>): number {
    let missingTokens = 0
    for (let index = prompt.length - 1; index >= 0; index--) {
      const part = prompt[index]
      const isShared = index === 0 && prefixWorkers.has(worker.workerId)
      const cachedTokens = isShared ? part.tokens : this._cachedTokens(worker, part, cached)
      missingTokens += Math.max(0, part.tokens - cachedTokens)
      if (cachedTokens > 0) break
    }
    return missingTokens
  }

  private _cachedTokens (worker: WorkerRegistration, part: PromptPart, cached: readonly CachedPart[]): number {
    const reportedTokens = cached.find(cachedPart => cachedPart.id === part.id && cachedPart.worker === worker.workerId)?.tokens ?? 0
    const recordedTokens = this._statistics.cachedTokensOf(worker.workerId, part.id)
    return Math.max(reportedTokens, recordedTokens)
  }

  /** The workers that should cache a shared part, by rendezvous hashing, so that every node selects the same ones. */
  private _prefixWorkersOf (partId: string | undefined, candidates: readonly WorkerRegistration[]): ReadonlySet<string> {
    if (partId === undefined) return new Set()
    const weighted = candidates.map(({ workerId }) => ({ workerId, weight: hash32(`${partId} ${workerId}`) }))
    weighted.sort((left, right) => right.weight - left.weight)
    return new Set(weighted.slice(0, this._options.prefixCopies).map(({ workerId }) => workerId))
  }

  /** Candidate with the lowest cost after the random time is added. */
  private _lowestCost (candidates: readonly WorkerRegistration[], costOf: (candidate: WorkerRegistration) => number): WorkerRegistration {
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
