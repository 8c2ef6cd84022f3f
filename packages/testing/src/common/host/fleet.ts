/** A fleet in virtual time: nodes, stand-ins and callers connected by links with delays. It is a test host, not a model of a network. */
import { type CallerRequest, type CoreSettings, type Effect, IWorkerCoordinator, type LogFields, type NodeIdentity, SeededRandom, VmRole, VmState } from '@trefoilshunt/core'
import type { ICallerTransport, IClientHost, SendOptions, TransportResult } from '@trefoilshunt/client'
import { LogService, type LogServiceOptions, type ModelEngine, type ModelEngineOptions, type ToolDatabase, type ToolService, VmList } from '@trefoilshunt/standins'
import { flushPromises } from '../../node/flushPromises.js'
import type { ICallerAccess } from '../workload/programDriver.js'
import { EventQueue } from './eventQueue.js'
import { VirtualBackends } from './virtualBackends.js'
import { VirtualCallers } from './virtualCallers.js'
import { VirtualLinks } from './virtualLinks.js'
import { type IEffectRunner, VirtualNode } from './virtualNode.js'

const VM_POLL_MS = 1_000
const LOG_LATENCY_MS = 2
/** Time after which a message over a cut link counts as undeliverable. */
const CUT_TIMEOUT_MS = 1_000
const CALLER_PORT = 7300

/** Options of a `Fleet`; those that are not given take the values of `DEFAULTS`. */
export interface FleetOptions {
  /** Seed of all random numbers; the same options and seed give the same run. */
  seed: number
  zones: string[]
  nodesPerZone: number
  /** Environment that the nodes serve. */
  environment: string
  /** One-way delay between zones; inside a zone it is a fifth of that. */
  zoneDelayMs: number
  /** One-way delay between callers and nodes. */
  callerDelayMs: number
  /** Time until a change shows in the platform's VM list. */
  vmListLagMs: number
  /** Overrides of the nodes' settings. */
  settings: Partial<CoreSettings>
  /** Options of the stand-in of the log service. */
  log: Partial<LogServiceOptions>
  /** Reads real time in milliseconds, to measure the time spent in kernels. */
  stopwatch?: () => number
  /** True to count the bytes of messages between nodes, which costs an encoding of each. */
  countsBytes?: boolean
  /** Called for every log line of a node. */
  onLog?: (node: string, event: string, fields: LogFields, atMs: number) => void
}

const DEFAULTS: FleetOptions = {
  seed: 1,
  zones: ['regina', 'saskatoon', 'brandon'],
  nodesPerZone: 3,
  environment: 'production',
  zoneDelayMs: 1.5,
  callerDelayMs: 1,
  vmListLagMs: 3_000,
  settings: {},
  log: {}
}

/** Counters over all nodes since the fleet was created. */
export interface FleetCounters {
  peerMessages: number
  /** Bytes of messages between nodes; 0 unless `countsBytes` is set. */
  peerBytes: number
  backendCalls: number
  logReads: number
  /** Virtual events that have run. */
  events: number
}

/** A period in which a machine was paused or could not be reached. */
export interface Disturbance {
  kind: 'pause' | 'cut' | 'log'
  /** Name of a node or worker, a zone, or `log`. */
  machine: string
  fromMs: number
  untilMs: number
}

