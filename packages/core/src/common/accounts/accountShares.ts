/** Shares of client accounts in workers that are short. */
import type { IAccountDirectory } from './clientAccount.js'

/**
 * An account's share is the rate of its quota, since the operator sets quotas by what accounts need. An account without a quota has the mean share.
 *
 * @example
 * const shares = new AccountShares(directory)
 * shares.shareOf('yard-7') // 12
 */
export class AccountShares {
  private readonly _meanShare: number

  constructor (private readonly _directory: IAccountDirectory) {
    const rates = _directory.accounts.flatMap(({ quota }) => quota !== undefined && quota.ratePerS > 0 ? [quota.ratePerS] : [])
    this._meanShare = rates.length === 0 ? 1 : rates.reduce((total, rate) => total + rate, 0) / rates.length
  }

  /** Always above 0. */
  shareOf (account: string): number {
    const ratePerS = this._directory.find(account)?.quota?.ratePerS
    return ratePerS === undefined || ratePerS <= 0 ? this._meanShare : ratePerS
  }
}
