/** Keeps retries to a share of the traffic, for each customer and for the whole node. */
import { inject, injectable } from 'tsyringe'
import { CoreSettings } from '../kernel/settings.js'

const BURST_RETRIES = 10

/** A bucket that first attempts fill and retries empty. */
export interface IRetryBudget {
  recordFirstAttempt (customer: string): void
  /** Takes one retry; false when retries have reached their share. */
  tryTake (customer: string): boolean
  readonly retryCount: number
  readonly firstAttemptCount: number
}
export const IRetryBudget = Symbol('IRetryBudget')

@injectable()
export class RetryBudget implements IRetryBudget {
  private readonly _credits = new Map<string, number>()
  private _nodeCredit = BURST_RETRIES
  private _retryCount = 0
  private _firstAttemptCount = 0

  constructor (@inject(CoreSettings) private readonly _settings: CoreSettings) {}

  get retryCount (): number {
    return this._retryCount
  }

  get firstAttemptCount (): number {
    return this._firstAttemptCount
  }

  recordFirstAttempt (customer: string): void {
    this._firstAttemptCount++
    const share = this._settings.retryBudgetShare
    this._nodeCredit = Math.min(BURST_RETRIES, this._nodeCredit + share)
    this._credits.set(customer, Math.min(BURST_RETRIES, this._creditOf(customer) + share))
  }

  tryTake (customer: string): boolean {
    const credit = this._creditOf(customer)
    if (credit < 1 || this._nodeCredit < 1) return false
    this._credits.set(customer, credit - 1)
    this._nodeCredit--
    this._retryCount++
    return true
  }

  private _creditOf (customer: string): number {
    return this._credits.get(customer) ?? BURST_RETRIES
  }
}
