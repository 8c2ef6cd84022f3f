/** One node in virtual time: a kernel whose effects are carried out by the fleet. */
import { type Effect, type IDisposable, type InputEvent, Kernel, type NodeIdentity, type CoreSettings, IProgramTable } from '@trefoilshunt/core'

/** Carries out the effects of a node. */
export interface IEffectRunner {
  run (node: VirtualNode, effect: Effect): void
}

export interface VirtualNodeOptions {
  identity: NodeIdentity
  seed: number
  settings: Partial<CoreSettings>
  nowMs: () => number
  runner: IEffectRunner
  /** Reads real time in milliseconds, to measure what the kernel costs. */
  stopwatch?: () => number
}

export class VirtualNode {
  readonly identity: NodeIdentity
  readonly kernel: Kernel
  readonly timers = new Map<number, IDisposable>()
  /** Calls of back ends that this node has open. */
  readonly calls = new Map<number, IDisposable>()
  /** Ends of callers' connections to this node, called when it dies. */
  readonly connections = new Map<string, () => void>()
  readonly startedAtMs: number
  isAlive = true
  isPaused = false
  /** Real time spent in the kernel so far, if there is a stopwatch. */
  kernelMs = 0
  /** True when the node has ended by itself after a planned stop. */
  hasExited = false
  private _buffered: InputEvent[] = []
  private readonly _options: VirtualNodeOptions

  constructor (options: VirtualNodeOptions) {
    this._options = options
    this.identity = options.identity
    this.startedAtMs = options.nowMs()
    this.kernel = new Kernel({ identity: options.identity, seed: options.seed, settings: options.settings })
  }

  /** Hands an event to the kernel; a paused node gets it when it wakes, a dead one never. */
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

  /** Open programs whose home is this node. */
  openPrograms (): string[] {
    const table = this.kernel.resolve<IProgramTable>(IProgramTable)
    return [...table.all()].filter(program => program.closedAtMs === undefined).map(program => program.state.programId)
  }

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    const buffered = this._buffered
    this._buffered = []
    for (const event of buffered) this.handle(event)
  }

  /** Ends the process at once: no effect follows, connections break. */
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
