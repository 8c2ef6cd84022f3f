/** The queue of virtual events, ordered by time and then by insertion. */
import { type IDisposable, toDisposable } from '@trefoilshunt/core'

interface QueuedEvent {
  atMs: number
  sequence: number
  action: (() => void) | undefined
}

/** A binary heap of events with its own clock, which stands at the time of the last event that ran. */
export class EventQueue {
  private readonly _heap: QueuedEvent[] = []
  private _lastSequence = 0
  private _nowMs = 0

  /** Virtual time in milliseconds, from 0. */
  nowMs (): number {
    return this._nowMs
  }

  /** Runs `action` after `delayMs` of virtual time, unless disposed before; a negative delay counts as 0. */
  after (delayMs: number, action: () => void): IDisposable {
    const event: QueuedEvent = { atMs: this._nowMs + Math.max(0, delayMs), sequence: ++this._lastSequence, action }
    this._push(event)
    return toDisposable(() => { event.action = undefined })
  }

  /** Runs the next event. False when none is due by `untilMs`; the clock then moves on to `untilMs`. */
  runNext (untilMs: number): boolean {
    const first = this._heap[0]
    if (first === undefined || first.atMs > untilMs) {
      this._nowMs = Math.max(this._nowMs, untilMs)
      return false
    }
    this._pop()
    this._nowMs = first.atMs
    first.action?.()
    return true
  }

  private _push (event: QueuedEvent): void {
    const heap = this._heap
    let index = heap.length
    heap.push(event)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(event, heap[parent])) break
      heap[index] = heap[parent]
      index = parent
    }
    heap[index] = event
  }

  private _pop (): void {
    const heap = this._heap
    const last = heap.pop() as QueuedEvent
    if (heap.length === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) child++
      if (!isBefore(heap[child], last)) break
      heap[index] = heap[child]
      index = child
    }
    heap[index] = last
  }
}

function isBefore (left: QueuedEvent, right: QueuedEvent): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence)
}
