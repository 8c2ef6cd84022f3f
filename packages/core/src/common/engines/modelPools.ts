/** Assignment of workers to models, where several models share a pool of workers. */
import { inject, injectable } from 'tsyringe'
import { resolveOwner } from '../base/rendezvous.js'
import { IConfiguration } from '../configuration/configuration.js'
import type { Backend } from '../configuration/document.js'
import { IMembership } from '../membership/membership.js'
import type { WorkerInfo } from '../membership/workerDirectory.js'

/** Assigns the workers of pools to models. Every node derives the same assignment from the control stream. */
export interface IModelPools {
  /** Workers that are assigned to a back end and may get new work. */
  workersOf (backend: string): WorkerInfo[]
  /** The back end that a worker is assigned to; undefined when the active document does not name it. */
  backendOf (worker: WorkerInfo): Backend | undefined
  /** Sorted names of the pools in the active document. */
  pools (): string[]
  /** Back ends that share the named pool, in the order of the document. */
  modelsOf (pool: string): Backend[]
}
export const IModelPools = Symbol('IModelPools')

@injectable()
export class ModelPools implements IModelPools {
  constructor (
    @inject(IConfiguration) private readonly _configuration: IConfiguration,
    @inject(IMembership) private readonly _membership: IMembership
  ) {}

  workersOf (backend: string): WorkerInfo[] {
    const pool = this._configuration.findBackend(backend)?.pool
    if (pool === undefined) return this._membership.workers(backend)
    return this._membership.workers(pool).filter(worker => this.backendOf(worker)?.name === backend)
  }

  /** The model of the worker's last order in the log; without one, a choice by the worker's name that is the same at every node. */
  backendOf (worker: WorkerInfo): Backend | undefined {
    const models = this.modelsOf(worker.backend)
    if (models.length === 0) return this._configuration.findBackend(worker.backend)
    const order = this._configuration.state.engineOrders.find(candidate => candidate.worker === worker.worker)
    const ordered = models.find(model => model.name === order?.model)
    return ordered ?? resolveOwner(worker.worker, models, model => model.name)
  }

  pools (): string[] {
    const names = (this._configuration.document?.backends ?? []).flatMap(backend => backend.pool ?? [])
    return [...new Set(names)].sort()
  }

  modelsOf (pool: string): Backend[] {
    return (this._configuration.document?.backends ?? []).filter(backend => backend.pool === pool)
  }
}
