/** The daemon: runs one kernel and performs its effects with sockets, timers and the system clock. */
import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { type CallerReply, type CallerRequest, type CoreSettings, type Effect, type InputEvent, Kernel, type KernelStatus, type NodeIdentity } from '@trefoilshunt/core'
import { Metrics } from '../common/metrics.js'
import type { Settings } from '../common/settings.js'
import { BackendClient, type OpenCall } from './backendClient.js'
import { createCallerServer } from './callerServer.js'
import { EventLog, type IEventLog } from './logger.js'
import { PeerClient } from './peerClient.js'
import { createPeerServer } from './peerServer.js'
import { PlatformClient } from './platformClient.js'

/** Digits to which the start time is padded, so that incarnations compare as strings in the order of time. */
const INCARNATION_TIME_DIGITS = 9
const INCARNATION_TIME_RADIX = 36
const NANOSECONDS_PER_MS = 1e6
/** Maximum time that a stopping node waits for callers and peers to read its last answers. */
const RESPONSE_FLUSH_TIMEOUT_MS = 3_000

/** Settings and dependencies of a daemon. */
export interface DaemonOptions {
  settings: Settings
  peerSecret: string
  /** Defaults to standard error at the level of the settings. */
  log?: IEventLog
  /** Called when the planned stop is complete and everything is closed. */
  onExit?: () => void
}

/**
 * One node that communicates over real sockets.
 *
 * @example
 * const daemon = new Daemon({ settings, peerSecret })
 * await daemon.start()
 */
export class Daemon {
  readonly metrics = new Metrics()
  private readonly _settings: Settings
  private readonly _log: IEventLog
  private readonly _platform: PlatformClient
  private readonly _backends = new BackendClient()
  private readonly _peers: PeerClient
  private readonly _timers = new Map<number, NodeJS.Timeout>()
  private readonly _backendCalls = new Map<number, OpenCall>()
  private readonly _replyHandlers = new Map<string, (reply: CallerReply) => void>()
  private readonly _forwardControllers = new Map<string, AbortController>()
  private readonly _eventLoopDelay = monitorEventLoopDelay({ resolution: 10 })
  private _kernel: Kernel | undefined
  private _callerServer: Server | undefined
  private _peerServer: Server | undefined
  private _vmListTimer: NodeJS.Timeout | undefined
  private _lastRequestNumber = 0
  private _isClosed = false

  constructor (private readonly _options: DaemonOptions) {
    this._settings = _options.settings
    this._log = _options.log ?? new EventLog(_options.settings.logLevel)
    this._platform = new PlatformClient(_options.settings.platform)
    this._peers = new PeerClient({
      secret: _options.peerSecret,
      onFailed: (envelope, address) => this._handle({ type: 'peerFailed', node: envelope.to, address, messageId: envelope.messageId })
    })
  }

  /** Address (host:port) of the caller API; its port is 0 before `start` has opened the ports. */
  get address (): string {
    return addressOf(this._settings.host, this._callerServer)
  }

  /** Address (host:port) of the server for peers; its port is 0 before `start` has opened the ports. */
  get peerAddress (): string {
    return addressOf(this._settings.host, this._peerServer)
  }

  /** Opens the ports, creates the kernel, reads the VM list once and starts the kernel. Rejects if a port cannot be opened. */
  async start (): Promise<void> {
    this._eventLoopDelay.enable()
    this._peerServer = createPeerServer({
      secret: this._options.peerSecret,
      onMessages: envelopes => { for (const envelope of envelopes) this._handle({ type: 'peerMessage', envelope }) },
      onForward: (request, hops, reply) => this._acceptRequest(request, hops, reply)
    })
    this._callerServer = createCallerServer({
      settings: this._settings,
      onRequest: (request, reply) => this._acceptRequest(request, 0, reply),
      isReady: () => this._kernel?.status().isReady ?? false,
      renderMetrics: () => this.metrics.render(this._readGauges()),
      onAnswered: (route, status, durationMs) => {
        this.metrics.count('requests_total', { route, status: String(status) })
        this.metrics.observeMs('request_duration_ms', durationMs, { route })
      }
    })
    await listen(this._peerServer, this._settings.peerPort, this._settings.host)
    await listen(this._callerServer, this._settings.callerPort, this._settings.host)
    this._startKernel()
    await this._pollVmList()
    this._handle({ type: 'started' })
  }

