/** Connections that a process keeps open, shared among the addresses that they come from. */

export interface ConnectionBudgetOptions<T> {
  maxConnections?: number
  /** True if a connection may be closed in favour of another one: no request of it is being served. */
  isIdle: (connection: T) => boolean
}

/** Whether a new connection may stay, and which one must be closed for it. */
export interface ConnectionDecision<T> {
  isAdmitted: boolean
  evicted?: T
}

/**
 * When all are taken, a connection from an address with fewer connections replaces the oldest idle one of the address with most; others are refused.
 *
 * @example
 * const { isAdmitted, evicted } = budget.open(address, socket)
 */
export class ConnectionBudget<T> {
  private readonly _maxConnections: number
  private readonly _isIdle: (connection: T) => boolean
  private readonly _owners = new Map<string, Set<T>>()
  private _count = 0

  constructor ({ maxConnections = Number.POSITIVE_INFINITY, isIdle }: ConnectionBudgetOptions<T>) {
    this._maxConnections = maxConnections
    this._isIdle = isIdle
  }

  get count (): number {
    return this._count
  }

  countOf (owner: string): number {
    return this._owners.get(owner)?.size ?? 0
  }

  /** Counts the connection if it is admitted, and no longer the evicted one. */
  open (owner: string, connection: T): ConnectionDecision<T> {
    if (this._count < this._maxConnections) {
      this._add(owner, connection)
      return { isAdmitted: true }
    }
    const victim = this._findVictim(this.countOf(owner) + 1)
    if (victim === undefined) return { isAdmitted: false }
    this.close(victim.owner, victim.connection)
    this._add(owner, connection)
    return { isAdmitted: true, evicted: victim.connection }
  }

  /** Does nothing for a connection that isn't counted. */
  close (owner: string, connection: T): void {
    const connections = this._owners.get(owner)
    if (connections?.delete(connection) !== true) return
    this._count--
    if (connections.size === 0) this._owners.delete(owner)
  }

  private _add (owner: string, connection: T): void {
    const connections = this._owners.get(owner)
    if (connections === undefined) this._owners.set(owner, new Set([connection]))
    else connections.add(connection)
    this._count++
  }

  /** The oldest idle connection of the address that has most, if those are more than `count`. */
  private _findVictim (count: number): { owner: string, connection: T } | undefined {
    let mostCount = count
    let victim: { owner: string, connection: T } | undefined
    for (const [owner, connections] of this._owners) {
      if (connections.size <= mostCount) continue
      const connection = [...connections].find(candidate => this._isIdle(candidate))
      if (connection === undefined) continue
      victim = { owner, connection }
      mostCount = connections.size
    }
    return victim
  }
}
