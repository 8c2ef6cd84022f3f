/** Resolves which entry VM addresses a caller should use. */
import { inject, injectable } from 'tsyringe'
import { ICallers } from '../kernel/callerPort.js'
import { IRandom } from '../kernel/random.js'
import { CoreSettings } from '../kernel/settings.js'
import { IMembership, type PeerInfo } from './membership.js'

/** Answers address queries. An outdated answer does no harm, because every node forwards requests to the program owner. */
export interface IAddressing {
  /**
   * At most `addressCount` live nodes in the order in which a caller of `zone` should try them: up to half of that number, rounded
   * up, in `zone`, then nodes of the other zones in turn, then further nodes of `zone`.
   */
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
    const sameZone = this._random.sample(nodes.filter(node => node.zone === zone), this._settings.addressCount)
    const otherZones = interleaveZones(this._random.sample(nodes.filter(node => node.zone !== zone), nodes.length))
    const firstCount = Math.min(sameZone.length, Math.ceil(this._settings.addressCount / 2))
    return [...sameZone.slice(0, firstCount), ...otherZones, ...sameZone.slice(firstCount)].slice(0, this._settings.addressCount)
  }
}

/** Orders nodes round-robin over their zones: the first node of each zone, then the second of each, and so on. */
function interleaveZones (nodes: PeerInfo[]): PeerInfo[] {
  const rounds = new Map<string, number>()
  const keyed = nodes.map(node => {
    const round = rounds.get(node.zone) ?? 0
    rounds.set(node.zone, round + 1)
    return { node, round }
  })
  return keyed.sort((left, right) => left.round - right.round).map(item => item.node)
}
