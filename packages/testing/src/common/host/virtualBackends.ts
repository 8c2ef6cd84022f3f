/** Stand-ins of backend servers in virtual time, and the calls that nodes make to them. */
import { type BackendEvent, type BackendRequest, type Effect, type IDisposable, toDisposable, transferMs, type VmEntry, VmRole, VmState } from '@trefoilshunt/core'
import { createToolDatabase, ModelEngine, type ModelEngineOptions, type ToolDatabase, ToolService, type VmList } from '@trefoilshunt/standins'
import type { EventQueue } from './eventQueue.js'
import type { VirtualLinks } from './virtualLinks.js'
import type { VirtualNode } from './virtualNode.js'

const BACKEND_LATENCY_MS = 0.5
const MAX_CALL_MS = 600_000

/** Holds engines, services and the services' databases by name, and executes the backend calls of nodes. */
export class VirtualBackends {
  readonly engines = new Map<string, ModelEngine>()
  readonly services = new Map<string, ToolService>()
  readonly databases = new Map<string, ToolDatabase>()

  constructor (
    private readonly _events: EventQueue,
    private readonly _links: VirtualLinks,
    private readonly _vmList: VmList,
    private readonly _zones: string[]
  ) {}

  /** Adds `count` engines named `<model>-<index>`, spread over the zones. */
  addEngines (model: string, count: number, options: Partial<ModelEngineOptions> = {}): void {
    const heldBefore = new Map<string, number>()
    for (let index = 1; index <= count; index++) {
      const name = `${model}-${index}`
      this.engines.set(name, new ModelEngine({ name, model, heldBefore, ...options }, this._events))
      this._listBackend(name, model, VmRole.Engine, index)
    }
  }

  /** Adds the workers of a pool, named `<pool>-<index>`; each starts with one of the pool's models. */
  addPool (pool: string, models: string[], count: number, options: Partial<ModelEngineOptions> = {}): void {
    for (let index = 1; index <= count; index++) {
      const name = `${pool}-${index}`
      this.engines.set(name, new ModelEngine({ name, model: models[index % models.length], ...options }, this._events))
      this._listBackend(name, pool, VmRole.Engine, index)
    }
  }

  /** Adds `count` service workers named `<service>-<index>` that share one database. */
  addServices (service: string, count: number, options: { latencyMs?: number, checksIdempotencyKeys?: boolean } = {}): void {
    const database = createToolDatabase()
    this.databases.set(service, database)
    for (let index = 1; index <= count; index++) {
      const name = `${service}-${index}`
      this.services.set(name, new ToolService({ name, ...options }, database, this._events))
      this._listBackend(name, service, VmRole.Service, index)
    }
  }

  private _listBackend (name: string, backend: string, role: VmRole, index: number): void {
    const zone = this._zones[index % this._zones.length]
    this._links.setZone(name, zone)
    const entry: VmEntry = { name, role, zone, address: name, backend, state: VmState.Live }
    this._vmList.put(entry)
  }

  /** Executes a call. The node receives its events; a call that is over or disposed sends none. */
  call (node: VirtualNode, effect: Extract<Effect, { type: 'callBackend' }>): void {
    const { callId, worker, request, timeoutMs } = effect
    let call: IDisposable | undefined
    let isOver = false
    const finish = (event: BackendEvent) => {
      if (isOver) return
      if (event.type !== 'chunk') {
        isOver = true
        timeout.dispose()
        node.calls.delete(callId)
      }
      this._events.after(BACKEND_LATENCY_MS, () => node.handle({ type: 'backendEvent', callId, event }))
    }
    const timeout = this._events.after(Math.min(timeoutMs, MAX_CALL_MS), () => {
      call?.dispose()
      finish({ type: 'failed', isUntouched: false, isConnectionLost: false, isLeaving: false, detail: 'timed out' })
    })
    const isCut = this._links.isCut(node.identity.node, worker)
    this._events.after(BACKEND_LATENCY_MS, () => {
      if (isOver) return
      if (isCut) finish({ type: 'failed', isUntouched: true, isConnectionLost: false, isLeaving: false, detail: 'no route' })
      else call = this._dispatch(worker, request, finish)
    })
    node.calls.set(callId, toDisposable(() => {
      isOver = true
      timeout.dispose()
      call?.dispose()
    }))
  }

  private _dispatch (worker: string, request: BackendRequest, listener: (event: BackendEvent) => void): IDisposable | undefined {
    const engine = this.engines.get(worker)
    const service = this.services.get(worker)
    if (request.type === 'model' && engine !== undefined) return engine.call(request, listener)
    if (request.type === 'service' && service !== undefined) return service.call(request, listener)
    if (request.type === 'lookup' && service !== undefined) {
      const result = service.isDown ? undefined : service.lookup(request.idempotencyKey)
      listener(result === undefined ? backendFailure('unknown key') : { type: 'serviceDone', result })
    } else if (engine === undefined || engine.isDown) {
      listener(backendFailure('connection refused'))
    } else if (request.type === 'status') {
      listener({ type: 'status', status: engine.status() })
    } else if (request.type === 'cacheEvents') {
      listener({ type: 'cacheEvents', events: engine.cacheEvents(request.fromSequence) })
    } else if (request.type === 'release') {
      engine.release(request.session)
      listener({ type: 'ok' })
    } else if (request.type === 'transfer') {
      this._transfer(engine, request.session, request.fromAddress, listener)
    } else if (request.type === 'load') {
      listener(engine.load(request.model, request.fencingNumber) ? { type: 'ok' } : backendFailure('the fencing number is old'))
    } else {
      listener(backendFailure('not supported'))
    }
    return undefined
  }

  /** Copies a session's cache between engines; the duration depends on its size in tokens. */
  private _transfer (target: ModelEngine, session: string, from: string, listener: (event: BackendEvent) => void): void {
    const source = this.engines.get(from)
    const tokens = source === undefined || source.isDown ? 0 : source.exportCache(session)
    if (tokens === 0) {
      listener(backendFailure('nothing to move'))
      return
    }
    this._events.after(transferMs(tokens), () => {
      target.importCache(session, tokens)
      listener({ type: 'ok' })
    })
  }
}

function backendFailure (detail: string): BackendEvent {
  return { type: 'failed', isUntouched: true, isConnectionLost: false, isLeaving: false, detail }
}
