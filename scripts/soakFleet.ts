/** A fleet of real daemons as separate processes on loopback, with stand-in servers in this process, for the soak test and the benchmark. */
import { type ChildProcess, spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type ConfigurationDocument, type CoreSettings, VmRole, VmState } from '@trefoilshunt/core'
import { HttpTransport, realClientHost } from '@trefoilshunt/client'
import { createToolDatabase, EngineServer, type ModelEngineOptions, PlatformServer, type ToolDatabase, ToolServer } from '@trefoilshunt/standins'
import type { ICallerAccess } from '@trefoilshunt/testing'

const PEER_SECRET = 'soak-fleet-shared-secret'
const OPERATOR_KEY = 'soak-operator'
const VM_LIST_PERIOD_MS = 300
const READY_TIMEOUT_MS = 20_000
const APPLY_TIMEOUT_MS = 15_000
const POLL_MS = 100

/** One daemon and its current process. */
export interface SoakNode {
  name: string
  zone: string
  callerPort: number
  peerPort: number
  process: ChildProcess
  /** Exit code or signal of the process; undefined while it is running. */
  exitStatus?: { code: number | null, signal: NodeJS.Signals | null }
  /** A fault has stopped or paused the process, or is about to; no further process fault may use the node. */
  isStopped: boolean
}

/** Starts the stand-ins and daemons, and ends only the processes that it started. */
export class SoakFleet {
  readonly platform = new PlatformServer({ vmListLagMs: 300 })
  readonly engines: EngineServer[] = []
  readonly tools: ToolServer[] = []
  readonly databases: ToolDatabase[] = []
  readonly nodes: SoakNode[] = []
  private readonly _temporaryFolder = mkdtempSync(join(tmpdir(), 'trefoilshunt-soak-'))
  private readonly _transports = new Map<string, HttpTransport>()

  constructor (private readonly _document: ConfigurationDocument, private readonly _zones: string[], private readonly _nodesPerZone: number, private readonly _engineOptions: Partial<ModelEngineOptions> = { chunkTokens: 4 }, private readonly _coreSettings: Partial<CoreSettings> = {}) {}

  /** Starts everything and applies the configuration document. Throws if the nodes are not healthy within 20 s or the document is not accepted. */
  async start (): Promise<void> {
    await this.platform.server.listen()
    for (const backend of this._document.backends) await this._startBackend(backend)
    for (const zone of this._zones) {
      for (let index = 1; index <= this._nodesPerZone; index++) await this._startNode(`${zone}-${index}`, zone)
    }
    this.platform.vmList.publishNow()
    await this._waitFor(async () => (await Promise.all(this.nodes.map(async node => await isHealthy(node)))).every(Boolean))
    const request = { type: 'apply', environment: 'production', baseRevision: 0, document: this._document, by: '' } as const
    const result = await this._transportFor(OPERATOR_KEY).send(addressOf(this.nodes[0]), request, { timeoutMs: APPLY_TIMEOUT_MS })
    if (result.type !== 'reply' || result.reply.type !== 'accepted') throw new Error(`the document was not accepted: ${JSON.stringify(result)}`)
    await realClientHost.sleep(3_000)
  }

  /** How callers reach this fleet. */
  get callerAccess (): ICallerAccess {
    return {
      host: realClientHost,
      zones: this._zones,
      seeds: () => this.nodes.map(addressOf),
      transportOf: customer => this._transportFor(`soak-${customer}`)
    }
  }

  /** Starts a new process for a node whose process has exited; does nothing while it is running. */
  restart (node: SoakNode): void {
    if (node.exitStatus === undefined) return
    node.exitStatus = undefined
    node.isStopped = false
    node.process = this._spawn(node)
  }

  /** Kills the remaining daemons, closes transports and stand-ins, and removes the temporary settings files. */
  async close (): Promise<void> {
    for (const node of this.nodes) {
      if (node.exitStatus === undefined) node.process.kill('SIGKILL')
    }
    await Promise.all([...this._transports.values()].map(async transport => await transport.close()))
    await Promise.all([...this.engines, ...this.tools, this.platform].map(async standin => await standin.server.close()))
    rmSync(this._temporaryFolder, { recursive: true, force: true })
  }

