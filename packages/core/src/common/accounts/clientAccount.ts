/** Client accounts of the operator's document: who may send requests, with which rank and how many. */

/** The requests that an account may have run, over all nodes together. */
export interface AccountQuota {
  ratePerS: number
  /** Requests beyond the rate that an account may send at once after a pause. */
  burst: number
}

/** A customer of the operator, identified by its access keys. */
export interface ClientAccount {
  name: string
  accessKeys: string[]
  /** Rank of the account's requests; replaces the priority of the route if it is present. */
  priority?: number
  /** Absent for an account without a limit. */
  quota?: AccountQuota
}

/** The accounts of the active document. */
export interface IAccountDirectory {
  readonly accounts: readonly ClientAccount[]
  /** The account that holds the key; undefined for an unknown key. */
  findByKey (accessKey: string): ClientAccount | undefined
  /** The account with this name; undefined if the document has none. */
  find (name: string): ClientAccount | undefined
}

/**
 * @example
 * const directory = new AccountDirectory([{ name: 'yard-7', accessKeys: ['k1', 'k2'] }])
 * directory.findByKey('k2')?.name // 'yard-7'
 */
export class AccountDirectory implements IAccountDirectory {
  private readonly _accountsByKey = new Map<string, ClientAccount>()
  private readonly _accountsByName = new Map<string, ClientAccount>()

  constructor (readonly accounts: readonly ClientAccount[]) {
    for (const account of accounts) {
      if (!this._accountsByName.has(account.name)) this._accountsByName.set(account.name, account)
      for (const key of account.accessKeys) {
        if (!this._accountsByKey.has(key)) this._accountsByKey.set(key, account)
      }
    }
  }

  findByKey (accessKey: string): ClientAccount | undefined {
    return this._accountsByKey.get(accessKey)
  }

  find (name: string): ClientAccount | undefined {
    return this._accountsByName.get(name)
  }
}

/**
 * An id that a caller has chosen, made unique among all accounts: no two pairs of account and id have the same result.
 *
 * @example
 * scopeId('yard 7', 'p1') // 'yard%207/p1'
 */
export function scopeId (account: string, id: string): string {
  return `${encodeURIComponent(account)}/${id}`
}
