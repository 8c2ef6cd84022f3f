/** Tells callers which addresses to use. */
import { inject, injectable } from 'tsyringe'
import { ICallers } from '../kernel/callerPort.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings } from '../kernel/settings.js'
import { IMembership, type PeerInfo } from './membership.js'

/** Answers address queries. Old answers stay harmless, since every node forwards. */
export interface IAddressing {
  /** Addresses in the order in which a caller of `zone` should try them: own zone first, then the others in turn. */
  resolveAddresses (zone: string | undefined): PeerInfo[]
}
export const IAddressing = Symbol('IAddressing')

@injectable()
export class Addressing implements IAddressing {
  constructor (
    @inject(CoreSettings) private readonly _settings: CoreSettings,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IRandom) private readonly _random: IRandom,
    @inject(ICallers) private readonly _callers: ICallers
  ) {}

  start (): void {
    this._callers.handle('addresses', ({ requestId, request }) => {
      const addresses = this.resolveAddresses(request.zone).map(({ address, node, zone }) => ({ address, node, zone }))
      this._callers.reply(requestId, { type: 'addressList', addresses, validForMs: this._settings.addressValidityMs })
    })
  }

  resolveAddresses (zone: string | undefined): PeerInfo[] {
    const nodes = this._membership.liveNodes()
    const near = this._random.sample(nodes.filter(node => node.zone === zone), this._settings.addressCount)
    const far = interleaveZones(this._random.sample(nodes.filter(node => node.zone !== zone), nodes.length))
    const firstCount = Math.min(near.length, Math.ceil(this._settings.addressCount / 2))
    return [...near.slice(0, firstCount), ...far, ...near.slice(firstCount)].slice(0, this._settings.addressCount)
  }
}

/** Orders nodes so that neighbours in the list are in different zones. */
function interleaveZones (nodes: PeerInfo[]): PeerInfo[] {
  const rounds = new Map<string, number>()
  const keyed = nodes.map(node => {
    const round = rounds.get(node.zone) ?? 0
    rounds.set(node.zone, round + 1)
    return { node, round }
  })
  return keyed.sort((left, right) => left.round - right.round).map(item => item.node)
}