/** Hosts the nodes, stand-ins and callers of one run and executes the nodes' effects in virtual time. */
export class Fleet implements IEffectRunner, ICallerTransport {
  readonly options: FleetOptions
  readonly events = new EventQueue()
  readonly random: SeededRandom
  readonly log: LogService
  readonly vmList: VmList
  readonly nodes = new Map<string, VirtualNode>()
  readonly engines: ReadonlyMap<string, ModelEngine>
  readonly services: ReadonlyMap<string, ToolService>
  readonly databases: ReadonlyMap<string, ToolDatabase>
  readonly counters: FleetCounters = { peerMessages: 0, peerBytes: 0, backendCalls: 0, logReads: 0, events: 0 }
  /** Nodes that exited after a planned stop while requests were still open, with the count of these. */
  readonly cutOffByStop: Array<{ node: string, requests: number }> = []
  /** Periods in which a machine was paused or cut off; the checkers read them. */
  readonly disturbances: Disturbance[] = []
  private readonly _links: VirtualLinks
  private readonly _backends: VirtualBackends
  private readonly _callers: VirtualCallers
  private readonly _clientRandom: SeededRandom
  private _lastIncarnation = 0
  /** True when an event has resolved a promise of client code whose callbacks have not run yet. */
  private _hasClientWork = false

  constructor (options: Partial<FleetOptions> = {}) {
    this.options = { ...DEFAULTS, ...options }
    this.random = new SeededRandom(this.options.seed)
    this._clientRandom = new SeededRandom(this.options.seed + 1)
    this.log = new LogService(this.options.log, this.events)
    this.vmList = new VmList(this.options.vmListLagMs, this.events)
    this.callerAccess.zones.push(...this.options.zones)
    this._links = new VirtualLinks(this.options.zoneDelayMs)
    this._backends = new VirtualBackends(this.events, this._links, this.vmList, this.options.zones)
    this._callers = new VirtualCallers(this.events, this._links, this.nodes)
    this.engines = this._backends.engines
    this.services = this._backends.services
    this.databases = this._backends.databases
  }

  // Construction

  /** Starts the nodes of every zone and publishes the VM list without its lag. */
  startNodes (): void {
    for (const zone of this.options.zones) {
      for (let index = 1; index <= this.options.nodesPerZone; index++) this.startNode(`${zone}-${index}`, zone)
    }
    this.vmList.publishNow()
  }

  /** Starts the daemon of one entry VM, with a new incarnation each time. */
  startNode (name: string, zone: string): VirtualNode {
    this._lastIncarnation++
    const identity: NodeIdentity = {
      node: name,
      incarnation: `a${String(this._lastIncarnation).padStart(5, '0')}`,
      address: `${name}:${CALLER_PORT}`,
      peerAddress: `${name}:${CALLER_PORT + 1}`,
      zone,
      environment: this.options.environment
    }
    const node = new VirtualNode({ identity, seed: this.random.nextInt(0x7fffffff), settings: this.options.settings, nowMs: () => this.events.nowMs(), runner: this, stopwatch: this.options.stopwatch })
    this.nodes.set(name, node)
    this._links.setZone(name, zone)
    this.vmList.put({ name, role: VmRole.Entry, zone, address: identity.address, peerAddress: identity.peerAddress, state: VmState.Live })
    this.events.after(0, () => {
      node.handle({ type: 'vmListed', entries: this.vmList.read() })
      node.handle({ type: 'started' })
    })
    this._pollVmList(node)
    return node
  }

  /** Adds `count` engines named `<model>-<index>`, spread over the zones. */
  addEngines (model: string, count: number, options: Partial<ModelEngineOptions> = {}): void {
    this._backends.addEngines(model, count, options)
  }

  /** Adds the workers of a pool, named `<pool>-<index>`; each starts with one of the pool's models. */
  addPool (pool: string, models: string[], count: number, options: Partial<ModelEngineOptions> = {}): void {
    this._backends.addPool(pool, models, count, options)
  }

  /** Adds `count` service workers named `<service>-<index>` that share one database. */
  addServices (service: string, count: number, options: { latencyMs?: number, checksIdempotencyKeys?: boolean } = {}): void {
    this._backends.addServices(service, count, options)
  }

  private _pollVmList (node: VirtualNode): void {
    this.events.after(VM_POLL_MS, () => {
      if (!node.isAlive) return
      node.handle({ type: 'vmListed', entries: this.vmList.read() })
      this._pollVmList(node)
    })
  }

