/** Retained turns of programs. Several turns may continue the same one. */

/** A turn whose complete answer was delivered. */
export interface RetainedTurn {
  /** Request id of the turn. */
  turnId: string
  programId: string
  /** Id of the turn that this one continues; absent for a first turn. */
  previousTurnId?: string
  /** Body of the caller's request. */
  input: Uint8Array
  /** What the worker generated: the data of each event and a line feed. */
  output: Uint8Array
  /** How long the turn is retained, in milliseconds; longer when a turn that continues it is. */
  keepMs: number
  /** Worker that ran the turn and probably has the chain's prompt in its cache. */
  worker?: string
}

interface TurnEntry {
  turn: RetainedTurn
  expiresAtMs: number
}

/**
 * The turns of one partition as a forest. All times are milliseconds of one clock.
 *
 * @example
 * tree.add(turn, nowMs)
 * tree.chainOf(turn.turnId) // from the first turn to this one
 */
export class TurnTree {
  private readonly _entries = new Map<string, TurnEntry>()
  /** How long turns that are not held yet are needed by held ones that continue them. */
  private readonly _missingUntilMs = new Map<string, number>()
  private _bytes = 0

  /** Number of turns held. */
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

  /** A turn by its id; undefined when it is not held. */
  find (turnId: string): RetainedTurn | undefined {
    return this._entries.get(turnId)?.turn
  }

  /** Adds a turn, and retains the held turns of the chain before it for at least as long. A known turn is not replaced. */
  add (turn: RetainedTurn, nowMs: number): void {
    const expiresAtMs = Math.max(nowMs + turn.keepMs, this._missingUntilMs.get(turn.turnId) ?? 0)
    this._missingUntilMs.delete(turn.turnId)
    if (!this._entries.has(turn.turnId)) {
      this._entries.set(turn.turnId, { turn, expiresAtMs })
      this._bytes += turn.input.length + turn.output.length
    }
    this._extendExpiry(turn.turnId, expiresAtMs)
  }

  /** Ids of the turns held. */
  get turnIds (): Iterable<string> {
    return this._entries.keys()
  }

  /** Removes a turn before its time. */
  remove (turnId: string): void {
    const entry = this._entries.get(turnId)
    if (entry === undefined) return
    this._entries.delete(turnId)
    this._bytes -= entry.turn.input.length + entry.turn.output.length
  }

  /** Retains a turn and the chain before it until `untilMs`, if they would otherwise be removed earlier. */
  retain (turnId: string, untilMs: number): void {
    this._extendExpiry(turnId, untilMs)
  }

  /** The turns from the first to `turnId`; undefined when one of them is not held or the chain is circular. */
  chainOf (turnId: string): RetainedTurn[] | undefined {
    const chain: RetainedTurn[] = []
    const visited = new Set<string>()
    let next: string | undefined = turnId
    while (next !== undefined) {
      const entry = this._entries.get(next)
      if (entry === undefined || visited.has(next)) return undefined
      visited.add(next)
      chain.push(entry.turn)
      next = entry.turn.previousTurnId
    }
    return chain.reverse()
  }

  /** Removes and returns the turns whose retention has ended. */
  expire (nowMs: number): RetainedTurn[] {
    const expired: RetainedTurn[] = []
    for (const [turnId, { turn, expiresAtMs }] of this._entries) {
      if (expiresAtMs > nowMs) continue
      this._entries.delete(turnId)
      this._bytes -= turn.input.length + turn.output.length
      expired.push(turn)
    }
    for (const [turnId, untilMs] of this._missingUntilMs) {
      if (untilMs <= nowMs) this._missingUntilMs.delete(turnId)
    }
    return expired
  }

  private _extendExpiry (turnId: string, expiresAtMs: number): void {
    let entry = this._entries.get(turnId)
    while (entry !== undefined && entry.expiresAtMs <= expiresAtMs) {
      entry.expiresAtMs = expiresAtMs
      const previous: string | undefined = entry.turn.previousTurnId
      if (previous === undefined || previous === entry.turn.turnId) return
      entry = this._entries.get(previous)
      if (entry === undefined) this._missingUntilMs.set(previous, Math.max(expiresAtMs, this._missingUntilMs.get(previous) ?? 0))
      if (entry?.expiresAtMs === expiresAtMs) return
    }
  }
}

/** The complete prompt of a turn that continues `chain`: every input and output in order, then the new input. */
export function joinChain (chain: readonly RetainedTurn[], input: Uint8Array): Uint8Array[] {
  return [...chain.flatMap(turn => [turn.input, turn.output]), input]
}
