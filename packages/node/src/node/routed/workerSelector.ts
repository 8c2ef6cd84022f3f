/** Selects the worker of each attempt of one request: model engines and workers with rate limits by the coordinator of their service, others by this node. */
import type { CachedPart, LogFields, PlacementEnd, Route, RoutedService, WorkerRegistration } from '@trefoilshunt/core'
import type { StreamOrigin } from '../../common/routed/routedPeerMessages.js'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'
import { steadyNowMs } from '../steadyClock.js'
import type { RoutedCallDependencies } from './routedCallDependencies.js'
import type { SlotOutcome, SlotRequest } from './slotClient.js'

/** Retry-after while there is no coordinator and the workers' rate limits bind; a coordinator that is not replying is asked again after a second. */
const RATE_LIMITED_RETRY_AFTER_MS = 1_000

/** Retry-after while no node reaches the workers; the links are probed several times meanwhile. */
const UNREACHABLE_RETRY_AFTER_MS = 500

/** What is known of the request when an attempt begins. */
export interface AttemptState {
  /** Parts of the prompt that workers are known to cache. */
  cached: readonly CachedPart[]
  /** Ids of workers that must not be selected. */
  excluded: ReadonlySet<string>
  /** True for a turn of a program that has completed one. */
  hasBegun: boolean
  timeLeftMs: number
  /** Service and software version of the workers that may be selected, if the request continues a stream. */
  origin?: StreamOrigin
}

export type WorkerSelection =
  /** `release` must be called at the attempt's end if it is present. */
  | { type: 'selected', worker: WorkerRegistration, service: RoutedService | undefined, release?: (end: PlacementEnd) => void }
  /** All slots are taken, or the workers' rate limits bind, for longer than the request can wait. */
  | { type: 'refused', retryAfterMs: number }
  | { type: 'noWorker' }
  /** No node reaches the workers. */
  | { type: 'unreachable', retryAfterMs: number }

export interface WorkerSelectorOptions {
  dependencies: RoutedCallDependencies
  request: RoutedRequest
  route: Route
  log: (event: string, fields: LogFields) => void
}

/**
 * @example
 * selector.select({ cached: [], excluded: new Set(), hasBegun: false, timeLeftMs: 3_000 }, selection => send(selection))
 * selector.cancel() // nothing is selected any more
 */
export class WorkerSelector {
  private _slotRequest: SlotRequest | undefined
  private _isCancelled = false

  constructor (private readonly _options: WorkerSelectorOptions) {}

  /** Calls `onSelected` once, at once for workers that this node selects by itself, or never after `cancel`. */
  select (state: AttemptState, onSelected: (selection: WorkerSelection) => void): void {
    if (!this._options.dependencies.workers.isAvailable) {
      onSelected({ type: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_AFTER_MS })
      return
    }
    const service = this._drawCoordinatedService(state)
    if (service === undefined) onSelected(this._selectHere(state))
    else void this._selectByCoordinator(service, state, onSelected)
  }

  /** Withdraws a request for a slot. */
  cancel (): void {
    this._isCancelled = true
    this._slotRequest?.cancel()
  }

  /** The service for this attempt if a coordinator assigns its workers. */
  private _drawCoordinatedService (state: AttemptState): RoutedService | undefined {
    const { routes, registry, notices } = this._options.dependencies
    const [name] = this._drawServices(state)
    const service = name === undefined ? undefined : routes.findService(name)
    if (service === undefined || service.engine !== undefined) return service
    return registry.workersOf(service.name, steadyNowMs()).some(worker => notices.rateOf(worker) !== undefined) ? service : undefined
  }

  /** Services in the order in which they are tried; for the rest of a stream only the one that began it, if the route still allows it. */
  private _drawServices ({ origin }: AttemptState): string[] {
    const { dependencies: { routes }, route } = this._options
    const names = routes.drawServices(route)
    return origin === undefined ? names : names.filter(name => name === origin.service)
  }

  private async _selectByCoordinator (service: RoutedService, state: AttemptState, onSelected: (selection: WorkerSelection) => void): Promise<void> {
    const startedMs = steadyNowMs()
    this._slotRequest = this._requestSlot(service, state)
    const outcome = await this._slotRequest.outcome
    if (outcome === undefined) return
    this._record(outcome, steadyNowMs() - startedMs)
    if (this._isCancelled) {
      if (outcome.type === 'placed') outcome.release({})
      return
    }
    switch (outcome.type) {
      case 'placed': return onSelected({ type: 'selected', worker: outcome.worker, service, release: outcome.release })
      case 'refused': return onSelected({ type: 'refused', retryAfterMs: outcome.retryAfterMs })
      case 'unavailable': return onSelected(this._selectHere(state))
    }
  }

  private _requestSlot (service: RoutedService, { cached, excluded, hasBegun, timeLeftMs, origin }: AttemptState): SlotRequest {
    const { dependencies: { slots, durations, zone }, request: { program, prompt, account }, route } = this._options
    return slots.request(service.name, {
      programId: program?.programId,
      ...(account === undefined ? {} : { account }),
      // Calls of plain services belong to programs in progress.
      hasBegun: hasBegun || service.engine === undefined,
      priority: route.priority,
      objectiveMs: route.objectiveMs,
      durationMs: durations.expectedMs(route),
      timeLeftMs,
      finishMs: program?.finishMs,
      zone,
      prompt,
      cached: [...cached],
      excluded: [...excluded],
      softwareVersion: origin?.softwareVersion
    })
  }

  private _record (outcome: SlotOutcome, waitedMs: number): void {
    this._options.dependencies.metrics.observeMs('slot_wait_ms', waitedMs, { outcome: outcome.type })
    if (outcome.type === 'placed') return
    const reason = outcome.type === 'refused' ? outcome.reason : undefined
    if (reason !== undefined) this._options.dependencies.metrics.count('placements_refused_total', { rank: String(this._options.route.priority), reason })
    this._options.log('slotNotAssigned', { outcome: outcome.type, waitedMs: Math.round(waitedMs), reason, detail: outcome.type === 'unavailable' ? outcome.detail : undefined })
  }

  private _selectHere (state: AttemptState): WorkerSelection {
    const { cached, excluded, origin } = state
    const { dependencies: { routes, registry, ownRates, choice, durations, workers, zone }, request, route } = this._options
    const nowMs = steadyNowMs()
    let isRateLimited = false
    for (const name of this._drawServices(state)) {
      const registered = registry.workersOf(name, nowMs).filter(({ softwareVersion }) => origin === undefined || softwareVersion === origin.softwareVersion)
      const candidates = ownRates.filter(registered)
      if (candidates.length < registered.length) isRateLimited = true
      const worker = choice.chooseWorker({
        candidates,
        excluded,
        zone,
        durationMs: durations.expectedMs(route),
        prompt: request.prompt,
        cached,
        isConnected: ({ address }) => workers.hasIdleConnection(address),
        nowMs
      })
      if (worker === undefined) continue
      ownRates.take(worker)
      return { type: 'selected', worker, service: routes.findService(name) }
    }
    return isRateLimited ? { type: 'refused', retryAfterMs: RATE_LIMITED_RETRY_AFTER_MS } : { type: 'noWorker' }
  }
}
