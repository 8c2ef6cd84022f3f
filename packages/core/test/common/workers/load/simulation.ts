/** A queue of events in virtual time. */

/** Runs actions in the order of their times. */
export class Simulation {
  nowMs = 0
  private readonly _heap: Array<{ atMs: number, order: number, run: () => void }> = []
  private _lastOrder = 0

  schedule (delayMs: number, run: () => void): void {
    const heap = this._heap
    const entry = { atMs: this.nowMs + delayMs, order: ++this._lastOrder, run }
    let index = heap.length
    heap.push(entry)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, heap[parent])) break
      heap[index] = heap[parent]
      index = parent
    }
    heap[index] = entry
  }

  run (untilMs: number): void {
    while (this._heap.length > 0 && this._heap[0].atMs <= untilMs) {
      const { atMs, run } = this._dequeue()
      this.nowMs = atMs
      run()
    }
    this.nowMs = untilMs
  }

  private _dequeue (): { atMs: number, run: () => void } {
    const heap = this._heap
    const first = heap[0]
    const last = heap.pop() as typeof first
    if (heap.length === 0) return first
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
    return first
  }
}

function isBefore (left: { atMs: number, order: number }, right: { atMs: number, order: number }): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order)
}