  /** State and counters of the kernel; undefined before `start` has created it. */
  status (): KernelStatus | undefined {
    return this._kernel?.status()
  }

  /** Starts the planned stop; `onExit` is called when it is complete. */
  stop (): void {
    this._handle({ type: 'stopRequested' })
  }

  /** Closes all connections and timers immediately, without draining, like a crash. A second call does nothing. */
  async close (): Promise<void> {
    if (this._isClosed) return
    this._isClosed = true
    clearTimeout(this._vmListTimer)
    this._eventLoopDelay.disable()
    for (const timer of this._timers.values()) clearTimeout(timer)
    for (const call of this._backendCalls.values()) call.abort()
    for (const forward of this._forwardControllers.values()) forward.abort()
    this._kernel?.dispose()
    await Promise.all([destroyServer(this._callerServer), destroyServer(this._peerServer), this._platform.close(), this._backends.close(), this._peers.close()])
  }

  /** Waits until callers and peers have read the last answers, before their connections are closed. */
  private async _flushResponses (): Promise<void> {
    await Promise.all([drainServer(this._callerServer), drainServer(this._peerServer)])
  }

  private _startKernel (): void {
    const { node, availabilityZone, environment, core } = this._settings
    const identity: NodeIdentity = {
      node,
      incarnation: createIncarnation(),
      address: this.address,
      peerAddress: this.peerAddress,
      zone: availabilityZone,
      environment
    }
    this._kernel = new Kernel({ identity, seed: randomBytes(4).readInt32LE(), settings: core as Partial<CoreSettings> })
    this._log.write('info', 'nodeStarting', { node, incarnation: identity.incarnation, zone: identity.zone, address: identity.address, peerAddress: identity.peerAddress, environment })
  }

  /** Reads the VM list now and schedules the next read; a failed read is skipped. */
  private async _pollVmList (): Promise<void> {
    const entries = await this._platform.readVmList()
    if (this._isClosed) return
    if (entries !== undefined) this._handle({ type: 'vmListed', entries })
    this._vmListTimer = setTimeout(() => { void this._pollVmList() }, this._settings.platform.vmListPeriodMs)
  }

  /** Passes an event to the kernel and performs the resulting effects. Events before the start and after the close are ignored. */
  private _handle (event: InputEvent): void {
    if (this._isClosed || this._kernel === undefined) return
    for (const effect of this._kernel.handle(event, Date.now())) this._performEffect(effect)
  }

  /** Passes a request to the kernel; returns the function to call when the caller disconnects. */
  private _acceptRequest (request: CallerRequest, hops: number, reply: (reply: CallerReply) => void): () => void {
    const requestId = `r${++this._lastRequestNumber}`
    this._replyHandlers.set(requestId, reply)
    this._handle({ type: 'callerRequest', requestId, request, hops })
    return () => {
      this._replyHandlers.delete(requestId)
      this._forwardControllers.get(requestId)?.abort()
      this._forwardControllers.delete(requestId)
      this._handle({ type: 'callerGone', requestId })
    }
  }

  private _performEffect (effect: Effect): void {
    switch (effect.type) {
      case 'setTimer': return this._setTimer(effect.timerId, effect.delayMs)
      case 'cancelTimer': return this._cancelTimer(effect.timerId)
      case 'appendLog':
        void this._platform.append(effect.stream, effect.records).then(outcome => this._handle({ type: 'logAppended', operationId: effect.operationId, outcome }))
        return
      case 'readLog':
        void this._platform.read(effect.stream, effect.fromOffset, effect.limit).then(outcome => this._handle({ type: 'logRead', operationId: effect.operationId, outcome }))
        return
      case 'sendPeer':
        this.metrics.count('peer_messages_total', { type: effect.envelope.body.type })
        this._peers.send(effect.address, effect.envelope)
        return
      case 'callBackend': return this._callBackend(effect)
      case 'cancelBackend':
        this._backendCalls.get(effect.callId)?.abort()
        this._backendCalls.delete(effect.callId)
        return
      case 'reply': return this._reply(effect.requestId, effect.reply)
      case 'forward': return this._forward(effect)
      case 'cancelForward':
        this._forwardControllers.get(effect.requestId)?.abort()
        this._forwardControllers.delete(effect.requestId)
        return
      case 'log': return this._log.write(effect.level, effect.event, { node: this._settings.node, ...effect.fields })
      case 'exit':
        void this._flushResponses().then(async () => await this.close()).then(() => this._options.onExit?.())
    }
  }

