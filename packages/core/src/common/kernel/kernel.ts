/** The kernel, which handles one input event at a time and returns the effects that the host must perform. */
import { container as rootContainer, type DependencyContainer } from 'tsyringe'
import { Peers } from '../peers/peers.js'
import { IJournal } from '../journal/journal.js'
import { IConfiguration } from '../configuration/configuration.js'
import { IDrain } from '../drain/drain.js'
import { IMembership } from '../membership/membership.js'
import { IProgramTable } from '../programs/programTable.js'
import { IRetryBudget } from '../dispatch/retryBudget.js'
import { ISlotRequester } from '../placement/slotRequester.js'
import { BackendPort, IBackends } from './backendPort.js'
import { CallerPort, ICallers } from './callerPort.js'
import { IClock, KernelClock } from './clock.js'
import { EffectLogger, EffectQueue, IEffects, ILogger } from './effectQueue.js'
import type { Effect } from './effects.js'
import type { InputEvent } from './events.js'
import { ILogService, LogPort } from './logPort.js'
import { NodeIdentity } from './node.js'
import { type IPlugin, registeredPlugins } from './plugin.js'
import { IRandom, SeededRandom } from './random.js'
import { CoreSettings, createCoreSettings } from './settings.js'
import { ITimers, KernelTimers } from './timers.js'

export interface KernelOptions {
  identity: NodeIdentity
  /** Seed of the node's random numbers. */
  seed: number
  settings?: Partial<CoreSettings>
}

/** Figures of a node, which hosts publish as metrics. */
export interface KernelStatus {
  /** True when the node has a configuration and is not draining. */
  isReady: boolean
  isDraining: boolean
  programs: number
  openRequests: number
  /** Number of steps that wait for a slot of a worker or hold one. */
  openSlotTickets: number
  journalBacklog: number
  journalAppends: number
  isLogHealthy: boolean
  /** Newest known revision of the configuration; 0 before the first one. */
  revision: number
  liveNodes: number
  firstAttempts: number
  retries: number
}

/**
 * The decisions of one node, without input or output of its own.
 *
 * @example
 * const kernel = new Kernel({ identity, seed: 1 })
 * const effects = kernel.handle({ type: 'started' }, nowMs)
 */
export class Kernel {
  private readonly _clock = new KernelClock()
  private readonly _effects = new EffectQueue()
  private readonly _plugins: IPlugin[] = []
  private readonly _container: DependencyContainer
  private readonly _timers: KernelTimers
  private readonly _log: LogPort
  private readonly _backends: BackendPort
  private readonly _callers: CallerPort
  private readonly _peers: Peers

  constructor (options: KernelOptions) {
    const container = rootContainer.createChildContainer()
    this._container = container
    container.registerInstance(IClock, this._clock)
    container.registerInstance(IEffects, this._effects)
    container.registerInstance(ILogger, new EffectLogger(this._effects))
    container.registerInstance(IRandom, new SeededRandom(options.seed))
    container.registerInstance(NodeIdentity, { ...options.identity })
    container.registerInstance(CoreSettings, createCoreSettings(options.settings))
    this._timers = new KernelTimers(this._effects)
    this._log = new LogPort(this._effects)
    this._backends = new BackendPort(this._effects)
    this._callers = new CallerPort(this._effects)
    container.registerInstance(ITimers, this._timers)
    container.registerInstance(ILogService, this._log)
    container.registerInstance(IBackends, this._backends)
    container.registerInstance(ICallers, this._callers)
    for (const contribution of registeredPlugins()) contribution.register(container)
    this._peers = container.resolve(Peers)
    for (const contribution of registeredPlugins()) {
      if (contribution.create !== undefined) this._plugins.push(contribution.create(container))
    }
  }

  /** Handles one event. Calls must not overlap, and the host must perform the returned effects in their order. */
  handle (event: InputEvent, nowMs: number): Effect[] {
    this._clock.advanceTo(nowMs)
    this._dispatchEvent(event)
    return this._effects.drain()
  }

  /** Returns the figures for metrics and readiness. */
  status (): KernelStatus {
    const journal = this._container.resolve<IJournal>(IJournal)
    const configuration = this._container.resolve<IConfiguration>(IConfiguration)
    const membership = this._container.resolve<IMembership>(IMembership)
    const retryBudget = this._container.resolve<IRetryBudget>(IRetryBudget)
    return {
      isReady: configuration.document !== undefined && !membership.isDraining,
      isDraining: membership.isDraining,
      programs: this._container.resolve<IProgramTable>(IProgramTable).size,
      openRequests: this._callers.openCount,
      openSlotTickets: this._container.resolve<ISlotRequester>(ISlotRequester).openTicketCount,
      journalBacklog: journal.backlog,
      journalAppends: journal.appendCount,
      isLogHealthy: journal.isHealthy,
      revision: configuration.revision,
      liveNodes: membership.liveCount,
      firstAttempts: retryBudget.firstAttemptCount,
      retries: retryBudget.retryCount
    }
  }

  /** Address at which a node answers its peers; undefined when the node or its address is unknown. */
  findPeerAddress (node: string): string | undefined {
    return this._container.resolve<IMembership>(IMembership).findNode(node)?.peerAddress
  }

  /** Resolves a service of a plug-in by its token, for embedders and tests. */
  resolve<T> (token: symbol): T {
    return this._container.resolve<T>(token)
  }

  dispose (): void {
    for (const plugin of this._plugins) plugin.dispose()
  }

  private _dispatchEvent (event: InputEvent): void {
    switch (event.type) {
      case 'started':
        for (const plugin of this._plugins) plugin.start?.()
        return
      case 'timerFired': return this._timers.handleFired(event.timerId)
      case 'logAppended': return this._log.handleAppended(event.operationId, event.outcome)
      case 'logRead': return this._log.handleRead(event.operationId, event.outcome)
      case 'peerMessage': return this._peers.handleMessage(event.envelope)
      case 'peerFailed': return this._peers.handleDeliveryFailure(event.node, event.messageId)
      case 'callerRequest': return this._callers.handleRequest({ requestId: event.requestId, request: event.request, hops: event.hops })
      case 'callerGone': return this._callers.handleCallerDisconnected(event.requestId)
      case 'forwardFailed': return this._callers.handleForwardFailed(event.requestId, { wasSent: event.wasSent })
      case 'forwardReply': return this._callers.handleForwardReply(event.requestId, event.reply)
      case 'backendEvent': return this._backends.handleEvent(event.callId, event.event)
      case 'vmListed': return this._container.resolve<IMembership>(IMembership).setVmList(event.entries)
      case 'stopRequested': return this._container.resolve<IDrain>(IDrain).begin()
    }
  }
}
