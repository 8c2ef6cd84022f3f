/** Remembers which addresses to use, and asks again when the answer is old. */
import type { ICallerTransport, IClientHost } from './transport.js'

const ADDRESS_TIMEOUT_MS = 2_000
const MIN_REFRESH_MS = 500

export interface AddressBookOptions {
  /** Addresses to begin with. */
  seeds: string[]
  zone?: string
  transport: ICallerTransport
  host: IClientHost
}

export class AddressBook {
  private readonly _options: AddressBookOptions
  private _addresses: string[]
  private _validUntilMs = 0
  private _askedAtMs = -Infinity
  private _turn = 0
  private _refresh: Promise<void> | undefined

  constructor (options: AddressBookOptions) {
    this._options = options
    this._addresses = [...options.seeds]
    this._turn = Math.floor(options.host.random() * options.seeds.length)
  }

  /** The address to use next. */
  async resolve (): Promise<string> {
    const nowMs = this._options.host.nowMs()
    const isDue = nowMs >= this._validUntilMs && nowMs - this._askedAtMs >= MIN_REFRESH_MS
    if (isDue) {
      this._refresh ??= this._ask().finally(() => { this._refresh = undefined })
      await this._refresh
    }
    return this._addresses[this._turn % this._addresses.length]
  }

  /** Moves to the next address after one has failed. */
  recordFailure (address: string): void {
    if (this._addresses[this._turn % this._addresses.length] === address) this._turn++
    this._validUntilMs = 0
  }

  private async _ask (): Promise<void> {
    const { transport, host, zone, seeds } = this._options
    this._askedAtMs = host.nowMs()
    const candidates = [this._addresses[this._turn % this._addresses.length], seeds[Math.floor(host.random() * seeds.length)]]
    for (const address of candidates) {
      const result = await transport.send(address, { type: 'addresses', zone }, { timeoutMs: ADDRESS_TIMEOUT_MS })
      if (result.type !== 'reply' || result.reply.type !== 'addressList' || result.reply.addresses.length === 0) continue
      this._addresses = result.reply.addresses.map(entry => entry.address)
      this._turn = 0
      this._validUntilMs = host.nowMs() + result.reply.validForMs
      return
    }
    this._turn++
  }
}
