/** Registers the announcement of this node on the control stream. */
import { type IPlugin, registerPlugin } from '../kernel/plugin.js'
import { NodeAnnouncement } from './nodeAnnouncement.js'

registerPlugin({
  name: 'audit',
  register () {},
  create (container): IPlugin {
    const announcement = container.resolve(NodeAnnouncement)
    return {
      start: () => announcement.start(),
      dispose () {}
    }
  }
})
