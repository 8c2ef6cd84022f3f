/** One node in virtual time: a kernel whose effects the fleet executes. */
import { type Effect, type IDisposable, type InputEvent, Kernel, type NodeIdentity, type CoreSettings, IProgramTable } from '@trefoilshunt/core'

/** Executes the effects of a node. */
export interface IEffectRunner {
  run (node: VirtualNode, effect: Effect): void
}

export interface VirtualNodeOptions {
  identity: NodeIdentity
  seed: number
  settings: Partial<CoreSettings>
  nowMs: () => number
  runner: IEffectRunner
  /** Reads real time in milliseconds, to measure the time spent in the kernel. */
  stopwatch?: () => number
}

/** A node's process: its kernel, timers, backend calls and connections. */
export class VirtualNode {
  readonly identity: NodeIdentity
  readonly kernel: Kernel
  /** Timers by timer ID. */
  readonly timers = new Map<number, IDisposable>()
  /** Backend calls in flight, by call ID; disposing one abandons it. */
  readonly calls = new Map<number, IDisposable>()
  /** Functions that break the open connections of callers and forwarding nodes, by request ID. */
  readonly connections = new Map<string, () => void>()
  readonly startedAtMs: number
  isAlive = true
  isPaused = false
  /** Real milliseconds spent in the kernel so far; 0 without a stopwatch. */
  kernelMs = 0
  /** True when the node has exited by itself after a planned stop. */
  hasExited = false
  private _buffered: InputEvent[] = []
  private readonly _options: VirtualNodeOptions

  constructor (options: VirtualNodeOptions) {
    this._options = options
    this.identity = options.identity
    this.startedAtMs = options.nowMs()
    this.kernel = new Kernel({ identity: options.identity, seed: options.seed, settings: options.settings })
  }

  /** Passes an event to the kernel. A paused node buffers it until `resume`, a node that is not alive drops it. */
  handle (event: InputEvent): void {
    if (!this.isAlive) return
    if (this.isPaused) {
      this._buffered.push(event)
      return
    }
    const startedMs = this._options.stopwatch?.() ?? 0
    const effects = this.kernel.handle(event, this._options.nowMs())
    this.kernelMs += (this._options.stopwatch?.() ?? 0) - startedMs
    for (const effect of effects) this._options.runner.run(this, effect)
  }

  /** IDs of the open programs that this node owns. */
  openPrograms (): string[] {
    const table = this.kernel.resolve<IProgramTable>(IProgramTable)
    return [...table.all()].filter(program => program.closedAtMs === undefined).map(program => program.state.programId)
  }

  /** Stops the handling of events, as a frozen process would. */
  pause (): void {
    this.isPaused = true
  }

  /** Handles the events that arrived during the pause, in their order. */
  resume (): void {
    this.isPaused = false
    const buffered = this._buffered
    this._buffered = []
    for (const event of buffered) this.handle(event)
  }

  /** Ends the process at once: timers and calls end, connections break, and later events are dropped. */
  kill (): void {
    this.isAlive = false
    for (const timer of this.timers.values()) timer.dispose()
    for (const call of this.calls.values()) call.dispose()
    const connections = [...this.connections.values()]
    this.connections.clear()
    for (const breakConnection of connections) breakConnection()
    this.kernel.dispose()
  }
}
