/** A fleet of real nodes with stand-ins for the platform and the back ends, on loopback sockets in one process. */
import { createHash } from 'node:crypto'
import { type ConfigurationDocument, type CoreSettings, VmRole, VmState } from '@trefoilshunt/core'
import { HttpTransport, type ICallerTransport, realClientHost } from '@trefoilshunt/client'
import { Daemon, type IEventLog, type Settings, settingsSchema } from '@trefoilshunt/node'
import { createToolDatabase, EngineServer, PlatformServer, type ToolDatabase, ToolServer } from '@trefoilshunt/standins'
import type { ICallerAccess } from '@trefoilshunt/testing'

const PEER_SECRET = 'loopback-fleet-secret'
const OPERATOR_KEY = 'loopback-operator'
const READY_TIMEOUT_MS = 15_000
const APPLY_TIMEOUT_MS = 15_000
const READY_POLL_MS = 50

/** Size and configuration of a local fleet. */
export interface LocalFleetOptions {
  zones: string[]
  nodesPerZone: number
  /** Applied to the environment `production` when the fleet starts. */
  document: ConfigurationDocument
  /** Workers of each back end, by its name. */
  workers: Record<string, number>
  /** Settings of the nodes' kernels that differ from the defaults. */
  core?: Partial<CoreSettings>
  /** Receives the log events of all nodes; they are discarded without it. */
  log?: IEventLog
}

const DISCARDING_LOG: IEventLog = { write () {} }

/** Starts and closes the fleet for the demo, the load command and tests. */
export class LocalFleet {
  readonly platform = new PlatformServer()
  readonly engines: EngineServer[] = []
  readonly tools: ToolServer[] = []
  /** State that the workers of a service share, by the name of the back end. */
  readonly databases = new Map<string, ToolDatabase>()
  /** The nodes in the order of their start. */
  readonly daemons: Daemon[] = []
  private readonly _transports = new Map<string, HttpTransport>()

  constructor (private readonly _options: LocalFleetOptions) {}

  /**
   * Starts the stand-ins and the nodes, applies the document and waits until every node is ready. Throws when the document is refused or the nodes are not
   * ready after 15 s.
   */
  async start (): Promise<void> {
    await this.platform.server.listen()
    await this._startBackends()
    for (const zone of this._options.zones) {
      for (let index = 1; index <= this._options.nodesPerZone; index++) await this.startNode(`${zone}-${index}`, zone)
    }
    await this._applyDocument()
    await this._waitUntilReady()
  }

  /** Starts a node and adds it to the VM list. */
  async startNode (name: string, zone: string): Promise<Daemon> {
    const daemon = new Daemon({ settings: this._settingsOf(name, zone), peerSecret: PEER_SECRET, log: this._options.log ?? DISCARDING_LOG })
    await daemon.start()
    this.daemons.push(daemon)
    this.platform.vmList.put({ name, role: VmRole.Entry, zone, address: daemon.address, peerAddress: daemon.peerAddress, state: VmState.Live })
    this.platform.vmList.publishNow()
    return daemon
  }

  /** What a program driver needs to run programs through this fleet. */
  get callerAccess (): ICallerAccess {
    return {
      host: realClientHost,
      zones: this._options.zones,
      seeds: () => this.daemons.map(daemon => daemon.address),
      transportOf: customer => this.transportOf(bearerKeyOf(customer))
    }
  }

  /** The transport that authenticates with a bearer key; each key has one, and `close` closes it. */
  transportOf (key: string): ICallerTransport {
    let transport = this._transports.get(key)
    if (transport === undefined) {
      transport = new HttpTransport({ key })
      this._transports.set(key, transport)
    }
    return transport
  }

  /** Closes the nodes, then the transports, then the stand-ins. */
  async close (): Promise<void> {
    await Promise.all(this.daemons.map(async daemon => await daemon.close()))
    await Promise.all([...this._transports.values()].map(async transport => await transport.close()))
    await Promise.all([...this.engines, ...this.tools, this.platform].map(async standin => await standin.server.close()))
  }

  private _settingsOf (name: string, zone: string): Settings {
    const platformUrl = `http://${this.platform.server.address}`
    return settingsSchema.parse({
      node: name,
      availabilityZone: zone,
      environment: 'production',
      host: '127.0.0.1',
      callerPort: 0,
      peerPort: 0,
      platform: { logServiceUrl: platformUrl, vmListUrl: platformUrl, vmListPeriodMs: 500 },
      credentials: {
        customers: this._options.document.customers.map(customer => ({ name: customer.name, keySha256: sha256(bearerKeyOf(customer.name)) })),
        operators: [{ name: 'operator', keySha256: sha256(OPERATOR_KEY) }],
        peerSecret: PEER_SECRET
      },
      core: this._options.core ?? {},
      logLevel: 'silent'
    })
  }

  private async _startBackends (): Promise<void> {
    const { document, workers, zones } = this._options
    for (const backend of document.backends) {
      const database = createToolDatabase()
      this.databases.set(backend.name, database)
      for (let index = 1; index <= (workers[backend.name] ?? 0); index++) {
        const name = `${backend.name}-${index}`
        const standin = backend.type === 'modelEngine'
          ? new EngineServer({ name, model: backend.name, checksFencing: backend.checksFencing })
          : new ToolServer({ name, checksIdempotencyKeys: backend.checksIdempotencyKeys }, database)
        await standin.server.listen()
        if (standin instanceof EngineServer) this.engines.push(standin)
        else this.tools.push(standin)
        const role = backend.type === 'modelEngine' ? VmRole.Engine : VmRole.Service
        this.platform.vmList.put({ name, role, zone: zones[index % zones.length], address: standin.server.address, backend: backend.name, state: VmState.Live })
      }
    }
    this.platform.vmList.publishNow()
  }

  private async _applyDocument (): Promise<void> {
    const request = { type: 'apply', environment: 'production', baseRevision: 0, document: this._options.document, by: 'operator' } as const
    const result = await this.transportOf(OPERATOR_KEY).send(this.daemons[0].address, request, { timeoutMs: APPLY_TIMEOUT_MS })
    if (result.type !== 'reply' || result.reply.type !== 'accepted') throw new Error(`the document was not accepted: ${JSON.stringify(result)}`)
  }

  private async _waitUntilReady (): Promise<void> {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadlineMs) {
      const states = this.daemons.map(daemon => daemon.status())
      if (states.every(status => status?.isReady === true && status.liveNodes === this.daemons.length)) return
      await realClientHost.sleep(READY_POLL_MS)
    }
    throw new Error('the nodes were not ready in time')
  }
}

/** The key that the nodes' settings accept for a customer. */
function bearerKeyOf (customer: string): string {
  return `loopback-${customer}`
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