  // Execution

  /** Runs all events up to the given virtual time; client code runs between them. */
  async runUntil (untilMs: number): Promise<void> {
    while (this.events.runNext(untilMs)) await this._runClientCode()
  }

  private async _runClientCode (): Promise<void> {
    this.counters.events++
    if (!this._hasClientWork) return
    this._hasClientWork = false
    await flushPromises()
  }

  /** Runs until `work` settles or `untilMs` is reached. False when the time ran out first. */
  async runWhile (work: Promise<unknown>, untilMs: number): Promise<boolean> {
    const progress = { isDone: false }
    void work.finally(() => { progress.isDone = true })
    await flushPromises()
    for (;;) {
      if (progress.isDone || !this.events.runNext(untilMs)) return progress.isDone
      await this._runClientCode()
    }
  }

  /** Virtual clock, timers and random numbers for client code. */
  readonly clientHost: IClientHost = {
    nowMs: () => this.events.nowMs(),
    sleep: async ms => await new Promise<void>(resolve => {
      this.events.after(ms, () => {
        this._hasClientWork = true
        resolve()
      })
    }),
    random: () => this._clientRandom.next()
  }

  /** How callers reach this fleet: clock, zones, node addresses and transport. */
  readonly callerAccess: ICallerAccess = {
    host: this.clientHost,
    zones: [],
    seeds: () => [...this.nodes.values()].map(node => node.identity.address),
    transportOf: () => this
  }

  // Faults

  /** Ends a node's process without a planned stop. */
  killNode (name: string): void {
    this.nodes.get(name)?.kill()
  }

  /** Breaks every connection to a node, also those of forwarding nodes; the node receives `callerGone` for each. */
  dropConnections (name: string): void {
    const node = this.nodes.get(name)
    if (node === undefined) return
    const connections = [...node.connections]
    node.connections.clear()
    for (const [requestId, breakConnection] of connections) {
      breakConnection()
      node.handle({ type: 'callerGone', requestId })
    }
  }

  /** Cuts the link between two machines, both ways; a machine may be named by its zone. */
  cut (left: string, right: string): void {
    this._links.cut(left, right)
  }

  /** Restores a link; the names must be those given to `cut`. */
  heal (left: string, right: string): void {
    this._links.heal(left, right)
  }

  /** Records for the checkers a disturbance that begins now and lasts `forMs`. */
  recordDisturbance (kind: Disturbance['kind'], machines: string[], forMs: number): void {
    const fromMs = this.events.nowMs()
    for (const machine of machines) this.disturbances.push({ kind, machine, fromMs, untilMs: fromMs + forMs })
  }

  // State

  /** Zone of a node or worker; empty for an unknown one. */
  zoneOf (machine: string): string {
    return this._links.zoneOf(machine)
  }

  /** Counts the steps that wait for a slot of an engine, over all coordinators. */
  waitingByRank (): { urgent: number, other: number } {
    const waiting = { urgent: 0, other: 0 }
    for (const node of this.liveNodes()) {
      const coordinator = node.kernel.resolve<IWorkerCoordinator>(IWorkerCoordinator)
      for (const worker of this.engines.keys()) {
        const queue = coordinator.queueOf(worker)
        if (queue === undefined) continue
        waiting.urgent += queue.waitingOf('urgent')
        waiting.other += queue.waitingOf('other')
      }
    }
    return waiting
  }

  /** Nodes whose process is alive, also paused ones. */
  liveNodes (): VirtualNode[] {
    return [...this.nodes.values()].filter(node => node.isAlive)
  }

  // Effects of nodes

