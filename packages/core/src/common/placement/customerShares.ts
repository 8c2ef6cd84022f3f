/** Weighted fair sharing between customers by attained service (start-time fair queueing). */

interface Share {
  /** Service so far in milliseconds, divided by the customer's weight. */
  attainedService: number
  /** Arrivals less departures of the customer's steps, never below 0. */
  activeSteps: number
}

/** Attained service of each customer at one worker. */
export class CustomerShares {
  private readonly _shares = new Map<string, Share>()
  /**
   * Lower bound of the attained service of customers with active steps. A customer that becomes active starts at least here,
   * so its inactive time earns no credit.
   */
  private _virtualTime = 0

  constructor (private readonly _weightOf: (customer: string) => number) {}

  /** Counts a step that enters the queue. */
  recordArrival (customer: string): void {
    const share = this._shares.get(customer) ?? { attainedService: 0, activeSteps: 0 }
    if (share.activeSteps === 0) share.attainedService = Math.max(share.attainedService, this._virtualTime)
    share.activeSteps++
    this._shares.set(customer, share)
  }

  /** Counts a step that has ended or left the queue. */
  recordDeparture (customer: string): void {
    const share = this._shares.get(customer)
    if (share !== undefined) share.activeSteps = Math.max(0, share.activeSteps - 1)
  }

  /** Adds service to a customer's attained service, divided by the customer's weight. */
  recordService (customer: string, serviceMs: number): void {
    const share = this._shares.get(customer) ?? { attainedService: this._virtualTime, activeSteps: 0 }
    share.attainedService += serviceMs / this._weightOf(customer)
    this._shares.set(customer, share)
    this._advanceVirtualTime()
  }

  /** Service of a customer so far in milliseconds, divided by its weight; the current lower bound for an unknown customer. */
  attainedServiceOf (customer: string): number {
    return this._shares.get(customer)?.attainedService ?? this._virtualTime
  }

  private _advanceVirtualTime (): void {
    let leastService = Infinity
    for (const share of this._shares.values()) {
      if (share.activeSteps > 0) leastService = Math.min(leastService, share.attainedService)
    }
    if (leastService !== Infinity) this._virtualTime = Math.max(this._virtualTime, leastService)
  }
}