  private _transportFor (key: string): HttpTransport {
    let transport = this._transports.get(key)
    if (transport === undefined) {
      transport = new HttpTransport({ key })
      this._transports.set(key, transport)
    }
    return transport
  }

  private async _startBackend (backend: ConfigurationDocument['backends'][number]): Promise<void> {
    const database = createToolDatabase()
    this.databases.push(database)
    for (let index = 1; index <= 4; index++) {
      const name = `${backend.name}-${index}`
      const isEngine = backend.type === 'modelEngine'
      const standin = isEngine ? new EngineServer({ name, model: backend.name, ...this._engineOptions }) : new ToolServer({ name, checksIdempotencyKeys: backend.checksIdempotencyKeys, latencyMs: 60 }, database)
      await standin.server.listen()
      if (standin instanceof EngineServer) this.engines.push(standin)
      else this.tools.push(standin)
      this.platform.vmList.put({ name, role: isEngine ? VmRole.Engine : VmRole.Service, zone: this._zones[index % this._zones.length], address: standin.server.address, backend: backend.name, state: VmState.Live })
    }
  }

  private async _startNode (name: string, zone: string): Promise<void> {
    const [callerPort, peerPort] = [await findFreePort(), await findFreePort()]
    const node: SoakNode = { name, zone, callerPort, peerPort, isStopped: false, process: undefined as unknown as ChildProcess }
    writeFileSync(this._settingsFile(node), JSON.stringify(this._settingsOf(node), null, 2))
    node.process = this._spawn(node)
    this.nodes.push(node)
    this.platform.vmList.put({ name, role: VmRole.Entry, zone, address: addressOf(node), peerAddress: `127.0.0.1:${peerPort}`, state: VmState.Live })
  }

  private _spawn (node: SoakNode): ChildProcess {
    const child = spawn(process.execPath, ['packages/node/bin/trefoilshuntd.js', '--settings', this._settingsFile(node)], { stdio: ['ignore', 'ignore', 'inherit'] })
    child.on('exit', (code, signal) => {
      if (node.process === child) node.exitStatus = { code, signal }
    })
    return child
  }

  private _settingsFile (node: SoakNode): string {
    return join(this._temporaryFolder, `${node.name}.jsonc`)
  }

  private _settingsOf (node: SoakNode): unknown {
    const platformUrl = `http://${this.platform.server.address}`
    return {
      node: node.name,
      availabilityZone: node.zone,
      environment: 'production',
      host: '127.0.0.1',
      callerPort: node.callerPort,
      peerPort: node.peerPort,
      platform: { logServiceUrl: platformUrl, vmListUrl: platformUrl, vmListPeriodMs: VM_LIST_PERIOD_MS, logTimeoutMs: 1_000 },
      credentials: {
        customers: this._document.customers.map(customer => ({ name: customer.name, keySha256: sha256(`soak-${customer.name}`) })),
        operators: [{ name: 'operator', keySha256: sha256(OPERATOR_KEY) }],
        peerSecret: PEER_SECRET
      },
      core: this._coreSettings,
      logLevel: 'error'
    }
  }

  private async _waitFor (condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS
    while (!await condition()) {
      if (Date.now() > deadlineMs) throw new Error('the fleet was not ready in time')
      await realClientHost.sleep(POLL_MS)
    }
  }
}

/** The address at which a node serves callers. */
export function addressOf (node: SoakNode): string {
  return `127.0.0.1:${node.callerPort}`
}

/** True when the node responds to a health check with success; false on any error. */
export async function isHealthy (node: SoakNode): Promise<boolean> {
  try {
    return (await fetch(`http://${addressOf(node)}/healthz`)).ok
  } catch {
    return false
  }
}

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  await new Promise<void>(resolve => server.close(() => resolve()))
  return typeof address === 'object' && address !== null ? address.port : 0
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