  private _setTimer (timerId: number, delayMs: number): void {
    this._timers.set(timerId, setTimeout(() => {
      this._timers.delete(timerId)
      this._handle({ type: 'timerFired', timerId })
    }, delayMs))
  }

  private _cancelTimer (timerId: number): void {
    clearTimeout(this._timers.get(timerId))
    this._timers.delete(timerId)
  }

  private _callBackend (effect: Extract<Effect, { type: 'callBackend' }>): void {
    const { callId, address, request, timeoutMs } = effect
    this._backendCalls.set(callId, this._backends.call(address, request, timeoutMs, event => {
      if (event.type !== 'chunk') this._backendCalls.delete(callId)
      this._handle({ type: 'backendEvent', callId, event })
    }))
  }

  private _reply (requestId: string, reply: CallerReply): void {
    const handleReply = this._replyHandlers.get(requestId)
    if (reply.type !== 'chunk') {
      this._replyHandlers.delete(requestId)
      this._forwardControllers.delete(requestId)
    }
    handleReply?.(reply)
  }

  private _forward (effect: Extract<Effect, { type: 'forward' }>): void {
    const { requestId, to, request, hops } = effect
    const controller = new AbortController()
    this._forwardControllers.set(requestId, controller)
    const peerAddress = this._peerAddressOf(to.node)
    if (peerAddress === undefined) {
      this._handle({ type: 'forwardFailed', requestId, wasSent: false })
      return
    }
    void this._peers.forward(peerAddress, request, hops, controller.signal,
      reply => this._handle({ type: 'forwardReply', requestId, reply }),
      wasSent => this._handle({ type: 'forwardFailed', requestId, wasSent }))
  }

  private _peerAddressOf (node: string): string | undefined {
    return this._kernel?.findPeerAddress(node)
  }

  private _readGauges (): Record<string, number> {
    const status = this._kernel?.status()
    if (status === undefined) return {}
    const memory = process.memoryUsage()
    return {
      ready: Number(status.isReady),
      draining: Number(status.isDraining),
      programs: status.programs,
      open_requests: status.openRequests,
      held_slots: status.openSlotTickets,
      journal_backlog_records: status.journalBacklog,
      journal_appends: status.journalAppends,
      log_healthy: Number(status.isLogHealthy),
      configuration_revision: status.revision,
      live_nodes: status.liveNodes,
      first_attempts: status.firstAttempts,
      retries: status.retries,
      resident_memory_bytes: memory.rss,
      heap_used_bytes: memory.heapUsed,
      event_loop_delay_p99_ms: this._eventLoopDelay.percentile(99) / NANOSECONDS_PER_MS,
      cpu_seconds: process.cpuUsage().user / 1e6 + process.cpuUsage().system / 1e6
    }
  }
}

/** Creates the incarnation of this start. A later start has the larger string, by which peers recognize the newer of two incarnations. */
function createIncarnation (): string {
  const time = Date.now().toString(INCARNATION_TIME_RADIX).padStart(INCARNATION_TIME_DIGITS, '0')
  return `${time}${randomBytes(2).toString('hex')}`
}

/** The address as host:port; the port is 0 if the server is not listening. */
function addressOf (host: string, server: Server | undefined): string {
  const address = server?.address()
  return typeof address === 'object' && address !== null ? `${host}:${address.port}` : `${host}:0`
}

/** Resolves when the server is listening; rejects if the port cannot be opened. */
async function listen (server: Server, port: number, host: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/** Refuses new connections and waits for the open requests to end, at most `RESPONSE_FLUSH_TIMEOUT_MS`. */
async function drainServer (server: Server | undefined): Promise<void> {
  if (server === undefined) return
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, RESPONSE_FLUSH_TIMEOUT_MS)
    server.close(() => {
      clearTimeout(timer)
      resolve()
    })
    server.closeIdleConnections()
  })
}

/** Closes a server with all its connections, also those with open requests. */
async function destroyServer (server: Server | undefined): Promise<void> {
  if (server === undefined) return
  await new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
