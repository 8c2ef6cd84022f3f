/** Limits retries to a share of the first attempts, for each customer and for the whole node. */
import { inject, injectable } from 'tsyringe'
import { CoreSettings } from '../kernel/settings.js'

/** Retries that may follow each other at once; each bucket starts with them. */
const MAX_RETRY_CREDIT = 10

/** Token buckets of retries: a first attempt adds `retryBudgetShare` to them, a retry takes 1. */
export interface IRetryBudget {
  recordFirstAttempt (customer: string): void
  /** Takes one retry from the customer's and the node's bucket; false, and nothing taken, when either holds less than one. */
  tryTake (customer: string): boolean
  /** Retries taken since the start of the node. */
  readonly retryCount: number
  /** First attempts recorded since the start of the node. */
  readonly firstAttemptCount: number
}
export const IRetryBudget = Symbol('IRetryBudget')

@injectable()
export class RetryBudget implements IRetryBudget {
  private readonly _customerCredits = new Map<string, number>()
  private _nodeCredit = MAX_RETRY_CREDIT
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
    this._nodeCredit = Math.min(MAX_RETRY_CREDIT, this._nodeCredit + share)
    this._customerCredits.set(customer, Math.min(MAX_RETRY_CREDIT, this._creditOf(customer) + share))
  }

  tryTake (customer: string): boolean {
    const credit = this._creditOf(customer)
    if (credit < 1 || this._nodeCredit < 1) return false
    this._customerCredits.set(customer, credit - 1)
    this._nodeCredit--
    this._retryCount++
    return true
  }

  private _creditOf (customer: string): number {
    return this._customerCredits.get(customer) ?? MAX_RETRY_CREDIT
  }
}
