/** Replaces the timers and clocks of the process by virtual time, so that a run repeats exactly from its seed. */
import { AsyncLocalStorage } from 'node:async_hooks'

interface Timer {
  atMs: number
  /** Order of creation, for timers that are due at the same time. */
  order: number
  /** The node whose code set the timer; undefined for code of the test. */
  node: string | undefined
  periodMs?: number
  run: () => void
}

interface TimerHandle { id: number, unref: () => TimerHandle, ref: () => TimerHandle, [Symbol.toPrimitive]: () => number }

const realSetImmediate = setImmediate

/**
 * Virtual time stands still while code runs and moves only in `advance`.
 *
 * @example
 * await VirtualTime.run(async time => { await time.advance(1_000) })
 */
export class VirtualTime {
  /** Milliseconds since the start of the run. */
  nowMs = 0
  private readonly _timers = new Map<number, Timer>()
  private readonly _currentNode = new AsyncLocalStorage<string>()
  private readonly _frozenUntilMs = new Map<string, number>()
  private _lastId = 0

  /** Runs `body` with the global timers and clocks replaced. */
  static async run<T> (body: (time: VirtualTime) => Promise<T>): Promise<T> {
    const time = new VirtualTime()
    const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis
    const realDateNow = Date.now
    const createSetTimer = (isPeriodic: boolean) => (run: (...values: unknown[]) => void, delayMs = 0, ...values: unknown[]) => time._addTimer(() => run(...values), delayMs, isPeriodic)
    const clearTimer = (handle: TimerHandle | undefined) => { if (handle !== undefined) time._timers.delete(Number(handle)) }
    Object.assign(globalThis, { setTimeout: createSetTimer(false), setInterval: createSetTimer(true), clearTimeout: clearTimer, clearInterval: clearTimer })
    Date.now = () => 1_700_000_000_000 + Math.floor(time.nowMs)
    Object.defineProperty(performance, 'now', { value: () => time.nowMs, configurable: true })
    try {
      return await body(time)
    } finally {
      Object.assign(globalThis, { setTimeout, clearTimeout, setInterval, clearInterval })
      Date.now = realDateNow
      Reflect.deleteProperty(performance, 'now')
    }
  }

  /** Runs `body` as code of a node. Timers that it sets do not fire while the node is frozen. */
  runAs<T> (node: string, body: () => T): T {
    return this._currentNode.run(node, body)
  }

  /** Suspends the timers of a node for a time, as a pause of its process would. */
  freeze (node: string, forMs: number): void {
    this._frozenUntilMs.set(node, this.nowMs + forMs)
  }

  /** Milliseconds until a frozen node continues; 0 when it isn't frozen. */
  remainingFreezeMs (node: string): number {
    return Math.max(0, (this._frozenUntilMs.get(node) ?? 0) - this.nowMs)
  }

  /** Moves the time by `forMs` and fires all timers that are due until then, in order. */
  async advance (forMs: number): Promise<void> {
    const endMs = this.nowMs + forMs
    await flushPromises()
    for (;;) {
      const next = this._dequeueNext(endMs)
      if (next === undefined) break
      next.run()
      await flushPromises()
    }
    this.nowMs = endMs
  }

  private _addTimer (run: () => void, delayMs: number, isPeriodic: boolean): TimerHandle {
    const id = ++this._lastId
    const periodMs = isPeriodic ? Math.max(1, delayMs) : undefined
    const node = this._currentNode.getStore()
    const runInContext = AsyncLocalStorage.bind(run)
    this._timers.set(id, { atMs: this.nowMs + Math.max(1, delayMs), order: id, node, periodMs, run: runInContext })
    const handle: TimerHandle = { id, unref: () => handle, ref: () => handle, [Symbol.toPrimitive]: () => id }
    return handle
  }

  private _dequeueNext (endMs: number): Timer | undefined {
    let nextId: number | undefined
    let next: Timer | undefined
    for (const [id, timer] of this._timers) {
      const frozenMs = timer.node === undefined ? 0 : this.remainingFreezeMs(timer.node)
      if (frozenMs > 0) timer.atMs = Math.max(timer.atMs, this.nowMs + frozenMs)
      if (timer.atMs > endMs) continue
      if (next === undefined || timer.atMs < next.atMs || (timer.atMs === next.atMs && timer.order < next.order)) {
        nextId = id
        next = timer
      }
    }
    if (next === undefined || nextId === undefined) return undefined
    this.nowMs = Math.max(this.nowMs, next.atMs)
    if (next.periodMs === undefined) this._timers.delete(nextId)
    else next.atMs = this.nowMs + next.periodMs
    return next
  }
}

/** Runs all code that waits for nothing but resolved promises. */
async function flushPromises (): Promise<void> {
  await new Promise<void>(resolve => { realSetImmediate(resolve) })
}
