/** Registers the planned stop and the receiver of handed over programs. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { Drain, IDrain } from './drain.js'
import { HandoverReceiver } from './handoverReceiver.js'

registerPlugin({
  name: 'drain',
  register (container) {
    container.registerSingleton(Drain)
    container.register(IDrain, { useToken: Drain })
  },
  create (container): IPlugin {
    const drain = container.resolve(Drain)
    const receiver = container.resolve(HandoverReceiver)
    return {
      start () {
        drain.start()
        receiver.start()
      },
      dispose () {}
    }
  }
})
