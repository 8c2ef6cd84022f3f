/** The kernel: takes one input event at a time and returns the effects that the host shall carry out. */
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
  seed: number
  settings?: Partial<CoreSettings>
}

/** Figures of a node that hosts publish as metrics. */
export interface KernelStatus {
  isReady: boolean
  isDraining: boolean
  programs: number
  openRequests: number
  heldSlots: number
  journalBacklog: number
  journalAppends: number
  isLogHealthy: boolean
  revision: number
  liveNodes: number
  firstAttempts: number
  retries: number
}

/**
 * One node's decisions without any input or output of its own.
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

  /** Takes one event in. Calls must not overlap; the effects are to be carried out in order. */
  handle (event: InputEvent, nowMs: number): Effect[] {
    this._clock.advanceTo(nowMs)
    this._route(event)
    return this._effects.drain()
  }

  /** Figures for metrics and readiness. */
  status (): KernelStatus {
    const journal = this._container.resolve<IJournal>(IJournal)
    const configuration = this._container.resolve<IConfiguration>(IConfiguration)
    const membership = this._container.resolve<IMembership>(IMembership)
    const retries = this._container.resolve<IRetryBudget>(IRetryBudget)
    return {
      isReady: configuration.document !== undefined && !membership.isDraining,
      isDraining: membership.isDraining,
      programs: this._container.resolve<IProgramTable>(IProgramTable).size,
      openRequests: this._callers.openCount,
      heldSlots: this._container.resolve<ISlotRequester>(ISlotRequester).heldCount,
      journalBacklog: journal.backlog,
      journalAppends: journal.appendCount,
      isLogHealthy: journal.isHealthy,
      revision: configuration.revision,
      liveNodes: membership.liveCount,
      firstAttempts: retries.firstAttemptCount,
      retries: retries.retryCount
    }
  }

  /** Where a node answers its peers; undefined when it is not known. */
  findPeerAddress (node: string): string | undefined {
    return this._container.resolve<IMembership>(IMembership).findNode(node)?.peerAddress
  }

  /** Gives embedders and tests a service of a plug-in by its token. */
  resolve<T> (token: symbol): T {
    return this._container.resolve<T>(token)
  }

  dispose (): void {
    for (const plugin of this._plugins) plugin.dispose()
  }

  private _route (event: InputEvent): void {
    switch (event.type) {
      case 'started':
        for (const plugin of this._plugins) plugin.start?.()
        return
      case 'timerFired': return this._timers.handleFired(event.timerId)
      case 'logAppended': return this._log.handleAppended(event.operationId, event.outcome)
      case 'logRead': return this._log.handleRead(event.operationId, event.outcome)
      case 'peerMessage': return this._peers.handleMessage(event.envelope)
      case 'peerFailed': return this._peers.handleFailed(event.node, event.messageId)
      case 'callerRequest': return this._callers.handleRequest({ requestId: event.requestId, request: event.request, hops: event.hops })
      case 'callerGone': return this._callers.handleGone(event.requestId)
      case 'forwardFailed': return this._callers.handleForwardFailed(event.requestId, { wasSent: event.wasSent })
      case 'forwardReply': return this._callers.handleForwardReply(event.requestId, event.reply)
      case 'backendEvent': return this._backends.handleEvent(event.callId, event.event)
      case 'vmListed': return this._container.resolve<IMembership>(IMembership).setVmList(event.entries)
      case 'stopRequested': return this._container.resolve<IDrain>(IDrain).begin()
    }
  }
}
