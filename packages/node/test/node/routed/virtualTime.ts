/** Timers and clocks of one process in virtual time, so that a run repeats exactly from its seed. */
import { AsyncLocalStorage } from 'node:async_hooks'

interface Timer {
  atMs: number
  order: number
  /** The node that set the timer; none for the rest of the world. */
  owner: string | undefined
  periodMs?: number
  run: () => void
}

interface TimerHandle { id: number, unref: () => TimerHandle, ref: () => TimerHandle, [Symbol.toPrimitive]: () => number }

const realSetImmediate = setImmediate

/**
 * @example
 * await VirtualTime.run(async time => { await time.advance(1_000) })
 */
export class VirtualTime {
  nowMs = 0
  private readonly _timers = new Map<number, Timer>()
  private readonly _owner = new AsyncLocalStorage<string>()
  private readonly _frozenUntilMs = new Map<string, number>()
  private _lastId = 0

  /** Replaces the timers and clocks while `body` runs. */
  static async run<T> (body: (time: VirtualTime) => Promise<T>): Promise<T> {
    const time = new VirtualTime()
    const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis
    const realDateNow = Date.now
    const set = (isPeriodic: boolean) => (run: (...values: unknown[]) => void, delayMs = 0, ...values: unknown[]) => time._set(() => run(...values), delayMs, isPeriodic)
    const clear = (handle: TimerHandle | undefined) => { if (handle !== undefined) time._timers.delete(Number(handle)) }
    Object.assign(globalThis, { setTimeout: set(false), setInterval: set(true), clearTimeout: clear, clearInterval: clear })
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

  /** Runs `body` as a node's code: its timers stand still while the node is frozen. */
  as<T> (owner: string, body: () => T): T {
    return this._owner.run(owner, body)
  }

  freeze (owner: string, forMs: number): void {
    this._frozenUntilMs.set(owner, this.nowMs + forMs)
  }

  /** Time until a node goes on; 0 when it isn't frozen. */
  frozenMs (owner: string): number {
    return Math.max(0, (this._frozenUntilMs.get(owner) ?? 0) - this.nowMs)
  }

  /** Plays all timers of the next `forMs`. */
  async advance (forMs: number): Promise<void> {
    const endMs = this.nowMs + forMs
    await settle()
    for (;;) {
      const next = this._takeNext(endMs)
      if (next === undefined) break
      next.run()
      await settle()
    }
    this.nowMs = endMs
  }

  private _set (run: () => void, delayMs: number, isPeriodic: boolean): TimerHandle {
    const id = ++this._lastId
    const periodMs = isPeriodic ? Math.max(1, delayMs) : undefined
    const owner = this._owner.getStore()
    const runInContext = AsyncLocalStorage.bind(run)
    this._timers.set(id, { atMs: this.nowMs + Math.max(1, delayMs), order: id, owner, periodMs, run: runInContext })
    const handle: TimerHandle = { id, unref: () => handle, ref: () => handle, [Symbol.toPrimitive]: () => id }
    return handle
  }

  private _takeNext (endMs: number): Timer | undefined {
    let nextId: number | undefined
    let next: Timer | undefined
    for (const [id, timer] of this._timers) {
      const frozenMs = timer.owner === undefined ? 0 : this.frozenMs(timer.owner)
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

/** Lets everything run that waits for promises alone. */
async function settle (): Promise<void> {
  await new Promise<void>(resolve => { realSetImmediate(resolve) })
}
