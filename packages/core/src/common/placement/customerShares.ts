/** Weighted fair sharing between customers by attained service (start-time fair queueing). */

interface Share {
  /** Service so far over the customer's weight. */
  attained: number
  /** Steps of the customer in the queue or running. */
  present: number
}

export class CustomerShares {
  private readonly _shares = new Map<string, Share>()
  /** No active customer has attained less; newcomers start here and gain nothing from having been away. */
  private _floor = 0

  constructor (private readonly _weightOf: (customer: string) => number) {}

  noteArrival (customer: string): void {
    const share = this._shares.get(customer) ?? { attained: 0, present: 0 }
    if (share.present === 0) share.attained = Math.max(share.attained, this._floor)
    share.present++
    this._shares.set(customer, share)
  }

  noteDeparture (customer: string): void {
    const share = this._shares.get(customer)
    if (share !== undefined) share.present = Math.max(0, share.present - 1)
  }

  /** Charges service to a customer. */
  noteService (customer: string, serviceMs: number): void {
    const share = this._shares.get(customer) ?? { attained: this._floor, present: 0 }
    share.attained += serviceMs / this._weightOf(customer)
    this._shares.set(customer, share)
    this._raiseFloor()
  }

  attained (customer: string): number {
    return this._shares.get(customer)?.attained ?? this._floor
  }

  private _raiseFloor (): void {
    let least = Infinity
    for (const share of this._shares.values()) {
      if (share.present > 0) least = Math.min(least, share.attained)
    }
    if (least !== Infinity) this._floor = Math.max(this._floor, least)
  }
}