  /** Executes one effect of a node. */
  run (node: VirtualNode, effect: Effect): void {
    switch (effect.type) {
      case 'setTimer': return this._setTimer(node, effect.timerId, effect.delayMs)
      case 'cancelTimer':
        node.timers.get(effect.timerId)?.dispose()
        node.timers.delete(effect.timerId)
        return
      case 'appendLog': return this._appendLog(node, effect)
      case 'readLog': return this._readLog(node, effect)
      case 'sendPeer': return this._sendPeer(node, effect)
      case 'callBackend':
        this.counters.backendCalls++
        return this._backends.call(node, effect)
      case 'cancelBackend':
        node.calls.get(effect.callId)?.dispose()
        node.calls.delete(effect.callId)
        return
      case 'reply': return this._callers.reply(effect.requestId, effect.reply)
      case 'forward': return this._callers.forward(node, effect)
      case 'cancelForward': return this._callers.cancelForward(node, effect.requestId)
      case 'log':
        this.options.onLog?.(node.identity.node, effect.event, effect.fields, this.events.nowMs())
        return
      case 'exit':
        node.hasExited = true
        if (node.connections.size > 0) this.cutOffByStop.push({ node: node.identity.node, requests: node.connections.size })
        node.kill()
    }
  }

  private _setTimer (node: VirtualNode, timerId: number, delayMs: number): void {
    node.timers.set(timerId, this.events.after(delayMs, () => {
      node.timers.delete(timerId)
      node.handle({ type: 'timerFired', timerId })
    }))
  }

  private _appendLog (node: VirtualNode, effect: Extract<Effect, { type: 'appendLog' }>): void {
    this.events.after(LOG_LATENCY_MS / 2 + this.log.delayMs, () => {
      const outcome = this._links.isCut(node.identity.node, 'log') ? { type: 'ambiguous', detail: 'cut off' } as const : this.log.append(effect.stream, effect.records)
      this.events.after(LOG_LATENCY_MS / 2, () => node.handle({ type: 'logAppended', operationId: effect.operationId, outcome }))
    })
  }

  private _readLog (node: VirtualNode, effect: Extract<Effect, { type: 'readLog' }>): void {
    this.counters.logReads++
    this.events.after(LOG_LATENCY_MS / 2 + this.log.delayMs, () => {
      const outcome = this._links.isCut(node.identity.node, 'log') ? { type: 'failed', detail: 'cut off' } as const : this.log.read(effect.stream, effect.fromOffset, effect.limit)
      this.events.after(LOG_LATENCY_MS / 2, () => node.handle({ type: 'logRead', operationId: effect.operationId, outcome }))
    })
  }

  private _sendPeer (node: VirtualNode, effect: Extract<Effect, { type: 'sendPeer' }>): void {
    this.counters.peerMessages++
    if (this.options.countsBytes === true) this.counters.peerBytes += JSON.stringify(effect.envelope).length
    const from = node.identity.node
    const isCut = this._links.isCut(from, effect.node)
    this.events.after(isCut ? CUT_TIMEOUT_MS : this._links.delayMs(from, effect.node), () => {
      const target = this.nodes.get(effect.node)
      const isReachable = !isCut && target !== undefined && target.isAlive
      if (isReachable) target.handle({ type: 'peerMessage', envelope: effect.envelope })
      else node.handle({ type: 'peerFailed', node: effect.node, address: effect.address, messageId: effect.messageId })
    })
  }

  // Callers

  /** Sends a caller's request to the node with this address; resolves with the reply or the failure and never rejects. */
  async send (address: string, request: CallerRequest, options: SendOptions): Promise<TransportResult> {
    return await new Promise(resolve => {
      const abort = this._callers.deliver(address, request, 0, this.options.callerDelayMs, options.timeoutMs, reply => {
        if (reply.type === 'chunk') {
          options.onChunk?.(reply.text, reply.tokens)
          return
        }
        this._hasClientWork = true
        resolve({ type: 'reply', reply })
      }, (wasSent, detail) => {
        this._hasClientWork = true
        resolve({ type: 'failed', wasSent, detail })
      })
      options.onAbort?.(abort)
    })
  }
}
