/** The node addresses that a client uses, refreshed from the fleet when they expire. */
import type { ICallerTransport, IClientHost } from './transport.js'

const ADDRESS_TIMEOUT_MS = 2_000
/** Minimum time between two refreshes, also after failures. */
const MIN_REFRESH_MS = 500

/** Dependencies of an address book. */
export interface AddressBookOptions {
  /** Addresses (host:port) that are used until the first refresh; at least one. */
  seeds: string[]
  /** Availability zone of the caller, sent with each query for addresses. */
  zone?: string
  transport: ICallerTransport
  host: IClientHost
}

/** Selects the address for the next request and moves on to another one after a failure. */
export class AddressBook {
  private readonly _options: AddressBookOptions
  private _addresses: string[]
  private _validUntilMs = 0
  private _refreshStartedAtMs = -Infinity
  private _currentIndex = 0
  private _pendingRefresh: Promise<void> | undefined

  constructor (options: AddressBookOptions) {
    this._options = options
    this._addresses = [...options.seeds]
    this._currentIndex = Math.floor(options.host.random() * options.seeds.length)
  }

  /** The address for the next request; queries the fleet first if the known addresses have expired. Never rejects. */
  async resolve (): Promise<string> {
    const nowMs = this._options.host.nowMs()
    const isDue = nowMs >= this._validUntilMs && nowMs - this._refreshStartedAtMs >= MIN_REFRESH_MS
    if (isDue) {
      this._pendingRefresh ??= this._refreshAddresses().finally(() => { this._pendingRefresh = undefined })
      await this._pendingRefresh
    }
    return this._addresses[this._currentIndex % this._addresses.length]
  }

  /** Moves on to the next address if `address` is the current one, and makes the next `resolve` refresh the addresses. */
  recordFailure (address: string): void {
    if (this._addresses[this._currentIndex % this._addresses.length] === address) this._currentIndex++
    this._validUntilMs = 0
  }

  /** Queries the current address, then a random seed. If neither answers, moves on to the next address. */
  private async _refreshAddresses (): Promise<void> {
    const { transport, host, zone, seeds } = this._options
    this._refreshStartedAtMs = host.nowMs()
    const candidates = [this._addresses[this._currentIndex % this._addresses.length], seeds[Math.floor(host.random() * seeds.length)]]
    for (const address of candidates) {
      const result = await transport.send(address, { type: 'addresses', zone }, { timeoutMs: ADDRESS_TIMEOUT_MS })
      if (result.type !== 'reply' || result.reply.type !== 'addressList' || result.reply.addresses.length === 0) continue
      this._addresses = result.reply.addresses.map(entry => entry.address)
      this._currentIndex = 0
      this._validUntilMs = host.nowMs() + result.reply.validForMs
      return
    }
    this._currentIndex++
  }
}
