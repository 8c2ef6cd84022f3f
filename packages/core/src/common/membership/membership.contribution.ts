/** Registers peer messages, membership and address queries. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { IPeers, Peers } from '../peers/peers.js'
import { Addressing, IAddressing } from './addressing.js'
import { IMembership, Membership } from './membership.js'

registerPlugin({
  name: 'membership',
  register (container) {
    container.registerSingleton(Peers)
    container.register(IPeers, { useToken: Peers })
    container.registerSingleton(Membership)
    container.register(IMembership, { useToken: Membership })
    container.registerSingleton(IAddressing, Addressing)
  },
  create (container): IPlugin {
    const membership = container.resolve(Membership)
    const addressing = container.resolve<Addressing>(IAddressing)
    return {
      start () {
        membership.start()
        addressing.start()
      },
      dispose: () => membership.dispose()
    }
  }
})
