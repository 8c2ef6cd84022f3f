/** Finished turns of programs, each of which may be continued by several others. */

/** A turn whose answer was delivered whole. */
export interface RetainedTurn {
  /** Request id of the turn. */
  turnId: string
  programId: string
  /** The turn that this one continues. */
  previousTurnId?: string
  /** What the caller sent. */
  input: Uint8Array
  /** What the worker generated: the data of each event and a line feed. */
  output: Uint8Array
  keepMs: number
  /** Worker that ran the turn; it probably holds the cache of the chain. */
  worker?: string
}

interface Entry {
  turn: RetainedTurn
  expiresAtMs: number
}

/**
 * The turns of one partition as a forest.
 *
 * @example
 * tree.add(turn, nowMs)
 * tree.chainOf(turn.turnId) // from the first turn to this one
 */
export class TurnTree {
  private readonly _entries = new Map<string, Entry>()
  private _bytes = 0

  get size (): number {
    return this._entries.size
  }

  /** Bytes of inputs and outputs held. */
  get bytes (): number {
    return this._bytes
  }

  has (turnId: string): boolean {
    return this._entries.has(turnId)
  }

  find (turnId: string): RetainedTurn | undefined {
    return this._entries.get(turnId)?.turn
  }

  /** Adds a turn and keeps every turn before it at least as long. A known turn isn't replaced. */
  add (turn: RetainedTurn, nowMs: number): void {
    const expiresAtMs = nowMs + turn.keepMs
    if (!this._entries.has(turn.turnId)) {
      this._entries.set(turn.turnId, { turn, expiresAtMs })
      this._bytes += turn.input.length + turn.output.length
    }
    this._keepUntil(turn.turnId, expiresAtMs)
  }

  /** The turns from the first to `turnId`; undefined when one of them isn't here. */
  chainOf (turnId: string): RetainedTurn[] | undefined {
    const chain: RetainedTurn[] = []
    const seen = new Set<string>()
    let next: string | undefined = turnId
    while (next !== undefined) {
      const entry = this._entries.get(next)
      if (entry === undefined || seen.has(next)) return undefined
      seen.add(next)
      chain.push(entry.turn)
      next = entry.turn.previousTurnId
    }
    return chain.reverse()
  }

  /** Removes and returns the turns whose time is over. */
  expire (nowMs: number): RetainedTurn[] {
    const expired: RetainedTurn[] = []
    for (const [turnId, { turn, expiresAtMs }] of this._entries) {
      if (expiresAtMs > nowMs) continue
      this._entries.delete(turnId)
      this._bytes -= turn.input.length + turn.output.length
      expired.push(turn)
    }
    return expired
  }

  private _keepUntil (turnId: string, expiresAtMs: number): void {
    let entry = this._entries.get(turnId)
    while (entry !== undefined && entry.expiresAtMs <= expiresAtMs) {
      entry.expiresAtMs = expiresAtMs
      const previous: string | undefined = entry.turn.previousTurnId
      entry = previous === undefined || previous === entry.turn.turnId ? undefined : this._entries.get(previous)
      if (entry?.expiresAtMs === expiresAtMs) return
    }
  }
}

/** The whole prompt of a turn that continues `chain`: every input and output in order, then the new input. */
export function joinChain (chain: readonly RetainedTurn[], input: Uint8Array): Uint8Array[] {
  return [...chain.flatMap(turn => [turn.input, turn.output]), input]
}
