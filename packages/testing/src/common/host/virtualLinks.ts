/** Links between machines in virtual time: a delay each, and cuts. */

/** Names where machines are and which of them cannot reach each other. */
export class VirtualLinks {
  private readonly _zones = new Map<string, string>()
  private readonly _cuts = new Set<string>()

  /** @param _zoneDelayMs one-way delay between zones; inside a zone it is a fifth of that. */
  constructor (private readonly _zoneDelayMs: number) {}

  place (machine: string, zone: string): void {
    this._zones.set(machine, zone)
  }

  zoneOf (machine: string): string {
    return this._zones.get(machine) ?? ''
  }

  /** Cuts the link between two machines, both ways; a machine may be named by its zone. */
  cut (left: string, right: string): void {
    this._cuts.add(linkKey(left, right))
  }

  heal (left: string, right: string): void {
    this._cuts.delete(linkKey(left, right))
  }

  isCut (left: string, right: string): boolean {
    if (this._cuts.size === 0) return false
    const ends = (machine: string) => [machine, this.zoneOf(machine)]
    return ends(left).some(first => ends(right).some(second => this._cuts.has(linkKey(first, second))))
  }

  /** One-way delay in milliseconds. */
  delayMs (left: string, right: string): number {
    return this.zoneOf(left) === this.zoneOf(right) ? this._zoneDelayMs / 5 : this._zoneDelayMs
  }
}

function linkKey (left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`
}
