/** Network links between machines in virtual time: delays and cuts. */

/** Holds the zone of each machine and which machines or zones cannot reach each other. */
export class VirtualLinks {
  private readonly _zones = new Map<string, string>()
  private readonly _cuts = new Set<string>()

  /** @param _zoneDelayMs one-way delay between zones; inside a zone it is a fifth of that. */
  constructor (private readonly _zoneDelayMs: number) {}

  /** Puts a machine into a zone; a machine without one is in the zone ''. */
  setZone (machine: string, zone: string): void {
    this._zones.set(machine, zone)
  }

  zoneOf (machine: string): string {
    return this._zones.get(machine) ?? ''
  }

  /** Cuts the link between two machines, both ways; a machine may be named by its zone. */
  cut (left: string, right: string): void {
    this._cuts.add(linkKey(left, right))
  }

  /** Restores a link; the names must be those given to `cut`. */
  heal (left: string, right: string): void {
    this._cuts.delete(linkKey(left, right))
  }

  /** True when the link between the machines, between their zones, or between one machine and the other's zone is cut. */
  isCut (left: string, right: string): boolean {
    if (this._cuts.size === 0) return false
    const namesOf = (machine: string) => [machine, this.zoneOf(machine)]
    return namesOf(left).some(first => namesOf(right).some(second => this._cuts.has(linkKey(first, second))))
  }

  /** One-way delay in milliseconds. */
  delayMs (left: string, right: string): number {
    return this.zoneOf(left) === this.zoneOf(right) ? this._zoneDelayMs / 5 : this._zoneDelayMs
  }
}

function linkKey (left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`
}
